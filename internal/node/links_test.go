package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// Changes must reach the other domains without delay while an exchange with an
// unresponsive domain is pending.
func TestUnresponsiveDomainDoesNotDelayOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startNode(t, "a", nil, nil)
	b := startNode(t, "b", []string{a.opt.Control}, nil)
	g.Eventually(func() bool { return a.view.Load().domains["b"].Reachable }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeTrue())
	a.control.links.RecordContact("silent", unresponsiveServer(t))
	g.Eventually(a.gossip.recentlyStarted, 20*time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
	for version := range uint64(20) {
		a.applyDocument(version+1, settings.Entries{"#deadline": formatUint(version+1) + "s"})
		changed := time.Now()
		b.awaitConfigVersion(version + 1)
		g.Expect(time.Since(changed)).To(gomega.BeNumerically("<", linkTimeout/2), "version %d", version+1)
		time.Sleep(20 * time.Millisecond)
	}
}
