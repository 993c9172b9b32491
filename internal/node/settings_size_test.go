package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// largeSettings returns settings of about the given size in bytes, which differ for each tag.
func largeSettings(tag string, size int) settings.Entries {
	entries := settings.Entries{}
	for i := 0; confstore.EntriesBytes(entries) < size; i++ {
		entries[fmt.Sprintf("kigali/sheets/%s-%d#source", tag, i)] = `"` + strings.Repeat("t", 900) + `"`
	}
	return entries
}

// Settings that are accepted reach every replica, one that lost them included; larger ones are
// refused, as the messages that carry them would be.
func TestLargestSettingsReachAllReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	small := func(o *Options) { o.MemoryBytes = minMemoryBytes }
	nodes := startReplicasWith(t, func(_ int, o *Options) { small(o) }, "a", "a", "a")
	first := nodes[0]
	limit := first.maxSettingsBytes()
	owns := func(string) bool { return true }
	_, ferr := first.ReplaceSettings(&Replacement{ID: "large", Revision: 1, Entries: largeSettings("large", limit+1), Owns: owns}, 10*time.Second)
	g.Expect(fault.CodeOf(ferr)).To(gomega.Equal(fault.TooLarge))
	g.Expect(ferr.Execution).To(gomega.Equal(fault.NotExecuted))
	for revision := uint64(1); revision <= 3; revision++ {
		r := &Replacement{ID: formatUint(revision), Revision: revision, Base: revision - 1, Entries: largeSettings(formatUint(revision), limit-2000), Owns: owns}
		g.Eventually(func() bool {
			_, ferr := first.ReplaceSettings(r, 10*time.Second)
			return ferr == nil
		}, 30*time.Second).Should(gomega.BeTrue())
	}
	late := startNode(t, "a", []string{first.opt.Control}, small)
	for _, n := range append(nodes, late) {
		g.Eventually(func() uint64 { return n.conf.Load().version }, 30*time.Second, 20*time.Millisecond).Should(gomega.Equal(uint64(3)))
	}
	for _, n := range nodes {
		g.Eventually(func() uint64 { return n.Status().Replica.Groups[0].Applied }, 30*time.Second, 20*time.Millisecond).Should(gomega.BeNumerically(">=", first.Status().Replica.Groups[0].Applied-1))
	}
}
