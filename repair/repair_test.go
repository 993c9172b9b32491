package repair

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/raft"
)

// testPeer returns a peer with an address derived from its ID.
func testPeer(id, domain string) raft.Peer {
	return raft.Peer{ID: id, Addr: "at-" + id, Domain: domain}
}

var testOptions = Options{TargetVoters: 3, SuspectAfter: 10 * time.Second, ReplaceAfter: time.Minute, MaxLag: 16}

// TestLostDiskIsReplaced follows the repair of a replica that returns under a new identity at
// the same address.
func TestLostDiskIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	fresh := raft.Peer{ID: "c2", Addr: "at-c", Domain: "z"}
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: time.Second}},
		Candidates: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), fresh},
	}
	p, ok := NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.IsLearner("c2")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(3))

	group.Conf = p.Conf
	group.Health["c2"] = Health{Lag: 1000}
	_, ok = NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeFalse(), "a lagging learner must not be promoted")

	group.Health["c2"] = Health{Lag: 3}
	p, _ = NextChange(group, testOptions)
	g.Expect(p.Conf.IsVoter("c")).To(gomega.BeFalse())
	g.Expect(p.Conf.IsLearner("c2")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(2), "a fourth voter would need three of four to commit")

	group.Conf = p.Conf
	group.Health["c2"] = Health{Lag: 1000}
	_, ok = NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeFalse(), "a lagging learner must not be promoted")

	group.Health["c2"] = Health{}
	p, _ = NextChange(group, testOptions)
	g.Expect(p.Conf.IsVoter("c2")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(3))

	group.Conf = p.Conf
	_, ok = NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeFalse())
}

// TestSilentVoterIsRemovedAfterItsReplacementIsPromoted covers a voter of which only silence is
// known: it may return with its disk, so it counts until its replacement is a voter.
func TestSilentVoterIsRemovedAfterItsReplacementIsPromoted(t *testing.T) {
	g := gomega.NewWithT(t)
	group := GroupStatus{
		Conf:     raft.Conf{Voters: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z")}, Learners: []raft.Peer{testPeer("d", "z")}},
		LeaderID: "a", Health: map[string]Health{"b": {}, "c": {SilentFor: time.Minute}, "d": {Lag: 3}},
		Candidates: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("d", "z")},
	}
	p, _ := NextChange(group, testOptions)
	g.Expect(p.Conf.IsVoter("d")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(4))

	group.Conf = p.Conf
	p, _ = NextChange(group, testOptions)
	g.Expect(p.Conf.IsVoter("c")).To(gomega.BeFalse())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(3))

	group.Conf = p.Conf
	_, ok := NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeFalse())
}

// TestReplacementComesFromLeastUsedDomain checks that a silent voter is replaced from the
// failure domain with the fewest voters.
func TestReplacementComesFromLeastUsedDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: 2 * time.Minute}},
		Candidates: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("d", "x"), testPeer("e", "w")},
	}
	p, _ := NextChange(group, testOptions)
	g.Expect(p.Conf.IsLearner("e")).To(gomega.BeTrue())
}

// TestNoChangeWithoutReplacement checks that a silent voter keeps its place while there is no
// replacement.
func TestNoChangeWithoutReplacement(t *testing.T) {
	g := gomega.NewWithT(t)
	_, ok := NextChange(GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: time.Hour}},
		Candidates: []raft.Peer{testPeer("a", "x"), testPeer("b", "y")},
	}, testOptions)
	g.Expect(ok).To(gomega.BeFalse(), "removing a voter without a replacement only reduces fault tolerance")
}

// A replica may respond at its configured address and at another one. Its address must not
// alternate between them, which would block the replacement of a lost disk.
func TestReplicaWithTwoAddressesKeepsItsAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	other := raft.Peer{ID: "b", Addr: "at-b-too", Domain: "y"}
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: 2 * time.Minute}},
		Candidates: []raft.Peer{other, testPeer("b", "y"), testPeer("d", "z")},
	}
	p, ok := NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.ContainElement(testPeer("b", "y")))
	g.Expect(p.Conf.IsLearner("d")).To(gomega.BeTrue(), p.Reason)

	// It has moved once it no longer responds at its previous address.
	group.Candidates = []raft.Peer{other, testPeer("d", "z")}
	p, ok = NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.ContainElement(other))
}

