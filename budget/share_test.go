package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/rank"
)

// limits are a fifth of a window, less what the sum over nodes may be more.
var limits = Limits{Ratio: 0.16, Window: 10 * time.Second, Burst: 1}

// top is a rank that no scarcity short of an empty budget denies.
const top = rank.Count - 1

// TestShareBoundsRetries checks, for random loads and at every moment, that the
// retries of the window until then are within the ratio of the better of the
// two windows, each counted to a slice.
func TestShareBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Throttle
		var firsts, retries []time.Duration
		now := time.Duration(0)
		count := func(ts []time.Duration, from, to time.Duration) (n int) {
			for _, at := range ts {
				if at > from && at <= to {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			for range rapid.IntRange(0, 9).Draw(t, "firsts") {
				s.RecordFirstAttempt(now, limits)
				firsts = append(firsts, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "failures") {
				if s.AllowRetry(now, rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "rank")), limits) {
					retries = append(retries, now)
				}
			}
			// Two slices are counted in part.
			around := limits.Window + 2*limits.Window/slices
			paid := max(
				count(firsts, now-around, now),
				count(firsts, now-limits.Window/2-around, now-limits.Window/2+limits.Window/slices),
				count(firsts, now-2*around, now-limits.Window+limits.Window/slices),
			)
			if got := count(retries, now-limits.Window, now); float64(got) > limits.Ratio*float64(paid)+float64(limits.Burst) {
				t.Fatalf("%d retries in a window, %d first attempts paid for them", got, paid)
			}
		}
	})
}

func TestWindowBeforePaysForRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for i := range 1000 {
		s.RecordFirstAttempt(time.Duration(i)*10*time.Millisecond, limits)
	}
	granted := 0
	for s.AllowRetry(14*time.Second, top, limits) {
		granted++
	}
	g.Expect(granted).To(gomega.BeNumerically("~", 160, 2))
	g.Expect(s.AllowRetry(40*time.Second, top, limits)).To(gomega.BeTrue(), "the burst is there again")
	g.Expect(s.AllowRetry(40*time.Second, top, limits)).To(gomega.BeFalse(), "nothing was sent for two windows")
}

func TestShareLeavesRetriesToTheMoreUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	granted := map[rank.Class]int{}
	asked := map[rank.Class]int{}
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 20_000 {
		now := time.Duration(i) * time.Millisecond
		s.RecordFirstAttempt(now, limits)
		class := rank.Normal
		if i%8 == 0 {
			class = rank.Protected
		}
		if i < 10_000 || i%2 == 1 && class == rank.Normal {
			continue
		}
		asked[class]++
		if s.AllowRetry(now, rank.Make(class, uint8(rng.IntN(rank.Cohorts))), limits) {
			granted[class]++
		}
	}
	g.Expect(granted[rank.Protected]).To(gomega.BeNumerically(">=", asked[rank.Protected]*95/100))
	g.Expect(granted[rank.Normal]).To(gomega.BeNumerically("<", asked[rank.Normal]/4))
	g.Expect(granted[rank.Normal]).To(gomega.BeNumerically(">", 0), "what is left is used")
}

func TestFewFailuresAreRetriedWhateverTheirRank(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for i := range 500 {
		now := time.Duration(i) * 20 * time.Millisecond
		s.RecordFirstAttempt(now, limits)
		if i > 100 && i%20 == 0 {
			g.Expect(s.AllowRetry(now, 0, limits)).To(gomega.BeTrue())
		}
	}
}

func TestRepeatedCallsAreCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for range 100 {
		s.RecordFirstAttempt(time.Second, limits)
	}
	for range 17 {
		s.RecordRetry(time.Second, limits)
	}
	g.Expect(s.AllowRetry(time.Second, top, limits)).To(gomega.BeFalse())
	g.Expect(s.AllowRetry(12*time.Second, top, limits)).To(gomega.BeTrue(), "they have left the window")
}

// chained is a request that makes calls to one service one after the other.
type chained struct {
	rank  rank.Rank
	left  int
	pool  int
	share *Throttle
}

