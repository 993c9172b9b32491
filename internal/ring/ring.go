// Package ring joins the goroutines of different duties by bounded queues.
package ring

import "sync/atomic"

// Ring is a bounded queue between goroutines. When it is full, Offer drops
// the item and counts it: a duty that falls behind never holds up a request.
type Queue[T any] struct {
	c       chan T
	dropped atomic.Int64
}

// New returns a ring for n items.
func New[T any](n int) *Queue[T] { return &Queue[T]{c: make(chan T, n)} }

// Offer adds an item; false if the ring was full and the item was dropped.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel to take items from.
func (r *Queue[T]) C() <-chan T { return r.c }

// Dropped returns how many items were dropped since the start.
func (r *Queue[T]) Dropped() int64 { return r.dropped.Load() }
