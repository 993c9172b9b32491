// Package admission decides which requests a backend server executes, queues or
// refuses. It is a pure state machine: events and the time go in, decisions come
// out. It does no I/O, reads no clock and starts no goroutine.
//
// A Limiter controls the load of one backend server. It has a concurrency limit of
// at most the declared slots, a short queue ordered by class, completed work and
// deadline, and an admission level. Every answer carries the level back to
// callers, so that requests below it are refused at the entry node, before any
// work is done for them.
package admission

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Mode selects the admission policy: the full one or a simpler baseline for
// comparison.
type Mode uint8

const (
	// ModeFull applies the adaptive limit, the queue and the admission level.
	ModeFull Mode = iota
	// ModeStatic applies only the declared slots and a bounded queue.
	ModeStatic
	// ModeOff admits everything at once.
	ModeOff
)

// Options configures a Limiter.
type Options struct {
	// Mode is the admission policy.
	Mode Mode
	// Slots is the backend server's declared concurrency, at least 1.
	Slots int
	// QueueMax is the maximum number of queued requests.
	QueueMax int
	// QueueWait is the maximum time in the queue. A much shorter service time
	// reduces it; see maxWaitFactor.
	QueueWait time.Duration
	// QueueTarget is the minimum mean wait above which the level rises. A long
	// service time increases it; see targetWaitFactor.
	QueueTarget time.Duration
	// Window is the period of the level and limit adjustments.
	Window time.Duration
}

// Request describes an arriving request.
type Request struct {
	// Rank is the request's position in the shedding order.
	Rank rank.Rank
	// Depth measures the work already done for the request: its hops and the
	// calls that its caller has made for it.
	Depth uint8
	// DownstreamOverloaded is set if a service further down is overloaded. The
	// request then needs a typical service time left instead of a minimal one.
	DownstreamOverloaded bool
	// Kind selects the service time estimate; the limiter uses it modulo
	// MaxKinds.
	Kind uint8
	// Deadline is the time after which the answer is useless, on the limiter's
	// clock.
	Deadline time.Duration
}

// MaxKinds is the number of service time estimates.
const MaxKinds = 64

// Waiter is a queued request. The caller owns it and identifies it by its
// pointer; Limiter sets its unexported fields.
type Waiter struct {
	// Request is the queued request.
	Request Request
	// Wake is the channel on which the caller waits for the result. Limiter does
	// not use it.
	Wake chan fault.Code

	enqueuedAt    time.Duration
	queueDeadline time.Duration
	index         int
	// refusal is the reason for which Finish or AdmitNext refuses the waiter.
	refusal fault.Code
}

// Refusal returns the reason for which Finish or AdmitNext refused the waiter.
func (w *Waiter) Refusal() fault.Code { return w.refusal }

// QueueDeadline returns the time at which the waiter must leave the queue.
func (w *Waiter) QueueDeadline() time.Duration { return w.queueDeadline }

// Verdict is the result of an arrival.
type Verdict uint8

const (
	// Refused means that the request must not be executed.
	Refused Verdict = iota
	// Admitted means that the request takes a slot now.
	Admitted
	// Enqueued means that the request waits in the queue.
	Enqueued
)

// Decision is a verdict with its reason and side effect.
type Decision struct {
	// Verdict is the result for the arriving request.
	Verdict Verdict
	// Code is the reason for a refusal.
	Code fault.Code
	// Evicted is the waiter that lost its place to the request, or nil. The
	// caller must refuse it with fault.Overload.
	Evicted *Waiter
}

// Limiter is the admission state of one backend server. It is not safe for
// concurrent use; the caller holds a lock around each call.
type Limiter struct {
	opt                Options
	limit              float64
	inflight           int
	queue              waitQueue
	ctl                levelController
	minServiceTime     [MaxKinds]quantileEstimate
	typicalServiceTime [MaxKinds]quantileEstimate
	search             limitSearch
	rate               RateLimit
	// meanServiceTime is an exponential moving average of the service time.
	meanServiceTime time.Duration
}

