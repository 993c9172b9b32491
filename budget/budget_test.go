package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tree runs one request over a random tree of calls, in which each node
// retries as often as its pool lets it, and attempts fail after all their work
// is done. It returns the retries that really happened.
func runCallTree(t *rapid.T, p *Pool, depth int, lose func(p *Pool, lease int)) int {
	retries := 0
	calls := rapid.IntRange(0, 3).Draw(t, "calls")
	for range calls {
		for {
			retries += runAttempt(t, p, depth, lose)
			if !rapid.Bool().Draw(t, "fails") || !p.TrySpend() {
				break
			}
			retries++
		}
	}
	return retries
}

func runAttempt(t *rapid.T, p *Pool, depth int, lose func(p *Pool, lease int)) int {
	if depth == 0 {
		return 0
	}
	lease := p.Lease()
	var below Pool
	below.Reset(lease)
	retries := runCallTree(t, &below, depth-1, lose)
	if rapid.Bool().Draw(t, "answer lost") {
		lose(p, lease)
	} else {
		p.SettleLease(lease, below.Spent())
	}
	return retries
}

func TestCallTreeRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 16).Draw(t, "budget")
		var p Pool
		p.Reset(budget)
		if n := runCallTree(t, &p, 4, (*Pool).ForfeitLease); n > budget {
			t.Fatalf("%d retries with a budget of %d", n, budget)
		}
	})
}

// TestLostLeaseGivenBackIsFound shows that the check finds a pool that takes
// back a lease whose answer was lost.
func TestBudgetCheckDetectsRefundedLostLease(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 16).Draw(t, "budget")
		var p Pool
		p.Reset(budget)
		giveBack := func(p *Pool, lease int) { p.SettleLease(lease, 0) }
		found = found || runCallTree(t, &p, 4, giveBack) > budget
	})
	if !found {
		t.Fatal("no check failed")
	}
}

func BenchmarkRequest(b *testing.B) {
	var p Pool
	var s Throttle
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		p.Reset(3)
		s.RecordFirstAttempt(now, testLimits)
		n := p.Lease()
		p.SettleLease(n, 0)
	}
}
