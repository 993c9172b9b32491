package admission

import (
	"sync/atomic"

	"github.com/umberthread/umberthread/rank"
)

// Bulkhead limits how many requests in flight at one backend server wait for one
// called service, as a fraction of the server's slots. It is safe for concurrent
// use and takes no lock.
//
// Without the limit, a slow or hung service would occupy the slots of requests
// that do not call it. Higher classes have a higher limit, so that waits of lower
// classes do not cause their calls to be refused after work was done.
type Bulkhead struct{ waiting atomic.Int32 }

// TryAcquire counts one more waiting request and returns true if the limit allows
// it. share is the fraction of the slots in which requests of the lowest class may
// wait; the highest class may wait in all slots.
func (b *Bulkhead) TryAcquire(slots int, share float64, r rank.Rank) bool {
	if int(b.waiting.Add(1)) <= bulkheadLimit(slots, share, r.Class()) {
		return true
	}
	b.waiting.Add(-1)
	return false
}

// ForceAcquire counts a waiting request regardless of the limit.
func (b *Bulkhead) ForceAcquire() { b.waiting.Add(1) }

// Release ends a wait counted by TryAcquire or ForceAcquire.
func (b *Bulkhead) Release() { b.waiting.Add(-1) }

// bulkheadLimit returns the limit for a class, at least one.
func bulkheadLimit(slots int, share float64, class rank.Class) int {
	urgency := float64(class) / float64(rank.Classes-1)
	return max(1, int(float64(slots)*(share+(1-share)*urgency)))
}
