package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/gossip"
)

// isPingAnswered reports whether a node responds to a gossip packet.
func isPingAnswered(t *testing.T, n *testNode) bool {
	t.Helper()
	g := gomega.NewWithT(t)
	conn, err := net.Dial("udp", n.opt.Control)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(gossip.EncodePacket(gossip.Packet{Kind: gossip.Ping, From: "other", Seq: 1}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(gomega.Succeed())
	_, err = conn.Read(make([]byte, maxDatagramBytes))
	return err == nil
}

// TestPacketsAreReceivedAfterAReadError guards against a node that is deaf to gossip packets
// until its process restarts, after a single failed read of its socket.
func TestPacketsAreReceivedAfterAReadError(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	g.Expect(isPingAnswered(t, n)).To(gomega.BeTrue())
	// A deadline in the past fails the read in progress.
	g.Expect(n.gossip.udp.SetReadDeadline(time.Now())).To(gomega.Succeed())
	g.Eventually(func() bool { return isPingAnswered(t, n) }, "5s").Should(gomega.BeFalse())
	g.Expect(n.gossip.udp.SetReadDeadline(time.Time{})).To(gomega.Succeed())
	g.Eventually(func() bool { return isPingAnswered(t, n) }, "5s").Should(gomega.BeTrue())
}
