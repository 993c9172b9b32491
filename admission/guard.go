// Package admission decides which requests a backend server runs, which wait
// and which are refused. It is a pure state machine: events and the time go
// in, decisions come out; it does no I/O, reads no clock and starts no
// goroutine.
//
// A Guard stands beside one backend server. It holds a concurrency limit of
// at most the declared slots, a short queue ordered by class and then by
// deadline, and an admission level. The level goes back to callers on every
// answer, so that requests below it are refused at the entry, before any work
// is done for them.
package admission

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Mode chooses between the full policy and the baselines it is measured by.
type Mode uint8

const (
	// ModeFull applies limit, queue and level.
	ModeFull Mode = iota
	// ModeStatic applies the declared slots and a bounded FIFO-by-class queue only.
	ModeStatic
	// ModeOff admits everything at once.
	ModeOff
)

// Options are the guard's settings.
type Options struct {
	// Mode is the policy in force.
	Mode Mode
	// Slots is the backend server's declared concurrency, at least 1.
	Slots int
	// QueueMax is how many requests may wait.
	QueueMax int
	// QueueWait is the longest that a request may wait; a service time that
	// is much shorter makes it shorter, see waitFactor.
	QueueWait time.Duration
	// QueueTarget is the least mean wait above which the level rises; a long
	// service time raises it, see targetFactor.
	QueueTarget time.Duration
	// Window is the period of the control loop.
	Window time.Duration
}

// Request is what the guard needs to know of an arriving request.
type Request struct {
	// Rank is the request's place in the order of shedding.
	Rank rank.Rank
	// Depth is the work already behind the request: its hops, and the calls
	// that its caller has made for it.
	Depth uint8
	// Busy is set if a service further down is overloaded, so that work for
	// a request that will not finish is taken from others.
	DownstreamOverloaded bool
	// Kind indexes the estimate of the service time, below MaxKinds.
	Kind uint8
	// Deadline is when the answer is worthless, on the guard's clock.
	Deadline time.Duration
}

// MaxKinds bounds the kinds with a service time estimate of their own.
const MaxKinds = 64

// Waiter is a request in the queue. The caller owns it and passes the same
// pointer back; Guard sets its fields.
type Waiter struct {
	// Request is the waiting request.
	Request Request
	// Wake is where the shell waits; the guard never touches it.
	Wake chan fault.Code

	since  time.Duration
	giveUp time.Duration
	index  int
}

// GiveUp returns when the waiter's time in the queue is over.
func (w *Waiter) QueueDeadline() time.Duration { return w.giveUp }

// Verdict is the answer to an arrival.
type Verdict uint8

const (
	// Refuse means that the request must be refused, not run.
	Refused Verdict = iota
	// Admit means that the request takes a slot now.
	Admitted
	// Wait means that the request was queued.
	Enqueued
)

// Decision is a verdict and its reason.
type Decision struct {
	// Verdict is what to do.
	Verdict Verdict
	// Code is the reason of a refusal.
	Code fault.Code
	// Evicted is a waiter of lower rank that lost its place, or nil. It must
	// be refused with fault.Overload.
	Evicted *Waiter
}

// Guard is the admission state of one backend server. It is not safe for
// concurrent use: the shell holds one lock around each call, which takes
// well under a microsecond.
type Limiter struct {
	opt      Options
	limit    float64
	inflight int
	queue    waitQueue
	ctl      controller
	least    [MaxKinds]quantile
	typical  [MaxKinds]quantile
	search   limitSearch
	// service is a moving mean of the time in the backend server.
	service time.Duration
}

// New returns a guard with all slots free.
func New(o Options) *Limiter {
	g := &Limiter{}
	g.SetOptions(o)
	g.limit = float64(g.opt.Slots)
	return g
}

// SetOptions takes over new settings; requests in flight are kept.
func (g *Limiter) SetOptions(o Options) {
	o.Slots = max(o.Slots, 1)
	o.Window = max(o.Window, time.Millisecond)
	grown := o.Slots > g.opt.Slots
	g.opt = o
	if grown || g.limit > float64(o.Slots) {
		g.limit = float64(o.Slots)
	}
}