// shedding replays a service all of whose backend servers turn away a share of
// the requests for some seconds, while requests that make four calls to it go
// on at the load of a busy day.
type shedding struct {
	rng  *rand.Rand
	now  int // ms
	pool int
	// even makes all requests rank alike.
	even     bool
	shares   [4]Throttle
	pending  map[int][]*chained
	from, to int
	arrivals map[int]int // second -> attempts beyond the first
	firsts   map[int]int
	asked    map[rank.Class]int
	served   map[rank.Class]int
}

const (
	// shedShare is the share of the requests that the servers turn away.
	shedShare = 0.55
	// poolThere is what is left of 24 retries of a request for these calls, as
	// they are made three calls further down.
	poolThere = 9
	// callsEach is how many calls a request makes.
	callsEach = 4
	callMs    = 20
)

func (s *shedding) arrive(class rank.Class, perSecond float64) {
	for n := perSecond / 1000; s.rng.Float64() < n; n-- {
		c := &chained{
			rank: rank.Make(class, uint8(s.rng.IntN(rank.Cohorts))), left: callsEach, pool: s.pool,
			share: &s.shares[s.rng.IntN(len(s.shares))],
		}
		if s.within() {
			s.asked[class]++
		}
		if s.even {
			c.rank = rank.Make(class, 0)
		}
		s.call(c)
	}
}

func (s *shedding) within() bool { return s.now >= s.from && s.now < s.to }

func (s *shedding) call(c *chained) {
	at := time.Duration(s.now) * time.Millisecond
	c.share.RecordFirstAttempt(at, limits)
	s.firsts[s.now/1000]++
	for s.within() && s.rng.Float64() < shedShare {
		if c.pool == 0 || !c.share.AllowRetry(at, c.rank, limits) {
			return
		}
		c.pool--
		s.arrivals[s.now/1000]++
	}
	if c.left--; c.left > 0 {
		s.pending[s.now+callMs] = append(s.pending[s.now+callMs], c)
		return
	}
	if s.within() {
		s.served[c.rank.Class()]++
	}
}

func shed(pool int, even bool) *shedding {
	s := &shedding{
		rng: rand.New(rand.NewPCG(1, 2)), pool: pool, even: even, pending: map[int][]*chained{}, from: 12_000, to: 20_500,
		arrivals: map[int]int{}, firsts: map[int]int{}, asked: map[rank.Class]int{}, served: map[rank.Class]int{},
	}
	for ; s.now < 22_000; s.now++ {
		s.arrive(rank.Protected, 528)
		s.arrive(rank.Normal, 1031)
		for _, c := range s.pending[s.now] {
			s.call(c)
		}
		delete(s.pending, s.now)
	}
	return s
}

// servedShare is the share of a class that was served while the servers shed.
func (s *shedding) servedShare(c rank.Class) float64 {
	return float64(s.served[c]) / float64(s.asked[c])
}

// TestSheddingServiceSavesWholeRequests: without retries one in 24 is served.
func TestSheddingServiceSavesWholeRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s, even, one := shed(poolThere, false), shed(poolThere, true), shed(1, false)
	t.Logf("protected requests served: %.3f, %.3f where all rank alike, %.3f with one retry each",
		s.servedShare(rank.Protected), even.servedShare(rank.Protected), one.servedShare(rank.Protected))
	g.Expect(s.servedShare(rank.Protected)).To(gomega.BeNumerically(">", 0.4))
	g.Expect(one.servedShare(rank.Protected)).To(gomega.BeNumerically("<", 0.2))
	// The bound of the whole fleet holds in every window.
	for second := range 22 {
		extra, paid, before := 0, 0, 0
		for i := range 10 {
			extra += s.arrivals[second-i]
			paid += s.firsts[second-i]
			before += s.firsts[second-i-10]
		}
		g.Expect(extra).To(gomega.BeNumerically("<=", max(paid, before)/5+len(s.shares)))
	}
}
