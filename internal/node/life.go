package node

import (
	"sync/atomic"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/raft"
)

// The charts that the node runs by, and their events.
var (
	nodeChart  = chart.MustLoad("node")
	configured = nodeChart.Event("configured")
	drain      = nodeChart.Event("drain")
	undrain    = nodeChart.Event("undrain")
	stopEvent  = nodeChart.Event("stop")
	idle       = nodeChart.Event("idle")
	timedOut   = nodeChart.Event("timeout")

	nodeServing = nodeChart.State("serving")
	nodeLeaving = nodeChart.State("leaving")
	nodeStopped = nodeChart.State("stopped")

	backendChart = chart.MustLoad("backend")
	backendSays  = map[member.State]chart.Event{
		member.Starting: backendChart.Event("say-starting"),
		member.Serving:  backendChart.Event("say-serving"),
		member.Draining: backendChart.Event("say-draining"),
	}

	replicaChart = chart.MustLoad("replica")
	diskFailed   = replicaChart.Event("disk-failed")
	roleEvents   = map[raft.Role]chart.Event{
		raft.Follower:     replicaChart.Event("step-down"),
		raft.PreCandidate: replicaChart.Event("campaign"),
		raft.Candidate:    replicaChart.Event("promising"),
		raft.Leader:       replicaChart.Event("elected"),
	}

	requestChart   = chart.MustLoad("request")
	requestRefuse  = requestChart.Event("refuse")
	requestAdmit   = requestChart.Event("admit")
	requestExpire  = requestChart.Event("expire")
	requestSend    = requestChart.Event("send")
	requestAnswer  = requestChart.Event("answer")
	requestLose    = requestChart.Event("lose")
	requestNotSent = requestChart.Event("not-sent")
	requestUnknown = requestChart.State("unknown")
	requestRefused = requestChart.State("refused")
)

// progress is how far a request came beside its backend server. What a
// refusal claims of its execution follows from the state that it ended in.
type progress struct{ state chart.State }

func (p *progress) happen(e chart.Event) {
	if next, ok := requestChart.Next(p.state, e); ok {
		p.state = next
	}
}

// run returns what is known of the execution.
func (p *progress) run() fault.Execution {
	switch p.state {
	case requestRefused:
		return fault.NotExecuted
	case requestUnknown:
		return fault.ExecutionUnknown
	default:
		return fault.Executed
	}
}

// life is the state of a chart that several goroutines look at.
type life struct{ state atomic.Uint32 }

func (l *life) get() chart.State { return chart.State(l.state.Load()) }

// happen takes an event in; false if it changes nothing in the present state.
func (l *life) happen(c *chart.Chart, e chart.Event) bool {
	for {
		old := l.get()
		next, ok := c.Next(old, e)
		if !ok {
			return false
		}
		if l.state.CompareAndSwap(uint32(old), uint32(next)) {
			return true
		}
	}
}

// stopping tells whether the node is on its way out.
func (n *Node) stopping() bool {
	s := n.life.get()
	return s == nodeLeaving || s == nodeStopped
}

// leaving tells whether the backend server gets no new work from this node. A
// node that stops goes on taking it while callers hear of the stop.
func (n *Node) leaving() bool {
	switch n.life.get() {
	case nodeServing:
		return false
	case nodeLeaving:
		return n.withdrawn.Load()
	default:
		return true
	}
}

// backendState is the member state of a state of the backend chart.
func backendState(s chart.State) member.State {
	state, _ := member.ParseState(backendChart.Text(s))
	return state
}
