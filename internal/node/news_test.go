package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestNewsTellsHowAVersionCame: the wait counts from the first version that was
// missing, and ends with the version that was heard of.
func TestNewsTellsHowAVersionCame(t *testing.T) {
	g := gomega.NewWithT(t)
	var w news
	_, way, _ := w.force(time.Second, 4)
	g.Expect(way).To(gomega.Equal(byDisk), "nobody told of it")
	w.heard(2*time.Second, 4, 4, byPacket, "x")
	w.heard(3*time.Second, 6, 4, bySync, "a")
	w.heard(4*time.Second, 7, 4, byPacket, "b")
	late, way, from := w.force(5*time.Second, 5)
	g.Expect(late).To(gomega.Equal(2 * time.Second))
	g.Expect(way).To(gomega.Equal(bySync))
	g.Expect(from).To(gomega.Equal("a"))
	late, _, _ = w.force(6*time.Second, 7)
	g.Expect(late).To(gomega.Equal(3 * time.Second))
	g.Expect(w.last()).To(gomega.Equal(3 * time.Second))
	_, way, _ = w.force(7*time.Second, 8)
	g.Expect(way).To(gomega.Equal(byDisk))
}

func TestNewsTellsForHowLongNoReplicaWasKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	var w news
	changed, _ := w.sees(0, false)
	g.Expect(changed).To(gomega.BeFalse())
	changed, after := w.sees(time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(time.Second))
	changed, _ = w.sees(5*time.Second, false)
	g.Expect(changed).To(gomega.BeTrue())
	changed, after = w.sees(9*time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(4 * time.Second))
}
