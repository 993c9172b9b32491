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
func (p *Pool) Remaining() int { return int(p.left.Load()) }

// Spent returns how many retries were used here or below.
func (p *Pool) Spent() int { return int(p.spent.Load()) }

// Spend takes one retry; false if none is left.
func (p *Pool) TrySpend() bool {
	if p.tryTake(1) == 0 {
		return false
	}
	p.spent.Add(1)
	return true
}

// keptShare is the part of a pool that stays with the node that leases the
// rest to a call below: of 24 retries, the node three calls further down has 9,
// for all the calls that are made there; of halves it would have 3.
const retainedDivisor = 4

// Lease takes three quarters of what is left, rounded down, for a call below.
// What stays, at least one, pays for this node's own retry if the answer is
// lost, and for the calls made beside this one.
func (p *Pool) Lease() int {
	for {
		left := p.left.Load()
		n := left - (left+retainedDivisor-1)/retainedDivisor
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
func (p *Pool) SettleLease(n, spent int) {
	if spent < 0 || spent > n {
		spent = n
	}
	p.spent.Add(int32(spent))
	p.left.Add(int32(n - spent))
}

// Lose ends a lease whose answer never came: all of it counts as spent.
func (p *Pool) ForfeitLease(n int) { p.SettleLease(n, n) }

func (p *Pool) tryTake(n int32) int32 {
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
