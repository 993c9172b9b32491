package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
)

// work is a call at the node beside the server that is to run it.
type work struct {
	n      *node
	boot   int
	call   *call
	pool   *budget.Pool
	repeat bool
	waiter admission.Waiter
	// running is set while it holds a slot, since when it does.
	running bool
	since   time.Duration
	ended   bool
	// finished counts the calls that it has made, and failed is set if one failed.
	finished int
	failed   bool
	// open is the call that it waits for.
	open *call
	done func(answer)
	// lost is run if the node loses power.
	lost func()
}

// accept takes a call in beside its server.
func (n *node) accept(c *call, pool *budget.Pool, repeat bool, done func(answer)) *work {
	p := n.p
	w := &work{n: n, boot: n.boot, call: c, pool: pool, repeat: repeat, done: done}
	p.works[w] = true
	w.waiter.Request = admission.Request{
		Rank: c.rank, Depth: c.depth, Kind: c.kind.index, Deadline: c.deadline, DownstreamOverloaded: n.nested.Level(c.root.Name, p.now) > 0,
	}
	d := n.guard.Arrive(p.now, &w.waiter)
	if evicted := n.waiting[d.Evicted]; d.Evicted != nil {
		delete(n.waiting, d.Evicted)
		evicted.refuse(fault.Overload)
	}
	switch d.Verdict {
	case admission.Admitted:
		w.start()
	case admission.Refused:
		w.refuse(d.Code)
	case admission.Enqueued:
		n.waiting[&w.waiter] = w
		p.after(w.waiter.QueueDeadline()-p.now, func() { w.giveUp(fault.QueueTimeout) })
	}
	return w
}

// giveUp ends a wait.
func (w *work) giveUp(code fault.Code) {
	if w.ended || w.running || w.boot != w.n.boot || !w.n.guard.RemoveWaiter(w.n.p.now, &w.waiter) {
		return
	}
	delete(w.n.waiting, &w.waiter)
	w.refuse(code)
}

func (w *work) refuse(code fault.Code) {
	w.end(answer{code: code, run: fault.NotExecuted, level: w.n.guard.Level()})
}

// start runs the work in a slot.
func (w *work) start() {
	n, p := w.n, w.n.p
	w.running, w.since = true, p.now
	n.server.busy++
	if p.rng.Float64() < n.server.shed {
		// The server's own word comes back at once.
		w.release(admission.Outcome{Pushback: true})
		w.end(answer{code: fault.Rejected, run: fault.NotExecuted, offered: true, report: route.Outcome{Rejected: true}})
		return
	}
	p.after(n.server.time(p.rng, w.call.kind.Kind), func() {
		if w.alive() {
			w.next(0, 0)
		}
	})
}

func (w *work) alive() bool { return !w.ended && w.boot == w.n.boot }

// next makes the next call, the k-th of the i-th sort, or ends the work.
func (w *work) next(i, k int) {
	calls := w.call.kind.Calls
	if i < len(calls) && k >= calls[i].Times {
		i, k = i+1, 0
	}
	if i >= len(calls) || w.failed {
		w.finish()
		return
	}
	n, p := w.n, w.n.p
	kind := p.kinds[calls[i].Kind]
	c := &call{
		kind: kind, root: w.call.root, rank: w.call.rank, depth: uint8(min(255, int(w.call.depth)+1+w.finished)),
		repeat: w.repeat, parent: w, pool: w.pool, deadline: min(w.call.deadline, p.now+kind.Deadline),
		state: retry.Call{Replayable: true, Idempotent: kind.Idempotent, MaxOffered: kind.OfferMax},
	}
	c.done = func(a answer) {
		if !w.alive() {
			return
		}
		w.open = nil
		p.res.nested(kind, a)
		if !a.ok() {
			w.failed = true
		}
		w.next(i, k+1)
	}
	w.open = c
	n.begin(c)
}

// finish ends work that ran to its end.
func (w *work) finish() {
	p := w.n.p
	took := p.now - w.since
	out := admission.Outcome{Kind: w.call.kind.index, ServiceTime: took}
	if w.failed {
		out.ServiceTime = 0
	}
	lost := p.rng.Float64() < w.n.server.lose
	w.release(out)
	if lost {
		// The caller waits for it to its deadline.
		w.ended = true
		delete(p.works, w)
		return
	}
	w.end(answer{run: fault.Executed, below: w.failed, offered: true})
}

// release frees the slot and starts who waited for it.
func (w *work) release(o admission.Outcome) {
	n, p := w.n, w.n.p
	w.running = false
	n.server.busy--
	next, late := n.guard.Finish(p.now, o, nil)
	for next != nil || len(late) > 0 {
		for _, l := range late {
			n.take(l).refuse(fault.Deadline)
		}
		if next != nil {
			n.take(next).start()
		}
		next, late = n.guard.AdmitNext(p.now, nil)
	}
}

// take takes a work out of those that wait.
func (n *node) take(x *admission.Waiter) *work {
	w := n.waiting[x]
	delete(n.waiting, x)
	return w
}

// end answers the call.
func (w *work) end(a answer) {
	if w.ended {
		return
	}
	w.ended = true
	n, p := w.n, w.n.p
	delete(p.works, w)
	g := n.guard
	g.Tick(p.now)
	a.report.HasLoad = true
	a.report.Level = g.Level()
	a.report.InFlight = uint16(g.InFlight() + g.Queued())
	a.report.Limit = uint16(g.Limit())
	a.path = max(g.Level(), n.nested.Level(w.call.root.Name, p.now))
	w.done(a)
}

// cancel ends work that nobody waits for.
func (w *work) cancel() {
	if w.ended || w.boot != w.n.boot {
		return
	}
	w.done = func(answer) {}
	if !w.running {
		w.giveUp(fault.Canceled)
		return
	}
	if w.open != nil {
		w.open.done = func(answer) {}
		w.n.end(w.open, answer{code: fault.Canceled, run: fault.ExecutionUnknown})
	}
	w.release(admission.Outcome{Kind: w.call.kind.index, ServiceTime: w.n.p.now - w.since, Expired: true})
	w.end(answer{code: fault.Canceled, run: fault.ExecutionUnknown})
}
