package fetch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// start returns the address of the fetch that must start now.
func start(g *gomega.WithT, s *Scheduler, now time.Duration, active uint64) string {
	f, ok, _ := s.Next(now, active)
	g.Expect(ok).To(gomega.BeTrue())
	return f.Addr
}

// expectWait checks that no fetch is due now, but one after a time.
func expectWait(g *gomega.WithT, s *Scheduler, now time.Duration, active uint64, wait time.Duration) {
	_, ok, w := s.Next(now, active)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(w).To(gomega.Equal(wait))
}

// The node heard from last must be asked first: those heard from earlier may be gone since.
func TestNodeHeardLastIsAskedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Observe(1*time.Second, "a", 5)
	s.Observe(2*time.Second, "b", 5)
	s.Observe(2*time.Second, "current", 4)
	s.Observe(3*time.Second, "a", 5)
	g.Expect(start(g, s, 3*time.Second, 4)).To(gomega.Equal("a"))
	s.RecordReply(3*time.Second, "a", 5)
	expectWait(g, s, 4*time.Second, 5, 0)
}

// A node that has replied before must be asked before others, as the connection to it is open.
func TestNodeThatRepliedIsAskedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Observe(0, "a", 5)
	g.Expect(start(g, s, 0, 4)).To(gomega.Equal("a"))
	s.RecordReply(0, "a", 5)
	s.Observe(1, "a", 6)
	s.Observe(2, "b", 6)
	g.Expect(start(g, s, 3, 5)).To(gomega.Equal("a"))
	s.RecordFailure("a")
	s.Observe(4, "a", 6)
	s.Observe(5, "b", 6)
	g.Expect(start(g, s, 6, 5)).To(gomega.Equal("b"), "a has failed since")
}

// While a reply is outstanding, another node must be asked after minHedgeDelay, later the more are
// outstanding, and at most maxPending.
func TestOutstandingFetchIsHedged(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	for i := range 5 {
		s.Observe(0, fmt.Sprint(i), 5)
	}
	g.Expect(start(g, s, 0, 4)).To(gomega.Equal("0"))
	expectWait(g, s, 0, 4, minHedgeDelay)
	g.Expect(start(g, s, minHedgeDelay, 4)).To(gomega.Equal("1"))
	expectWait(g, s, minHedgeDelay, 4, 2*minHedgeDelay)
	expectWait(g, s, 2*minHedgeDelay, 4, minHedgeDelay)
	g.Expect(start(g, s, 3*minHedgeDelay, 4)).To(gomega.Equal("2"))
	expectWait(g, s, time.Hour, 4, 0)
	s.RecordReply(3*minHedgeDelay, "1", 5)
	expectWait(g, s, time.Hour, 5, 0)
}

// While a fetch has no reply, the other nodes must be queried, and one that responds must be asked
// before all others, also if they had replied before and were heard from later.
func TestNodeThatRespondsToQueryIsAskedNext(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := New(), time.Second
	for i, addr := range []string{"a", "b"} {
		version := uint64(4 + i)
		s.Observe(now, addr, version)
		g.Expect(start(g, s, now, version-1)).To(gomega.Equal(addr))
		s.RecordReply(now, addr, version)
	}
	for _, addr := range []string{"c", "a", "b"} {
		now++
		s.Observe(now, addr, 6)
	}
	g.Expect(start(g, s, now, 5)).To(gomega.Equal("b"))
	addrs, wait := s.Queries(now, 5)
	g.Expect(addrs).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.Equal(minQueryDelay))
	now += wait
	addrs, wait = s.Queries(now, 5)
	g.Expect(addrs).To(gomega.Equal([]string{"a", "c"}))
	g.Expect(wait).To(gomega.Equal(queryInterval))
	s.Observe(now+1, "c", 6)
	now += minHedgeDelay
	g.Expect(start(g, s, now, 5)).To(gomega.Equal("c"))
	s.RecordReply(now, "c", 6)
	addrs, wait = s.Queries(now+queryInterval, 6)
	g.Expect(addrs).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.BeZero())
}

// The queries of a round must be bounded, and each source must get its turn.
func TestQueriesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := New(), time.Second
	for i := range maxSources {
		s.Observe(now, fmt.Sprint(i), 5)
	}
	start(g, s, now, 4)
	queried := map[string]bool{}
	for range maxSources / maxQueries {
		now += queryInterval
		addrs, _ := s.Queries(now, 4)
		g.Expect(len(addrs)).To(gomega.BeNumerically("<=", maxQueries))
		for _, addr := range addrs {
			queried[addr] = true
		}
	}
	g.Expect(queried).To(gomega.HaveLen(maxSources - 1))
}

