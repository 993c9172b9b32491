package node

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// Levels learned for requests that entered at a node must not be reported upstream,
// or two nodes keep echoing an overload that has ended.
func TestEntryLevelsAreNotReportedUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	o := DefaultOptions()
	o.Domain = "a"
	n, err := New(o, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entering := &call{rootTarget: "f/s/k"}
	nested := &call{rootTarget: "f/s/k", depth: 1}
	n.pathLevelsFor(entering).Observe("f/s/k", "f/s", 500, n.clock())
	g.Expect(n.maxLevelBelow(entering, 0)).To(gomega.BeZero())
	g.Expect(n.pathLevel(entering)).To(gomega.Equal(rank.Level(500)))
	n.pathLevelsFor(nested).Observe("f/s/k", "f/deep", 300, n.clock())
	g.Expect(n.maxLevelBelow(entering, 0)).To(gomega.Equal(rank.Level(300)))
}
