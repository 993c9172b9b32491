package node

import (
	"sync/atomic"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/raft"
)

// The state charts of the node, its backend server, its replicas and requests, with
// the events and states that the code uses.
var (
	nodeChart           = chart.MustLoad("node")
	nodeEventConfigured = nodeChart.Event("configured")
	nodeEventDrain      = nodeChart.Event("drain")
	nodeEventUndrain    = nodeChart.Event("undrain")
	nodeEventStop       = nodeChart.Event("stop")
	nodeEventIdle       = nodeChart.Event("idle")
	nodeEventTimeout    = nodeChart.Event("timeout")

	nodeStateServing = nodeChart.State("serving")
	nodeStateLeaving = nodeChart.State("leaving")
	nodeStateStopped = nodeChart.State("stopped")

	backendChart  = chart.MustLoad("backend")
	backendEvents = map[member.State]chart.Event{
		member.Starting: backendChart.Event("say-starting"),
		member.Serving:  backendChart.Event("say-serving"),
		member.Draining: backendChart.Event("say-draining"),
	}

	replicaChart              = chart.MustLoad("replica")
	replicaEventRestoreFailed = replicaChart.Event("restore-failed")
	replicaRoleEvents         = map[raft.Role]chart.Event{
		raft.Follower:     replicaChart.Event("step-down"),
		raft.PreCandidate: replicaChart.Event("campaign"),
		raft.Candidate:    replicaChart.Event("promising"),
		raft.Leader:       replicaChart.Event("elected"),
	}

	requestChart        = chart.MustLoad("request")
	requestEventRefuse  = requestChart.Event("refuse")
	requestEventAdmit   = requestChart.Event("admit")
	requestEventExpire  = requestChart.Event("expire")
	requestEventSend    = requestChart.Event("send")
	requestEventAnswer  = requestChart.Event("answer")
	requestEventLose    = requestChart.Event("lose")
	requestEventNotSent = requestChart.Event("not-sent")
	requestStateUnknown = requestChart.State("unknown")
	requestStateRefused = requestChart.State("refused")
)

// requestProgress is the state of a request in the request chart. It determines what
// a refusal says about the request's execution.
type requestProgress struct{ state chart.State }

// applyEvent applies an event; events that the chart does not allow are ignored.
func (p *requestProgress) applyEvent(e chart.Event) {
	if next, ok := requestChart.Next(p.state, e); ok {
		p.state = next
	}
}

// execution returns whether the request was executed, was not, or may have been.
func (p *requestProgress) execution() fault.Execution {
	switch p.state {
	case requestStateRefused:
		return fault.NotExecuted
	case requestStateUnknown:
		return fault.ExecutionUnknown
	default:
		return fault.Executed
	}
}

// atomicState is the current state of a chart, safe for concurrent use.
type atomicState struct{ state atomic.Uint32 }

// load returns the current state.
func (l *atomicState) load() chart.State { return chart.State(l.state.Load()) }

// applyEvent applies an event. It returns false if the chart does not allow the event
// in the current state.
func (l *atomicState) applyEvent(c *chart.Chart, e chart.Event) bool {
	for {
		old := l.load()
		next, ok := c.Next(old, e)
		if !ok {
			return false
		}
		if l.state.CompareAndSwap(uint32(old), uint32(next)) {
			return true
		}
	}
}

// stopping reports whether the node has begun to stop.
func (n *Node) stopping() bool {
	s := n.state.load()
	return s == nodeStateLeaving || s == nodeStateStopped
}

// rejectsNewWork reports whether this node passes no new requests to its backend
// server. A stopping node still passes them on until it has announced its departure.
func (n *Node) rejectsNewWork() bool {
	switch n.state.load() {
	case nodeStateServing:
		return false
	case nodeStateLeaving:
		return n.departureAnnounced.Load()
	default:
		return true
	}
}

// backendMemberState returns the member state that a state of the backend chart
// stands for.
func backendMemberState(s chart.State) member.State {
	state, _ := member.ParseState(backendChart.StateName(s))
	return state
}