// New returns a limiter with all slots free.
func New(o Options) *Limiter {
	l := &Limiter{}
	l.SetOptions(o)
	l.limit = float64(l.opt.Slots)
	return l
}

// SetOptions applies new options. Requests in flight keep their slots.
func (l *Limiter) SetOptions(o Options) {
	o.Slots = max(o.Slots, 1)
	o.Window = max(o.Window, time.Millisecond)
	moreSlots := o.Slots > l.opt.Slots
	l.opt = o
	if moreSlots || l.limit > float64(o.Slots) {
		l.limit = float64(o.Slots)
	}
}

// Level returns the current admission level.
func (l *Limiter) Level() rank.Level { return l.ctl.level }

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of slots taken.
func (l *Limiter) InFlight() int { return l.inflight }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return len(l.queue) }

// Rate returns the limit that the backend server names in its answers.
func (l *Limiter) Rate() *RateLimit { return &l.rate }

// Arrive decides on a request. If the verdict is Enqueued, the limiter retains w
// until Finish or AdmitNext returns it, RemoveWaiter removes it, or a decision
// names it as Evicted.
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
	if !l.rate.Admits(now, r.Rank, r.Depth) {
		return Decision{Code: fault.RateLimited}
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

// enqueue adds w to the queue. If the queue is full, w replaces the last waiter or
// is refused.
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

// RemoveWaiter removes a waiter from the queue because its time is over or its
// caller left. It returns false if the waiter has already been admitted, refused
// or evicted; that result stands.
func (l *Limiter) RemoveWaiter(now time.Duration, w *Waiter) bool {
	if !l.queue.contains(w) {
		return false
	}
	l.queue.remove(w)
	l.ctl.recordWait(now - w.enqueuedAt)
	l.ctl.recordOverflow()
	return true
}

// Outcome describes how a request that held a slot ended.
type Outcome struct {
	// Kind is the Kind of the request.
	Kind uint8
	// ServiceTime is the time at the backend server, or zero if the request did
	// not reach it.
	ServiceTime time.Duration
	// Expired is set if the request was abandoned, so that ServiceTime is only a
	// lower bound.
	Expired bool
	// Pushback is set if the backend server itself signaled overload.
	Pushback bool
}

// Finish frees the slot of a request and returns the waiter that takes it, or nil.
// Waiters that can no longer finish in time, or that the server's rate limit excludes, are
// appended to refused; the caller must refuse them with their Refusal.
func (l *Limiter) Finish(now time.Duration, o Outcome, refused []*Waiter) (*Waiter, []*Waiter) {
	l.ctl.updateUtilization(now, l.inflight, l.limit)
	saturated := l.inflight >= int(l.limit) && len(l.queue) > 0
	l.inflight--
	l.ctl.recordFinish()
	l.recordServiceTime(o)
	if saturated && o.ServiceTime > 0 && !o.Expired {
		l.updateLimitSearch(now, o)
	}
	if o.Pushback && float64(l.inflight+1) >= pushbackMinUtilization*float64(l.opt.Slots) {
		l.ctl.pushback = true
	}
	l.Tick(now)
	return l.admitWaiter(now, refused)
}

// updateLimitSearch records a request that finished under full load and applies a
// change of the searched limit at once.
func (l *Limiter) updateLimitSearch(now time.Duration, o Outcome) {
	before := l.search.maxLimit(l.opt.Slots)
	l.search.recordFinish(now, o.Kind, o.ServiceTime, l.opt.Slots)
	if after := l.search.maxLimit(l.opt.Slots); l.limit >= before || l.limit > after {
		l.limit = after
	}
}

// admitWaiter admits the first waiter that can still finish in time, if a slot is
// free. Waiters that cannot, or that the rate limit excludes, are appended to refused.
func (l *Limiter) admitWaiter(now time.Duration, refused []*Waiter) (*Waiter, []*Waiter) {
	for l.inflight < int(l.limit) && len(l.queue) > 0 {
		w := l.queue.pop()
		l.ctl.recordWait(now - w.enqueuedAt)
		w.refusal = l.refusalFromQueue(now, w.Request)
		if w.refusal != fault.None {
			refused = append(refused, w)
			continue
		}
		l.acquireSlot(now)
		return w, refused
	}
	return nil, refused
}

// refusalFromQueue returns the reason to refuse a request that has waited for a slot, or None.
func (l *Limiter) refusalFromQueue(now time.Duration, r Request) fault.Code {
	switch {
	case now+l.requiredTime(r) > r.Deadline:
		return fault.Deadline
	case !l.rate.Admits(now, r.Rank, r.Depth):
		return fault.RateLimited
	default:
		return fault.None
	}
}

// AdmitNext admits one more waiter after the limit has grown. The caller repeats
// it until it returns nil, and refuses the waiters in refused with their Refusal.
func (l *Limiter) AdmitNext(now time.Duration, refused []*Waiter) (*Waiter, []*Waiter) {
	return l.admitWaiter(now, refused)
}

// recordServiceTime updates the service time estimates. An expired request can
// only raise the typical service time of its kind.
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
	l.meanServiceTime += (o.ServiceTime - l.meanServiceTime) / meanServiceDivisor
}

