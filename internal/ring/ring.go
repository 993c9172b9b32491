// Package ring provides bounded queues between goroutines that drop items rather
// than block the sender.
package ring

import "sync/atomic"

// Queue is a bounded queue between goroutines. Offer never blocks, so that a slow
// receiver does not delay requests.
type Queue[T any] struct {
	c       chan T
	dropped atomic.Int64
}

// New returns a queue for n items.
func New[T any](n int) *Queue[T] { return &Queue[T]{c: make(chan T, n)} }

// Offer adds an item. If the queue is full, it drops and counts the item and
// returns false.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel from which items are received.
func (r *Queue[T]) C() <-chan T { return r.c }

// Dropped returns the number of items dropped so far.
func (r *Queue[T]) Dropped() int64 { return r.dropped.Load() }
