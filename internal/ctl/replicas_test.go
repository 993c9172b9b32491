package ctl

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/node"
)

// replicaReport returns the status of a node whose replica reports one group of the voters
// ida, idb and idc.
func replicaReport(name, id string, g node.GroupStatus) node.Status {
	g.Voters = []string{"ida@a:1", "idb@b:1", "idc@c:1"}
	return node.Status{Name: name, Replica: &node.ReplicaStatus{ID: id, Groups: []node.GroupStatus{g}}}
}

// Guards against a group without a leader that is missing in the list, as if there were none.
func TestGroupWithoutLeaderIsListed(t *testing.T) {
	g := gomega.NewWithT(t)
	waiting := node.Status{Name: "new", Replica: &node.ReplicaStatus{ID: "idn", Groups: []node.GroupStatus{{Term: 99}}}}
	groups := summarizeGroups([]node.Status{
		waiting,
		replicaReport("a", "ida", node.GroupStatus{Term: 4, LeaderlessMs: 11_000}),
		replicaReport("b", "idb", node.GroupStatus{Term: 5, LeaderlessMs: 12_100, SilentVoters: []node.SilentVoter{{ID: "ida", Addr: "a:1", SilentMs: 3000}, {ID: "idc", Addr: "c:1", SilentMs: 12_100}}}),
	})
	g.Expect(groups).To(gomega.HaveLen(1))
	g.Expect(groups[0].formatLeader()).To(gomega.Equal("no leader for 12s"))
	g.Expect(groups[0].formatMissed(map[string]string{"ida": "a"})).To(gomega.Equal("a 3s, idc@c:1 12s"))
	g.Expect(groups[0].Unseen).To(gomega.Equal([]string{"idc@c:1"}))
	g.Expect(summarizeGroups([]node.Status{waiting})).To(gomega.BeEmpty())
}

// Guards against a report of a deposed leader, or of a follower, in place of the leader's.
func TestGroupIsReportedByItsLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	deposed := replicaReport("a", "ida", node.GroupStatus{Leads: true, Leader: "a:1", Term: 4, Applied: 9})
	leader := replicaReport("b", "idb", node.GroupStatus{Leads: true, Leader: "b:1", Term: 5, Applied: 8})
	follower := replicaReport("c", "idc", node.GroupStatus{Leader: "b:1", Term: 5, Applied: 9})
	cutOff := replicaReport("d", "idd", node.GroupStatus{Term: 6, LeaderlessMs: 9000})
	groups := summarizeGroups([]node.Status{deposed, cutOff, leader, follower})
	g.Expect(groups[0].Node).To(gomega.Equal("b"))
	g.Expect(groups[0].formatLeader()).To(gomega.Equal("b"))
	g.Expect(groups[0].formatMissed(nil)).To(gomega.Equal("-"))
	g.Expect(groups[0].Unseen).To(gomega.BeEmpty())

	// The leader's node does not answer the tool, but a follower names it.
	groups = summarizeGroups([]node.Status{cutOff, follower})
	g.Expect(groups[0].Node).To(gomega.BeEmpty())
	g.Expect(groups[0].formatLeader()).To(gomega.Equal("b:1"))
	g.Expect(groups[0].Unseen).To(gomega.Equal([]string{"ida@a:1", "idb@b:1"}))
}