const (
	minServiceQuantile     = 0.1
	typicalServiceQuantile = 0.75
	// meanServiceDivisor is the divisor of a new sample in the mean service time.
	meanServiceDivisor = 32
	// targetWaitFactor is the target wait in mean service times. At this wait
	// random arrivals keep the slots busy without needless queueing.
	targetWaitFactor = 0.75
	// maxWaitFactor is the maximum wait in mean service times.
	maxWaitFactor = 4
	// minMaxWait is the lower bound of a maximum wait reduced by maxWaitFactor.
	minMaxWait = 50 * time.Millisecond
)

// targetWait returns the mean wait above which the level rises.
func (l *Limiter) targetWait() time.Duration {
	return max(l.opt.QueueTarget, time.Duration(targetWaitFactor*float64(l.meanServiceTime)))
}

// maxWait returns the maximum time in the queue.
func (l *Limiter) maxWait() time.Duration {
	if l.opt.Mode != ModeFull || l.meanServiceTime == 0 {
		return l.opt.QueueWait
	}
	return min(l.opt.QueueWait, max(minMaxWait, maxWaitFactor*l.meanServiceTime))
}

func (l *Limiter) acquireSlot(now time.Duration) {
	l.ctl.updateUtilization(now, l.inflight, l.limit)
	l.inflight++
	l.rate.Take(now)
}

// requiredTime returns the time that must remain until the deadline for r to be
// worth executing: the minimum service time of its kind, or the typical one while
// others wait for a slot or a downstream service is overloaded.
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

// Tick closes the control window if it is complete. Arrive and Finish call it; the
// caller calls it when there is no traffic.
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

// pushbackMinUtilization is the minimum fraction of the declared slots in use for
// pushback to count as overload. A server that rejects requests with most slots
// free has another fault, which a lower limit does not cure.
const pushbackMinUtilization = 0.5

// limitDecrease is the factor applied to the limit after a window with pushback.
const limitDecrease = 0.9

// adjustLimit lowers the concurrency limit after pushback; otherwise it raises it
// by a sixteenth of the declared slots, at least one, up to the searched limit.
func (l *Limiter) adjustLimit() {
	slots := float64(l.opt.Slots)
	if l.ctl.pushback {
		l.search.abortTrial()
		l.limit = max(1, l.limit*limitDecrease)
		return
	}
	l.limit = min(l.search.maxLimit(l.opt.Slots), l.limit+max(1, slots/16))
}
