package workspace

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

func withKeys(name string, keys ...string) *Workspace {
	w := &Workspace{Name: name}
	for _, k := range keys {
		w.Keys = append(w.Keys, DigestOf(k))
	}
	return w
}

func TestWorkspaceIsFoundByAnyOfItsKeys(t *testing.T) {
	g := NewWithT(t)
	table, err := NewTable([]*Workspace{withKeys("scouts", "k2", "k3"), withKeys("crew", "k1")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.ByKey("k1").Name).To(Equal("crew"))
	g.Expect(table.ByKey("k3").Name).To(Equal("scouts"))
	g.Expect(table.All()[table.ByKey("k3").Index].Name).To(Equal("scouts"))
	for _, key := range []string{"", "K1", "k1 ", "k", strings.Repeat("k", 16<<10)} {
		g.Expect(table.ByKey(key)).To(BeNil(), "%.20q", key)
	}
	g.Expect((*Table)(nil).ByKey("k1")).To(BeNil())
}

func TestSharedKeyIsRefusedWithoutNamingIt(t *testing.T) {
	g := NewWithT(t)
	_, err := NewTable([]*Workspace{withKeys("crew", "secret"), withKeys("scouts", "secret")})
	g.Expect(fault.CodeOf(err)).To(Equal(fault.InvalidSetting))
	g.Expect(err.Error()).To(And(ContainSubstring("crew"), ContainSubstring("scouts"), Not(ContainSubstring("secret"))))
}

func TestDigestsAreReadBack(t *testing.T) {
	g := NewWithT(t)
	digests := []Digest{DigestOf("a"), DigestOf(strings.Repeat("b", 1000))}
	parsed, ok := ParseDigests(FormatDigests(digests))
	g.Expect(ok).To(BeTrue())
	g.Expect(parsed).To(Equal(digests))
	for _, bad := range []string{"x", FormatDigests(digests) + ",", FormatDigests(digests[:1])[1:]} {
		_, ok := ParseDigests(bad)
		g.Expect(ok).To(BeFalse(), bad)
	}
}

func TestClassOfWorkspaceGoesBeforeThatOfTheKind(t *testing.T) {
	g := NewWithT(t)
	classes := []rank.Class{rank.Background, rank.Normal, rank.Normal, rank.Normal, rank.Important, rank.Protected}
	var all []*Workspace
	for i, c := range classes {
		all = append(all, &Workspace{Name: fmt.Sprint(i), Class: c, HasClass: true})
	}
	_, err := NewTable(all)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 300 {
		a, b := fmt.Sprint("a", i), fmt.Sprint("b", i)
		for _, low := range all {
			for _, high := range all {
				if high.Class > low.Class {
					g.Expect(high.Rank(rank.Background, a)).To(BeNumerically(">", low.Rank(rank.Protected, b)))
				}
				if high.Class == low.Class {
					g.Expect(high.Rank(rank.Protected, a)).To(BeNumerically(">", low.Rank(rank.Important, b)))
				}
			}
			g.Expect(low.Rank(rank.Protected, a)).To(BeNumerically("<", rank.Total))
		}
		// The most common class has the ranks of the kinds to itself.
		g.Expect(all[1].Rank(rank.Protected, a)).To(Equal(rank.ForRequest(rank.Protected, a)))
		g.Expect((*Workspace)(nil).Rank(rank.Protected, a)).To(Equal(rank.ForRequest(rank.Protected, a)))
		g.Expect(all[5].Rank(rank.Background, a).Class()).To(Equal(rank.Protected))
		g.Expect(all[5].Rank(rank.Background, a).Tier()).To(BeNumerically(">", all[4].Rank(rank.Protected, a).Tier()))
	}
}

func TestEqualClassesLeaveTheRanksToTheKinds(t *testing.T) {
	g := NewWithT(t)
	a := &Workspace{Name: "a", Class: rank.Important, HasClass: true}
	b := &Workspace{Name: "b", Class: rank.Important, HasClass: true}
	none := &Workspace{Name: "none"}
	_, err := NewTable([]*Workspace{a, b, none})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 300 {
		id := fmt.Sprint(i)
		g.Expect(a.Rank(rank.Background, id)).To(Equal(rank.ForRequest(rank.Background, id)))
		g.Expect(none.Rank(rank.Background, id)).To(Equal(rank.ForRequest(rank.Background, id)))
	}
}

func BenchmarkByKey(b *testing.B) {
	const count = 5000
	all := make([]*Workspace, count)
	keys := make([]string, count)
	for i := range all {
		keys[i] = fmt.Sprintf("7u27gxprymh2rrytap%04d", i)
		all[i] = withKeys(fmt.Sprint("w", i), keys[i])
	}
	table, err := NewTable(all)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if table.ByKey(keys[i%count]) == nil {
			b.Fatal("unknown")
		}
	}
}
