package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/member"
)

// startJoined returns a node that has settings, has just heard of another node of domain "a", and
// knows members of its domain by ID.
func startJoined(t *testing.T, ids ...string) *testNode {
	t.Helper()
	n := startNode(t, "a", []string{freeAddr(t)}, startWithoutWait)
	useSettings(t, "[fleet.f.service.s]\n", n)
	n.gossip.observeVersion(viaPacket, "", 1)
	for _, id := range ids {
		n.setMember(id, gossip.Alive)
	}
	return n
}

// startWithoutWait makes a node start without waiting for others.
func startWithoutWait(o *Options) { o.StartWait = Duration{100 * time.Millisecond} }

// setMember changes the status of another member in the node's view.
func (n *testNode) setMember(id string, s gossip.Status) {
	n.gossip.runOnCore(func() {
		n.gossip.views.handleEvent(gossip.Event{Member: &gossip.Member{ID: id, Addr: "127.0.0.1:1", Status: s, Meta: (&member.Meta{}).Encode()}})
		n.gossip.views.publish()
	})
}

// setLink records that a member reaches domain "b", or does not.
func (n *testNode) setLink(by string, reachable bool) {
	l := member.Link{Domain: "b", By: by, Reachable: reachable}
	n.gossip.runOnCore(func() {
		n.gossip.views.handleEvent(gossip.Event{Record: gossip.Record{Key: member.LinkKey("b", by), Payload: l.Encode()}})
		n.gossip.views.publish()
	})
}

// A failure domain that is cut off must count as cut off also after the loss of the link members
// that said so, until another one reaches it: settings that this node lacks may be in force there.
func TestSettingsAreNotCurrentAfterLossOfTheLinkMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startJoined(t, "m1", "m2")
	current := func() bool { return n.settingsCurrent(n.conf.Load()) }
	n.setLink("m1", true)
	g.Expect(current()).To(gomega.BeTrue())
	n.setLink("m1", false)
	g.Expect(current()).To(gomega.BeFalse())
	n.setMember("m1", gossip.Dead)
	g.Expect(current()).To(gomega.BeFalse(), "no link member reaches the other domain")
	n.setLink("m2", true)
	g.Expect(current()).To(gomega.BeTrue())
}

// What a member said of a failure domain while it was a link member must not count once others
// are: it no longer hears of the domain.
func TestSettingsAreNotCurrentByTheLinkOfAFormerLinkMember(t *testing.T) {
	g := gomega.NewWithT(t)
	ids := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	n := startJoined(t, ids...)
	linkMembers := member.SelectLinkMembers(append([]string{n.id}, ids...), linkMemberCount)
	for _, id := range ids {
		n.setLink(id, true)
	}
	for _, id := range linkMembers {
		n.setLink(id, false)
	}
	g.Expect(n.settingsCurrent(n.conf.Load())).To(gomega.BeFalse(), "no link member reaches the other domain")
}

// linkOf returns what the node's view says that a member reports on domain "b".
func (n *testNode) linkOf(id string) (l member.Link) {
	n.gossip.runOnCore(func() { l = n.gossip.views.links[member.LinkKey("b", id)] })
	return l
}

// A member that is no longer a link member must withdraw its reports, or an old one counts again
// when it becomes a link member again.
func TestFormerLinkMemberWithdrawsItsReports(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startJoined(t)
	n.publishLink(member.Link{Domain: "b", By: n.id, Reachable: true, Control: []string{"127.0.0.1:1"}})
	g.Eventually(func() bool { return n.view.Load().domains["b"].Reported }, "5s").Should(gomega.BeTrue())
	for i := uint64(0); n.view.Load().domains["b"].Reported; i++ {
		n.setMember("m"+formatUint(i), gossip.Alive)
	}
	g.Eventually(func() bool { return n.linkOf(n.id).AddressesOnly }, "15s").Should(gomega.BeTrue())
	g.Expect(n.linkOf(n.id).Reachable).To(gomega.BeFalse())
	g.Expect(n.linkOf(n.id).Control).To(gomega.Equal([]string{"127.0.0.1:1"}), "the addresses remain")
}

// A member that was taken for dead and is not does not repeat its report, which must still count;
// so must one that arrives before its member is known.
func TestReportOfALinkMemberOutlivesAWrongSuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startJoined(t, "m1")
	inContact := func() bool { return n.view.Load().domains["b"].InContact() }
	n.setLink("m1", true)
	g.Expect(inContact()).To(gomega.BeTrue())
	n.setMember("m1", gossip.Dead)
	g.Expect(inContact()).To(gomega.BeFalse())
	n.setMember("m1", gossip.Alive)
	g.Expect(inContact()).To(gomega.BeTrue())
	n.setMember("m1", gossip.Dead)
	n.setLink("m2", true)
	g.Expect(inContact()).To(gomega.BeFalse())
	n.setMember("m2", gossip.Alive)
	g.Expect(inContact()).To(gomega.BeTrue())
}

// The node must not say that something does not exist while the link members that it knows have
// not reported on another domain.
func TestSettingsAreNotCurrentBeforeLinkMembersReport(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startJoined(t, "m1", "m2")
	g.Expect(n.settingsCurrent(n.conf.Load())).To(gomega.BeTrue(), "no other domain is known")
	n.setLink("gone", true)
	g.Expect(n.view.Load().domains).To(gomega.BeEmpty(), "nobody known reports")
	l := member.Link{Domain: "b", By: "m1", AddressesOnly: true, Control: []string{"127.0.0.1:1"}}
	n.gossip.runOnCore(func() {
		n.gossip.views.handleEvent(gossip.Event{Record: gossip.Record{Key: member.LinkKey("b", "m1"), Payload: l.Encode()}})
		n.gossip.views.publish()
	})
	g.Expect(n.settingsDoubt(n.conf.Load()).String()).To(gomega.Equal("no link member has reported on failure domain b"))
	g.Expect(n.view.Load().domains["b"].Reachable).To(gomega.BeTrue(), "requests are sent to a domain that was just found")
	n.setLink("m2", true)
	g.Expect(n.settingsCurrent(n.conf.Load())).To(gomega.BeTrue())
}

// A node that becomes a link member must exchange at once: until it has, nobody may know whether
// the other domains are reachable.
func TestNewLinkMemberExchangesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	o := DefaultOptions()
	o.Domain = "a"
	n, err := New(o, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b := newViewBuilder(n)
	set := func(id string, s gossip.Status) {
		b.handleMember(gossip.Member{ID: id, Addr: "127.0.0.1:1", Status: s, Meta: (&member.Meta{}).Encode()})
		b.refreshDomains()
	}
	ids := []string{}
	for b.isLinkMember {
		ids = append(ids, "m"+formatUint(uint64(len(ids))))
		set(ids[len(ids)-1], gossip.Alive)
	}
	g.Expect(n.gossip.linkWake).To(gomega.BeEmpty())
	for _, id := range ids {
		set(id, gossip.Dead)
	}
	g.Expect(n.gossip.linkWake).To(gomega.HaveLen(1))
}
