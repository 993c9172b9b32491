package admission

import (
	"sync/atomic"

	"github.com/umberthread/umberthread/rank"
)

// Waits counts the requests in work at one backend server that wait on one called
// service, and bounds them to a share of its slots. It is safe for concurrent use and
// takes no lock.
//
// The load that it answers: a service slows down or hangs, and whoever calls it holds a
// slot meanwhile. Without a bound it would take the slots of the requests that do not
// need it. The bound holds less for the more urgent: a chain of theirs that is refused
// in its midst for the sake of slots that less urgent ones wait in is lost with all the
// work that was done for it.
type Bulkhead struct{ waiting atomic.Int32 }

// Take counts one more wait if the bound allows it. Share is the part of the slots that
// requests of the lowest class may wait in; the highest class may wait in all.
func (w *Bulkhead) TryAcquire(slots int, share float64, r rank.Rank) bool {
	if int(w.waiting.Add(1)) <= bulkheadLimit(slots, share, r.Class()) {
		return true
	}
	w.waiting.Add(-1)
	return false
}

// Hold counts a wait without a bound.
func (w *Bulkhead) ForceAcquire() { w.waiting.Add(1) }

// Release ends a wait.
func (w *Bulkhead) Release() { w.waiting.Add(-1) }

// waitsMax is how many waits there may be for one more of a class.
func bulkheadLimit(slots int, share float64, class rank.Class) int {
	urgency := float64(class) / float64(rank.Classes-1)
	return max(1, int(float64(slots)*(share+(1-share)*urgency)))
}
