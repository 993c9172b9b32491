package route

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// reportAttempts reports the outcomes of n attempts at an instance, every nth of which
// the backend server rejected.
func reportAttempts(in *Instance, n, nth int, now, took time.Duration) {
	for i := range n {
		in.Observed.RecordSend()
		in.Observed.RecordOutcome(now, Outcome{Rejected: nth > 0 && i%nth == 0, Latency: took}, EjectOptions{ConsecutiveFailures: 5, Duration: time.Second})
	}
}

// pickShare returns the share of the picks that choose an instance.
func pickShare(s *Snapshot, in *Instance, now time.Duration) float64 {
	r := rng()
	hits := 0
	for range 1000 {
		if got, _ := s.Pick(query(now), r); got == in {
			hits++
		}
	}
	return float64(hits) / 1000
}

// A server that rejects every second request never fails often enough in a row to be
// ejected, yet must be avoided and later tried again.
func TestServerThatFailsAShareIsAvoidedAndTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	s := snapshot(own, others)
	reportAttempts(own[0], 50, 2, 0, 0)
	g.Expect(own[0].Observed.Ejected()).To(gomega.BeFalse())
	g.Expect(pickShare(s, own[0], 0)).To(gomega.BeNumerically("<", 0.05))
	g.Expect(pickShare(s, own[0], 10*time.Second)).To(gomega.Equal(1.0))
}

// A failure share of one in fifty must not divert requests to another failure domain.
func TestHealthyServersKeepLocalTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	reportAttempts(own[0], 100, 50, 0, 0)
	g.Expect(pickShare(snapshot(own, others), own[0], 0)).To(gomega.Equal(1.0))
}

// A server five times slower than the other domain must lose requests although it is not
// full.
func TestSlowServerIsLeftWithoutBeingFull(t *testing.T) {
	g := gomega.NewWithT(t)
	own, others := instances("a", 1), instances("b", 1)
	reportAttempts(own[0], 400, 0, 0, 500*time.Millisecond)
	reportAttempts(others[0], 400, 0, 0, 100*time.Millisecond)
	g.Expect(pickShare(snapshot(own, others), own[0], 0)).To(gomega.BeNumerically("<", 0.3))
}

// The limit on ejected instances must not route requests to unreachable instances.
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

// Guards against servers so slow that every request times out: they give no latency
// samples, and must be avoided all the same, then tried again after recovery.
func TestServersThatMissDeadlinesAreAvoidedAndTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		servers, slow     = 10, 4
		usualLatency      = 150 * time.Millisecond
		deadline          = 700 * time.Millisecond
		requestsPerSecond = 200
		maxSlowShare      = 0.055
		warmUp, measure   = 3 * time.Second, 6 * time.Second
	)
	own := instances("a", servers)
	s := snapshot(own)
	r := rng()
	type pendingRequest struct {
		at time.Duration
		in *Instance
		r  Outcome
	}
	var pending []pendingRequest
	sentToSlow, sent := 0, 0
	for now := time.Duration(0); now < warmUp+measure; now += time.Second / requestsPerSecond {
		for len(pending) > 0 && pending[0].at <= now {
			pending[0].in.Observed.RecordOutcome(pending[0].at, pending[0].r, EjectOptions{ConsecutiveFailures: 1000, Duration: time.Second})
			pending = pending[1:]
		}
		in, code := s.Pick(query(now), r)
		g.Expect(code).To(gomega.Equal(fault.None))
		in.Observed.RecordSend()
		end := pendingRequest{now + usualLatency, in, Outcome{Latency: usualLatency}}
		bad := slices.Index(own, in) < slow
		if bad {
			end = pendingRequest{now + deadline, in, Outcome{TimedOutAfter: deadline}}
		}
		at, _ := slices.BinarySearchFunc(pending, end, func(a, b pendingRequest) int { return cmp.Compare(a.at, b.at) })
		pending = slices.Insert(pending, at, end)
		if now >= warmUp {
			sent++
			if bad {
				sentToSlow++
			}
		}
	}
	g.Expect(float64(sentToSlow) / float64(sent)).To(gomega.BeNumerically("<", maxSlowShare))
	// The slow servers have recovered; after a while each gets its share again.
	later := warmUp + measure + 10*time.Second
	for _, in := range own[:slow] {
		g.Expect(pickShare(s, in, later)).To(gomega.BeNumerically(">", 0.3/servers))
	}
}

// A request that times out sooner than the server usually answers must not count as its
// failure.
func TestServersAreNotBlamedForShortDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 2)
	for _, in := range own {
		reportAttempts(in, 100, 0, 0, 200*time.Millisecond)
	}
	for range 50 {
		own[0].Observed.RecordSend()
		own[0].Observed.RecordOutcome(0, Outcome{TimedOutAfter: 100 * time.Millisecond}, EjectOptions{ConsecutiveFailures: 5, Duration: time.Second})
	}
	g.Expect(pickShare(snapshot(own), own[0], 0)).To(gomega.BeNumerically("~", 0.5, 0.1))
}
