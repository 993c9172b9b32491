package node

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// refusingLog is a log whose disk refuses writes while full is set.
type refusingLog struct {
	replicaLog
	full *atomic.Bool
}

func (l *refusingLog) Save(r *raft.Ready) error {
	if l.full.Load() && r.MustSave() {
		return errFullDisk()
	}
	return l.replicaLog.Save(r)
}

func (l *refusingLog) Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error {
	if l.full.Load() {
		return errFullDisk()
	}
	return l.replicaLog.Reset(snap, st, entries)
}

func (l *refusingLog) Create(snap raft.Snapshot, st raft.HardState) error {
	if l.full.Load() {
		return errFullDisk()
	}
	return l.replicaLog.Create(snap, st)
}

// errFullDisk returns the error of a write to a full disk.
func errFullDisk() error {
	return fault.Wrap(fault.DiskRefused, syscall.ENOSPC, "cannot write the log")
}

// startRefusableReplicas starts three replicas whose disks can refuse writes. The disks are
// simulated ones: with those of a busy machine, the five syncs of a rewritten log can take longer
// than the tests allow for a recovery.
func startRefusableReplicas(t *testing.T) ([]*testNode, []*atomic.Bool) {
	full := []*atomic.Bool{{}, {}, {}}
	nodes := startReplicasWith(t, func(i int, o *Options) {
		o.disk = disktest.New()
		o.wrapLog = func(log replicaLog) replicaLog { return &refusingLog{log, full[i]} }
	}, "a", "b", "c")
	t.Cleanup(func() {
		if t.Failed() {
			logReplicaEvents(t, nodes)
		}
	})
	gomega.NewWithT(t).Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	return nodes, full
}

// logReplicaEvents logs the status of the settings group and the events of each node.
func logReplicaEvents(t *testing.T, nodes []*testNode) {
	for _, n := range nodes {
		t.Logf("%s: %+v", n.opt.Name, n.replicas.status().Groups[configGroup])
		for _, e := range n.events.all() {
			t.Logf("%s %s %s", e.Time.Format(time.StampMilli), e.Part, e.Text)
		}
	}
}

// recoveryAfterLoss bounds the time from the loss of a replica to the next accepted change.
const recoveryAfterLoss = 5 * time.Second

// A replica whose disk refused writes for a while must save and vote again afterwards: the loss
// of another replica otherwise leaves the group without a quorum for good.
func TestChangesAreAcceptedAfterRefusedWritesAndALoss(t *testing.T) {
	for name, refusing := range map[string]func(leader int) int{
		"a follower's disk refuses": func(leader int) int { return (leader + 1) % 3 },
		"the leader's disk refuses": func(leader int) int { return leader },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			nodes, full := startRefusableReplicas(t)
			leader := leaderIndex(nodes)
			refused := refusing(leader)
			lost := (leader + 2) % 3
			asked := nodes[refused]
			version := uint64(0)
			change := func() error {
				status, res := asked.proposeChange("", version, settings.Entries{"#deadline": fmt.Sprintf("%ds", version+2)})
				version = max(version, res.Version)
				if status != 200 {
					return fault.New(fault.NoQuorum, "refused: "+res.Reason)
				}
				return nil
			}
			g.Expect(change()).To(gomega.Succeed())
			full[refused].Store(true)
			for range 10 {
				g.Expect(change()).To(gomega.Succeed(), "one refusing disk must not stop changes")
				time.Sleep(50 * time.Millisecond)
			}
			full[refused].Store(false)
			own := nodes[refused].replicas.groups[configGroup]
			g.Eventually(func() uint64 { return own.applied.Load() }, recoveryAfterLoss, 10*time.Millisecond).
				Should(gomega.BeNumerically(">=", nodes[lost].replicas.groups[configGroup].applied.Load()))
			nodes[lost].Close()
			g.Eventually(change, recoveryAfterLoss, 50*time.Millisecond).Should(gomega.Succeed())
		})
	}
}

// Operators must see on the replica itself that its disk refuses writes, and that it no longer
// does.
func TestStatusTellsOfRefusedWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, full := startRefusableReplicas(t)
	leader := leaderIndex(nodes)
	refused := (leader + 1) % 3
	refusedMs := func() int64 { return nodes[refused].Status().Replica.Groups[configGroup].WriteRefusedMs }
	g.Expect(refusedMs()).To(gomega.BeZero())
	full[refused].Store(true)
	status, _ := nodes[leader].proposeChange("", 0, settings.Entries{"#deadline": "1s"})
	g.Expect(status).To(gomega.Equal(200))
	g.Eventually(refusedMs, 5*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", 0))
	g.Expect(nodes[refused].events.all()).To(gomega.ContainElement(gomega.HaveField("Text", gomega.ContainSubstring("refuses writes"))))
	full[refused].Store(false)
	g.Eventually(refusedMs, 5*time.Second, 10*time.Millisecond).Should(gomega.BeZero())
	g.Expect(nodes[refused].events.all()).To(gomega.ContainElement(gomega.HaveField("Text", gomega.ContainSubstring("accepts writes again"))))
}

// Guards against the loss of a confirmed entry whose save was queued behind a compaction that the
// disk refused after it had replaced the log. The rewrite must hold it.
func TestSaveBehindRefusedCompactionIsRepaired(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := formedDisk(g)
	r, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	group := r.groups[configGroup]
	execute := func() {
		job := <-group.writer.jobs.C()
		group.completeWrite(writeResult{job, group.writer.execute(job)})
	}
	propose := func() uint64 {
		index, _, err := group.core.Propose([]byte("command"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		group.processReady()
		return index
	}
	group.core.Campaign()
	group.processReady()
	for group.core.Saving() {
		execute()
		group.processReady()
	}
	propose()
	execute()
	group.processReady()
	for group.core.Saving() {
		execute()
	}

	snap, ok := group.core.Compact(group.core.Applied(), nil)
	g.Expect(ok).To(gomega.BeTrue())
	group.compacting = true
	group.writer.jobs.Offer(writeJob{reset: &logReset{snapshot: snap, entries: group.core.EntriesAfterSnapshot()}})
	index := propose()
	syncs := 0
	d.Refuse(func(c disktest.Call) error {
		if c.Name != "SyncFolder" {
			return nil
		}
		syncs++
		if syncs == 2 { // the one after the log was renamed
			return syscall.EIO
		}
		return nil
	})
	execute()
	g.Expect(syncs).To(gomega.Equal(2))
	d.Refuse(nil)
	execute()
	g.Expect(group.core.Saving()).To(gomega.BeTrue(), "the refused save is not confirmed")
	group.ticks = group.retry.nextTick
	group.retryWrite()
	execute()
	g.Expect(group.retry).To(gomega.BeNil())
	g.Expect(group.core.Saving()).To(gomega.BeFalse())

	restarted, err := openTestReplicas(d.LoseUnsynced(), log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, entries := restarted.groups[configGroup].core.PersistentState()
	g.Expect(entries).To(gomega.ContainElement(gomega.HaveField("Index", index)))
}
