package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/links"
	"github.com/umberthread/umberthread/settings"
)

// Guards against a line for each short doubt, and against none for a long one that is
// interrupted for moments.
func TestOnlyLastingDoubtIsReported(t *testing.T) {
	const h, blip = settingsDoubtHysteresis, settingsDoubtHysteresis / 4
	g := gomega.NewWithT(t)
	var w doubtWatch
	now := time.Minute
	observe := func(after time.Duration, inDoubt bool, report doubtReport, lasted time.Duration) {
		t.Helper()
		now += after
		r, l := w.observe(now, inDoubt)
		g.Expect(r).To(gomega.Equal(report))
		g.Expect(l).To(gomega.Equal(lasted))
	}
	for range 8 {
		observe(blip, false, doubtUnchanged, 0)
		observe(blip, true, doubtUnchanged, 0)
		observe(blip, true, doubtUnchanged, blip)
	}
	observe(blip, false, doubtUnchanged, 0)

	observe(blip, true, doubtUnchanged, 0)
	observe(h-1, true, doubtUnchanged, h-1)
	observe(1, true, doubtBegan, h)
	observe(h, true, doubtUnchanged, 2*h)
	observe(blip, false, doubtUnchanged, 0)
	observe(h-1, false, doubtUnchanged, 0)
	observe(1, true, doubtUnchanged, 3*h+blip)
	observe(h, false, doubtUnchanged, 0)
	observe(h, false, doubtEnded, 4*h+blip)
	observe(h, false, doubtUnchanged, 0)
}

// Guards against a reason that does not name what operators have to look for.
func TestDoubtNamesItsReason(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startJoined(t, "m1")
	reason := func() string { return n.settingsDoubt(n.conf.Load()).String() }
	g.Expect(reason()).To(gomega.BeEmpty())
	n.setLink("m1", true)
	n.setLink("m1", false)
	g.Expect(reason()).To(gomega.Equal("failure domain b is cut off"))
	n.setLink("m1", true)
	n.gossip.observeVersion(viaPacket, "", 1)
	g.Expect(reason()).To(gomega.BeEmpty())
	n.gossip.contactAt.Store(int64(n.clock() - contactTimeout - 5*time.Second))
	g.Expect(reason()).To(gomega.HavePrefix("no other node was heard for 7"))
	n.gossip.observeVersion(viaPacket, "", 7)
	g.Expect(reason()).To(gomega.Equal("version 7 exists"))
}

// eventTexts returns the texts of a node's events of one part.
func (n *testNode) eventTexts(part string) []string {
	texts := []string{}
	for _, e := range n.events.all() {
		if e.Part == part {
			texts = append(texts, e.Text)
		}
	}
	return texts
}

// Guards against a node that serves by old settings while its log and status do not tell.
func TestLastingDoubtIsLoggedAndShown(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n", n)
	doubt := func() string { return n.Status().ConfigDoubt }
	g.Eventually(doubt, 5*time.Second, 10*time.Millisecond).Should(gomega.BeEmpty())
	g.Expect(n.Status().ConfigDoubtMs).To(gomega.BeZero())
	n.gossip.observeVersion(viaPacket, "", 7)
	g.Expect(doubt()).To(gomega.Equal("version 7 exists"))
	g.Eventually(func() []string { return n.eventTexts("config") }, 5*time.Second, 10*time.Millisecond).
		Should(gomega.ContainElement("Serving by settings that may be outdated: version 7 exists."))
	g.Expect(n.Status().ConfigDoubtMs).To(gomega.BeNumerically(">=", settingsDoubtHysteresis.Milliseconds()))
	n.applyDocument(7, settings.Entries{"#deadline": "4s"})
	g.Expect(doubt()).NotTo(gomega.Equal("version 7 exists"), "the reason is the present one")
	g.Eventually(doubt, 5*time.Second, 10*time.Millisecond).Should(gomega.BeEmpty())
	g.Eventually(func() []string { return n.eventTexts("config") }, 5*time.Second, 10*time.Millisecond).
		Should(gomega.ContainElement(gomega.MatchRegexp(`^The settings in force are current again after [0-9.]+s\.$`)))
}

// Guards against a node that refuses requests with a key without saying that its settings have
// expired.
func TestExpiredConfirmationIsADoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, func(o *Options) { o.KeyTrust = Duration{time.Hour} })
	useSettings(t, workspaceSettings(5), n)
	doubt := func() string { return n.Status().ConfigDoubt }
	g.Eventually(doubt, 5*time.Second, 10*time.Millisecond).Should(gomega.Equal("no quorum of replicas has confirmed them in time"))
	g.Expect(n.settingsCurrent(n.conf.Load())).To(gomega.BeTrue(), "requests without a key are judged as before")
	g.Expect(n.Status().ConfigConfirmedMs).To(gomega.Equal(int64(-1)))
	n.quotas.recordConfirmation(n.clock(), n.conf.Load().version)
	g.Eventually(doubt, 5*time.Second, 10*time.Millisecond).Should(gomega.BeEmpty())
	g.Expect(n.Status().ConfigConfirmedMs).To(gomega.BeNumerically(">=", 0))
}

