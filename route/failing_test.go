package route

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// attempts reports the outcomes of n attempts at an instance, every nth of
// which was turned away by the backend server.
func attempts(in *Instance, n, nth int, now, took time.Duration) {
	for i := range n {
		in.Observed.Begin()
		in.Observed.End(now, Outcome{Rejected: nth > 0 && i%nth == 0, Took: took}, EjectOptions{Failures: 5, Time: time.Second})
	}
}

// share returns the part of the picks that go to an instance.
func share(s *Snapshot, in *Instance, now time.Duration) float64 {
	r := rng()
	hits := 0
	for range 1000 {
		if got, _ := s.Pick(query(now), r); got == in {
			hits++
		}
	}
	return float64(hits) / 1000
}

// TestServerThatFailsAShareIsAvoidedAndTriedAgain replays a server that turns
// away every second request with most of its slots free: never five in a row.
func TestServerThatFailsAShareIsAvoidedAndTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	s := snapshot(own, others)
	attempts(own[0], 50, 2, 0, 0)
	g.Expect(own[0].Observed.Ejected()).To(gomega.BeFalse())
	g.Expect(share(s, own[0], 0)).To(gomega.BeNumerically("<", 0.05))
	g.Expect(share(s, own[0], 10*time.Second)).To(gomega.Equal(1.0))
}

// TestSoundServersKeepTheirDomain: one failure in fifty is no reason to leave.
func TestSoundServersKeepTheirDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	attempts(own[0], 100, 50, 0, 0)
	g.Expect(share(snapshot(own, others), own[0], 0)).To(gomega.Equal(1.0))
}

// TestSlowServerIsLeftWithoutBeingFull: a server that has become five times
// slower holds few requests, but each far longer.
func TestSlowServerIsLeftWithoutBeingFull(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	attempts(own[0], 400, 0, 0, 500*time.Millisecond)
	attempts(others[0], 400, 0, 0, 100*time.Millisecond)
	g.Expect(share(snapshot(own, others), own[0], 0)).To(gomega.BeNumerically("<", 0.3))
}

// TestCutOffInstanceGetsNothingHoweverManyFail: the bound on ejected instances
// is for servers that fail, not for those behind a cut.
func TestCutOffInstanceGetsNothingHoweverManyFail(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 2)
	for _, in := range own {
		in.Observed.SetUnreachable(true)
	}
	_, code := snapshot(own).Pick(query(0), rng())
	g.Expect(code).To(gomega.Equal(fault.NoBackend))
	own[1].Observed.SetUnreachable(false)
	in, code := snapshot(own).Pick(query(0), rng())
	g.Expect(code).To(gomega.Equal(fault.None))
	g.Expect(in).To(gomega.Equal(own[1]))
}

// Two fifths of the servers of a service become so slow that no answer of theirs comes
// before the callers' deadline, so that there are no times by which they could be told.
// A chain of four calls must not meet one of them more than one time in five.
func TestServersThatMissDeadlinesAreAvoidedAndTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		servers, slow  = 10, 4
		usual          = 150 * time.Millisecond
		deadline       = 700 * time.Millisecond
		perSecond      = 200
		mostMet        = 0.055
		learn, measure = 3 * time.Second, 6 * time.Second
	)
	own := instances("a", servers)
	s := snapshot(own)
	r := rng()
	type ending struct {
		at time.Duration
		in *Instance
		r  Outcome
	}
	var open []ending
	met, sent := 0, 0
	for now := time.Duration(0); now < learn+measure; now += time.Second / perSecond {
		for len(open) > 0 && open[0].at <= now {
			open[0].in.Observed.End(open[0].at, open[0].r, EjectOptions{Failures: 1000, Time: time.Second})
			open = open[1:]
		}
		in, code := s.Pick(query(now), r)
		g.Expect(code).To(gomega.Equal(fault.None))
		in.Observed.Begin()
		end := ending{now + usual, in, Outcome{Took: usual}}
		bad := slices.Index(own, in) < slow
		if bad {
			end = ending{now + deadline, in, Outcome{Waited: deadline}}
		}
		at, _ := slices.BinarySearchFunc(open, end, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
		open = slices.Insert(open, at, end)
		if now >= learn {
			sent++
			if bad {
				met++
			}
		}
	}
	g.Expect(float64(met) / float64(sent)).To(gomega.BeNumerically("<", mostMet))
	// They are sound again: each has its part a while later.
	later := learn + measure + 10*time.Second
	for _, in := range own[:slow] {
		g.Expect(share(s, in, later)).To(gomega.BeNumerically(">", 0.3/servers))
	}
}

// A request that had little time left says nothing of the server that it was given up at.
func TestServersAreNotBlamedForShortDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 2)
	for _, in := range own {
		attempts(in, 100, 0, 0, 200*time.Millisecond)
	}
	for range 50 {
		own[0].Observed.Begin()
		own[0].Observed.End(0, Outcome{Waited: 100 * time.Millisecond}, EjectOptions{Failures: 5, Time: time.Second})
	}
	g.Expect(share(snapshot(own), own[0], 0)).To(gomega.BeNumerically("~", 0.5, 0.1))
}
