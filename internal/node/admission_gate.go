package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/rank"
)

// admissionGate makes the admission limiter of the local backend server safe for concurrent
// use. Queued requests wait on their own goroutines.
type admissionGate struct {
	clock func() time.Duration

	// rateLimited is set while a rate limit of the backend server is in use.
	rateLimited atomic.Bool

	mu      sync.Mutex
	limiter *admission.Limiter
	// refused is scratch space for waiters that get no slot.
	refused []*admission.Waiter
}

// newAdmissionGate returns a gate with one slot, until setOptions sets the real options.
func newAdmissionGate(clock func() time.Duration) *admissionGate {
	return &admissionGate{clock: clock, limiter: admission.New(admission.Options{Slots: 1})}
}

// waiterPool holds waiters for reuse.
var waiterPool = sync.Pool{New: func() any {
	return &admission.Waiter{Wake: make(chan fault.Code, 1)}
}}

// setOptions applies new options and admits the waiters that fit.
func (g *admissionGate) setOptions(o admission.Options) {
	g.mu.Lock()
	g.limiter.SetOptions(o)
	g.admitWaiting(g.clock())
	g.mu.Unlock()
}

// acquire takes a slot, waiting in the queue if necessary, and returns None on success. After
// any other code the request was certainly not executed.
func (g *admissionGate) acquire(s *scope.Scope, r admission.Request) fault.Code {
	w := waiterPool.Get().(*admission.Waiter)
	w.Request = r
	g.mu.Lock()
	d := g.limiter.Arrive(g.clock(), w)
	if d.Evicted != nil {
		d.Evicted.Wake <- fault.Overload
	}
	giveUp := w.QueueDeadline()
	g.mu.Unlock()
	switch d.Verdict {
	case admission.Admitted:
		waiterPool.Put(w)
		return fault.None
	case admission.Refused:
		waiterPool.Put(w)
		return d.Code
	}
	return g.awaitSlot(s, w, giveUp)
}

// awaitSlot waits until the limiter admits or refuses w, the scope is canceled, or the queue
// deadline giveUp on the node's clock passes.
func (g *admissionGate) awaitSlot(s *scope.Scope, w *admission.Waiter, giveUp time.Duration) fault.Code {
	canceled := make(chan fault.Code, 1)
	if !s.Notify(canceled) {
		return g.abandonWait(w, s.Err())
	}
	defer s.StopNotify()
	t := time.NewTimer(giveUp - g.clock())
	defer t.Stop()
	select {
	case code := <-w.Wake:
		waiterPool.Put(w)
		return code
	case code := <-canceled:
		return g.abandonWait(w, code)
	case <-t.C:
		return g.abandonWait(w, fault.QueueTimeout)
	}
}

// abandonWait removes a waiter from the queue. If the limiter has admitted it meanwhile, the
// slot is kept after a queue timeout and given back after a cancellation.
func (g *admissionGate) abandonWait(w *admission.Waiter, code fault.Code) fault.Code {
	g.mu.Lock()
	removed := g.limiter.RemoveWaiter(g.clock(), w)
	g.mu.Unlock()
	if removed {
		waiterPool.Put(w)
		return code
	}
	verdict := <-w.Wake
	waiterPool.Put(w)
	if verdict == fault.None && code == fault.QueueTimeout {
		return fault.None
	}
	if verdict == fault.None {
		g.release(admission.Outcome{})
		return code
	}
	return verdict
}

// release frees the slot of an admitted request, reports its outcome to the limiter, and
// admits the next waiter.
func (g *admissionGate) release(o admission.Outcome) {
	g.mu.Lock()
	now := g.clock()
	var next *admission.Waiter
	next, g.refused = g.limiter.Finish(now, o, g.refused[:0])
	g.wakeRefused()
	if next != nil {
		next.Wake <- fault.None
	}
	if g.limiter.Queued() > 0 {
		g.admitWaiting(now)
	}
	g.mu.Unlock()
}

// wakeRefused tells the refused waiters why they get no slot. The lock is held.
func (g *admissionGate) wakeRefused() {
	for _, w := range g.refused {
		w.Wake <- w.Refusal()
	}
}

// admitWaiting admits waiters while slots are free. The lock is held.
func (g *admissionGate) admitWaiting(now time.Duration) {
	for {
		var next *admission.Waiter
		next, g.refused = g.limiter.AdmitNext(now, g.refused[:0])
		g.wakeRefused()
		if next == nil {
			return
		}
		next.Wake <- fault.None
	}
}

// observeRateLimit applies what a response says about the backend server's rate limit. One
// that cannot be read says nothing.
func (g *admissionGate) observeRateLimit(s ServerState) admission.RateLimitChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	change := admission.RateLimitUnchanged
	switch {
	case s.HasRateLimit:
		change = g.limiter.Rate().Observe(g.clock(), s.RateLimit)
	case !s.UnreadableRateLimit:
		change = g.limiter.Rate().ObserveNone(g.clock())
	}
	g.rateLimited.Store(g.limiter.Rate().InUse())
	return change
}

// adoptRateLimit applies a limit that another node has heard of.
func (g *admissionGate) adoptRateLimit(rate float64) admission.RateLimitChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	change := g.limiter.Rate().Adopt(g.clock(), rate)
	g.rateLimited.Store(g.limiter.Rate().InUse())
	return change
}

// resetRateLimit forgets the limit, which was that of another backend server.
func (g *admissionGate) resetRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	*g.limiter.Rate() = admission.RateLimit{}
	g.rateLimited.Store(false)
}

// rateLimitStatus is the backend server's rate limit: the requests per second, 0 for none,
// and the time since a response last named it.
type rateLimitStatus struct {
	rate float64
	age  time.Duration
}

// rateLimitStatus returns the limit in force.
func (g *admissionGate) rateLimitStatus() rateLimitStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, age, ok := g.limiter.Rate().Named(g.clock())
	if !ok {
		return rateLimitStatus{}
	}
	return rateLimitStatus{rate, age}
}

// gateLoad is the load of the local backend server as reported in responses. rateLevel is the
// level caused by its rate limit.
type gateLoad struct {
	level     rank.Level
	rateLevel rank.Level
	inflight  int
	limit     int
	queued    int
}

// instanceLevel returns the level below which this instance refuses requests.
func (l gateLoad) instanceLevel() rank.Level { return max(l.level, l.rateLevel) }

// load returns the current load.
func (g *admissionGate) load() gateLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Tick(g.clock())
	return gateLoad{
		level: g.limiter.Level(), rateLevel: g.limiter.Rate().Level(g.clock()),
		inflight: g.limiter.InFlight(), limit: g.limiter.Limit(), queued: g.limiter.Queued(),
	}
}
