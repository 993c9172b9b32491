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
var testLimits = Limits{Ratio: 0.16, Window: 10 * time.Second, Burst: 1}

// top is a rank that no scarcity short of an empty budget denies.
const topRank = rank.Count - 1

// TestShareBoundsRetries checks, for random loads and at every moment, that the
// retries of the window until then are within the ratio of the better of the
// two windows, each counted to a slice.
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
			// Two slices are counted in part.
			around := testLimits.Window + 2*testLimits.Window/slicesPerWindow
			paid := max(
				count(firsts, now-around, now),
				count(firsts, now-testLimits.Window/2-around, now-testLimits.Window/2+testLimits.Window/slicesPerWindow),
				count(firsts, now-2*around, now-testLimits.Window+testLimits.Window/slicesPerWindow),
			)
			if got := count(retries, now-testLimits.Window, now); float64(got) > testLimits.Ratio*float64(paid)+float64(testLimits.Burst) {
				t.Fatalf("%d retries in a window, %d first attempts paid for them", got, paid)
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
	g.Expect(s.AllowRetry(40*time.Second, topRank, testLimits)).To(gomega.BeTrue(), "the burst is there again")
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
	g.Expect(granted[rank.Normal]).To(gomega.BeNumerically(">", 0), "what is left is used")
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
	g.Expect(s.AllowRetry(12*time.Second, topRank, testLimits)).To(gomega.BeTrue(), "they have left the window")
}

// chained is a request that makes calls to one service one after the other.
type chainedRequest struct {
	rank      rank.Rank
	callsLeft int
	pool      int
	share     *Throttle
}

// shedding replays a service all of whose backend servers turn away a share of
// the requests for some seconds, while requests that make four calls to it go
// on at the load of a busy day.
type sheddingModel struct {
	rng  *rand.Rand
	now  int // ms
	pool int
	// even makes all requests rank alike.
	equalRanks               bool
	shares                   [4]Throttle
	pending                  map[int][]*chainedRequest
	sheddingFrom, sheddingTo int
	retries                  map[int]int // second -> attempts beyond the first
	firstAttempts            map[int]int
	asked                    map[rank.Class]int
	served                   map[rank.Class]int
}

const (
	// shedShare is the share of the requests that the servers turn away.
	rejectionRatio = 0.55
	// poolThere is what is left of 24 retries of a request for these calls, as
	// they are made three calls further down.
	remainingBudget = 9
	// callsEach is how many calls a request makes.
	callsPerRequest = 4
	callDurationMs  = 20
)

func (s *sheddingModel) arrive(class rank.Class, perSecond float64) {
	for n := perSecond / 1000; s.rng.Float64() < n; n-- {
		c := &chainedRequest{
			rank: rank.Make(class, uint8(s.rng.IntN(rank.Cohorts))), callsLeft: callsPerRequest, pool: s.pool,
			share: &s.shares[s.rng.IntN(len(s.shares))],
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
	c.share.RecordFirstAttempt(at, testLimits)
	s.firstAttempts[s.now/1000]++
	for s.isShedding() && s.rng.Float64() < rejectionRatio {
		if c.pool == 0 || !c.share.AllowRetry(at, c.rank, testLimits) {
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

// servedShare is the share of a class that was served while the servers shed.
func (s *sheddingModel) servedRatio(c rank.Class) float64 {
	return float64(s.served[c]) / float64(s.asked[c])
}

// TestSheddingServiceSavesWholeRequests: without retries one in 24 is served.
func TestThrottleCompletesWholeRequestsDuringShedding(t *testing.T) {
	g := gomega.NewWithT(t)
	s, even, one := simulateShedding(remainingBudget, false), simulateShedding(remainingBudget, true), simulateShedding(1, false)
	t.Logf("protected requests served: %.3f, %.3f where all rank alike, %.3f with one retry each",
		s.servedRatio(rank.Protected), even.servedRatio(rank.Protected), one.servedRatio(rank.Protected))
	g.Expect(s.servedRatio(rank.Protected)).To(gomega.BeNumerically(">", 0.4))
	g.Expect(one.servedRatio(rank.Protected)).To(gomega.BeNumerically("<", 0.2))
	// The bound of the whole fleet holds in every window.
	for second := range 22 {
		extra, paid, before := 0, 0, 0
		for i := range 10 {
			extra += s.retries[second-i]
			paid += s.firstAttempts[second-i]
			before += s.firstAttempts[second-i-10]
		}
		g.Expect(extra).To(gomega.BeNumerically("<=", max(paid, before)/5+len(s.shares)))
	}
}
