package repair

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/raft"
)

func peer(id, domain string) raft.Peer { return raft.Peer{ID: id, Addr: "at-" + id, Domain: domain} }

var opt = Options{TargetVoters: 3, SuspectAfter: 10 * time.Second, ReplaceAfter: time.Minute, MaxLag: 16}

// TestALostDiskIsReplacedStepByStep follows the whole repair of a replica that
// comes back under a new identity at the same address.
func TestALostDiskIsReplacedStepByStep(t *testing.T) {
	g := gomega.NewWithT(t)
	fresh := raft.Peer{ID: "c2", Addr: "at-c", Domain: "z"}
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{peer("a", "x"), peer("b", "y"), peer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: time.Second}},
		Candidates: []raft.Peer{peer("a", "x"), peer("b", "y"), fresh},
	}
	p, ok := NextChange(group, opt)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.IsLearner("c2")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(3))

	group.Conf = p.Conf
	group.Health["c2"] = Health{Lag: 1000}
	_, ok = NextChange(group, opt)
	g.Expect(ok).To(gomega.BeFalse(), "a learner that lags gets no vote")

	group.Health["c2"] = Health{Lag: 3}
	p, _ = NextChange(group, opt)
	g.Expect(p.Conf.IsVoter("c2")).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(4))

	group.Conf = p.Conf
	p, _ = NextChange(group, opt)
	g.Expect(p.Conf.IsVoter("c")).To(gomega.BeFalse())
	g.Expect(p.Conf.Voters).To(gomega.HaveLen(3))

	group.Conf = p.Conf
	_, ok = NextChange(group, opt)
	g.Expect(ok).To(gomega.BeFalse())
}

func TestASilentReplicaIsReplacedFromTheEmptiestDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{peer("a", "x"), peer("b", "y"), peer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: 2 * time.Minute}},
		Candidates: []raft.Peer{peer("a", "x"), peer("b", "y"), peer("d", "x"), peer("e", "w")},
	}
	p, _ := NextChange(group, opt)
	g.Expect(p.Conf.IsLearner("e")).To(gomega.BeTrue())
}

func TestNobodyToTakeThePlaceChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	_, ok := NextChange(GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{peer("a", "x"), peer("b", "y"), peer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: time.Hour}},
		Candidates: []raft.Peer{peer("a", "x"), peer("b", "y")},
	}, opt)
	g.Expect(ok).To(gomega.BeFalse(), "removing without a substitute only lowers the quorum")
}

// TestAReplicaThatAnswersAtTwoAddressesIsNotMoved: a replica answers at the address
// that the group knows it by, and at another one, from the settings. The group took
// it for moved to the other address and back, ten times a second, and made no other
// change: a disk that was lost at the same time was never replaced.
func TestAReplicaThatAnswersAtTwoAddressesIsNotMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	other := raft.Peer{ID: "b", Addr: "at-b-too", Domain: "y"}
	group := GroupStatus{
		Conf: raft.Conf{Voters: []raft.Peer{peer("a", "x"), peer("b", "y"), peer("c", "z")}}, LeaderID: "a",
		Health:     map[string]Health{"b": {}, "c": {SilentFor: 2 * time.Minute}},
		Candidates: []raft.Peer{other, peer("b", "y"), peer("d", "z")},
	}
	p, ok := NextChange(group, opt)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.ContainElement(peer("b", "y")))
	g.Expect(p.Conf.IsLearner("d")).To(gomega.BeTrue(), p.Reason)

	// Where it no longer answers at its address, it has moved.
	group.Candidates = []raft.Peer{other, peer("d", "z")}
	p, ok = NextChange(group, opt)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(p.Conf.Voters).To(gomega.ContainElement(other))
}
