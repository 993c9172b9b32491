package admission

import "container/heap"

// notQueued is the index of a waiter outside the queue.
const notQueued = -1

// waitQueue is a heap of waiters: higher class first, then earlier deadline.
type waitQueue []*Waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }

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

func (w *Waiter) before(o *Waiter) bool {
	wc, oc := w.Request.Rank.Class(), o.Request.Rank.Class()
	if wc != oc {
		return wc > oc
	}
	return w.Request.Deadline < o.Request.Deadline
}

func (q *waitQueue) push(w *Waiter) { heap.Push(q, w) }

func (q *waitQueue) pop() *Waiter { return heap.Pop(q).(*Waiter) }

func (q *waitQueue) remove(w *Waiter) { heap.Remove(q, w.index) }

func (q waitQueue) holds(w *Waiter) bool {
	return w.index >= 0 && w.index < len(q) && q[w.index] == w
}

// lowest returns the waiter that would be served last. The queue is short,
// so a scan is cheaper than a second heap.
func (q waitQueue) lowest() *Waiter {
	var low *Waiter
	for _, w := range q {
		if low == nil || low.before(w) {
			low = w
		}
	}
	return low
}
