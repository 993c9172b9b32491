package node

import (
	"slices"
	"testing"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/member"
)

// startNoLinkMember starts a node of domain "a" that is no link member beside others.
func startNoLinkMember(t *testing.T, control, bootstrap string, others []*testNode) *testNode {
	t.Helper()
	ids := []string{}
	for _, n := range others {
		ids = append(ids, n.id)
	}
	for {
		o := DefaultOptions()
		o.Name, o.Domain, o.Bootstrap = "contact", "a", []string{bootstrap}
		o.HTTP, o.Data, o.Control, o.Admin = freeAddr(t), freeAddr(t), control, freeAddr(t)
		startWithoutWait(&o)
		n, err := New(o, log.NewNopLogger())
		if err != nil {
			t.Fatal(err)
		}
		// Each has a random ID, by which link members are chosen.
		if slices.Contains(member.SelectLinkMembers(append(ids, n.id), linkMemberCount), n.id) {
			continue
		}
		node := newTestNode(t, n)
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		return node
	}
}

// Two failure domains must find each other also if the only node with an address of the other one
// is not a link member.
func TestDomainsMeetThroughANodeThatIsNoLinkMember(t *testing.T) {
	g := gomega.NewWithT(t)
	contactAddr, remoteAddr := freeAddr(t), freeAddr(t)
	nodes := []*testNode{}
	for range linkMemberCount {
		nodes = append(nodes, startNode(t, "a", []string{contactAddr}, startWithoutWait))
	}
	nodes = append(nodes, startNoLinkMember(t, contactAddr, remoteAddr, nodes))
	contact := nodes[len(nodes)-1]
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.view.Load().members) }, "10s").Should(gomega.Equal(len(nodes) - 1))
	}
	ids, _ := contact.linkMembers()
	g.Expect(ids).NotTo(gomega.ContainElement(contact.id))
	remote := startNode(t, "b", nil, func(o *Options) { o.Control = remoteAddr })
	for _, n := range nodes {
		g.Eventually(func() bool { return n.view.Load().domains["b"].Reachable }, "10s").Should(gomega.BeTrue())
	}
	g.Eventually(func() bool { return remote.view.Load().domains["a"].Reachable }, "10s").Should(gomega.BeTrue())
}

// An address that leads nowhere must not keep the link members from one that does.
func TestLaterAddressReplacesOneThatLeadsNowhere(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", []string{freeAddr(t)}, startWithoutWait)
	remote := startNode(t, "b", nil, nil)
	handOver := func(addr string) {
		var reply control.ExchangeReply
		req := &control.ExchangeRequest{Domain: "a", ID: "m1", Domains: map[string]string{"b": addr}}
		g.Expect((&controlAPI{n.Node}).Exchange(req, &reply)).To(gomega.Succeed())
	}
	handOver(freeAddr(t))
	g.Eventually(func() bool { return n.view.Load().domains["b"].Reported }, "10s").Should(gomega.BeTrue())
	g.Expect(n.view.Load().domains["b"].Reachable).To(gomega.BeFalse())
	handOver(remote.opt.Control)
	g.Eventually(func() bool { return n.view.Load().domains["b"].InContact() }, "10s").Should(gomega.BeTrue())
}
