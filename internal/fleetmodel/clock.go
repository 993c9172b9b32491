package fleetmodel

import (
	"container/heap"
	"time"
)

// clock runs what is due in the order of its time.
type clock struct {
	now    time.Duration
	events events
	count  uint64
}

// event is something that happens at a time; count keeps those of one time in order.
type event struct {
	at    time.Duration
	count uint64
	run   func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].count < e[k].count
}

// Swap implements heap.Interface.
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// after has f run after a time.
func (c *clock) after(d time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{c.now + max(0, d), c.count, f})
}

// until runs all events before a time.
func (c *clock) until(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
