package admission

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// A called service hangs and requests of the lowest class wait on it in all the slots
// that they may have: those that do not need it find slots, and a chain of the highest
// class is not refused in its midst for them.
func TestBulkheadReservesSlotsForHigherClasses(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, share = 100, 0.8
	var w Bulkhead
	take := func(class rank.Class) int {
		n := 0
		for w.TryAcquire(slots, share, rank.Make(class, 0)) {
			n++
		}
		return n
	}
	low := take(rank.Background)
	g.Expect(low).To(gomega.BeNumerically("<=", share*slots))
	g.Expect(w.TryAcquire(slots, share, rank.Make(rank.Background, 255))).To(gomega.BeFalse())
	g.Expect(take(rank.Important)).To(gomega.BeNumerically(">", 0))
	g.Expect(take(rank.Protected)).To(gomega.BeNumerically(">", 0))
	g.Expect(w.TryAcquire(slots, share, rank.Make(rank.Protected, 255))).To(gomega.BeFalse(), "all slots wait")
	for range slots {
		w.Release()
	}
	g.Expect(take(rank.Background)).To(gomega.Equal(low))
}

// One wait is always allowed: a server with a single slot makes calls as well.
func TestBulkheadAllowsOneWaitWithSingleSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	var w Bulkhead
	g.Expect(w.TryAcquire(1, 0.8, rank.Make(rank.Background, 0))).To(gomega.BeTrue())
	g.Expect(w.TryAcquire(1, 0.8, rank.Make(rank.Background, 0))).To(gomega.BeFalse())
}
