package admission

import "container/heap"

// notQueued is the index of a waiter outside the queue.
const notQueued = -1

// waitQueue is a heap of waiters in the order of Waiter.before.
type waitQueue []*Waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q[i].servedBefore(q[j]) }

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface; use push.
func (q *waitQueue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface; use pop.
func (q *waitQueue) Pop() any {
	old := *q
	n := len(old) - 1
	w := old[n]
	old[n] = nil
	*q = old[:n]
	w.index = notQueued
	return w
}

// before orders waiters: the higher class first, then the one for which more
// work was done, then the earlier deadline.
func (w *Waiter) servedBefore(o *Waiter) bool {
	if w.outranks(o) || o.outranks(w) {
		return w.outranks(o)
	}
	return w.Request.Deadline < o.Request.Deadline
}

// outranks tells whether w takes the place of o in a full queue.
func (w *Waiter) outranks(o *Waiter) bool {
	wc, oc := w.Request.Rank.Class(), o.Request.Rank.Class()
	if wc != oc {
		return wc > oc
	}
	return w.Request.Depth > o.Request.Depth
}

func (q *waitQueue) push(w *Waiter) { heap.Push(q, w) }

func (q *waitQueue) pop() *Waiter { return heap.Pop(q).(*Waiter) }

func (q *waitQueue) remove(w *Waiter) { heap.Remove(q, w.index) }

func (q waitQueue) contains(w *Waiter) bool {
	return w.index >= 0 && w.index < len(q) && q[w.index] == w
}

// lowest returns the waiter that would be served last. The queue is short,
// so a scan is cheaper than a second heap.
func (q waitQueue) last() *Waiter {
	var low *Waiter
	for _, w := range q {
		if low == nil || low.servedBefore(w) {
			low = w
		}
	}
	return low
}
