package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The delay must count from the first missing version until the pending version is
// active.
func TestVersionTrackerReportsSourceAndDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker versionTracker
	_, source, _ := tracker.activate(time.Second, 4)
	g.Expect(source).To(gomega.Equal(viaDisk), "no other node reported it")
	tracker.observe(2*time.Second, 4, 4, viaPacket, "x")
	tracker.observe(3*time.Second, 6, 4, viaSync, "a")
	tracker.observe(4*time.Second, 7, 4, viaPacket, "b")
	delay, source, from := tracker.activate(5*time.Second, 5)
	g.Expect(delay).To(gomega.Equal(2 * time.Second))
	g.Expect(source).To(gomega.Equal(viaSync))
	g.Expect(from).To(gomega.Equal("a"))
	delay, _, _ = tracker.activate(6*time.Second, 7)
	g.Expect(delay).To(gomega.Equal(3 * time.Second))
	g.Expect(tracker.activationDelay()).To(gomega.Equal(3 * time.Second))
	_, source, _ = tracker.activate(7*time.Second, 8)
	g.Expect(source).To(gomega.Equal(viaDisk))
}

// The tracker must report changes of the availability of replicas, and how long none
// was known.
func TestVersionTrackerReportsTimeWithoutReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker versionTracker
	changed, _ := tracker.observeReplicas(0, false)
	g.Expect(changed).To(gomega.BeFalse())
	changed, after := tracker.observeReplicas(time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(time.Second))
	changed, _ = tracker.observeReplicas(5*time.Second, false)
	g.Expect(changed).To(gomega.BeTrue())
	changed, after = tracker.observeReplicas(9*time.Second, true)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(after).To(gomega.Equal(4 * time.Second))
}