// Level returns the admission level in force.
func (g *Limiter) Level() rank.Level { return g.ctl.level }

// Limit returns the concurrency limit in force.
func (g *Limiter) Limit() int { return int(g.limit) }

// InFlight returns the number of slots taken.
func (g *Limiter) InFlight() int { return g.inflight }

// Queued returns the number of waiting requests.
func (g *Limiter) Queued() int { return len(g.queue) }

// Arrive decides over a request. If the verdict is Wait, the guard keeps w
// until it comes back from Done or Expire, or as Evicted.
func (g *Limiter) Arrive(now time.Duration, w *Waiter) Decision {
	g.Tick(now)
	r := w.Request
	if g.opt.Mode == ModeOff {
		g.inflight++
		return Decision{Verdict: Admitted}
	}
	if r.Deadline <= now {
		return Decision{Code: fault.Deadline}
	}
	if g.opt.Mode == ModeFull {
		g.ctl.arrive(r.Rank)
		if !g.ctl.level.Admits(r.Rank, r.Depth) {
			return Decision{Code: fault.Overload}
		}
		if now+g.need(r) > r.Deadline {
			return Decision{Code: fault.Deadline}
		}
	}
	if g.inflight < int(g.limit) && len(g.queue) == 0 {
		g.ctl.waited(0)
		g.take(now)
		return Decision{Verdict: Admitted}
	}
	return g.enqueue(now, w)
}

func (g *Limiter) enqueue(now time.Duration, w *Waiter) Decision {
	var evicted *Waiter
	if len(g.queue) >= g.opt.QueueMax {
		g.ctl.overflow()
		evicted = g.queue.lowest()
		if evicted == nil || !w.outranks(evicted) {
			return Decision{Code: fault.Overload}
		}
		g.queue.remove(evicted)
	}
	w.since = now
	w.giveUp = min(now+g.maxWait(), w.Request.Deadline-g.need(w.Request))
	g.queue.push(w)
	return Decision{Verdict: Enqueued, Evicted: evicted}
}

// Expire takes a waiter out of the queue because its time is over or its
// caller left. It reports false if the waiter has already been admitted or
// evicted, in which case that verdict stands.
func (g *Limiter) RemoveWaiter(now time.Duration, w *Waiter) bool {
	if !g.queue.holds(w) {
		return false
	}
	g.queue.remove(w)
	g.ctl.waited(now - w.since)
	g.ctl.overflow()
	return true
}

// Outcome tells the guard how a request that held a slot ended.
type Outcome struct {
	// Kind is the request's kind index.
	Kind uint8
	// Took is the time in the backend server; zero if it never got there.
	ServiceTime time.Duration
	// Expired is set if the request was given up after Took, so that Took is
	// only the least that it would have needed.
	Expired bool
	// Pushback is set if the backend server itself signalled overload.
	Pushback bool
}

// Done frees the slot of a request and returns the waiter that takes it, or
// nil. Waiters that can no longer finish in time are appended to late; they
// must be refused with fault.Deadline.
func (g *Limiter) Finish(now time.Duration, o Outcome, late []*Waiter) (*Waiter, []*Waiter) {
	g.ctl.account(now, g.inflight, g.limit)
	full := g.inflight >= int(g.limit) && len(g.queue) > 0
	g.inflight--
	g.ctl.done()
	g.learn(o)
	if full && o.ServiceTime > 0 && !o.Expired {
		g.timed(now, o)
	}
	if o.Pushback && float64(g.inflight+1) >= pushbackFrom*float64(g.opt.Slots) {
		g.ctl.pushback = true
	}
	g.Tick(now)
	return g.next(now, late)
}

// timed takes in a request that ran while all slots were taken, and follows the
// search to the next limit at once.
func (g *Limiter) timed(now time.Duration, o Outcome) {
	before := g.search.ceiling(g.opt.Slots)
	g.search.finish(now, o.Kind, o.ServiceTime, g.opt.Slots)
	if after := g.search.ceiling(g.opt.Slots); g.limit >= before || g.limit > after {
		g.limit = after
	}
}

