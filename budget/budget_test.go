package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// tree runs one request over a random tree of calls, in which each node
// retries as often as its pool lets it, and attempts fail after all their work
// is done. It returns the retries that really happened.
func tree(t *rapid.T, p *Pool, depth int, lose func(p *Pool, lease int)) int {
	retries := 0
	calls := rapid.IntRange(0, 3).Draw(t, "calls")
	for range calls {
		for {
			retries += attempt(t, p, depth, lose)
			if !rapid.Bool().Draw(t, "fails") || !p.Spend() {
				break
			}
			retries++
		}
	}
	return retries
}

func attempt(t *rapid.T, p *Pool, depth int, lose func(p *Pool, lease int)) int {
	if depth == 0 {
		return 0
	}
	lease := p.Lease()
	var below Pool
	below.Reset(lease)
	retries := tree(t, &below, depth-1, lose)
	if rapid.Bool().Draw(t, "answer lost") {
		lose(p, lease)
	} else {
		p.Settle(lease, below.Spent())
	}
	return retries
}

func TestRetriesOfATreeStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 16).Draw(t, "budget")
		var p Pool
		p.Reset(budget)
		if n := tree(t, &p, 4, (*Pool).Lose); n > budget {
			t.Fatalf("%d retries with a budget of %d", n, budget)
		}
	})
}

// TestLostLeaseGivenBackIsFound shows that the check finds a pool that takes
// back a lease whose answer was lost.
func TestLostLeaseGivenBackIsFound(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 16).Draw(t, "budget")
		var p Pool
		p.Reset(budget)
		giveBack := func(p *Pool, lease int) { p.Settle(lease, 0) }
		found = found || tree(t, &p, 4, giveBack) > budget
	})
	if !found {
		t.Fatal("no check failed")
	}
}

func TestRatioBoundsRetries(t *testing.T) {
	var r Ratio
	retries := 0
	for range 10_000 {
		r.Earn(0.05, burst)
		if r.Spend(0) {
			retries++
		}
	}
	if retries > 500+burst {
		t.Fatalf("%d retries for 10000 first attempts", retries)
	}
}

func TestRatioLeavesRetriesToTheMoreUrgent(t *testing.T) {
	var r Ratio
	for range 100 {
		r.Earn(0.5, 2)
	}
	if !r.Spend(1) || r.Spend(1) {
		t.Fatal("a less urgent retry must leave one")
	}
	if !r.Spend(0) || r.Spend(0) {
		t.Fatal("the more urgent retry takes the last one")
	}
}

func TestRepeatedCallsAreCharged(t *testing.T) {
	var r Ratio
	for range 50 {
		r.Charge(2)
	}
	r.Earn(1, 2)
	r.Earn(1, 2)
	if r.Spend(0) {
		t.Fatal("the debt was not paid")
	}
	r.Earn(1, 2)
	if !r.Spend(0) {
		t.Fatal("the debt is more than the burst")
	}
}

func BenchmarkRequest(b *testing.B) {
	var p Pool
	var r Ratio
	b.ReportAllocs()
	for b.Loop() {
		p.Reset(3)
		r.Earn(0.05, burst)
		n := p.Lease()
		p.Settle(n, 0)
	}
}

// burst is how many retries the tests let a ratio save up.
const burst = 10
