package quota

import "time"

const (
	// poolSpare is the part of the rate beyond the demand that stays in the pool, poolMin the
	// least part of the whole rate, and poolBurst the part of the burst.
	poolSpare = 0.5
	poolMin   = 0.05
	poolBurst = 0.5
	// maxWait bounds the time that a refused node is told to wait.
	maxWait = 3 * time.Second
)

// pool is the token bucket of a ledger.
type pool struct {
	tokens float64
	at     time.Duration
	// promised is when the next token is free for a node that was told to wait.
	promised time.Duration
}

// poolRate returns the rate of the pool in tokens per second.
func (a *ledgerAccount) poolRate(limit Limit, b boost) float64 {
	whole := a.fraction * b.rate
	return max(poolMin*whole, whole-a.granted.Rate) * limit.Rate
}

// refill adds the tokens that have arrived in the pool.
func (l *Ledger) refill(now time.Duration, a *ledgerAccount, limit Limit) {
	b := l.boost(now, a, limit)
	size := max(0, a.fraction*b.burst-a.granted.Burst)*l.tolerance.spread(limit) + l.tolerance.reserve(l.domains)
	if now > a.pool.at {
		a.pool.tokens += (now - a.pool.at).Seconds() * a.poolRate(limit, b)
		a.pool.at = now
	}
	a.pool.tokens = min(a.pool.tokens, max(1, size))
}

// Ask takes up to want tokens from the pool, at least 1 if there is any. If there is none,
// it returns how long to wait until the next one is free for this node.
func (l *Ledger) Ask(now time.Duration, workspace string, want int, limit Limit) (tokens int, wait time.Duration) {
	l.touch(now)
	if limit.Unlimited() {
		return want, 0
	}
	a := l.account(now, workspace)
	l.refill(now, a, limit)
	if a.pool.tokens >= 1 {
		// Half of the pool stays for the others that ask.
		tokens = min(want, max(1, int(a.pool.tokens/2)))
		a.pool.tokens -= float64(tokens)
		return tokens, 0
	}
	interval := time.Duration(float64(time.Second) / max(a.poolRate(limit, l.boost(now, a, limit)), 1/maxWait.Seconds()))
	a.pool.promised = min(max(a.pool.promised, now)+interval, now+maxWait)
	return 0, a.pool.promised - now
}
