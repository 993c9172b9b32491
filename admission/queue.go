package admission

import "container/heap"

// notQueued is the index of a waiter outside the queue.
const notQueued = -1

// waitQueue is a heap of waiters ordered by servedBefore.
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

// Push implements heap.Interface; callers use push.
func (q *waitQueue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface; callers use pop.
func (q *waitQueue) Pop() any {
	old := *q
	n := len(old) - 1
	w := old[n]
	old[n] = nil
	*q = old[:n]
	w.index = notQueued
	return w
}

// servedBefore reports whether w is served before o: by class, then by completed
// work, then by earlier deadline.
func (w *Waiter) servedBefore(o *Waiter) bool {
	if w.outranks(o) || o.outranks(w) {
		return w.outranks(o)
	}
	return w.Request.Deadline < o.Request.Deadline
}

// outranks reports whether w may evict o from a full queue.
func (w *Waiter) outranks(o *Waiter) bool {
	wc, oc := w.Request.Rank.Tier(), o.Request.Rank.Tier()
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

// last returns the waiter that is served last, or nil. The queue is short, so a
// scan is cheaper than a second heap.
func (q waitQueue) last() *Waiter {
	var last *Waiter
	for _, w := range q {
		if last == nil || last.servedBefore(w) {
			last = w
		}
	}
	return last
}
