package node

import (
	"sync/atomic"
	"time"
)

// pauseDetector notices that the process did not run for a while, as its machine was
// suspended or overloaded: it then decides by an old state until it has heard from others.
type pauseDetector struct {
	// lastTick is the time of the last tick, and doubtUntil until when the state is in
	// doubt, both on the node's clock.
	lastTick, doubtUntil atomic.Int64
	// lastWall is the wall clock at the last tick. A suspended machine's steady clock can
	// stand still; the wall clock does not.
	lastWall time.Time
}

const (
	// pauseThreshold is the time without a tick that counts as a pause.
	pauseThreshold = time.Second
	// doubtPeriod is how long the state is in doubt after a pause: gossip brings the
	// current version of the settings in that time.
	doubtPeriod = 1500 * time.Millisecond
)

// tick records that the process runs. One goroutine calls it at a fixed interval.
func (p *pauseDetector) tick(now time.Duration, wall time.Time) {
	// Round strips the monotonic reading, so that the wall clocks are compared.
	wall = wall.Round(0)
	paused := p.lastTick.Load() != 0 && now-time.Duration(p.lastTick.Load()) > pauseThreshold
	if !p.lastWall.IsZero() && wall.Sub(p.lastWall) > pauseThreshold {
		paused = true
	}
	p.lastWall = wall
	p.lastTick.Store(int64(now))
	if paused {
		p.doubtUntil.Store(int64(now + doubtPeriod))
	}
}

// recent reports whether the process was paused until shortly before now.
func (p *pauseDetector) recent(now time.Duration) bool {
	last := time.Duration(p.lastTick.Load())
	return now < time.Duration(p.doubtUntil.Load()) || last != 0 && now-last > pauseThreshold
}
