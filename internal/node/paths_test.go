package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// TestLevelsLearntAtTheEntryAreNotEchoed: what a node learnt as an entry must
// not come back to others as a level below it, or two nodes go on telling each
// other of an overload that is over.
func TestLevelsLearntAtTheEntryAreNotEchoed(t *testing.T) {
	g := gomega.NewWithT(t)
	o := DefaultOptions()
	o.Domain = "a"
	n, err := New(o, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entering := &call{root: "f/s/k"}
	nested := &call{root: "f/s/k", depth: 1}
	n.pathsOf(entering).observe("f/s/k", "f/s", 500, n.clock())
	g.Expect(n.levelBelow(entering, 0)).To(gomega.BeZero())
	g.Expect(n.pathLevel(entering)).To(gomega.Equal(rank.Level(500)))
	n.pathsOf(nested).observe("f/s/k", "f/deep", 300, n.clock())
	g.Expect(n.levelBelow(entering, 0)).To(gomega.Equal(rank.Level(300)))
}

func TestPathLevelIsTheHighestAndFades(t *testing.T) {
	g := gomega.NewWithT(t)
	var p paths
	now := time.Second
	p.observe("root", "f/a", 100, now)
	p.observe("root", "f/b", 400, now)
	g.Expect(p.level("root", now)).To(gomega.Equal(rank.Level(400)))
	g.Expect(p.level("other", now)).To(gomega.BeZero())
	g.Expect(p.level("root", now+time.Second)).To(gomega.BeNumerically("~", 200, 1))
	g.Expect(p.level("root", now+2*time.Second)).To(gomega.BeZero())
	// After a pause one answer says it all.
	p.observe("root", "f/b", 0, now+time.Second)
	g.Expect(p.level("root", now+time.Second)).To(gomega.BeNumerically("<=", 100))
}
