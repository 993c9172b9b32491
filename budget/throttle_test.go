package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/rank"
)

// testLimits sets a ratio below a fifth, as the sum over nodes may exceed the ratio.
var testLimits = Limits{Ratio: 0.16, Window: 10 * time.Second, Burst: 1}

// topRank is the highest rank, which only an exhausted budget denies.
const topRank = rank.Count - 1

// TestThrottleBoundsRetryRatio checks for random loads that the retries of a window
// never exceed the ratio of the first attempts that fund them.
func TestThrottleBoundsRetryRatio(t *testing.T) {
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
				s.RecordFirstAttempt(now, testLimits)
				firsts = append(firsts, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "failures") {
				if s.AllowRetry(now, rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "rank")), testLimits) {
					retries = append(retries, now)
				}
			}
			// Two slices are counted partially.
			around := testLimits.Window + 2*testLimits.Window/slicesPerWindow
			paid := max(
				count(firsts, now-around, now),
				count(firsts, now-testLimits.Window/2-around, now-testLimits.Window/2+testLimits.Window/slicesPerWindow),
				count(firsts, now-2*around, now-testLimits.Window+testLimits.Window/slicesPerWindow),
			)
			if got := count(retries, now-testLimits.Window, now); float64(got) > testLimits.Ratio*float64(paid)+float64(testLimits.Burst) {
				t.Fatalf("%d retries in a window funded by %d first attempts", got, paid)
			}
		}
	})
}

func TestPreviousWindowFundsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for i := range 1000 {
		s.RecordFirstAttempt(time.Duration(i)*10*time.Millisecond, testLimits)
	}
	granted := 0
	for s.AllowRetry(14*time.Second, topRank, testLimits) {
		granted++
	}
	g.Expect(granted).To(gomega.BeNumerically("~", 160, 2))
	g.Expect(s.AllowRetry(40*time.Second, topRank, testLimits)).To(gomega.BeTrue(), "the burst is available again")
	g.Expect(s.AllowRetry(40*time.Second, topRank, testLimits)).To(gomega.BeFalse(), "nothing was sent for two windows")
}

func TestThrottlePrefersHigherClasses(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	granted := map[rank.Class]int{}
	asked := map[rank.Class]int{}
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 20_000 {
		now := time.Duration(i) * time.Millisecond
		s.RecordFirstAttempt(now, testLimits)
		class := rank.Normal
		if i%8 == 0 {
			class = rank.Protected
		}
		if i < 10_000 || i%2 == 1 && class == rank.Normal {
			continue
		}
		asked[class]++
		if s.AllowRetry(now, rank.Make(class, uint8(rng.IntN(rank.Cohorts))), testLimits) {
			granted[class]++
		}
	}
	g.Expect(granted[rank.Protected]).To(gomega.BeNumerically(">=", asked[rank.Protected]*95/100))
	g.Expect(granted[rank.Normal]).To(gomega.BeNumerically("<", asked[rank.Normal]/4))
	g.Expect(granted[rank.Normal]).To(gomega.BeNumerically(">", 0), "remaining retries are used")
}

func TestFewFailuresAreRetriedAtAnyRank(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for i := range 500 {
		now := time.Duration(i) * 20 * time.Millisecond
		s.RecordFirstAttempt(now, testLimits)
		if i > 100 && i%20 == 0 {
			g.Expect(s.AllowRetry(now, 0, testLimits)).To(gomega.BeTrue())
		}
	}
}

func TestRecordedRetriesCountAgainstRatio(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Throttle
	for range 100 {
		s.RecordFirstAttempt(time.Second, testLimits)
	}
	for range 17 {
		s.RecordRetry(time.Second, testLimits)
	}
	g.Expect(s.AllowRetry(time.Second, topRank, testLimits)).To(gomega.BeFalse())
	g.Expect(s.AllowRetry(12*time.Second, topRank, testLimits)).To(gomega.BeTrue(), "recorded retries have left the window")
}

// chainedRequest is a request that makes sequential calls to one service.
type chainedRequest struct {
	rank      rank.Rank
	callsLeft int
	pool      int
	throttle  *Throttle
}

