package budget

import (
	"math"
	"sync"
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Limits configures a Throttle.
type Limits struct {
	// Ratio is the maximum ratio of retries to first attempts in a window.
	Ratio float64
	// Window is the period over which attempts are counted.
	Window time.Duration
	// Burst is the number of retries allowed in addition to the ratio.
	Burst int
}

const (
	// slicesPerWindow is the number of slices in which a window is counted.
	slicesPerWindow = 10
	// sliceCount is the number of slices kept: the current and previous windows
	// and the slice being filled.
	sliceCount = 2*slicesPerWindow + 1
)

// Throttle limits the retries sent to one service to a ratio of its first attempts,
// and prefers requests of higher rank when there are not enough for all. It is safe
// for concurrent use.
//
// First attempts of the previous window also fund retries, so that a short outage
// of all backend servers can be retried, such as a deep service that fails half of
// its requests for less than a window. A request that makes several calls to the
// service fails unless each of them succeeds; retries therefore go to requests at or
// above a level, which get all that they ask for, instead of being spread evenly.
//
// Recording a first attempt takes no lock; AllowRetry does.
type Throttle struct {
	counts [sliceCount]attemptSlice

	mu       sync.Mutex
	level    rank.Level
	lastTick int64
	demand   [rank.Total]float32
}

// RecordFirstAttempt counts a first attempt. now is the time since a fixed moment.
func (t *Throttle) RecordFirstAttempt(now time.Duration, l Limits) {
	t.currentSlice(now, l).firstAttempts.Add(1)
}

// RecordRetry counts an attempt as a retry without asking for permission, for
// example one of an execution that is itself a repeat.
func (t *Throttle) RecordRetry(now time.Duration, l Limits) { t.currentSlice(now, l).retries.Add(1) }

// AllowRetry decides on a retry for a request of rank r, and counts it if allowed.
func (t *Throttle) AllowRetry(now time.Duration, r rank.Rank, l Limits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, left := t.allowance(now, l)
	t.adjustLevel(now, total, left, l)
	t.demand[r%rank.Total]++
	if left < 1 || rank.Level(r) < t.level {
		return false
	}
	t.RecordRetry(now, l)
	return true
}

// currentSlice returns the slice at now.
func (t *Throttle) currentSlice(now time.Duration, l Limits) *attemptSlice {
	return sliceAt(t.counts[:], epochAt(now, l.Window, slicesPerWindow))
}

// allowance returns how many retries a window may have in total, and how many are
// left. The total is funded by the highest first-attempt count of three windows:
// the current one, the one half a window earlier and the previous one.
func (t *Throttle) allowance(now time.Duration, l Limits) (total, left float64) {
	epoch := epochAt(now, l.Window, slicesPerWindow)
	var funding [3]int64
	var repeats int64
	for i := range t.counts {
		c := &t.counts[i]
		age := epoch - c.epoch.Load()
		if age <= slicesPerWindow {
			repeats += c.retries.Load()
		}
		for w := range funding {
			if from := int64(w) * slicesPerWindow / 2; age >= from && age < from+slicesPerWindow {
				funding[w] += c.firstAttempts.Load()
			}
		}
	}
	total = l.Ratio*float64(max(funding[0], funding[1], funding[2])) + float64(l.Burst)
	return total, total - float64(repeats)
}

const (
	// ticksPerWindow is the number of level adjustments per window.
	ticksPerWindow = 100
	// demandDecay is the fraction of the recorded demand kept per tick; the
	// demand is remembered for about five ticks.
	demandDecay = 0.8
	// protectedSpeedup is how much faster than evenly over a window protected
	// requests may spend the retries left, so that an outage shorter than the
	// window can use all of them.
	protectedSpeedup = 1.5
	// minSupply is the remembered demand up to which no retry is denied for its
	// rank, provided that enough retries are left.
	minSupply = 4
	// maxLevelDrop bounds the drop of the level per tick. The demand below the
	// level is underestimated, as a request that failed asks for no more retries.
	maxLevelDrop = rank.Cohorts / 4
)

// adjustLevel sets the level, once per tick, so that the remembered demand at or
// above it matches the retries that may be spent in that time.
func (t *Throttle) adjustLevel(now time.Duration, total, left float64, l Limits) {
	tick := int64(now / max(1, l.Window/ticksPerWindow))
	if tick == t.lastTick {
		return
	}
	t.decayDemand(tick - t.lastTick - 1)
	memory := 1 / (1 - demandDecay) / ticksPerWindow
	// The count covers one more slice, which is only partially filled.
	evenSupply := total * memory * slicesPerWindow / (slicesPerWindow + 1)
	t.level = t.lowestLevelFor(min(left, max(evenSupply, minSupply)))
	if protected := rank.Level(rank.Make(rank.Protected, 0)); t.level > protected {
		t.level = max(protected, t.lowestLevelFor(min(left, max(evenSupply, protectedSpeedup*left*memory))))
	}
	t.decayDemand(1)
	t.lastTick = tick
}

// decayDemand decays the recorded demand by n ticks.
func (t *Throttle) decayDemand(n int64) {
	if n <= 0 {
		return
	}
	keep := float32(math.Pow(demandDecay, float64(n)))
	for i := range t.demand {
		t.demand[i] *= keep
	}
}

// lowestLevelFor returns the lowest level at or above which the demand does not
// exceed supply, at most maxLevelDrop below the current level.
func (t *Throttle) lowestLevelFor(supply float64) rank.Level {
	sum := 0.0
	r := rank.Total
	for r > 0 && sum+float64(t.demand[r-1]) <= supply {
		r--
		sum += float64(t.demand[r])
	}
	return max(rank.Level(r), t.level-min(t.level, maxLevelDrop))
}
