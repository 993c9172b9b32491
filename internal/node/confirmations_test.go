package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/gossip"
)

// TestDelayedAnswerDoesNotMakeSettingsLookCurrent guards against an age that leaves out how long
// the answer was on its way.
func TestDelayedAnswerDoesNotMakeSettingsLookCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, workspaceSettings(5), n)
	answer := func(sentAt time.Duration, version uint64, ageMs uint32) {
		n.gossip.handleAnswer(gossip.Answer{Addr: "127.0.0.1:1", SentAt: sentAt, Packet: gossip.Packet{Config: version, ConfigAge: ageMs}})
	}
	version := n.conf.Load().version
	answer(2*time.Second, version, 0)
	g.Expect(n.versions.confirmation()).To(gomega.BeZero(), "the sender does not know")
	answer(2*time.Second, version, 500)
	g.Expect(n.versions.confirmation()).To(gomega.Equal(1500 * time.Millisecond))
	answer(3*time.Second, version+1, 1)
	g.Expect(n.versions.confirmation()).To(gomega.Equal(1500*time.Millisecond), "this node lacks the version")
}

// TestNodesKnowTheAgeOfTheirSettings guards against a node that takes silence for a time without
// changes: each one must know how long ago its settings were the newest.
func TestNodesKnowTheAgeOfTheirSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	replicas := startReplicas(t, "a")
	useSettings(t, workspaceSettings(5), replicas[0])
	other := startNode(t, "a", []string{replicas[0].opt.Control}, nil)
	g.Eventually(other.Status, 10*time.Second, 10*time.Millisecond).Should(gomega.HaveField("ConfigConfirmedMs", gomega.BeNumerically(">=", 0)))
}
