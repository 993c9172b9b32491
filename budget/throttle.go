package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Limits say how many retries a service may get from this node.
type Limits struct {
	// Ratio is the most that retries may be of the first attempts of a window.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Burst is how many retries are allowed beside the ratio.
	Burst int
}

const (
	// slices is how finely a window is counted.
	slicesPerWindow = 10
	// kept is how many slices are remembered: this window, the one before it,
	// and the slice that is being filled.
	sliceCount = 2*slicesPerWindow + 1
)

// Share keeps the retries sent to one service a small share of its first
// attempts, and gives them to the requests that rank highest when there are
// not enough for all.
//
// The load that it answers: all backend servers of a deep service fail half of
// what they get, for less than a window. The first attempts of the window
// before then pay for the retries as well, as long as no window has more than
// the ratio. Spread evenly, the retries save nearly nobody, as a request makes
// several calls there one after the other and needs them all; so they go to the
// requests above a level, which get every retry that they ask for.
//
// First attempts are counted without a lock. Only an attempt that failed takes
// the lock.
type Throttle struct {
	counts [sliceCount]attemptSlice

	mu       sync.Mutex
	level    rank.Level
	lastTick int64
	demand   [rank.Count]float32
}

// slice counts the attempts of a part of a window.
type attemptSlice struct {
	epoch         atomic.Int64
	firstAttempts atomic.Int64
	retries       atomic.Int64
}

// First counts a first attempt. It makes no use of a clock of its own: now is
// the time since any fixed moment.
func (s *Throttle) RecordFirstAttempt(now time.Duration, l Limits) {
	s.currentSlice(now, l).firstAttempts.Add(1)
}

// Repeat counts an attempt that is made in any case and counts as a retry, as
// it belongs to a run that was itself a repeat.
func (s *Throttle) RecordRetry(now time.Duration, l Limits) { s.currentSlice(now, l).retries.Add(1) }

// Spend decides over a retry of a request and counts it if it is granted.
func (s *Throttle) AllowRetry(now time.Duration, r rank.Rank, l Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, left := s.allowance(now, l)
	s.adjustLevel(now, all, left, l)
	s.demand[r%rank.Count]++
	if left < 1 || rank.Level(r) < s.level {
		return false
	}
	s.RecordRetry(now, l)
	return true
}

// epochOf numbers the slices of time from 1, so that 0 is a slice never used.
func epochAt(now time.Duration, l Limits) int64 {
	return int64(now/max(1, l.Window/slicesPerWindow)) + 1
}

// slice returns the counts of the time now. A slice that is reused is emptied
// by whoever comes first; a count that races with it is lost.
func (s *Throttle) currentSlice(now time.Duration, l Limits) *attemptSlice {
	epoch := epochAt(now, l)
	c := &s.counts[epoch%sliceCount]
	if old := c.epoch.Load(); old != epoch && c.epoch.CompareAndSwap(old, epoch) {
		c.firstAttempts.Store(0)
		c.retries.Store(0)
	}
	return c
}

// allowed returns how many retries a window may have, and how many of them are
// left. The first attempts that pay are those of the window until now, the one
// half a window earlier or the one before it, whichever has most.
func (s *Throttle) allowance(now time.Duration, l Limits) (all, left float64) {
	epoch := epochAt(now, l)
	var paid [3]int64
	var repeats int64
	for i := range s.counts {
		c := &s.counts[i]
		age := epoch - c.epoch.Load()
		if age <= slicesPerWindow {
			repeats += c.retries.Load()
		}
		for w := range paid {
			if from := int64(w) * slicesPerWindow / 2; age >= from && age < from+slicesPerWindow {
				paid[w] += c.firstAttempts.Load()
			}
		}
	}
	all = l.Ratio*float64(max(paid[0], paid[1], paid[2])) + float64(l.Burst)
	return all, all - float64(repeats)
}

const (
	// ticks is how often in a window the level moves.
	ticksPerWindow = 100
	// wantedKeep is the share of the wanted retries that a tick leaves: they
	// are remembered for about five ticks.
	demandDecay = 0.8
	// haste is how much faster than evenly over a window protected requests may
	// spend what is left: a failure that ends within the window gets all of it, and a
	// longer one goes without for a moment.
	protectedSpeedup = 1.5
	// freely is how many retries may be wanted within the memory before any is
	// denied for its rank: a few failures say nothing of a scarcity.
	minSupply = 4
	// levelFall bounds how far the level falls in a tick: below it the demand
	// is underestimated, as a request that fails asks for no more.
	maxLevelDrop = rank.Cohorts / 4
)

// adjust moves the level once a tick, to where the retries wanted above it are
// what may be spent while they are remembered.
func (s *Throttle) adjustLevel(now time.Duration, all, left float64, l Limits) {
	tick := int64(now / max(1, l.Window/ticksPerWindow))
	if tick == s.lastTick {
		return
	}
	s.decayDemand(tick - s.lastTick - 1)
	memory := 1 / (1 - demandDecay) / ticksPerWindow
	// A window is counted with one slice more, which is there only in part.
	even := all * memory * slicesPerWindow / (slicesPerWindow + 1)
	s.level = s.lowestLevelFor(min(left, max(even, minSupply)))
	if protected := rank.Level(rank.Make(rank.Protected, 0)); s.level > protected {
		s.level = max(protected, s.lowestLevelFor(min(left, max(even, protectedSpeedup*left*memory))))
	}
	s.decayDemand(1)
	s.lastTick = tick
}

// fade forgets what was wanted over a number of ticks.
func (s *Throttle) decayDemand(n int64) {
	if n <= 0 {
		return
	}
	keep := float32(math.Pow(demandDecay, float64(n)))
	for i := range s.demand {
		s.demand[i] *= keep
	}
}

// levelFor returns the lowest level above which no more is wanted than supply,
// but not far below the last one.
func (s *Throttle) lowestLevelFor(supply float64) rank.Level {
	sum := 0.0
	r := rank.Count
	for r > 0 && sum+float64(s.demand[r-1]) <= supply {
		r--
		sum += float64(s.demand[r])
	}
	return max(rank.Level(r), s.level-min(s.level, maxLevelDrop))
}
