package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
)

// execution is a call at the node whose server executes it.
type execution struct {
	// number is in the order of creation.
	number      int
	node        *node
	incarnation int
	call        *call
	retryPool   *budget.Pool
	repeat      bool
	waiter      admission.Waiter
	// running is set while it holds a slot, which it got at startedAt.
	running   bool
	startedAt time.Duration
	completed bool
	// nestedCalls counts the completed nested calls; nestedFailed is set if one failed.
	nestedCalls  int
	nestedFailed bool
	// pendingCall is the nested call in flight, or nil.
	pendingCall *call
	onComplete  func(outcome)
	// onPowerLoss is called if the node loses power, if not nil.
	onPowerLoss func()
}

// accept submits a call to the node's limiter: it starts, queues or refuses it.
func (n *node) accept(c *call, retryPool *budget.Pool, repeat bool, onComplete func(outcome)) *execution {
	sim := n.sim
	sim.lastExecution++
	e := &execution{number: sim.lastExecution, node: n, incarnation: n.incarnation, call: c, retryPool: retryPool, repeat: repeat, onComplete: onComplete}
	sim.executions[e] = true
	e.waiter.Request = admission.Request{
		Rank: c.rank, Depth: c.depth, Kind: c.kind.index, Deadline: c.deadline, DownstreamOverloaded: n.nestedLevels.Level(c.rootKind.Name, sim.now) > 0,
	}
	d := n.limiter.Arrive(sim.now, &e.waiter)
	if evicted := n.queued[d.Evicted]; d.Evicted != nil {
		delete(n.queued, d.Evicted)
		evicted.refuse(fault.Overload)
	}
	switch d.Verdict {
	case admission.Admitted:
		e.start()
	case admission.Refused:
		e.refuse(d.Code)
	case admission.Enqueued:
		n.queued[&e.waiter] = e
		sim.schedule(e.waiter.QueueDeadline()-sim.now, func() { e.leaveQueue(fault.QueueTimeout) })
	}
	return e
}

// leaveQueue removes a queued execution and refuses it with the code.
func (e *execution) leaveQueue(code fault.Code) {
	if e.completed || e.running || e.incarnation != e.node.incarnation || !e.node.limiter.RemoveWaiter(e.node.sim.now, &e.waiter) {
		return
	}
	delete(e.node.queued, &e.waiter)
	e.refuse(code)
}

// refuse ends an execution that was not started.
func (e *execution) refuse(code fault.Code) {
	e.complete(outcome{code: code, execution: fault.NotExecuted, admissionLevel: e.node.limiter.Level()})
}

// start executes the call in a slot, or rejects it.
func (e *execution) start() {
	n, sim := e.node, e.node.sim
	e.running, e.startedAt = true, sim.now
	n.server.inFlight++
	if !e.recordArrival() {
		e.releaseSlot(admission.Outcome{})
		e.refuse(fault.RetryBudgetSpent)
		return
	}
	if sim.rng.Float64() < n.server.rejectFraction {
		// A rejection by the server itself is immediate.
		e.releaseSlot(admission.Outcome{Pushback: true})
		e.complete(outcome{code: fault.Rejected, execution: fault.NotExecuted, offered: true, report: route.Outcome{Rejected: true}})
		return
	}
	sim.schedule(n.server.drawServiceTime(sim.rng, e.call.kind.RequestKind), func() {
		if e.isActive() {
			e.startNextCall(0, 0)
		}
	})
}

// recordArrival counts the call as sent to the server, or returns false if it is a repeat
// beyond the ratio of the service.
func (e *execution) recordArrival() bool {
	n, sim := e.node, e.node.sim
	if !e.repeat {
		n.arrivals.RecordFirst(sim.now, sim.retryLimits)
	} else if n.arrivals.AllowRepeat(sim.now, e.call.rank, sim.retryLimits) {
		sim.result.recordRepeat(e.call.kind.Service, sim.now)
	} else {
		return false
	}
	n.server.arrivals = append(n.server.arrivals, sim.now)
	return true
}

// isActive reports whether neither the execution nor its node has ended.
func (e *execution) isActive() bool { return !e.completed && e.incarnation == e.node.incarnation }

