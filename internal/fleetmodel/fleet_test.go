package fleetmodel

import (
	"reflect"
	"testing"
	"time"
)

func logResult(t *testing.T, name string, r *Result) {
	t.Helper()
	t.Logf("%s: worth %.3f", name, r.ValueFraction())
	for kind, k := range r.Kinds {
		t.Logf("  %s: sent %d, in time %d, late %d, refused %d, failed %d, share %.3f, %v", kind, k.Sent, k.InTime, k.Late, k.Refused, k.Failed, k.ValueFraction(), k.Reasons)
	}
	for kind, reasons := range r.Nested {
		t.Logf("  calls of %s that failed: %v", kind, reasons)
	}
	for i := range r.Seconds {
		t.Logf("  second %d: %.2f", i, r.Second(i))
	}
}

// The same fleet and seed give the same result, and a calm day serves everything but
// what takes longer than its deadline by itself.
func TestPlaysRepeat(t *testing.T) {
	f := Wide()
	f.Length, f.Lead = 4*time.Second, time.Second
	for i := range f.Kinds {
		f.Kinds[i].PerSecond /= 2
	}
	a, b := Run(f, 7), Run(f, 7)
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("two plays differ: %.4f and %.4f", a.ValueFraction(), b.ValueFraction())
	}
	const oneIn = 300
	for kind, k := range a.Kinds {
		if k.Refused > 0 || k.Failed > k.Sent/oneIn {
			t.Errorf("%s: %d refused and %d failed on a calm day", kind, k.Refused, k.Failed)
		}
	}
}

// plays returns the results of a load with a few seeds.
func plays(t *testing.T, name string) []*Result {
	t.Helper()
	const seeds = 3
	var all []*Result
	for seed := range uint64(seeds) {
		r := Run(Scenarios[name](), seed)
		logResult(t, name, r)
		all = append(all, r)
	}
	return all
}

// Two fifths of the servers of the scarce service take twelve times as long, too long
// for their callers. Of a chain of four calls two in three are whole if one call in ten
// is lost.
func TestSlowServersAreAvoided(t *testing.T) {
	const mostLost = 0.1
	for seed, r := range plays(t, "slowed") {
		if lost := r.LostCalls("lookup"); lost > mostLost {
			t.Errorf("seed %d: %.3f of the lookups were lost, at most %.3f expected", seed, lost, mostLost)
		}
	}
}

// The scarce service hangs at all its servers. What does not need it is served as if
// nothing were wrong, and the most urgent kind, whose chains lead there, fares no worse
// than the least urgent one of the same way.
func TestHangingServiceTakesNobodyElsesSlots(t *testing.T) {
	const untouched = 0.98
	for seed, r := range plays(t, "hanging") {
		if share := r.Kinds["upload"].ValueFraction(); share < untouched {
			t.Errorf("seed %d: %.3f of the uploads' worth, at least %.3f expected", seed, share, untouched)
		}
		if confirm, read := r.Kinds["confirm"].ValueFraction(), r.Kinds["read"].ValueFraction(); confirm < read {
			t.Errorf("seed %d: %.3f of the worth of confirmations, %.3f of that of reads", seed, confirm, read)
		}
	}
}

// 1.45 times the usual load, which the scarce service can bear if nothing is wasted.
func TestSurgeIsServed(t *testing.T) {
	const worth = 0.95
	for seed, r := range plays(t, "surged") {
		if r.ValueFraction() < worth {
			t.Errorf("seed %d: worth %.3f, at least %.3f expected", seed, r.ValueFraction(), worth)
		}
	}
}

// More load, half of the nodes without power, callers that resend, and the scarce service
// that turns half of its work away: what is scarce goes to the most urgent first.
func TestScarceRetriesGoToTheUrgent(t *testing.T) {
	for seed, r := range plays(t, "turned-away") {
		if confirm, read := r.Kinds["confirm"].ValueFraction(), r.Kinds["read"].ValueFraction(); confirm < read {
			t.Errorf("seed %d: %.3f of the worth of confirmations, %.3f of that of reads", seed, confirm, read)
		}
	}
}
