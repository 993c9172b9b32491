package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// pushBack runs windows in which the backend server turns away half of the
// requests, with so many slots taken at most, and returns the lowest limit.
func lowestLimitUnderPushback(taken int) int {
	const slots = 40
	g := New(Options{Slots: slots, QueueMax: 8, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond})
	lowest := g.Limit()
	for i := range 200 {
		now := time.Duration(i) * 10 * time.Millisecond
		for g.InFlight() < min(taken, g.Limit()) {
			d := g.Arrive(now, &Waiter{Request: Request{Rank: rank.Make(rank.Protected, 255), Deadline: now + time.Minute}})
			if d.Verdict != Admitted {
				break
			}
		}
		if g.InFlight() > 0 {
			g.Finish(now, Outcome{ServiceTime: 20 * time.Millisecond, Pushback: i%2 == 0}, nil)
		}
		lowest = min(lowest, g.Limit())
	}
	return lowest
}

// TestRejectionsWithFreeSlotsAreNoOverload replays a server with a fault that
// turns away half of its requests whatever its load; lowering the limit would
// only turn away what it still takes.
func TestPushbackWithFreeSlotsKeepsLimit(t *testing.T) {
	gomega.NewWithT(t).Expect(lowestLimitUnderPushback(8)).To(gomega.Equal(40))
}

// TestRejectionsUnderLoadLowerTheLimit: the same with the slots taken.
func TestPushbackUnderLoadLowersLimit(t *testing.T) {
	gomega.NewWithT(t).Expect(lowestLimitUnderPushback(40)).To(gomega.BeNumerically("<", 30))
}
