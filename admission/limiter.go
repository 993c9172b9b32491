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

	enqueuedAt    time.Duration
	queueDeadline time.Duration
	index         int
}

// GiveUp returns when the waiter's time in the queue is over.
func (w *Waiter) QueueDeadline() time.Duration { return w.queueDeadline }

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
	opt                Options
	limit              float64
	inflight           int
	queue              waitQueue
	ctl                levelController
	minServiceTime     [MaxKinds]quantileEstimate
	typicalServiceTime [MaxKinds]quantileEstimate
	search             limitSearch
	// service is a moving mean of the time in the backend server.
	meanServiceTime time.Duration
}

// New returns a guard with all slots free.
func New(o Options) *Limiter {
	l := &Limiter{}
	l.SetOptions(o)
	l.limit = float64(l.opt.Slots)
	return l
}

// SetOptions takes over new settings; requests in flight are kept.
func (l *Limiter) SetOptions(o Options) {
	o.Slots = max(o.Slots, 1)
	o.Window = max(o.Window, time.Millisecond)
	grown := o.Slots > l.opt.Slots
	l.opt = o
	if grown || l.limit > float64(o.Slots) {
		l.limit = float64(o.Slots)
	}
}

// Level returns the admission level in force.
func (l *Limiter) Level() rank.Level { return l.ctl.level }

// Limit returns the concurrency limit in force.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of slots taken.
func (l *Limiter) InFlight() int { return l.inflight }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return len(l.queue) }

// Arrive decides over a request. If the verdict is Wait, the guard keeps w
// until it comes back from Done or Expire, or as Evicted.
func (l *Limiter) Arrive(now time.Duration, w *Waiter) Decision {
	l.Tick(now)
	r := w.Request
	if l.opt.Mode == ModeOff {
		l.inflight++
		return Decision{Verdict: Admitted}
	}
	if r.Deadline <= now {
		return Decision{Code: fault.Deadline}
	}
	if l.opt.Mode == ModeFull {
		l.ctl.recordArrival(r.Rank)
		if !l.ctl.level.Admits(r.Rank, r.Depth) {
			return Decision{Code: fault.Overload}
		}
		if now+l.requiredTime(r) > r.Deadline {
			return Decision{Code: fault.Deadline}
		}
	}
	if l.inflight < int(l.limit) && len(l.queue) == 0 {
		l.ctl.recordWait(0)
		l.acquireSlot(now)
		return Decision{Verdict: Admitted}
	}
	return l.enqueue(now, w)
}

func (l *Limiter) enqueue(now time.Duration, w *Waiter) Decision {
	var evicted *Waiter
	if len(l.queue) >= l.opt.QueueMax {
		l.ctl.recordOverflow()
		evicted = l.queue.last()
		if evicted == nil || !w.outranks(evicted) {
			return Decision{Code: fault.Overload}
		}
		l.queue.remove(evicted)
	}
	w.enqueuedAt = now
	w.queueDeadline = min(now+l.maxWait(), w.Request.Deadline-l.requiredTime(w.Request))
	l.queue.push(w)
	return Decision{Verdict: Enqueued, Evicted: evicted}
}

