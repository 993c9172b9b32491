package fleetmodel

import (
	"container/heap"
	"time"
)

// eventLoop runs scheduled functions in the order of their virtual time.
type eventLoop struct {
	now       time.Duration
	events    eventQueue
	scheduled uint64
}

// event is a function scheduled for a virtual time; events of the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].sequence < e[k].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// schedule runs f after the given delay; a negative delay counts as 0.
func (c *eventLoop) schedule(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now + max(0, d), c.scheduled, f})
}

// runUntil runs all events before the given time and advances the clock to it.
func (c *eventLoop) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