// sheddingModel simulates a service whose backend servers all reject a fraction of
// the requests for some seconds, under a load of requests that make four calls each.
type sheddingModel struct {
	rng  *rand.Rand
	now  int // ms
	pool int
	// equalRanks gives all requests of a class the same rank.
	equalRanks               bool
	throttles                [4]Throttle
	pending                  map[int][]*chainedRequest
	sheddingFrom, sheddingTo int
	retries                  map[int]int // by second
	firstAttempts            map[int]int
	asked                    map[rank.Class]int
	served                   map[rank.Class]int
}

const (
	// rejectionRatio is the fraction of requests that the servers reject.
	rejectionRatio = 0.55
	// remainingBudget is the retry budget left of 24 after three nested leases.
	remainingBudget = 9
	// callsPerRequest is the number of sequential calls of a request.
	callsPerRequest = 4
	callDurationMs  = 20
)

func (s *sheddingModel) arrive(class rank.Class, perSecond float64) {
	for n := perSecond / 1000; s.rng.Float64() < n; n-- {
		c := &chainedRequest{
			rank: rank.Make(class, uint8(s.rng.IntN(rank.Cohorts))), callsLeft: callsPerRequest, pool: s.pool,
			throttle: &s.throttles[s.rng.IntN(len(s.throttles))],
		}
		if s.isShedding() {
			s.asked[class]++
		}
		if s.equalRanks {
			c.rank = rank.Make(class, 0)
		}
		s.call(c)
	}
}

func (s *sheddingModel) isShedding() bool { return s.now >= s.sheddingFrom && s.now < s.sheddingTo }

func (s *sheddingModel) call(c *chainedRequest) {
	at := time.Duration(s.now) * time.Millisecond
	c.throttle.RecordFirstAttempt(at, testLimits)
	s.firstAttempts[s.now/1000]++
	for s.isShedding() && s.rng.Float64() < rejectionRatio {
		if c.pool == 0 || !c.throttle.AllowRetry(at, c.rank, testLimits) {
			return
		}
		c.pool--
		s.retries[s.now/1000]++
	}
	if c.callsLeft--; c.callsLeft > 0 {
		s.pending[s.now+callDurationMs] = append(s.pending[s.now+callDurationMs], c)
		return
	}
	if s.isShedding() {
		s.served[c.rank.Class()]++
	}
}

func simulateShedding(pool int, even bool) *sheddingModel {
	s := &sheddingModel{
		rng: rand.New(rand.NewPCG(1, 2)), pool: pool, equalRanks: even, pending: map[int][]*chainedRequest{}, sheddingFrom: 12_000, sheddingTo: 20_500,
		retries: map[int]int{}, firstAttempts: map[int]int{}, asked: map[rank.Class]int{}, served: map[rank.Class]int{},
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

// servedRatio returns the fraction of a class served while the servers shed load.
func (s *sheddingModel) servedRatio(c rank.Class) float64 {
	return float64(s.served[c]) / float64(s.asked[c])
}

// TestThrottleCompletesWholeRequestsDuringShedding guards against retries spread so
// thinly that hardly any request completes all its calls.
func TestThrottleCompletesWholeRequestsDuringShedding(t *testing.T) {
	g := gomega.NewWithT(t)
	s, even, one := simulateShedding(remainingBudget, false), simulateShedding(remainingBudget, true), simulateShedding(1, false)
	t.Logf("protected requests served: %.3f, %.3f with equal ranks, %.3f with one retry each",
		s.servedRatio(rank.Protected), even.servedRatio(rank.Protected), one.servedRatio(rank.Protected))
	g.Expect(s.servedRatio(rank.Protected)).To(gomega.BeNumerically(">", 0.4))
	g.Expect(one.servedRatio(rank.Protected)).To(gomega.BeNumerically("<", 0.2))
	// The bound over all nodes holds in every window.
	for second := range 22 {
		extra, paid, before := 0, 0, 0
		for i := range 10 {
			extra += s.retries[second-i]
			paid += s.firstAttempts[second-i]
			before += s.firstAttempts[second-i-10]
		}
		g.Expect(extra).To(gomega.BeNumerically("<=", max(paid, before)/5+len(s.throttles)))
	}
}
