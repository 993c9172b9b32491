package backend

import (
	"sync/atomic"
	"time"
)

// MaxKinds bounds the request kinds whose times are told apart.
const MaxKinds = 64

const (
	// silentFactor is how many times longer than the slowest recent answer
	// of its kind a request must wait to count as silent.
	silentFactor = 4
	// enoughSamples is how many answers of a kind must have been seen.
	enoughSamples = 20
	// slowDecay is the share of the slowest time forgotten per answer.
	slowDecay = 64
)

// firstByte remembers how long the slowest recent answers of a kind took.
type firstByte struct {
	slowest atomic.Int64
	samples atomic.Int64
}

func (f *firstByte) observe(d time.Duration) {
	f.samples.Add(1)
	old := f.slowest.Load()
	next := max(int64(d), old-old/slowDecay)
	// A lost race drops one sample of many.
	f.slowest.CompareAndSwap(old, next)
}

func (f *firstByte) silent(waited time.Duration) bool {
	if f.samples.Load() < enoughSamples {
		return false
	}
	return int64(waited) > silentFactor*f.slowest.Load()
}
