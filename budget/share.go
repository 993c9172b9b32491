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
	slices = 10
	// kept is how many slices are remembered: this window, the one before it,
	// and the slice that is being filled.
	kept = 2*slices + 1
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
	counts [kept]slice

	mu     sync.Mutex
	level  rank.Level
	closed int64
	wanted [rank.Count]float32
}

// slice counts the attempts of a part of a window.
type slice struct {
	epoch   atomic.Int64
	first   atomic.Int64
	repeats atomic.Int64
}

// First counts a first attempt. It makes no use of a clock of its own: now is
// the time since any fixed moment.
func (s *Throttle) RecordFirstAttempt(now time.Duration, l Limits) { s.slice(now, l).first.Add(1) }

// Repeat counts an attempt that is made in any case and counts as a retry, as
// it belongs to a run that was itself a repeat.
func (s *Throttle) RecordRetry(now time.Duration, l Limits) { s.slice(now, l).repeats.Add(1) }

// Spend decides over a retry of a request and counts it if it is granted.
func (s *Throttle) AllowRetry(now time.Duration, r rank.Rank, l Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, left := s.allowed(now, l)
	s.adjust(now, all, left, l)
	s.wanted[r%rank.Count]++
	if left < 1 || rank.Level(r) < s.level {
		return false
	}
	s.RecordRetry(now, l)
	return true
}

// epochOf numbers the slices of time from 1, so that 0 is a slice never used.
func epochOf(now time.Duration, l Limits) int64 {
	return int64(now/max(1, l.Window/slices)) + 1
}

// slice returns the counts of the time now. A slice that is reused is emptied
// by whoever comes first; a count that races with it is lost.
func (s *Throttle) slice(now time.Duration, l Limits) *slice {
	epoch := epochOf(now, l)
	c := &s.counts[epoch%kept]
	if old := c.epoch.Load(); old != epoch && c.epoch.CompareAndSwap(old, epoch) {
		c.first.Store(0)
		c.repeats.Store(0)
	}
	return c
}

// allowed returns how many retries a window may have, and how many of them are
// left. The first attempts that pay are those of the window until now, the one
// half a window earlier or the one before it, whichever has most.
func (s *Throttle) allowed(now time.Duration, l Limits) (all, left float64) {
	epoch := epochOf(now, l)
	var paid [3]int64
	var repeats int64
	for i := range s.counts {
		c := &s.counts[i]
		age := epoch - c.epoch.Load()
		if age <= slices {
			repeats += c.repeats.Load()
		}
		for w := range paid {
			if from := int64(w) * slices / 2; age >= from && age < from+slices {
				paid[w] += c.first.Load()
			}
		}
	}
	all = l.Ratio*float64(max(paid[0], paid[1], paid[2])) + float64(l.Burst)
	return all, all - float64(repeats)
}

const (
	// ticks is how often in a window the level moves.
	ticks = 100
	// wantedKeep is the share of the wanted retries that a tick leaves: they
	// are remembered for about five ticks.
	wantedKeep = 0.8
	// haste is how much faster than evenly over a window protected requests may
	// spend what is left: a failure that ends within the window gets all of it, and a
	// longer one goes without for a moment.
	haste = 1.5
	// freely is how many retries may be wanted within the memory before any is
	// denied for its rank: a few failures say nothing of a scarcity.
	freely = 4
	// levelFall bounds how far the level falls in a tick: below it the demand
	// is underestimated, as a request that fails asks for no more.
	levelFall = rank.Cohorts / 4
)

// adjust moves the level once a tick, to where the retries wanted above it are
// what may be spent while they are remembered.
func (s *Throttle) adjust(now time.Duration, all, left float64, l Limits) {
	tick := int64(now / max(1, l.Window/ticks))
	if tick == s.closed {
		return
	}
	s.fade(tick - s.closed - 1)
	memory := 1 / (1 - wantedKeep) / ticks
	// A window is counted with one slice more, which is there only in part.
	even := all * memory * slices / (slices + 1)
	s.level = s.levelFor(min(left, max(even, freely)))
	if protected := rank.Level(rank.Make(rank.Protected, 0)); s.level > protected {
		s.level = max(protected, s.levelFor(min(left, max(even, haste*left*memory))))
	}
	s.fade(1)
	s.closed = tick
}

// fade forgets what was wanted over a number of ticks.
func (s *Throttle) fade(n int64) {
	if n <= 0 {
		return
	}
	keep := float32(math.Pow(wantedKeep, float64(n)))
	for i := range s.wanted {
		s.wanted[i] *= keep
	}
}

// levelFor returns the lowest level above which no more is wanted than supply,
// but not far below the last one.
func (s *Throttle) levelFor(supply float64) rank.Level {
	sum := 0.0
	r := rank.Count
	for r > 0 && sum+float64(s.wanted[r-1]) <= supply {
		r--
		sum += float64(s.wanted[r])
	}
	return max(rank.Level(r), s.level-min(s.level, levelFall))
}
