package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestNewsTellsHowAVersionCame: the wait counts from the first version that was
// missing, and ends with the version that was heard of.
func TestVersionTrackerReportsSourceAndDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	var w versionTracker
	_, way, _ := w.activate(time.Second, 4)
	g.Expect(way).To(gomega.Equal(viaDisk), "nobody told of it")
	w.observe(2*time.Second, 4, 4, viaPacket, "x")
	w.observe(3*time.Second, 6, 4, viaSync, "a")
	w.observe(4*time.Second, 7, 4, viaPacket, "b")
	late, way, from := w.activate(5*time.Second, 5)
	g.Expect(late).To(gomega.Equal(2 * time.Second))
	g.Expect(way).To(gomega.Equal(viaSync))
	g.Expect(from).To(gomega.Equal("a"))
	late, _, _ = w.activate(6*time.Second, 7)
	g.Expect(late).To(gomega.Equal(3 * time.Second))
	g.Expect(w.activationDelay()).To(gomega.Equal(3 * time.Second))
	_, way, _ = w.activate(7*time.Second, 8)
	g.Expect(way).To(gomega.Equal(viaDisk))
}

func TestVersionTrackerReportsTimeWithoutReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	var w versionTracker
	changed, _ := w.observeReplicas(0, false)
	g.Expect(changed).To(gomega.BeFalse())
	changed, after := w.observeReplicas(time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(time.Second))
	changed, _ = w.observeReplicas(5*time.Second, false)
	g.Expect(changed).To(gomega.BeTrue())
	changed, after = w.observeReplicas(9*time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(4 * time.Second))
}
