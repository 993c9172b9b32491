package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/settings"
)

// Guards against waiting for an unresponsive node to fetch settings that another node has,
// too.
func TestSettingsFetchSkipsUnresponsiveNode(t *testing.T) {
	g := gomega.NewWithT(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = unresponsive.Close() }()
	behindNode, ahead := startNode(t, "a", nil, nil), startNode(t, "a", nil, nil)
	ahead.applyDocument(7, settings.Entries{"#deadline": "4s"})
	began := time.Now()
	behindNode.gossip.observeVersion(viaPacket, unresponsive.Addr().String(), 7)
	behindNode.gossip.observeVersion(viaPacket, ahead.opt.Control, 7)
	g.Eventually(func() uint64 { return behindNode.conf.Load().version }, 5*time.Second, 5*time.Millisecond).Should(gomega.Equal(uint64(7)))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
}

// settingsDeadline is the time within which accepted settings must be active on every node.
const settingsDeadline = 2 * time.Second

// Guards against waiting for one unresponsive node after the other while a node that responds
// has the settings, too.
func TestSettingsFetchSkipsSeveralUnresponsiveNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	behindNode, ahead := startNode(t, "a", nil, nil), startNode(t, "a", nil, nil)
	ahead.applyDocument(7, settings.Entries{"#deadline": "4s"})
	const unresponsiveNodes = 6
	for range unresponsiveNodes {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = unresponsive.Close() }()
		behindNode.gossip.observeVersion(viaPacket, unresponsive.Addr().String(), 7)
	}
	began := time.Now()
	behindNode.gossip.observeVersion(viaPacket, ahead.opt.Control, 7)
	g.Eventually(func() uint64 { return behindNode.conf.Load().version }, 10*time.Second, 5*time.Millisecond).Should(gomega.Equal(uint64(7)))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", settingsDeadline))
}

// Guards against the same where the node that responds was heard from before most of the others,
// so that these are asked first.
func TestSettingsFetchSkipsSilentNodesHeardLast(t *testing.T) {
	g := gomega.NewWithT(t)
	behindNode, ahead := startNode(t, "a", nil, nil), startNode(t, "a", nil, nil)
	ahead.applyDocument(7, settings.Entries{"#deadline": "4s"})
	began := time.Now()
	const silentNodes = 12
	for i := range silentNodes + 1 {
		addr := ahead.opt.Control
		if i != 1 {
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = silent.Close() }()
			addr = silent.Addr().String()
		}
		behindNode.gossip.configHints.Offer(configHint{addr, 7})
	}
	g.Eventually(func() uint64 { return behindNode.conf.Load().version }, 10*time.Second, 5*time.Millisecond).Should(gomega.Equal(uint64(7)))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", settingsDeadline))
}

// Guards against a sync that only updates the sender: the receiver must fetch newer settings
// of the sender at once.
func TestSyncTellsReceiverOfNewerSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	old, ahead := startNode(t, "a", nil, nil), startNode(t, "b", nil, nil)
	ahead.applyDocument(7, settings.Entries{"#deadline": "4s"})
	var reply control.SyncReply
	req := &control.SyncRequest{Addr: ahead.opt.Control, Domain: "b", Config: 7}
	g.Expect((&controlAPI{old.Node}).Sync(req, &reply)).To(gomega.Succeed())
	g.Eventually(func() uint64 { return old.conf.Load().version }, 5*time.Second, 5*time.Millisecond).Should(gomega.Equal(uint64(7)))
}

// Guards against a reply of many changes that overwrite each other, which does not arrive in time
// over a slow link.
func TestManyChangesAreFetchedAsDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	const changes = 40
	var cs []confstore.Change
	for v := range uint64(changes) {
		cs = append(cs, confstore.Change{Version: v + 1, Patch: settings.Patch{Set: settings.Entries{"#deadline": "4s"}}})
	}
	n.applyChanges(cs)
	one := n.configChangesSince(changes - 1)
	g.Expect(one.Changes).To(gomega.HaveLen(1))
	all := n.configChangesSince(0)
	g.Expect(all.Version).To(gomega.Equal(uint64(changes)))
	g.Expect(all.Changes).To(gomega.BeEmpty())
	g.Expect(all.Full).To(gomega.Equal(n.conf.Load().entries))
}