// Where all replies are slow, another node must be asked later.
func TestSlowRepliesAreHedgedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now, active := New(), time.Duration(0), uint64(1)
	for range 40 {
		s.Observe(now, "a", active+1)
		g.Expect(start(g, s, now, active)).To(gomega.Equal("a"))
		now += 200 * time.Millisecond
		active++
		s.RecordReply(now, "a", active)
	}
	s.Observe(now, "a", active+1)
	s.Observe(now, "b", active+1)
	g.Expect(start(g, s, now, active)).To(gomega.Equal("a"))
	_, ok, wait := s.Next(now, active)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(wait).To(gomega.BeNumerically("~", hedgeLatencies*200*time.Millisecond, 5*time.Millisecond))
	s.RecordFailure("a")
	g.Expect(start(g, s, now, active)).To(gomega.Equal("b"))
}

// A node that failed must not be asked again before retryDelay unless it is heard from, and
// never while a fetch from it is in progress.
func TestSilentNodeIsAskedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Observe(0, "a", 5)
	g.Expect(start(g, s, 0, 4)).To(gomega.Equal("a"))
	s.Observe(10*time.Millisecond, "a", 6)
	expectWait(g, s, time.Second, 4, 0)
	s.RecordFailure("a")
	g.Expect(start(g, s, time.Second, 4)).To(gomega.Equal("a"), "it was heard from meanwhile")
	s.RecordFailure("a")
	expectWait(g, s, time.Second, 4, retryDelay)
	s.Observe(time.Second, "b", 5)
	g.Expect(start(g, s, time.Second, 4)).To(gomega.Equal("b"))
	s.RecordFailure("b")
	s.Observe(time.Second+1, "a", 6)
	g.Expect(start(g, s, time.Second+1, 4)).To(gomega.Equal("a"))
}

// A node that was restarted with older settings than it had announced must not be asked again and
// again.
func TestRestartedNodeIsNotAskedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Observe(0, "a", 5)
	g.Expect(start(g, s, 0, 3)).To(gomega.Equal("a"))
	s.RecordReply(0, "a", 3)
	expectWait(g, s, time.Millisecond, 3, 0)
}

func TestSilenceGrowsAfterFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	var silences []time.Duration
	for i := range 8 {
		s.Observe(0, fmt.Sprint(i), 5)
		f, ok, _ := s.Next(0, 4)
		g.Expect(ok).To(gomega.BeTrue())
		silences = append(silences, f.Silence)
		s.RecordFailure(f.Addr)
	}
	const ms = time.Millisecond
	g.Expect(silences).To(gomega.Equal([]time.Duration{300 * ms, 300 * ms, 600 * ms, 600 * ms, 1200 * ms, 1200 * ms, maxSilence, maxSilence}))
	s.Observe(0, "8", 5)
	g.Expect(start(g, s, 0, 4)).To(gomega.Equal("8"))
	s.RecordReply(0, "8", 5)
	s.Observe(0, "9", 6)
	f, _, _ := s.Next(0, 5)
	g.Expect(f.Silence).To(gomega.Equal(initialSilence))
}

// A random sequence of events must keep the bounds: no node is asked twice at a time, sources
// and fetches in progress are bounded, and a source that may be asked is asked in the end.
func TestRandomEventsKeepBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 3))
	for range 200 {
		s, active, now := New(), uint64(0), time.Duration(0)
		var pending []string
		for range 400 {
			now += time.Duration(rng.Int64N(int64(50 * time.Millisecond)))
			switch {
			case rng.IntN(3) == 0:
				s.Observe(now, fmt.Sprint(rng.IntN(100)), active+uint64(rng.IntN(3)))
			case rng.IntN(3) == 0 && len(pending) > 0:
				i := rng.IntN(len(pending))
				addr := pending[i]
				pending = slices.Delete(pending, i, i+1)
				if rng.IntN(4) == 0 {
					active++
					s.RecordReply(now, addr, active)
				} else {
					s.RecordFailure(addr)
				}
			}
			queried, _ := s.Queries(now, active)
			g.Expect(len(queried)).To(gomega.BeNumerically("<=", maxQueries))
			for _, addr := range queried {
				g.Expect(pending).NotTo(gomega.ContainElement(addr))
			}
			for {
				f, ok, wait := s.Next(now, active)
				if !ok {
					g.Expect(wait).To(gomega.BeNumerically(">=", 0))
					break
				}
				g.Expect(pending).NotTo(gomega.ContainElement(f.Addr))
				pending = append(pending, f.Addr)
				g.Expect(len(pending)).To(gomega.BeNumerically("<=", maxPending))
			}
			g.Expect(s.pending).To(gomega.Equal(len(pending)))
			g.Expect(len(s.sources)).To(gomega.BeNumerically("<=", maxSources))
		}
		for _, addr := range pending {
			s.RecordFailure(addr)
		}
		s.Observe(now, "last", active+1)
		_, ok, _ := s.Next(now, active)
		g.Expect(ok).To(gomega.BeTrue())
	}
}