// next admits the best waiter that can still finish, if a slot is free.
func (g *Limiter) next(now time.Duration, late []*Waiter) (*Waiter, []*Waiter) {
	for g.inflight < int(g.limit) && len(g.queue) > 0 {
		w := g.queue.pop()
		g.ctl.waited(now - w.since)
		if now+g.need(w.Request) > w.Request.Deadline {
			late = append(late, w)
			continue
		}
		g.take(now)
		return w, late
	}
	return nil, late
}

// Next admits one more waiter after the limit has grown; the shell calls it
// until it returns nil.
func (g *Limiter) AdmitNext(now time.Duration, late []*Waiter) (*Waiter, []*Waiter) {
	return g.next(now, late)
}

// learn takes in how long a request took. One that was given up tells only
// that its kind may need longer.
func (g *Limiter) learn(o Outcome) {
	if o.ServiceTime <= 0 {
		return
	}
	i := o.Kind % MaxKinds
	if o.Expired {
		if o.ServiceTime > g.typical[i].value {
			g.typical[i].observe(o.ServiceTime, typicalQuantile)
		}
		return
	}
	g.least[i].observe(o.ServiceTime, leastQuantile)
	g.typical[i].observe(o.ServiceTime, typicalQuantile)
	g.service += (o.ServiceTime - g.service) / serviceKeep
}

const (
	leastQuantile   = 0.1
	typicalQuantile = 0.75
	// serviceKeep is the weight of the old mean service time.
	serviceKeep = 32
	// targetFactor is the mean wait, in service times, at which the slots are
	// kept busy by chance arrivals without a queue that only adds latency.
	targetFactor = 0.75
	// waitFactor is the longest wait in service times.
	waitFactor = 4
	// minMaxWait is the least that the longest wait is shortened to.
	minMaxWait = 50 * time.Millisecond
)

// target is the mean wait above which the level rises.
func (g *Limiter) target() time.Duration {
	return max(g.opt.QueueTarget, time.Duration(targetFactor*float64(g.service)))
}

// maxWait is the longest that a request may wait.
func (g *Limiter) maxWait() time.Duration {
	if g.opt.Mode != ModeFull || g.service == 0 {
		return g.opt.QueueWait
	}
	return min(g.opt.QueueWait, max(minMaxWait, waitFactor*g.service))
}

func (g *Limiter) take(now time.Duration) {
	g.ctl.account(now, g.inflight, g.limit)
	g.inflight++
}

// need is the time that a request must have left to be worth running: a low
// quantile of the service time of its kind, below which it will almost surely
// not finish, or, where others wait for the slot, a high one.
func (g *Limiter) need(r Request) time.Duration {
	if g.opt.Mode != ModeFull {
		return 0
	}
	i := r.Kind % MaxKinds
	if r.DownstreamOverloaded || len(g.queue) > 0 {
		return g.typical[i].value
	}
	return g.least[i].value
}

// Tick closes the control window if it has passed. The guard calls it on
// every event; the shell calls it when there is no traffic.
func (g *Limiter) Tick(now time.Duration) {
	if g.opt.Mode != ModeFull || !g.ctl.due(now, g.opt.Window) {
		return
	}
	g.ctl.account(now, g.inflight, g.limit)
	g.adjustLimit()
	for i := range g.typical {
		g.least[i].fade()
		g.typical[i].fade()
	}
	g.ctl.close(now, g.opt.Window, g.target(), g.maxWait())
}

// pushbackFrom is the share of the declared slots that must be taken for a
// rejection to speak of overload. A server that turns requests away with most
// of its slots free has another fault, which a lower limit does not mend: it
// would only turn away what the server still takes.
const pushbackFrom = 0.5

// limitDecrease is the factor by which the limit falls in a window in which
// the backend server pushed back.
const limitDecrease = 0.9

// adjustLimit moves the concurrency limit: down when the backend server says
// that it is overloaded, up by one slot a window until what the search has
// found, at most the declared slots.
func (g *Limiter) adjustLimit() {
	slots := float64(g.opt.Slots)
	if g.ctl.pushback {
		g.search.interrupt()
		g.limit = max(1, g.limit*limitDecrease)
		return
	}
	g.limit = min(g.search.ceiling(g.opt.Slots), g.limit+max(1, slots/16))
}
