package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// attempts reports the outcomes of n attempts at an instance, every nth of
// which was turned away by the backend server.
func attempts(in *Instance, n, nth int, now, took time.Duration) {
	for i := range n {
		in.Seen.Begin()
		in.Seen.End(now, Report{Rejected: nth > 0 && i%nth == 0, Took: took}, EjectOptions{Failures: 5, Time: time.Second})
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
	g.Expect(own[0].Seen.Ejected()).To(gomega.BeFalse())
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
		in.Seen.CutOff(true)
	}
	_, code := snapshot(own).Pick(query(0), rng())
	g.Expect(code).To(gomega.Equal(fault.NoBackend))
	own[1].Seen.CutOff(false)
	in, code := snapshot(own).Pick(query(0), rng())
	g.Expect(code).To(gomega.Equal(fault.None))
	g.Expect(in).To(gomega.Equal(own[1]))
}
