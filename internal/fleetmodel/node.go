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

// node is the daemon beside one backend server.
type node struct {
	sim    *simulation
	id     string
	domain int
	// incarnation changes at each start and power loss; events of an earlier
	// incarnation are ignored.
	incarnation int
	down        bool
	server      *server
	limiter     *admission.Limiter
	// queued holds the executions in the limiter's queue.
	queued map[*admission.Waiter]*execution
	routes *route.Snapshot
	// ingressLevels and nestedLevels are the path levels of requests that enter at
	// this node and of calls of its local backend.
	ingressLevels, nestedLevels *pathlevel.Table
	retryThrottles              map[string]*budget.Throttle
	// arrivals bounds the repeats that the local backend gets.
	arrivals *budget.Arrivals
	// bulkheads bounds the pending calls of the local backend, by called service.
	bulkheads map[string]*admission.Bulkhead
	// powerLossCallbacks notify the callers of the requests that entered here when
	// the node loses power.
	powerLossCallbacks map[*call]func()
}

// call is a caller's request or a nested call, at the node where it starts.
type call struct {
	// number is in the order in which callers sent their requests, 0 for nested calls.
	number   int
	kind     *indexedKind
	rootKind *indexedKind
	rank     rank.Rank
	depth    uint8
	// fromRepeat is set if the call was made by an execution that was a repeat.
	fromRepeat bool
	parent     *execution
	retryPool  *budget.Pool
	deadline   time.Duration
	retryState retry.Call
	offeredTo  []*route.Instance
	avoid      *route.Instance
	lastCode   fault.Code
	// mayHaveExecuted is set once a server may have executed an attempt.
	mayHaveExecuted bool
	completed       bool
	// bulkhead is held until a nested call completes; nil for a caller's request.
	bulkhead *admission.Bulkhead
	// cancelAttempt cancels the attempt in flight, if not nil.
	cancelAttempt func()
	onComplete    func(outcome)
}

// isRepeat reports whether the next attempt is a repeat for the server that gets it.
func (c *call) isRepeat() bool { return c.fromRepeat || len(c.offeredTo) > 0 }

// outcome is the result of a call or of an attempt.
type outcome struct {
	// code is fault.None for a response of the server, which reports a failure if
	// nestedFailed is set.
	code      fault.Code
	execution fault.Execution
	// nestedFailed is set if a nested call of the server failed.
	nestedFailed bool
	// admissionLevel determines the time until a refused caller may retry.
	admissionLevel rank.Level
	// offered reports whether a server was offered the call.
	offered bool
	// report describes the instance, pathLevel the level of the path below it.
	report    route.Outcome
	pathLevel rank.Level
	// retriesSpent is the number of leased retries that the attempt used.
	retriesSpent int
}

// succeeded reports whether the server executed the call without a nested failure.
func (o outcome) succeeded() bool { return o.code == fault.None && !o.nestedFailed }

// startCall starts a call with its deadline, unless the path level or the bulkhead
// refuses it.
func (n *node) startCall(c *call) {
	sim := n.sim
	incarnation := n.incarnation
	sim.schedule(c.deadline-sim.now, func() {
		if n.incarnation == incarnation {
			n.completeCall(c, outcome{code: fault.Deadline, execution: fault.ExecutionUnknown})
		}
	})
	if c.depth == 0 {
		if l := n.ingressLevels.Level(c.rootKind.Name, sim.now); !l.Admits(c.rank, 0) {
			n.completeCall(c, outcome{code: fault.Overload, execution: fault.NotExecuted, admissionLevel: l})
			return
		}
	} else if !n.acquireBulkhead(c) {
		n.completeCall(c, outcome{code: fault.ShareSpent, execution: fault.NotExecuted, admissionLevel: rank.Count / 4})
		return
	}
	share := n.retryThrottle(c.kind.Service)
	if c.fromRepeat {
		share.RecordRetry(sim.now, sim.retryLimits)
	} else {
		share.RecordFirstAttempt(sim.now, sim.retryLimits)
		sim.result.recordCall(c.kind.Service, sim.now)
	}
	n.startAttempt(c)
}

// acquireBulkhead counts a nested call against the bulkhead of its service and reports
// whether there was room.
func (n *node) acquireBulkhead(c *call) bool {
	b := n.bulkheads[c.kind.Service]
	if b == nil {
		b = &admission.Bulkhead{}
		n.bulkheads[c.kind.Service] = b
	}
	if !b.TryAcquire(n.server.spec.Slots, n.sim.scenario.Policy.ShareMax, c.rank) {
		return false
	}
	c.bulkhead = b
	return true
}

// retryThrottle returns the retry throttle of a service.
func (n *node) retryThrottle(service string) *budget.Throttle {
	s := n.retryThrottles[service]
	if s == nil {
		s = &budget.Throttle{}
		n.retryThrottles[service] = s
	}
	return s
}

// completeCall reports the outcome of a call; only the first one counts.
func (n *node) completeCall(c *call, o outcome) {
	if c.completed {
		return
	}
	c.completed = true
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
	if c.mayHaveExecuted && o.code != fault.None {
		o.execution = fault.ExecutionUnknown
	}
	delete(n.powerLossCallbacks, c)
	if c.bulkhead != nil {
		c.bulkhead.Release()
	}
	if c.parent != nil {
		c.parent.nestedCalls++
	}
	c.onComplete(o)
}

