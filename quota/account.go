package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// Account counts the requests of one workspace on one node and admits them within the
// node's share. Take, Deposit, Close, MayAsk and Return are for requests: they take no
// lock and allocate nothing. All other methods are called by one goroutine.
type Account struct {
	name string

	// share is the granted bucket, nil for none, and floor the one used without a
	// valid share. A nil floor means that the workspace has no limit.
	share, floor atomic.Pointer[bucket]
	// fullAt is the time at which the bucket will be full, on the node's clock.
	fullAt atomic.Int64
	// closedUntil is when the ledger may be asked again, on the node's clock.
	closedUntil atomic.Int64
	// asked counts requests since the last Demand.
	asked atomic.Int64
	// Admitted and Refused count requests since the start of the node.
	Admitted, Refused atomic.Int64

	limit         Limit
	tolerance     Tolerance
	floorFraction float64
	demand        demandMeter
}

// NewAccount returns the account of a workspace without a limit.
func NewAccount(name string) *Account { return &Account{name: name} }

// Name returns the name of the workspace.
func (a *Account) Name() string { return a.name }

// current returns the bucket in force, nil if the workspace has no limit.
func (a *Account) current(now time.Duration) *bucket {
	if b := a.share.Load(); b != nil && now < b.expires {
		return b
	}
	return a.floor.Load()
}

// Take admits a request within the node's share, or returns the time after which the
// share admits one.
func (a *Account) Take(now time.Duration) (wait time.Duration, ok bool) {
	a.asked.Add(1)
	b := a.current(now)
	if b == nil {
		a.Admitted.Add(1)
		return 0, true
	}
	depth := int64(b.size * float64(b.interval))
	for {
		old := a.fullAt.Load()
		next := max(old, int64(now)) + int64(b.interval)
		if over := next - int64(now) - depth; over > 0 {
			return time.Duration(over), false
		}
		if a.fullAt.CompareAndSwap(old, next) {
			a.Admitted.Add(1)
			return 0, true
		}
	}
}

// MayAsk reports whether the ledger may be asked for tokens beyond the share, and how
// many the bucket can hold, at least 1.
func (a *Account) MayAsk(now time.Duration) (tokens int, ok bool) {
	if now < time.Duration(a.closedUntil.Load()) {
		return 0, false
	}
	b := a.current(now)
	if b == nil {
		return 0, false
	}
	return max(1, int(b.size-b.tokens(now, time.Duration(a.fullAt.Load())))), true
}

// Deposit admits a request with the first of the tokens that a ledger gave, and keeps the
// others.
func (a *Account) Deposit(now time.Duration, tokens int) {
	a.Admitted.Add(1)
	if b := a.current(now); b != nil && tokens > 1 {
		a.fullAt.Add(-int64(tokens-1) * int64(b.interval))
	}
}

// Close records that the ledger has no tokens, and when to ask again.
func (a *Account) Close(until time.Duration) { a.closedUntil.Store(int64(until)) }

// Return gives back the token of an admitted request that was not executed.
func (a *Account) Return(now time.Duration) {
	a.Admitted.Add(-1)
	if b := a.current(now); b != nil {
		a.fullAt.Add(-int64(b.interval))
	}
}

// Demand returns the requests per second that callers ask for, also beyond the limit,
// averaged over the last seconds.
func (a *Account) Demand(now time.Duration) float64 {
	return a.demand.update(now, a.asked.Swap(0))
}

// SetLimit sets the limit in force. The tokens that the bucket holds stay, up to its new
// size; a workspace that had no limit begins without any.
func (a *Account) SetLimit(now time.Duration, l Limit, t Tolerance) {
	changed := l != a.limit || t != a.tolerance
	a.limit, a.tolerance = l, t
	if l.Unlimited() {
		a.share.Store(nil)
		a.floor.Store(nil)
		return
	}
	if !changed {
		return
	}
	old := a.current(now)
	a.floor.Store(newBucket(l, t, Share{a.floorFraction, a.floorFraction}, 0))
	if s := a.share.Load(); s != nil {
		a.share.Store(newBucket(l, t, s.share, s.expires))
	}
	a.carryTokens(now, old)
}

// SetFloor sets the fraction of the limit that this node may use without a share: 0 while
// the ledger can be asked.
func (a *Account) SetFloor(now time.Duration, floor float64) {
	if floor == a.floorFraction {
		return
	}
	a.floorFraction = floor
	if a.limit.Unlimited() {
		return
	}
	old := a.current(now)
	a.floor.Store(newBucket(a.limit, a.tolerance, Share{floor, floor}, 0))
	a.carryTokens(now, old)
}

// Unlimited reports whether the workspace has no limit.
func (a *Account) Unlimited() bool { return a.limit.Unlimited() }

// Limit returns the limit in force.
func (a *Account) Limit() Limit { return a.limit }

// Grant puts a share of the limit in force until it expires.
func (a *Account) Grant(now time.Duration, s Share, expires time.Duration) {
	if a.limit.Unlimited() {
		return
	}
	old := a.current(now)
	b := newBucket(a.limit, a.tolerance, s, expires)
	b.size = max(b.size, math.Ceil(a.demand.rate*prefetch.Seconds()))
	a.share.Store(b)
	a.carryTokens(now, old)
}

// prefetch is the time for which a node may hold tokens of the pool: the pool's burst is
// divided anew in each such time.
const prefetch = 200 * time.Millisecond

// carryTokens keeps the number of tokens when the bucket changes: a larger one fills at
// its rate, as tokens from nothing on every change would exceed the limit. Requests that
// run at the same time may miss one token.
func (a *Account) carryTokens(now time.Duration, old *bucket) {
	b := a.current(now)
	if b == nil {
		return
	}
	tokens := 0.0
	if old != nil {
		if old.interval == b.interval && old.size == b.size {
			return
		}
		tokens = min(old.tokens(now, time.Duration(a.fullAt.Load())), b.size)
	}
	a.fullAt.Store(int64(b.fullAt(now, tokens)))
}

// CurrentShare returns the share in force, and whether a ledger granted it. It is the
// whole without a limit.
func (a *Account) CurrentShare(now time.Duration) (s Share, granted bool) {
	b := a.current(now)
	if b == nil {
		return Share{1, 1}, false
	}
	return b.share, b == a.share.Load()
}

// demandMeter is an exponentially weighted average of a rate.
type demandMeter struct {
	rate float64
	last time.Duration
}

// demandMemory is the time constant of the average. It covers some requests of a
// caller, and follows a shift of callers within the settling time.
const demandMemory = 3 * time.Second

// update adds the requests since the last update and returns the rate per second.
func (m *demandMeter) update(now time.Duration, asked int64) float64 {
	span := now - m.last
	if span <= 0 {
		return m.rate
	}
	m.last = now
	// After a pause longer than the memory only the latest requests count.
	weight := min(1, float64(span)/float64(demandMemory))
	m.rate += weight * (float64(asked)/span.Seconds() - m.rate)
	return m.rate
}