// learnerGroup returns a group that lost a voter and has a learner in its place, with the health
// of that learner.
func learnerGroup(h Health, candidates ...raft.Peer) GroupStatus {
	a, b, c, d := testPeer("a", "x"), testPeer("b", "y"), testPeer("c", "z"), testPeer("d", "z")
	return GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{a, b, c}, Learners: []raft.Peer{d}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: 2 * time.Minute}, "d": h},
		Candidates: append([]raft.Peer{a, b, d}, candidates...),
	}
}

// A learner that has caught up may have a disk that stalls since. As a fourth voter beside a lost
// one, it would stop a group of which two of three voters are sound.
func TestLearnerWithStalledDiskIsNotPromoted(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, h := range map[string]Health{
		"lacks an entry":       {Lag: 1, UnsavedFor: testOptions.SuspectAfter},
		"lacks a recent entry": {Lag: 1, UnsavedFor: time.Second, SavedAgo: time.Second},
	} {
		p, ok := NextChange(learnerGroup(h), testOptions)
		g.Expect(ok).To(gomega.BeFalse(), "%s: %s", name, p.Reason)
	}
}

// In an idle group a learner lacks nothing, whether its disk stalls or not.
func TestDiskOfIdleLearnerIsCheckedBeforePromotion(t *testing.T) {
	g := gomega.NewWithT(t)
	group := learnerGroup(Health{SavedAgo: time.Minute})
	p, ok := NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf).To(gomega.Equal(group.Conf), "an entry that changes nothing")

	p, _ = NextChange(learnerGroup(Health{SavedAgo: 100 * time.Millisecond}), testOptions)
	g.Expect(p.Conf.IsVoter("d")).To(gomega.BeTrue())
}

// A learner that is silent or whose disk confirms nothing must not keep another replica from the
// place of a lost voter. One that loads its snapshot is given time.
func TestUnresponsiveLearnerDoesNotBlockOtherCandidates(t *testing.T) {
	g := gomega.NewWithT(t)
	other := testPeer("e", "w")
	loading := Health{Lag: math.MaxUint64, UnsavedFor: testOptions.ReplaceAfter - time.Second, SavedAgo: time.Hour}
	_, ok := NextChange(learnerGroup(loading, other), testOptions)
	g.Expect(ok).To(gomega.BeFalse(), "a learner may need time to load its snapshot")

	for name, h := range map[string]Health{
		"stalled from the start": {Lag: math.MaxUint64, UnsavedFor: testOptions.ReplaceAfter, SavedAgo: time.Hour},
		"stalled later":          {Lag: 2, UnsavedFor: testOptions.ReplaceAfter, SavedAgo: testOptions.ReplaceAfter},
		"silent":                 {Lag: math.MaxUint64, SilentFor: testOptions.SuspectAfter, SavedAgo: time.Hour},
	} {
		p, ok := NextChange(learnerGroup(h, other), testOptions)
		g.Expect(ok).To(gomega.BeTrue(), name)
		g.Expect(p.Conf.IsLearner("e")).To(gomega.BeTrue(), "%s: %s", name, p.Reason)
		g.Expect(p.Conf.IsLearner("d")).To(gomega.BeTrue(), "%s: it may respond again first", name)

		group := learnerGroup(h, other)
		group.Conf, group.Health["e"] = p.Conf, Health{}
		p, _ = NextChange(group, testOptions)
		g.Expect(p.Conf.IsVoter("e")).To(gomega.BeTrue(), "%s: %s", name, p.Reason)

		_, ok = NextChange(learnerGroup(h), testOptions)
		g.Expect(ok).To(gomega.BeFalse(), "%s: without another candidate it would only be added again", name)
	}
}

// A learner that no longer confirms its identity at its address is removed.
func TestLostLearnerIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	group := learnerGroup(Health{Lag: math.MaxUint64, SilentFor: testOptions.ReplaceAfter})
	moved := testPeer("d", "z")
	moved.Addr = "at-d-now"
	group.Candidates = append(group.Candidates[:2], moved)
	p, ok := NextChange(group, testOptions)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.IsLearner("d")).To(gomega.BeFalse(), p.Reason)
}
