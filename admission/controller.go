package admission

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

const (
	// keep is the share of the arrival histogram that a new window keeps.
	histogramDecay = 0.5
	// openBelow is the utilisation under which the level is lowered.
	saturatedUtilization = 0.97
	// maxOpen bounds the growth of admitted load in one window.
	maxLoadGrowth = 2.0
	// openRanks and idleRanks bound how far the level falls in one window,
	// with no slot idle and in addition with all idle: below the level the
	// demand is not known.
	baseLevelDrop = rank.Cohorts / 8
	idleLevelDrop = rank.Count / 2
	// baseCut is the share cut beyond the measured excess on overload.
	baseReduction = 0.02
	// waitCut is the further share cut when the wait is at its maximum.
	waitReduction = 0.15
	// severeFactor is how many targets the wait must reach to act after one
	// window.
	severeWaitFactor = 2
	// minFinished is how many requests a window needs to judge an overload.
	minFinished = 16
	// maxStretch is how many windows long a window with fewer may become.
	maxWindowStretch = 8
)

// controller moves the admission level once a window. On overload it cuts
// the admitted demand down to what was finished, less a little to drain the
// queue; with slots idle it admits as much more as they could serve.
type levelController struct {
	level       rank.Level
	windowStart time.Duration
	windowEnd   time.Duration
	arrivals    int
	admitted    int
	finished    int
	waitSum     time.Duration
	overflows   int
	pushback    bool
	// wasOver is set if the last window's wait was above the target.
	wasOverTarget bool

	busyIntegral float64
	busyUpdated  time.Duration

	arrivalHist [rank.Count]float32
	histTotal   float64
}

func (c *levelController) recordArrival(r rank.Rank) {
	c.arrivals++
	c.arrivalHist[r%rank.Count]++
	c.histTotal++
}

func (c *levelController) recordFinish() { c.finished++ }

func (c *levelController) recordOverflow() { c.overflows++ }

// waited counts a request that leaves the queue, or d = 0 for one that never
// stood in it.
func (c *levelController) recordWait(d time.Duration) {
	c.admitted++
	c.waitSum += d
}

// due tells whether the window can be judged: its time has passed and enough
// requests finished in it, or none had to wait, or it is long overdue.
func (c *levelController) windowComplete(now, window time.Duration) bool {
	if now < c.windowEnd {
		return false
	}
	calm := c.waitSum == 0 && c.overflows == 0 && !c.pushback
	return calm || c.finished >= minFinished || now >= c.windowEnd+(maxWindowStretch-1)*window
}

// account adds the utilisation since the last event to the window's integral.
func (c *levelController) updateUtilization(now time.Duration, inflight int, limit float64) {
	if d := now - c.busyUpdated; d > 0 {
		c.busyIntegral += float64(d) * min(1, float64(inflight)/limit)
	}
	c.busyUpdated = now
}

// close ends the window, moves the level and starts the next window. target
// is the mean wait that keeps the slots busy, maxWait the longest allowed.
func (c *levelController) closeWindow(now, window, target, maxWait time.Duration) {
	elapsed := now - c.windowStart
	util := 0.0
	if elapsed > 0 {
		util = c.busyIntegral / float64(elapsed)
	}
	wait := time.Duration(0)
	if c.admitted > 0 {
		wait = c.waitSum / time.Duration(c.admitted)
	}
	over := wait > target
	severe := wait > severeWaitFactor*target || c.overflows > c.finished/8 || c.pushback
	switch {
	case severe || over && c.wasOverTarget:
		c.raiseLevel(float64(wait) / float64(maxWait))
	case over:
		// Chance arrivals fill a queue for one window; demand beyond the
		// capacity fills it for the next as well.
	case c.level > 0 && util < saturatedUtilization:
		c.lowerLevel(util)
	}
	c.wasOverTarget = over
	c.startWindow(now, window)
}

// tighten raises the level until the demand above it is what was finished,
// less a little to drain the queue. fill is how full the queue is, in time.
func (c *levelController) raiseLevel(fill float64) {
	if c.histTotal <= 0 || c.arrivals == 0 {
		return
	}
	cut := baseReduction + waitReduction*min(1, fill)
	scale := float64(c.arrivals) / c.histTotal
	excess := c.demandAboveLevel()*scale - float64(c.finished)*(1-cut)
	for excess > 0 && int(c.level) < rank.Count-1 {
		excess -= float64(c.arrivalHist[c.level]) * scale
		c.level++
	}
}

// above is the recent demand at or above the level.
func (c *levelController) demandAboveLevel() float64 {
	sum := 0.0
	for r := int(c.level); r < rank.Count; r++ {
		sum += float64(c.arrivalHist[r])
	}
	return sum
}

// open lowers the level far enough to fill the idle slots, judging the
// demand of the ranks below by that of the ranks just above.
func (c *levelController) lowerLevel(util float64) {
	grow := maxLoadGrowth
	if util > 0 {
		grow = min(maxLoadGrowth, 1/util)
	}
	room := c.demandAboveLevel() * (grow - 1)
	most := baseLevelDrop + int((1-util)*idleLevelDrop)
	step := most
	if d := c.demandPerRank(); d > 0 {
		step = min(most, int(room/d)+1)
	}
	c.level -= rank.Level(min(step, int(c.level)))
}

// density is the mean demand per rank in the part of a class above the level.
func (c *levelController) demandPerRank() float64 {
	from := int(c.level)
	to := min(from+baseLevelDrop, rank.Count)
	sum := 0.0
	for r := from; r < to; r++ {
		sum += float64(c.arrivalHist[r])
	}
	if to == from {
		return 0
	}
	return sum / float64(to-from)
}

func (c *levelController) startWindow(now, window time.Duration) {
	for i := range c.arrivalHist {
		c.arrivalHist[i] *= histogramDecay
	}
	c.histTotal *= histogramDecay
	c.windowStart = now
	c.windowEnd = now + window
	c.arrivals = 0
	c.finished = 0
	c.admitted = 0
	c.waitSum = 0
	c.overflows = 0
	c.pushback = false
	c.busyIntegral = 0
	c.busyUpdated = now
}

// quantile follows a quantile of a stream of durations with one word of
// state, by steps up and down that are balanced at that quantile.
type quantileEstimate struct {
	value time.Duration
	// fresh is set by each sample and cleared by fade.
	sampled bool
}

// fadeShare is the part of a quantile that a window without a sample takes
// away: where everything is refused for want of time there are no samples, and
// the estimate must not keep it so.
const idleDecayDivisor = 16

// fade is called once a window.
func (q *quantileEstimate) decay() {
	if !q.sampled {
		q.value -= q.value / idleDecayDivisor
	}
	q.sampled = false
}

// quantileStep is the step as a share of the value, before it is split.
const quantileStep = 1.0 / 16

func (q *quantileEstimate) observe(d time.Duration, at float64) {
	q.sampled = true
	switch {
	case q.value == 0:
		q.value = d / 2
	case d > q.value:
		q.value += time.Duration(float64(q.value)*quantileStep*at) + 1
	default:
		q.value -= time.Duration(float64(q.value) * quantileStep * (1 - at))
	}
}
