package member

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// All members must choose the same link members, whatever order they know the others in.
func TestLinkMembersAreThoseOfTheHighestHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		ids := rapid.SliceOfDistinct(rapid.StringMatching("[a-f0-9]{1,16}"), rapid.ID[string]).Draw(t, "ids")
		n := rapid.IntRange(0, 5).Draw(t, "n")
		want := slices.Clone(ids)
		sort.Slice(want, func(i, j int) bool {
			a, b := hashID(want[i]), hashID(want[j])
			return a > b || a == b && want[i] < want[j]
		})
		want = want[:min(n, len(want))]
		g.Expect(SelectLinkMembers(ids, n)).To(gomega.HaveExactElements(want))
		slices.Reverse(ids)
		g.Expect(SelectLinkMembers(ids, n)).To(gomega.HaveExactElements(want))
	})
}

// BenchmarkSelectLinkMembers selects those of a failure domain of 1,100 members.
func BenchmarkSelectLinkMembers(b *testing.B) {
	ids := make([]string, 1100)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", hashID(fmt.Sprint(i)))
	}
	for b.Loop() {
		SelectLinkMembers(ids, 3)
	}
}
