package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// TestADomainThatDoesNotAnswerHoldsUpNoOther: changes come one after the other while
// an exchange with a silent domain waits for its answer.
func TestADomainThatDoesNotAnswerHoldsUpNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startNode(t, "a", nil, nil)
	b := startNode(t, "b", []string{a.opt.Control}, nil)
	g.Eventually(func() bool { return a.view.Load().domains["b"].Reachable }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeTrue())
	a.control.links.RecordContact("silent", silentServer(t))
	g.Eventually(a.gossip.young, 20*time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
	for version := range uint64(20) {
		a.takeFull(version+1, settings.Entries{"#deadline": formatUint(version+1) + "s"})
		changed := time.Now()
		b.hasVersion(version + 1)
		g.Expect(time.Since(changed)).To(gomega.BeNumerically("<", linkTimeout/2), "version %d", version+1)
		time.Sleep(20 * time.Millisecond)
	}
}
