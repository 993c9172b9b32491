package admission

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// TestBulkheadReservesSlotsForHigherClasses checks that waits of the lowest class for
// a hung service leave slots to other requests, and that higher classes can still
// call the service.
func TestBulkheadReservesSlotsForHigherClasses(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, share = 100, 0.8
	var b Bulkhead
	take := func(class rank.Class) int {
		n := 0
		for b.TryAcquire(slots, share, rank.Make(class, 0)) {
			n++
		}
		return n
	}
	low := take(rank.Background)
	g.Expect(low).To(gomega.BeNumerically("<=", share*slots))
	g.Expect(b.TryAcquire(slots, share, rank.Make(rank.Background, 255))).To(gomega.BeFalse())
	g.Expect(take(rank.Important)).To(gomega.BeNumerically(">", 0))
	g.Expect(take(rank.Protected)).To(gomega.BeNumerically(">", 0))
	g.Expect(b.TryAcquire(slots, share, rank.Make(rank.Protected, 255))).To(gomega.BeFalse(), "all slots wait")
	for range slots {
		b.Release()
	}
	g.Expect(take(rank.Background)).To(gomega.Equal(low))
}

// TestBulkheadAllowsOneWaitWithSingleSlot guards against a limit of zero for a
// backend server with one slot.
func TestBulkheadAllowsOneWaitWithSingleSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	var b Bulkhead
	g.Expect(b.TryAcquire(1, 0.8, rank.Make(rank.Background, 0))).To(gomega.BeTrue())
	g.Expect(b.TryAcquire(1, 0.8, rank.Make(rank.Background, 0))).To(gomega.BeFalse())
}