// startAttempt picks an instance for a call and sends the call to it.
func (n *node) startAttempt(c *call) {
	sim := n.sim
	c.retryState.Attempts++
	q := route.Query{
		Service: c.kind.Service, Rank: c.rank, Depth: c.depth, Now: sim.now, Avoid: c.avoid, AvoidIfPossible: c.lastCode == fault.Rejected,
		Options: route.Options{SpillAt: sim.scenario.Policy.SpillAt, EjectMax: sim.scenario.Policy.EjectMax, Ramp: sim.scenario.Policy.Ramp},
	}
	if c.retryState.MaxOffered > 0 && c.retryState.Offered >= c.retryState.MaxOffered {
		q.Allowed = c.offeredTo
	}
	in, code := n.routes.Pick(&q, sim.rng)
	if in == nil {
		n.completeAttempt(c, nil, outcome{code: code, execution: fault.NotExecuted, admissionLevel: rank.Count / 2})
		return
	}
	in.Observed.RecordSend()
	if in.ID == n.id {
		e := n.accept(c, c.retryPool, c.isRepeat(), func(o outcome) {
			c.cancelAttempt = nil
			o.report.Latency = 0
			in.Observed.RecordOutcome(sim.now, o.report, sim.ejectOptions())
			n.observePathLevel(c, o)
			n.completeAttempt(c, in, o)
		})
		if !e.completed {
			c.cancelAttempt = func() {
				in.Observed.RecordOutcome(sim.now, route.Outcome{}, sim.ejectOptions())
				e.cancel()
			}
		}
		return
	}
	n.sendToPeer(c, in)
}

// sendToPeer sends a call to the node of an instance, with a lease on the retry pool.
func (n *node) sendToPeer(c *call, in *route.Instance) {
	sim := n.sim
	to := sim.nodesByID[in.ID]
	latency, startedAt := sim.latency(n.domain, to.domain), sim.now
	lease := c.retryPool.Lease()
	peerPool := &budget.Pool{}
	peerPool.Reset(lease)
	repeat := c.isRepeat()
	var e *execution
	pending, incarnation := true, n.incarnation
	handleResponse := func(o outcome) {
		if !pending || n.incarnation != incarnation {
			return
		}
		pending = false
		c.cancelAttempt = nil
		if o.code == fault.PeerSilent {
			c.retryPool.ForfeitLease(lease)
			in.Observed.SetUnreachable(true)
		} else {
			c.retryPool.SettleLease(lease, o.retriesSpent)
			o.report.Latency = sim.now - startedAt
		}
		in.Observed.RecordOutcome(sim.now, o.report, sim.ejectOptions())
		if o.code != fault.PeerSilent {
			n.observePathLevel(c, o)
		}
		n.completeAttempt(c, in, o)
	}
	c.cancelAttempt = func() {
		if !pending {
			return
		}
		pending = false
		c.retryPool.ForfeitLease(lease)
		in.Observed.RecordOutcome(sim.now, route.Outcome{TimedOutAfter: sim.now - startedAt}, sim.ejectOptions())
		sim.schedule(latency, func() {
			if e != nil {
				e.cancel()
			}
		})
	}
	detectSilence := func() {
		sim.schedule(sim.scenario.Policy.SilenceTimeout, func() {
			handleResponse(outcome{code: fault.PeerSilent, execution: fault.ExecutionUnknown, report: route.Outcome{Failed: true}})
		})
	}
	sim.schedule(latency, func() {
		if to.down {
			detectSilence()
			return
		}
		e = to.accept(c, peerPool, repeat, func(o outcome) {
			o.retriesSpent = peerPool.Spent()
			sim.schedule(latency, func() { handleResponse(o) })
		})
		e.onPowerLoss = detectSilence
		if !pending {
			e.cancel()
		}
	})
}

// observePathLevel records the path level of a response.
func (n *node) observePathLevel(c *call, o outcome) {
	now := n.sim.now
	level := n.routes.PathLevel(c.kind.Service, o.pathLevel, o.report.Level, now)
	n.pathLevels(c).Observe(c.rootKind.Name, c.kind.Service, level, now)
}

// pathLevels returns the table of path levels that applies to a call.
func (n *node) pathLevels(c *call) *pathlevel.Table {
	if c.depth > 0 {
		return n.nestedLevels
	}
	return n.ingressLevels
}

// completeAttempt retries a failed attempt if permitted and completes the call otherwise.
func (n *node) completeAttempt(c *call, in *route.Instance, o outcome) {
	if c.completed {
		return
	}
	c.mayHaveExecuted = c.mayHaveExecuted || o.execution != fault.NotExecuted
	if in != nil && (o.offered || o.execution != fault.NotExecuted) && !in.IsAnyOf(c.offeredTo) {
		c.offeredTo = append(c.offeredTo, in)
		c.retryState.Offered = len(c.offeredTo)
	}
	if o.code == fault.None || !n.tryRetry(c, in, o) {
		n.completeCall(c, o)
		return
	}
	c.avoid, c.lastCode = in, o.code
	n.startAttempt(c)
}

// tryRetry reports whether a failed attempt may be retried, and charges the retry.
func (n *node) tryRetry(c *call, in *route.Instance, o outcome) bool {
	sim := n.sim
	switch retry.Decide(c.retryState, retry.Failure{Code: o.code, Execution: o.execution, InstanceChosen: in != nil}) {
	case retry.RetryUncharged:
		c.retryState.Uncharged++
		return true
	case retry.RetryCharged:
		if !c.retryPool.TrySpend() {
			return false
		}
		if !n.retryThrottle(c.kind.Service).AllowRetry(sim.now, c.rank, sim.retryLimits) {
			c.retryPool.SettleLease(1, 0)
			return false
		}
		return true
	default:
		return false
	}
}
