package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// lowestLimitUnderPushback simulates windows in which the backend server rejects
// half of the requests, with at most taken slots in use, and returns the lowest
// limit.
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

// TestPushbackWithFreeSlotsKeepsLimit guards against a lower limit for a server
// that rejects requests regardless of its load: the limit would only refuse
// requests that the server still accepts.
func TestPushbackWithFreeSlotsKeepsLimit(t *testing.T) {
	gomega.NewWithT(t).Expect(lowestLimitUnderPushback(8)).To(gomega.Equal(40))
}

// TestPushbackUnderLoadLowersLimit checks that rejections with all slots taken
// count as overload.
func TestPushbackUnderLoadLowersLimit(t *testing.T) {
	gomega.NewWithT(t).Expect(lowestLimitUnderPushback(40)).To(gomega.BeNumerically("<", 30))
}
