package pathlevel

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

func TestPathLevelIsHighestAndDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Table
	now := time.Second
	p.Observe("root", "f/a", 100, now)
	p.Observe("root", "f/b", 400, now)
	g.Expect(p.Level("root", now)).To(gomega.Equal(rank.Level(400)))
	g.Expect(p.Level("other", now)).To(gomega.BeZero())
	g.Expect(p.Level("root", now+time.Second)).To(gomega.BeNumerically("~", 200, 1))
	g.Expect(p.Level("root", now+2*time.Second)).To(gomega.BeZero())
	// After a pause, a single answer replaces the previous level.
	p.Observe("root", "f/b", 0, now+time.Second)
	g.Expect(p.Level("root", now+time.Second)).To(gomega.BeNumerically("<=", 100))
}
