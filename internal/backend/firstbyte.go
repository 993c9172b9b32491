package backend

import (
	"sync/atomic"
	"time"
)

// MaxKinds is the number of request kinds whose response times are tracked
// separately.
const MaxKinds = 64

const (
	// silentFactor is the multiple of the slowest recent response time of a kind
	// after which a connection counts as silent.
	silentFactor = 4
	// minSamples is the number of responses of a kind required before any
	// connection counts as silent.
	minSamples = 20
	// slowestDecayDivisor sets the decay of the slowest time: 1/64 per response.
	slowestDecayDivisor = 64
)

// latencyTracker tracks the slowest recent response time of one request kind, in
// nanoseconds. It is safe for concurrent use.
type latencyTracker struct {
	slowest atomic.Int64
	samples atomic.Int64
}

// record adds the time to the first byte of a response.
func (f *latencyTracker) record(d time.Duration) {
	f.samples.Add(1)
	old := f.slowest.Load()
	next := max(int64(d), old-old/slowestDecayDivisor)
	// A sample that loses the race is dropped.
	f.slowest.CompareAndSwap(old, next)
}

// isSilent reports whether a request that has waited so long gets no response.
func (f *latencyTracker) isSilent(waited time.Duration) bool {
	if f.samples.Load() < minSamples {
		return false
	}
	return int64(waited) > silentFactor*f.slowest.Load()
}
