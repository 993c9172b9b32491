package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
)

// node stands beside one backend server.
type node struct {
	p      *play
	id     string
	domain int
	// boot counts the starts: what an earlier one had in hand is gone.
	boot   int
	down   bool
	server *server
	guard  *admission.Limiter
	// waiting are the works that the guard keeps.
	waiting map[*admission.Waiter]*work
	routes  *route.Snapshot
	// entered and nested are the path levels of requests that enter here and of
	// calls of the server beside the node.
	entered, nested *pathlevel.Table
	retries         map[string]*budget.Throttle
	// waits counts, for each service, the calls to it that the server waits for.
	waits map[string]*admission.Bulkhead
	// callers are the requests that entered here, with what tells their callers that
	// the node is gone.
	callers map[*call]func()
}

// call is a request, or a call of one, at the node where it began.
type call struct {
	kind     *kind
	root     *kind
	rank     rank.Rank
	depth    uint8
	repeat   bool
	parent   *work
	pool     *budget.Pool
	deadline time.Duration
	state    retry.Call
	sentTo   []*route.Instance
	avoid    *route.Instance
	last     fault.Code
	// mayHaveRun is set once a server may have seen an attempt.
	mayHaveRun bool
	ended      bool
	// waits is what it counts against while its server waits for it, or nil.
	waits *admission.Bulkhead
	// cancel ends the attempt under way.
	cancel func()
	done   func(answer)
}

// answer is what became of a call.
type answer struct {
	// code is fault.None for an answer of the server, which says failed if below is
	// set.
	code fault.Code
	run  fault.Execution
	// below is set if a call that the server made failed.
	below bool
	// level is what sheds the request, for the time to come back.
	level rank.Level
	// offered tells whether a server was offered the call.
	offered bool
	// report is what the answer tells of the instance, and path of what is below it.
	report route.Outcome
	path   rank.Level
	// spent is how much of its lease the attempt used.
	spent int
}

func (a answer) ok() bool { return a.code == fault.None && !a.below }

// begin sends a call on its way.
func (n *node) begin(c *call) {
	p := n.p
	boot := n.boot
	p.after(c.deadline-p.now, func() {
		if n.boot == boot {
			n.end(c, answer{code: fault.Deadline, run: fault.ExecutionUnknown})
		}
	})
	if c.depth == 0 {
		if l := n.entered.Level(c.root.Name, p.now); !l.Admits(c.rank, 0) {
			n.end(c, answer{code: fault.Overload, run: fault.NotExecuted, level: l})
			return
		}
	} else if !n.hold(c) {
		n.end(c, answer{code: fault.ShareSpent, run: fault.NotExecuted, level: rank.Count / 4})
		return
	}
	share := n.share(c.kind.Service)
	if c.repeat {
		share.RecordRetry(p.now, p.limits)
	} else {
		share.RecordFirstAttempt(p.now, p.limits)
	}
	n.attempt(c)
}

// hold counts a call against the share of the server's slots that may wait on one
// service.
func (n *node) hold(c *call) bool {
	w := n.waits[c.kind.Service]
	if w == nil {
		w = &admission.Bulkhead{}
		n.waits[c.kind.Service] = w
	}
	if !w.TryAcquire(n.server.spec.Slots, n.p.fleet.Policy.ShareMax, c.rank) {
		return false
	}
	c.waits = w
	return true
}

func (n *node) share(service string) *budget.Throttle {
	s := n.retries[service]
	if s == nil {
		s = &budget.Throttle{}
		n.retries[service] = s
	}
	return s
}

// end answers a call, once.
func (n *node) end(c *call, a answer) {
	if c.ended {
		return
	}
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
	if c.mayHaveRun && a.code != fault.None {
		a.run = fault.ExecutionUnknown
	}
	delete(n.callers, c)
	if c.waits != nil {
		c.waits.Release()
	}
	if c.parent != nil {
		c.parent.finished++
	}
	c.done(a)
}

