package admission

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

const (
	// histogramDecay is the fraction of the arrival histogram kept for the next
	// window.
	histogramDecay = 0.5
	// saturatedUtilization is the utilization below which the level is lowered.
	saturatedUtilization = 0.97
	// maxLoadGrowth bounds the growth factor of the admitted load per window.
	maxLoadGrowth = 2.0
	// baseLevelDrop and idleLevelDrop bound how many ranks the level drops in one
	// window: the first at full utilization, the sum of both with all slots idle.
	// The demand below the level is unknown.
	baseLevelDrop = rank.Cohorts / 8
	idleLevelDrop = rank.Count / 2
	// baseReduction is the fraction of the finished load shed in addition to the
	// measured excess on overload.
	baseReduction = 0.02
	// waitReduction is the further fraction shed when the mean wait reaches its
	// maximum.
	waitReduction = 0.15
	// severeWaitFactor is the multiple of the target wait above which a single
	// window raises the level.
	severeWaitFactor = 2
	// minFinished is the number of finished requests required to evaluate a
	// window in which requests waited.
	minFinished = 16
	// maxWindowStretch is the maximum length of a window with fewer finished
	// requests, in multiples of the configured window.
	maxWindowStretch = 8
)

// levelController adjusts the admission level once per window. On overload it
// reduces the admitted demand to slightly less than the finished load, so that
// the queue drains; with idle slots it admits as much more as they can serve.
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
	// wasOverTarget reports whether the last window's mean wait exceeded the
	// target.
	wasOverTarget bool

	busyIntegral float64
	busyUpdated  time.Duration

	arrivalHist [rank.Total]float32
	histTotal   float64
}

func (c *levelController) recordArrival(r rank.Rank) {
	c.arrivals++
	c.arrivalHist[r%rank.Total]++
	c.histTotal++
}

func (c *levelController) recordFinish() { c.finished++ }

func (c *levelController) recordOverflow() { c.overflows++ }

// recordWait counts a request that leaves the queue after waiting for d, or one
// admitted directly with d = 0.
func (c *levelController) recordWait(d time.Duration) {
	c.admitted++
	c.waitSum += d
}

// windowComplete reports whether the window can be evaluated: it has elapsed, and
// either nothing waited, overflowed or was pushed back, or enough requests
// finished, or it has reached its maximum length.
func (c *levelController) windowComplete(now, window time.Duration) bool {
	if now < c.windowEnd {
		return false
	}
	calm := c.waitSum == 0 && c.overflows == 0 && !c.pushback
	return calm || c.finished >= minFinished || now >= c.windowEnd+(maxWindowStretch-1)*window
}

// updateUtilization adds the utilization since the last update to the window's
// integral.
func (c *levelController) updateUtilization(now time.Duration, inflight int, limit float64) {
	if d := now - c.busyUpdated; d > 0 {
		c.busyIntegral += float64(d) * min(1, float64(inflight)/limit)
	}
	c.busyUpdated = now
}

// closeWindow evaluates the window, adjusts the level and starts the next window.
// target is the mean wait that keeps the slots busy, maxWait the longest allowed.
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
	overTarget := wait > target
	severe := wait > severeWaitFactor*target || c.overflows > c.finished/8 || c.pushback
	switch {
	case severe || overTarget && c.wasOverTarget:
		c.raiseLevel(float64(wait) / float64(maxWait))
	case overTarget:
		// Random bursts fill the queue for one window; demand above the
		// capacity also fills it in the next.
	case c.level > 0 && util < saturatedUtilization:
		c.lowerLevel(util)
	}
	c.wasOverTarget = overTarget
	c.startWindow(now, window)
}

// raiseLevel raises the level until the demand at or above it is slightly less
// than the finished load, so that the queue drains. fill is the mean wait as a
// fraction of the maximum.
func (c *levelController) raiseLevel(fill float64) {
	if c.histTotal <= 0 || c.arrivals == 0 {
		return
	}
	cut := baseReduction + waitReduction*min(1, fill)
	scale := float64(c.arrivals) / c.histTotal
	excess := c.demandAboveLevel()*scale - float64(c.finished)*(1-cut)
	for top := c.highestRank(); excess > 0 && int(c.level) < top; {
		excess -= float64(c.arrivalHist[c.level]) * scale
		c.level++
	}
}

// highestRank returns the highest rank that the level may shed up to: the highest of the kinds,
// or of all where workspaces that go before them have requests.
func (c *levelController) highestRank() int {
	for _, recent := range c.arrivalHist[rank.Count:] {
		if recent > 0 {
			return rank.Total - 1
		}
	}
	return rank.Count - 1
}

// demandAboveLevel returns the recent demand at or above the level.
func (c *levelController) demandAboveLevel() float64 {
	sum := 0.0
	for r := int(c.level); r < rank.Total; r++ {
		sum += float64(c.arrivalHist[r])
	}
	return sum
}

// lowerLevel lowers the level far enough to fill the idle slots. It estimates the
// demand of the ranks below the level by that of the ranks just above it.
func (c *levelController) lowerLevel(util float64) {
	growth := maxLoadGrowth
	if util > 0 {
		growth = min(maxLoadGrowth, 1/util)
	}
	spare := c.demandAboveLevel() * (growth - 1)
	maxStep := baseLevelDrop + int((1-util)*idleLevelDrop)
	step := maxStep
	if d := c.demandPerRank(); d > 0 {
		step = min(maxStep, int(spare/d)+1)
	}
	c.level -= rank.Level(min(step, int(c.level)))
}

// demandPerRank returns the mean demand per rank over the baseLevelDrop ranks from
// the level up.
func (c *levelController) demandPerRank() float64 {
	from := int(c.level)
	to := min(from+baseLevelDrop, rank.Total)
	sum := 0.0
	for r := from; r < to; r++ {
		sum += float64(c.arrivalHist[r])
	}
	if to == from {
		return 0
	}
	return sum / float64(to-from)
}

// startWindow decays the arrival histogram and clears the counters of the window.
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

// quantileEstimate tracks a quantile of a stream of durations in constant space,
// by steps up and down that balance at that quantile.
type quantileEstimate struct {
	value time.Duration
	// sampled is set by observe and cleared by decay.
	sampled bool
}

// idleDecayDivisor is the divisor of the estimate's decrease in a window without
// samples. If all requests are refused for lack of time, no samples arrive, and
// without the decay the estimate would never fall.
const idleDecayDivisor = 16

// decay lowers the estimate if there was no sample since the last call. It is
// called once per window.
func (q *quantileEstimate) decay() {
	if !q.sampled {
		q.value -= q.value / idleDecayDivisor
	}
	q.sampled = false
}

// quantileStep is the sum of the step up and the step down, as a fraction of the
// estimate.
const quantileStep = 1.0 / 16

// observe adds a sample to the estimate of the quantile at, between 0 and 1.
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
