// Package budget limits the retries of one request across its whole call tree, and
// the ratio of retries to first attempts per service.
//
// The node that holds a request owns a Pool. Before it sends an attempt to another
// node, it leases part of the pool to the attempt; the answer reports how much of
// the lease was spent. A lease whose answer is lost counts as spent, so the total
// over the tree never exceeds the initial pool.
package budget

import "sync/atomic"

// Pool is the retry budget that one node holds for one request. It is safe for
// concurrent use by the request's parallel calls.
type Pool struct {
	left  atomic.Int32
	spent atomic.Int32
}

// Reset sets the pool to n remaining retries and none spent.
func (p *Pool) Reset(n int) {
	p.left.Store(int32(n))
	p.spent.Store(0)
}

// Remaining returns the number of retries left.
func (p *Pool) Remaining() int { return int(p.left.Load()) }

// Spent returns the number of retries used by this node and by calls under its
// leases, including forfeited leases.
func (p *Pool) Spent() int { return int(p.spent.Load()) }

// TrySpend takes one retry, or returns false if none is left.
func (p *Pool) TrySpend() bool {
	if p.tryTake(1) == 0 {
		return false
	}
	p.spent.Add(1)
	return true
}

// retainedDivisor is the divisor of the part of the pool that a lease leaves to
// this node. A quarter, rather than half, leaves more retries to deep calls: of 24, the
// node three calls further down gets 9 for all calls made there, with halves 3.
const retainedDivisor = 4

// Lease takes three quarters of the remaining retries, rounded down, for a call to
// another node. The rest, at least one if any remained, pays for a retry if the
// answer is lost and for parallel calls.
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

// SettleLease ends a lease of n retries of which the call reports spent as used. A
// spent value out of range counts as n, as the other node is not trusted with more
// than its lease.
func (p *Pool) SettleLease(n, spent int) {
	if spent < 0 || spent > n {
		spent = n
	}
	p.spent.Add(int32(spent))
	p.left.Add(int32(n - spent))
}

// ForfeitLease ends a lease of n retries whose answer was lost; all of it counts as
// spent.
func (p *Pool) ForfeitLease(n int) { p.SettleLease(n, n) }

// tryTake takes n retries and returns n, or 0 if fewer remain.
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
