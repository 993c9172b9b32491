package node

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
)

// Two failure domains must find each other also if the only node with an address of the other one
// is not a link member.
func TestDomainsMeetThroughANodeThatIsNoLinkMember(t *testing.T) {
	g := gomega.NewWithT(t)
	remoteAddr := freeAddr(t)
	contact := startNode(t, "a", []string{remoteAddr}, startWithoutWait)
	nodes := []*testNode{contact}
	isLinkMember := func() bool {
		ids, _ := contact.linkMembers()
		return slices.Contains(ids, contact.id)
	}
	for isLinkMember() {
		n := startNode(t, "a", []string{contact.opt.Control}, nil)
		nodes = append(nodes, n)
		g.Eventually(func() int { return len(contact.view.Load().members) }, "10s").Should(gomega.Equal(len(nodes) - 1))
	}
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