// Expire takes a waiter out of the queue because its time is over or its
// caller left. It reports false if the waiter has already been admitted or
// evicted, in which case that verdict stands.
func (l *Limiter) RemoveWaiter(now time.Duration, w *Waiter) bool {
	if !l.queue.contains(w) {
		return false
	}
	l.queue.remove(w)
	l.ctl.recordWait(now - w.enqueuedAt)
	l.ctl.recordOverflow()
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
func (l *Limiter) Finish(now time.Duration, o Outcome, late []*Waiter) (*Waiter, []*Waiter) {
	l.ctl.updateUtilization(now, l.inflight, l.limit)
	full := l.inflight >= int(l.limit) && len(l.queue) > 0
	l.inflight--
	l.ctl.recordFinish()
	l.recordServiceTime(o)
	if full && o.ServiceTime > 0 && !o.Expired {
		l.updateLimitSearch(now, o)
	}
	if o.Pushback && float64(l.inflight+1) >= pushbackMinUtilization*float64(l.opt.Slots) {
		l.ctl.pushback = true
	}
	l.Tick(now)
	return l.admitWaiter(now, late)
}

// timed takes in a request that ran while all slots were taken, and follows the
// search to the next limit at once.
func (l *Limiter) updateLimitSearch(now time.Duration, o Outcome) {
	before := l.search.maxLimit(l.opt.Slots)
	l.search.recordFinish(now, o.Kind, o.ServiceTime, l.opt.Slots)
	if after := l.search.maxLimit(l.opt.Slots); l.limit >= before || l.limit > after {
		l.limit = after
	}
}

// next admits the best waiter that can still finish, if a slot is free.
func (l *Limiter) admitWaiter(now time.Duration, late []*Waiter) (*Waiter, []*Waiter) {
	for l.inflight < int(l.limit) && len(l.queue) > 0 {
		w := l.queue.pop()
		l.ctl.recordWait(now - w.enqueuedAt)
		if now+l.requiredTime(w.Request) > w.Request.Deadline {
			late = append(late, w)
			continue
		}
		l.acquireSlot(now)
		return w, late
	}
	return nil, late
}

// Next admits one more waiter after the limit has grown; the shell calls it
// until it returns nil.
func (l *Limiter) AdmitNext(now time.Duration, late []*Waiter) (*Waiter, []*Waiter) {
	return l.admitWaiter(now, late)
}

// learn takes in how long a request took. One that was given up tells only
// that its kind may need longer.
func (l *Limiter) recordServiceTime(o Outcome) {
	if o.ServiceTime <= 0 {
		return
	}
	i := o.Kind % MaxKinds
	if o.Expired {
		if o.ServiceTime > l.typicalServiceTime[i].value {
			l.typicalServiceTime[i].observe(o.ServiceTime, typicalServiceQuantile)
		}
		return
	}
	l.minServiceTime[i].observe(o.ServiceTime, minServiceQuantile)
	l.typicalServiceTime[i].observe(o.ServiceTime, typicalServiceQuantile)
	l.meanServiceTime += (o.ServiceTime - l.meanServiceTime) / meanServiceWeight
}

const (
	minServiceQuantile     = 0.1
	typicalServiceQuantile = 0.75
	// serviceKeep is the weight of the old mean service time.
	meanServiceWeight = 32
	// targetFactor is the mean wait, in service times, at which the slots are
	// kept busy by chance arrivals without a queue that only adds latency.
	targetWaitFactor = 0.75
	// waitFactor is the longest wait in service times.
	maxWaitFactor = 4
	// minMaxWait is the least that the longest wait is shortened to.
	minMaxWait = 50 * time.Millisecond
)

// target is the mean wait above which the level rises.
func (l *Limiter) targetWait() time.Duration {
	return max(l.opt.QueueTarget, time.Duration(targetWaitFactor*float64(l.meanServiceTime)))
}

// maxWait is the longest that a request may wait.
func (l *Limiter) maxWait() time.Duration {
	if l.opt.Mode != ModeFull || l.meanServiceTime == 0 {
		return l.opt.QueueWait
	}
	return min(l.opt.QueueWait, max(minMaxWait, maxWaitFactor*l.meanServiceTime))
}

func (l *Limiter) acquireSlot(now time.Duration) {
	l.ctl.updateUtilization(now, l.inflight, l.limit)
	l.inflight++
}

// need is the time that a request must have left to be worth running: a low
// quantile of the service time of its kind, below which it will almost surely
// not finish, or, where others wait for the slot, a high one.
func (l *Limiter) requiredTime(r Request) time.Duration {
	if l.opt.Mode != ModeFull {
		return 0
	}
	i := r.Kind % MaxKinds
	if r.DownstreamOverloaded || len(l.queue) > 0 {
		return l.typicalServiceTime[i].value
	}
	return l.minServiceTime[i].value
}

// Tick closes the control window if it has passed. The guard calls it on
// every event; the shell calls it when there is no traffic.
func (l *Limiter) Tick(now time.Duration) {
	if l.opt.Mode != ModeFull || !l.ctl.windowComplete(now, l.opt.Window) {
		return
	}
	l.ctl.updateUtilization(now, l.inflight, l.limit)
	l.adjustLimit()
	for i := range l.typicalServiceTime {
		l.minServiceTime[i].decay()
		l.typicalServiceTime[i].decay()
	}
	l.ctl.closeWindow(now, l.opt.Window, l.targetWait(), l.maxWait())
}

// pushbackFrom is the share of the declared slots that must be taken for a
// rejection to speak of overload. A server that turns requests away with most
// of its slots free has another fault, which a lower limit does not mend: it
// would only turn away what the server still takes.
const pushbackMinUtilization = 0.5

// limitDecrease is the factor by which the limit falls in a window in which
// the backend server pushed back.
const limitDecrease = 0.9

// adjustLimit moves the concurrency limit: down when the backend server says
// that it is overloaded, up by one slot a window until what the search has
// found, at most the declared slots.
func (l *Limiter) adjustLimit() {
	slots := float64(l.opt.Slots)
	if l.ctl.pushback {
		l.search.abortTrial()
		l.limit = max(1, l.limit*limitDecrease)
		return
	}
	l.limit = min(l.search.maxLimit(l.opt.Slots), l.limit+max(1, slots/16))
}
