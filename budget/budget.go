// Package budget bounds the retries of one request over its whole tree of
// calls, and the share that retries may have of a service's load.
//
// The node that holds a request owns a Pool. Before it sends an attempt to
// another node it leases part of the pool to that attempt; the answer brings
// back how much of the lease was spent below. A lease whose answer is lost
// counts as spent, so the sum over the tree never exceeds the first pool.
package budget

import "sync/atomic"

// Pool is the retry budget that one node holds for one request. It is safe
// for concurrent use by the calls that the request makes in parallel.
type Pool struct {
	left  atomic.Int32
	spent atomic.Int32
}

// Reset makes the pool hold n retries, none spent.
func (p *Pool) Reset(n int) {
	p.left.Store(int32(n))
	p.spent.Store(0)
}

// Left returns how many retries remain.
func (p *Pool) Left() int { return int(p.left.Load()) }

// Spent returns how many retries were used here or below.
func (p *Pool) Spent() int { return int(p.spent.Load()) }

// Spend takes one retry; false if none is left.
func (p *Pool) Spend() bool {
	if p.take(1) == 0 {
		return false
	}
	p.spent.Add(1)
	return true
}

// Lease takes half of what is left, rounded down, for a call below. The half
// that stays pays for this node's own retry if the answer is lost.
func (p *Pool) Lease() int {
	for {
		left := p.left.Load()
		n := left / 2
		if n <= 0 {
			return 0
		}
		if p.left.CompareAndSwap(left, left-n) {
			return int(n)
		}
	}
}

// Settle ends a lease of n of which the call below reports spent as used.
// A report out of range counts as all spent: the other side is not trusted
// with more than it was given.
func (p *Pool) Settle(n, spent int) {
	if spent < 0 || spent > n {
		spent = n
	}
	p.spent.Add(int32(spent))
	p.left.Add(int32(n - spent))
}

// Lose ends a lease whose answer never came: all of it counts as spent.
func (p *Pool) Lose(n int) { p.Settle(n, n) }

func (p *Pool) take(n int32) int32 {
	for {
		left := p.left.Load()
		if left < n {
			return 0
		}
		if p.left.CompareAndSwap(left, left-n) {
			return n
		}
	}
}

// milli is the fixed-point unit of a Ratio's tokens.
const milli = 1000

// Ratio keeps the retries sent to one service a small share of its first
// attempts. Every first attempt earns a fraction of a token and every retry
// costs one. It is safe for concurrent use.
type Ratio struct {
	tokens atomic.Int64
}

// Earn credits one first attempt at the given share (0..1). At most burst
// retries are saved up.
func (r *Ratio) Earn(share float64, burst int) {
	t := r.tokens.Add(int64(share * milli))
	if most := int64(burst) * milli; t > most {
		r.tokens.CompareAndSwap(t, most)
	}
}

// Spend pays for one retry if it leaves at least keep of them saved up: what is
// less urgent leaves some to the more urgent.
func (r *Ratio) Spend(keep int) bool {
	if r.tokens.Add(-milli) >= int64(keep)*milli {
		return true
	}
	r.tokens.Add(milli)
	return false
}

// Charge pays for a call that is made in any case and counts as a retry, as it
// belongs to a run that was itself a repeat. The debt is at most burst.
func (r *Ratio) Charge(burst int) {
	if t := r.tokens.Add(-milli); t < -int64(burst)*milli {
		r.tokens.Add(milli)
	}
}