// attempt sends a call to one instance.
func (n *node) attempt(c *call) {
	p := n.p
	c.state.Attempts++
	q := route.Query{
		Service: c.kind.Service, Rank: c.rank, Depth: c.depth, Now: p.now, Avoid: c.avoid, AvoidIfPossible: c.last == fault.Rejected,
		Options: route.Options{SpillAt: p.fleet.Policy.SpillAt, EjectMax: p.fleet.Policy.EjectMax, Ramp: p.fleet.Policy.Ramp},
	}
	if c.state.MaxOffered > 0 && c.state.Offered >= c.state.MaxOffered {
		q.Allowed = c.sentTo
	}
	in, code := n.routes.Pick(&q, p.rng)
	if in == nil {
		n.attempted(c, nil, answer{code: code, run: fault.NotExecuted, level: rank.Count / 2})
		return
	}
	in.Observed.RecordSend()
	if in.ID == n.id {
		w := n.accept(c, c.pool, c.repeat, func(a answer) {
			c.cancel = nil
			n.pathOf(c).Observe(c.root.Name, c.kind.Service, a.path, p.now)
			a.report.Latency = 0
			in.Observed.RecordOutcome(p.now, a.report, p.eject())
			n.attempted(c, in, a)
		})
		if !w.ended {
			c.cancel = func() {
				in.Observed.RecordOutcome(p.now, route.Outcome{}, p.eject())
				w.cancel()
			}
		}
		return
	}
	n.send(c, in)
}

// send sends a call to the node beside another server.
func (n *node) send(c *call, in *route.Instance) {
	p := n.p
	to := p.byID[in.ID]
	way, began := p.way(n.domain, to.domain), p.now
	lease := c.pool.Lease()
	below := &budget.Pool{}
	below.Reset(lease)
	repeat := c.repeat || c.state.Attempts-c.state.Uncharged > 1
	var w *work
	open, boot := true, n.boot
	back := func(a answer) {
		if !open || n.boot != boot {
			return
		}
		open = false
		c.cancel = nil
		if a.code == fault.PeerSilent {
			c.pool.ForfeitLease(lease)
			in.Observed.SetUnreachable(true)
		} else {
			c.pool.SettleLease(lease, a.spent)
			n.pathOf(c).Observe(c.root.Name, c.kind.Service, a.path, p.now)
			a.report.Latency = p.now - began
		}
		in.Observed.RecordOutcome(p.now, a.report, p.eject())
		n.attempted(c, in, a)
	}
	c.cancel = func() {
		if !open {
			return
		}
		open = false
		c.pool.ForfeitLease(lease)
		in.Observed.RecordOutcome(p.now, route.Outcome{TimedOutAfter: p.now - began}, p.eject())
		p.after(way, func() {
			if w != nil {
				w.cancel()
			}
		})
	}
	silent := func() {
		p.after(p.fleet.Policy.Silence, func() {
			back(answer{code: fault.PeerSilent, run: fault.ExecutionUnknown, report: route.Outcome{Failed: true}})
		})
	}
	p.after(way, func() {
		if to.down {
			silent()
			return
		}
		w = to.accept(c, below, repeat, func(a answer) {
			a.spent = below.Spent()
			p.after(way, func() { back(a) })
		})
		w.lost = silent
		if !open {
			w.cancel()
		}
	})
}

func (n *node) pathOf(c *call) *pathlevel.Table {
	if c.depth > 0 {
		return n.nested
	}
	return n.entered
}

// attempted decides what follows an attempt.
func (n *node) attempted(c *call, in *route.Instance, a answer) {
	if c.ended {
		return
	}
	c.mayHaveRun = c.mayHaveRun || a.run != fault.NotExecuted
	if in != nil && (a.offered || a.run != fault.NotExecuted) && !in.IsAnyOf(c.sentTo) {
		c.sentTo = append(c.sentTo, in)
		c.state.Offered = len(c.sentTo)
	}
	if a.code == fault.None || !n.mayRetry(c, in, a) {
		n.end(c, a)
		return
	}
	c.avoid, c.last = in, a.code
	n.attempt(c)
}

func (n *node) mayRetry(c *call, in *route.Instance, a answer) bool {
	p := n.p
	switch retry.Decide(c.state, retry.Failure{Code: a.code, Execution: a.run, InstanceChosen: in != nil}) {
	case retry.RetryUncharged:
		c.state.Uncharged++
		return true
	case retry.RetryCharged:
		if !c.pool.TrySpend() {
			return false
		}
		if !n.share(c.kind.Service).AllowRetry(p.now, c.rank, p.limits) {
			c.pool.SettleLease(1, 0)
			return false
		}
		return true
	default:
		return false
	}
}
