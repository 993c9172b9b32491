package budget

import (
	"sync/atomic"
	"time"
)

// attemptSlice counts the attempts in one slice of a window.
type attemptSlice struct {
	epoch         atomic.Int64
	firstAttempts atomic.Int64
	retries       atomic.Int64
	// protectedAsked counts the repeats of protected requests that were asked for.
	protectedAsked atomic.Int64
}

// epochAt returns the number of the slice at now, counted from 1; 0 marks an unused
// slice.
func epochAt(now, window time.Duration, slicesPerWindow int) int64 {
	return int64(now/max(1, window/time.Duration(slicesPerWindow))) + 1
}

// sliceAt returns the slice of an epoch. The first caller in a new slice clears its
// old counts; an attempt recorded concurrently may be lost.
func sliceAt(slices []attemptSlice, epoch int64) *attemptSlice {
	c := &slices[epoch%int64(len(slices))]
	if old := c.epoch.Load(); old != epoch && c.epoch.CompareAndSwap(old, epoch) {
		c.firstAttempts.Store(0)
		c.retries.Store(0)
		c.protectedAsked.Store(0)
	}
	return c
}
