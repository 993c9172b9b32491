package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runCallTree runs one request over a random call tree in which each node retries
// as its pool allows and attempts fail only after their nested calls. It returns
// the number of retries made.
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

// TestBudgetCheckDetectsRefundedLostLease checks that returning a lost lease to the
// pool exceeds the budget.
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
		t.Fatal("no budget was exceeded")
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
