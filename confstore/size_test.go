package confstore

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

const (
	movedRoutes = 350
	// routeBytes is the size of the entries of one route.
	routeBytes = 800
)

// moveRoutes returns a change that sets the entries of all routes anew.
func moveRoutes(i int, version uint64) Change {
	set := settings.Entries{}
	for r := range movedRoutes {
		set[fmt.Sprintf("fleet.f.service.s.kind.r%d", r)] = strings.Repeat(fmt.Sprint(i%10), routeBytes)
	}
	return Change{ID: fmt.Sprint("c", i), Base: version, Patch: settings.Patch{Set: set}}
}

// keptBytes returns the size of what a store keeps, by its snapshot.
func keptBytes(st *Store) int {
	data, err := st.Snapshot()
	if err != nil {
		panic(err)
	}
	return len(data)
}

// TestLargeChangesAreKeptBySize guards against a history that grows with the size of the changes: a
// replica that runs out of memory after some hundred large ones.
func TestLargeChangesAreKeptBySize(t *testing.T) {
	g := gomega.NewWithT(t)
	st := New()
	const changes, fixedBytes = 200, 100 << 10
	for i := range changes {
		g.Expect(st.Apply(moveRoutes(i, st.Version())).Version).To(gomega.Equal(uint64(i + 1)))
		g.Expect(keptBytes(st)).To(gomega.BeNumerically("<=", 3*EntriesBytes(st.Entries())+fixedBytes))
	}
	// A node that lacks the latest change still gets it alone.
	kept, ok := st.ChangesSince(st.Version() - 1)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(kept).To(gomega.HaveLen(1))
}

// TestSmallChangesAreKeptByNumber guards against a history that a small document makes short.
func TestSmallChangesAreKeptByNumber(t *testing.T) {
	g := gomega.NewWithT(t)
	st := New()
	for i := range 2 * MaxChanges {
		patch := settings.Patch{Set: settings.Entries{"#deadline": fmt.Sprint(i%9+1, "s")}}
		st.Apply(Change{ID: fmt.Sprint("c", i), Base: st.Version(), Patch: patch})
	}
	kept, ok := st.ChangesSince(st.Version() - MaxChanges)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(kept).To(gomega.HaveLen(MaxChanges))
}

// BenchmarkKeptBytes measures the bytes that a store keeps for each byte of the document after a number
// of changes, each of which moves all routes.
func BenchmarkKeptBytes(b *testing.B) {
	for _, changes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(changes, "-changes"), func(b *testing.B) {
			for b.Loop() {
				st := New()
				for i := range changes {
					st.Apply(moveRoutes(i, st.Version()))
				}
				b.ReportMetric(float64(keptBytes(st))/float64(EntriesBytes(st.Entries())), "kept/document")
			}
		})
	}
}