// Guards against an age of the settings that a read confirmed of a newer version than the one
// in force.
func TestConfirmationCountsForTheVersionInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker versionTracker
	tracker.confirm(time.Second, 4, 3)
	g.Expect(tracker.confirmation()).To(gomega.BeZero())
	tracker.confirm(2*time.Second, 4, 4)
	tracker.confirm(time.Second, 3, 4)
	g.Expect(tracker.confirmation()).To(gomega.Equal(2 * time.Second))

	g.Expect(startNode(t, "a", nil, nil).Status().ConfigConfirmedMs).To(gomega.Equal(int64(-1)))
	replicas := startReplicas(t, "a")
	g.Eventually(replicas[0].Status, 10*time.Second, 10*time.Millisecond).Should(gomega.HaveField("ConfigConfirmedMs", gomega.BeNumerically(">=", 0)))
	g.Eventually(func() error {
		if _, ferr := replicas[0].readCurrentConfig(time.Second); ferr != nil {
			return ferr
		}
		return nil
	}, 10*time.Second).Should(gomega.Succeed())
	g.Expect(replicas[0].Status().ConfigConfirmedMs).To(gomega.BeNumerically("<", 1000))
}

// A node with settings from its disk must not say that something does not exist before it has
// heard of anybody since its start.
func TestSettingsAreNotCurrentBeforeTheFirstContact(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", []string{freeAddr(t)}, startWithoutWait)
	useSettings(t, "[fleet.f.service.s]\n", n)
	g.Expect(n.clock()).To(gomega.BeNumerically("<", contactTimeout))
	g.Expect(n.settingsDoubt(n.conf.Load()).cause).To(gomega.Equal(noContact))
	n.gossip.observeVersion(viaPacket, "", 1)
	g.Expect(n.settingsCurrent(n.conf.Load())).To(gomega.BeTrue())
}

// The first node of a fleet is configured without others. Once its group has other replicas, it
// must notice that it is cut off from them.
func TestFirstNodeNoticesThatItIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	first := nodes[0]
	g.Expect(first.bootstrap()).To(gomega.BeEmpty())
	_, r := first.proposeChange("", 0, settings.Entries{"#deadline": "2s"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	current := func() bool { return first.settingsCurrent(first.conf.Load()) }
	g.Eventually(current, "10s").Should(gomega.BeTrue())
	nw := newNetwork(nodes...)
	nw.setCutBothWays(first, nodes[1], true)
	nw.setCutBothWays(first, nodes[2], true)
	g.Eventually(current, "10s").Should(gomega.BeFalse())
}

// A failure domain that is removed for good must not leave the others in doubt while a quorum
// confirms their settings, and one that is cut off from the quorum must stay in doubt.
func TestConfirmedSettingsAreCurrentWithoutACutOffDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicasWith(t, func(_ int, o *Options) { o.KeyTrust = Duration{time.Minute} }, "a", "b", "c")
	t.Cleanup(func() { logReplicaState(t, nodes) })
	_, r := nodes[0].proposeChange("", 0, settings.Entries{"#deadline": "2s"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	for _, n := range nodes {
		n.awaitConfigVersion(1)
	}
	nw := newNetwork(nodes...)
	cut := nodes[2]
	nw.setCutBothWays(cut, nodes[0], true)
	nw.setCutBothWays(cut, nodes[1], true)
	for _, n := range nodes[:2] {
		g.Eventually(func() bool { return n.view.Load().domains["c"].Reachable }, "10s").Should(gomega.BeFalse())
		g.Eventually(func() settingsDoubt { return n.settingsDoubt(n.conf.Load()) }, "5s").Should(gomega.Equal(settingsDoubt{}))
	}
	g.Eventually(func() bool { return cut.settingsCurrent(cut.conf.Load()) }, "10s").Should(gomega.BeFalse())
	g.Consistently(func() bool { return cut.settingsCurrent(cut.conf.Load()) }, "1s").Should(gomega.BeFalse())
}

// A replica that restarts knows from its group that other failure domains exist. Before its link
// members reach them, it must not say that something does not exist, unless a quorum says so.
func TestSettingsAreNotCurrentBeforeTheDomainsOfTheGroupAreMet(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startReplicas(t, "a", "b", "c")[1]
	useSettings(t, "[fleet.f.service.s]\n", n)
	n.gossip.observeVersion(viaPacket, "", 1)
	g.Eventually(func() bool { return n.settingsCurrent(n.conf.Load()) }, "10s").Should(gomega.BeTrue())
	var doubt settingsDoubt
	n.gossip.runOnCore(func() {
		known := n.view.Load()
		defer n.view.Store(known)
		met := map[string]links.RemoteDomain{"a": known.domains["a"]}
		n.view.Store(&membershipView{members: known.members, replicas: known.replicas, domains: met})
		// No confirmation is recorded while the lock is held.
		n.versions.mu.Lock()
		defer n.versions.mu.Unlock()
		n.versions.confirmedAt.Store(0)
		doubt = n.settingsDoubt(n.conf.Load())
	})
	g.Expect(doubt.String()).To(gomega.Equal("no link member has reported on failure domain c"))
}
