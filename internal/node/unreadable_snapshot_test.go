package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/raft"
)

// failWithSnapshot gives a replica a snapshot of a leader that it cannot read.
func failWithSnapshot(g *gomega.WithT, group *group) {
	id := group.replicas.id
	group.core.Step(raft.Message{Type: raft.MsgSnapshot, From: "leader", To: id, Term: 7, Snapshot: &raft.Snapshot{
		Index: 50, Term: 7, Data: []byte("a format of a later version"),
		Conf: raft.Conf{Voters: []raft.Peer{{ID: "leader"}, {ID: id}}},
	}})
	group.processReady()
	g.Expect(group.failed).To(gomega.BeTrue())
}

// Guards against a stopped replica that gathers messages without bound, or that writes the
// snapshot which it cannot read to its disk.
func TestReplicaWithUnreadableSnapshotIsQuiet(t *testing.T) {
	g := gomega.NewWithT(t)
	d, id := formedDisk(g)
	r, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	group := r.groups[configGroup]
	group.recordRefusedWrite(writeResult{writeJob{ready: raft.Ready{State: &raft.HardState{Term: 1}}}, errFullDisk()})
	failWithSnapshot(g, group)
	for range 10 * maxWriteRetryTicks {
		r.stepGroup(configGroup, []raft.Message{{Type: raft.MsgAppend, From: "leader", To: id, Term: 7, Index: 60, LogTerm: 7}})
		(<-group.inbox.C())()
		group.tick()
		group.processReady()
	}
	select {
	case job := <-group.writer.jobs.C():
		t.Errorf("it writes %+v", job.reset)
	default:
	}
	// The core gives out what it gathered once the save of the snapshot has ended.
	group.core.Advance(raft.Ready{State: &raft.HardState{Term: 7}})
	rd := group.core.Ready()
	g.Expect(len(rd.Messages) + len(rd.ImmediateMessages)).To(gomega.BeNumerically("<=", 1))
}

// Guards against callers that wait until their timeouts for a replica that has stopped.
func TestReplicaWithUnreadableSnapshotFailsPendingCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := openTestReplicas(disktest.New(), log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	group := r.groups[configGroup]
	proposal, read := make(chan []byte, 1), make(chan raft.ReadResult, 1)
	group.proposals[9] = pendingProposal{1, proposal}
	group.pendingReads[9] = read
	failWithSnapshot(g, group)
	g.Expect(proposal).To(gomega.BeClosed())
	g.Expect(read).To(gomega.Receive(gomega.HaveField("OK", false)))

	go func() { (<-group.inbox.C())() }()
	begun := time.Now()
	err = group.readLinearizable(5*time.Second, func() {})
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.NotLeader))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
}