// startNextCall makes the k-th call of the i-th entry of the kind's calls, or finishes
// the execution.
func (e *execution) startNextCall(i, k int) {
	calls := e.call.kind.Calls
	if i < len(calls) && k >= calls[i].Count {
		i, k = i+1, 0
	}
	if i >= len(calls) || e.nestedFailed {
		e.finish()
		return
	}
	n, sim := e.node, e.node.sim
	kind := sim.kinds[calls[i].Kind]
	c := &call{
		kind: kind, rootKind: e.call.rootKind, rank: e.call.rank, depth: uint8(min(255, int(e.call.depth)+1+e.nestedCalls)),
		fromRepeat: e.repeat, parent: e, retryPool: e.retryPool, deadline: min(e.call.deadline, sim.now+kind.Deadline),
		retryState: retry.Call{Replayable: true, Idempotent: kind.Idempotent, MaxOffered: kind.MaxOffered},
	}
	c.onComplete = func(o outcome) {
		if !e.isActive() {
			return
		}
		e.pendingCall = nil
		sim.result.recordNestedOutcome(kind, o)
		if !o.succeeded() {
			e.nestedFailed = true
		}
		e.startNextCall(i, k+1)
	}
	e.pendingCall = c
	n.startCall(c)
}

// finish completes an execution after its last nested call or a failed one.
func (e *execution) finish() {
	sim := e.node.sim
	took := sim.now - e.startedAt
	out := admission.Outcome{Kind: e.call.kind.index, ServiceTime: took}
	if e.nestedFailed {
		out.ServiceTime = 0
	}
	lost := sim.rng.Float64() < e.node.server.lossFraction
	e.releaseSlot(out)
	if lost {
		// The caller waits until its deadline.
		e.completed = true
		delete(sim.executions, e)
		return
	}
	e.complete(outcome{execution: fault.Executed, nestedFailed: e.nestedFailed, offered: true})
}

// releaseSlot frees the slot and starts queued executions.
func (e *execution) releaseSlot(o admission.Outcome) {
	n, sim := e.node, e.node.sim
	e.running = false
	n.server.inFlight--
	n.observeRateLimit()
	next, refused := n.limiter.Finish(sim.now, o, nil)
	for next != nil || len(refused) > 0 {
		for _, w := range refused {
			n.dequeue(w).refuse(w.Refusal())
		}
		if next != nil {
			n.dequeue(next).start()
		}
		next, refused = n.limiter.AdmitNext(sim.now, nil)
	}
}

// observeRateLimit reads the limit in a response of the local server.
func (n *node) observeRateLimit() {
	if limit := n.server.rateLimit; limit > 0 {
		n.limiter.Rate().Observe(n.sim.now, limit)
		return
	}
	n.limiter.Rate().ObserveNone(n.sim.now)
}

// dequeue removes and returns the execution of a waiter.
func (n *node) dequeue(x *admission.Waiter) *execution {
	e := n.queued[x]
	delete(n.queued, x)
	return e
}

// complete reports the outcome of the call with the node's load and levels.
func (e *execution) complete(o outcome) {
	if e.completed {
		return
	}
	e.completed = true
	n, sim := e.node, e.node.sim
	delete(sim.executions, e)
	g := n.limiter
	g.Tick(sim.now)
	o.report.HasLoad = true
	o.report.Level = max(g.Level(), g.Rate().Level(sim.now))
	o.report.InFlight = uint16(g.InFlight() + g.Queued())
	o.report.Limit = uint16(g.Limit())
	o.pathLevel = max(g.Level(), n.nestedLevels.Level(e.call.rootKind.Name, sim.now))
	e.onComplete(o)
}

// cancel ends an execution whose outcome is no longer needed.
func (e *execution) cancel() {
	if e.completed || e.incarnation != e.node.incarnation {
		return
	}
	e.onComplete = func(outcome) {}
	if !e.running {
		e.leaveQueue(fault.Canceled)
		return
	}
	if e.pendingCall != nil {
		e.pendingCall.onComplete = func(outcome) {}
		e.node.completeCall(e.pendingCall, outcome{code: fault.Canceled, execution: fault.ExecutionUnknown})
	}
	e.releaseSlot(admission.Outcome{Kind: e.call.kind.index, ServiceTime: e.node.sim.now - e.startedAt, Expired: true})
	e.complete(outcome{code: fault.Canceled, execution: fault.ExecutionUnknown})
}
