package node

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/raft"
)

// TestAllGroupsAreFormedAfterAFailedAttempt guards against a fleet without a group for its
// idempotency keys: an attempt that fails between two groups must not look complete.
func TestAllGroupsAreFormedAfterAFailedAttempt(t *testing.T) {
	for failing := range 3 {
		g := gomega.NewWithT(t)
		var full atomic.Bool
		full.Store(true)
		opened := 0
		n := startNode(t, "a", nil, func(o *Options) {
			o.DataFolder, o.Replicas, o.Shards = t.TempDir(), 1, 2
			o.wrapLog = func(log replicaLog) replicaLog {
				opened++
				if opened-1 == failing {
					return &refusingLog{log, &full}
				}
				return log
			}
		})
		err := n.replicas.formGroups()
		g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused), "group %d has a full disk", failing)
		someFormed := failing < len(n.replicas.groups)-1
		g.Expect(fault.From(err).Execution == fault.ExecutionUnknown).To(gomega.Equal(someFormed), "group %d", failing)
		full.Store(false)
		g.Expect(n.replicas.formGroups()).To(gomega.Succeed(), "group %d", failing)
		for _, group := range n.replicas.groups {
			g.Eventually(group.leads.Load, "5s").Should(gomega.BeTrue(), "group %d, failed %d", group.id, failing)
		}
	}
}

// Guards against a new group that takes the save of the replica before it for its own: the retry
// of a write that was refused before the group was formed would confirm what is not on the disk.
func TestFormedGroupForgetsRefusedWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := openTestReplicas(disktest.New(), log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	group := r.groups[configGroup]
	refused := raft.Ready{State: &raft.HardState{Term: 9}}
	group.recordRefusedWrite(writeResult{writeJob{ready: refused}, errFullDisk()})
	formTestGroups(g, r)
	g.Expect(group.retry).To(gomega.BeNil())
	g.Expect(group.compacting).To(gomega.BeFalse())
	g.Expect(group.writeRefusedFor()).To(gomega.BeZero())
}

// Guards against a group that a restart brings to life although an operator was told that it was
// not formed: once another node has formed the groups, there would be two.
func TestRefusedFormingLeavesNoGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	d := disktest.New()
	r, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	last := len(r.groups) - 1
	refusedFile := filepath.Join(testDataFolder, groupFolder(last), "log.new")
	d.Refuse(func(c disktest.Call) error {
		if c.Name == "Write" && c.Path == refusedFile {
			return syscall.ENOSPC
		}
		return nil
	})
	group := r.groups[last]
	r.node.startTask("log writer", func() { group.writer.run(r.node.stop) })
	go func() { (<-group.inbox.C())() }()
	err = r.formGroups()
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused))
	g.Expect(fault.From(err).Execution).NotTo(gomega.Equal(fault.ExecutionUnknown))
	close(r.node.stop)
	r.node.wg.Wait()
	d.Refuse(nil)
	restarted, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, group := range restarted.groups {
		g.Expect(group.core.Conf().Voters).To(gomega.BeEmpty(), "group %d", group.id)
	}
}
