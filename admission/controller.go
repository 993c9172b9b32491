package admission

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

const (
	// keep is the share of the arrival histogram that a new window keeps.
	keep = 0.5
	// openBelow is the utilisation under which the level is lowered.
	openBelow = 0.97
	// maxOpen bounds the growth of admitted load in one window.
	maxOpen = 1.3
	// maxOpenRanks bounds how far the level falls in one window: below it
	// the demand is not known.
	maxOpenRanks = rank.Cohorts / 4
	// baseCut is the share cut beyond the measured excess on overload.
	baseCut = 0.02
	// waitCut is the further share cut when the wait is at its maximum.
	waitCut = 0.15
)

// controller moves the admission level once a window. On overload it cuts
// the admitted demand down to what was finished, less a little to drain the
// queue; with slots idle it admits as much more as they could serve.
type controller struct {
	level    rank.Level
	start    time.Duration
	end      time.Duration
	arrivals int
	finished int
	waits    int
	waitSum  time.Duration
	overflew int
	pushback bool

	busySum  float64
	busyLast time.Duration

	hist  [rank.Count]float32
	total float64
}

func (c *controller) arrive(r rank.Rank) {
	c.arrivals++
	c.hist[r%rank.Count]++
	c.total++
}

func (c *controller) done() { c.finished++ }

func (c *controller) overflow() { c.overflew++ }

func (c *controller) waited(d time.Duration) {
	c.waits++
	c.waitSum += d
}

// account adds the utilisation since the last event to the window's integral.
func (c *controller) account(now time.Duration, inflight int, limit float64) {
	if d := now - c.busyLast; d > 0 {
		c.busySum += float64(d) * min(1, float64(inflight)/limit)
	}
	c.busyLast = now
}

// close ends the window, moves the level and starts the next window.
func (c *controller) close(now time.Duration, o Options) {
	elapsed := now - c.start
	util := 0.0
	if elapsed > 0 {
		util = c.busySum / float64(elapsed)
	}
	wait := time.Duration(0)
	if c.waits > 0 {
		wait = c.waitSum / time.Duration(max(c.arrivals, c.waits))
	}
	switch {
	case wait > o.QueueTarget || c.overflew > 0 || c.pushback:
		c.tighten(wait, o)
	case c.level > 0 && util < openBelow:
		c.open(util)
	}
	c.reset(now, o.Window)
}

func (c *controller) tighten(wait time.Duration, o Options) {
	cut := baseCut
	if o.QueueWait > 0 {
		cut += waitCut * min(1, float64(wait)/float64(o.QueueWait))
	}
	target := float64(c.finished) * (1 - cut)
	admitted := 0.0
	for r := int(c.level); r < rank.Count; r++ {
		admitted += float64(c.hist[r])
	}
	if c.total <= 0 || c.arrivals == 0 {
		return
	}
	scale := float64(c.arrivals) / c.total
	excess := admitted*scale - target
	for excess > 0 && int(c.level) < rank.Count-1 {
		excess -= float64(c.hist[c.level]) * scale
		c.level++
	}
}

// open lowers the level far enough to fill the idle slots, judging the
// demand of the ranks below by that of the ranks just above.
func (c *controller) open(util float64) {
	grow := maxOpen
	if util > 0 {
		grow = min(maxOpen, 1/util)
	}
	above := 0.0
	for r := int(c.level); r < rank.Count; r++ {
		above += float64(c.hist[r])
	}
	room := above * (grow - 1)
	density := c.density()
	step := maxOpenRanks
	if density > 0 {
		step = int(room/density) + 1
	}
	step = min(step, maxOpenRanks)
	c.level -= rank.Level(min(step, int(c.level)))
}

// density is the mean demand per rank in the quarter class above the level.
func (c *controller) density() float64 {
	from := int(c.level)
	to := min(from+maxOpenRanks, rank.Count)
	sum := 0.0
	for r := from; r < to; r++ {
		sum += float64(c.hist[r])
	}
	if to == from {
		return 0
	}
	return sum / float64(to-from)
}

func (c *controller) reset(now, window time.Duration) {
	for i := range c.hist {
		c.hist[i] *= keep
	}
	c.total *= keep
	c.start = now
	c.end = now + window
	c.arrivals = 0
	c.finished = 0
	c.waits = 0
	c.waitSum = 0
	c.overflew = 0
	c.pushback = false
	c.busySum = 0
	c.busyLast = now
}

// quantile follows the tenth percentile of a stream of durations with one
// word of state, by steps that are balanced at that percentile.
type quantile struct{ value time.Duration }

const (
	quantileUp   = 1.0 / 160
	quantileDown = 9.0 / 160
)

func (q *quantile) observe(d time.Duration) {
	switch {
	case q.value == 0:
		q.value = d / 2
	case d > q.value:
		q.value += time.Duration(float64(q.value)*quantileUp) + 1
	default:
		q.value -= time.Duration(float64(q.value) * quantileDown)
	}
}
