package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// stallingLog is a log whose disk can be made to stall.
type stallingLog struct {
	replicaLog
	disk *stallingDisk
}

// stallingDisk blocks the writes of its logs while it stalls.
type stallingDisk struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func (d *stallingDisk) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumed = make(chan struct{})
}

func (d *stallingDisk) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

func (d *stallingDisk) awaitResume() {
	d.mu.Lock()
	until := d.resumed
	d.mu.Unlock()
	if until != nil {
		<-until
	}
}

func (l *stallingLog) Save(r *raft.Ready) error {
	l.disk.awaitResume()
	return l.replicaLog.Save(r)
}

func (l *stallingLog) Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error {
	l.disk.awaitResume()
	return l.replicaLog.Reset(snap, st, entries)
}

// encodeChange returns an encoded change of one setting.
func encodeChange(id string, base uint64) []byte {
	c := confstore.Change{ID: id, Base: base, Patch: settings.Patch{Set: settings.Entries{"#deadline": "9s"}}}
	return encodeMsgpack(&c)
}

// startStallableReplicas starts three replicas whose disks can stall. The disks are simulated ones:
// with those of a busy machine, the other two can stall as well.
func startStallableReplicas(t *testing.T) ([]*testNode, []*stallingDisk) {
	disks := []*stallingDisk{{}, {}, {}}
	nodes := startReplicasWith(t, func(i int, o *Options) {
		o.disk = disktest.New()
		o.wrapLog = func(log replicaLog) replicaLog { return &stallingLog{log, disks[i]} }
	}, "a", "b", "c")
	t.Cleanup(func() {
		if t.Failed() {
			logReplicaEvents(t, nodes)
		}
		for _, d := range disks {
			d.resume()
		}
	})
	return nodes, disks
}

// leaderIndex returns the index of the node that leads the settings group, or -1.
func leaderIndex(nodes []*testNode) int {
	for i, n := range nodes {
		if n.replicas.groups[configGroup].leads.Load() {
			return i
		}
	}
	return -1
}

// Guards against a stalled leader disk blocking changes: leadership moves to a replica with a
// working disk, and the stalled replica catches up afterwards.
func TestChangesAreAcceptedDuringLeaderDiskStall(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, disks := startStallableReplicas(t)
	g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	stalled := leaderIndex(nodes)
	asked := nodes[(stalled+1)%len(nodes)]
	status, res := asked.proposeChange("before", 0, settings.Entries{"#deadline": "1s"})
	g.Expect(status).To(gomega.Equal(200))
	version := res.Version
	disks[stalled].stall()
	// Longer than the detection of the stall and the change of leader take.
	const changes, every = 30, 100 * time.Millisecond
	for i := range changes {
		began := time.Now()
		status, res = asked.proposeChange(fmt.Sprint("during-", i), version, settings.Entries{"#deadline": fmt.Sprintf("%ds", i+2)})
		g.Expect(status).To(gomega.Equal(200), "change %d: %+v", i, res)
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second), "change %d", i)
		version = res.Version
		time.Sleep(every)
	}
	g.Expect(leaderIndex(nodes)).NotTo(gomega.Equal(stalled))
	disks[stalled].resume()
	g.Eventually(func() bool {
		own := nodes[stalled].replicas.groups[configGroup]
		return !own.leads.Load() && own.applied.Load() >= nodes[leaderIndex(nodes)].replicas.groups[configGroup].applied.Load()
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
	nodes[stalled].awaitConfigVersion(version)
}

// Guards against counting a lost replica as a loss of the disk quorum, and against refusals in
// a group of one replica.
func TestChangesAreAcceptedWithoutOneReplica(t *testing.T) {
	for _, domains := range [][]string{{"a", "b", "c"}, {"a"}} {
		t.Run(fmt.Sprint(len(domains), " replicas"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			nodes := startReplicas(t, domains...)
			g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
			leader := leaderIndex(nodes)
			if len(nodes) > 1 {
				nodes[(leader+1)%len(nodes)].Close()
			}
			version := uint64(0)
			for end := time.Now().Add(stallTicks*raftTickInterval + 2*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				status, res := nodes[leader].proposeChange("", version, settings.Entries{"#deadline": fmt.Sprintf("%ds", version+2)})
				g.Expect(status).To(gomega.Equal(200), "%+v", res)
				version = res.Version
			}
		})
	}
}

// Guards against accepting changes while the disks of two of three replicas stall. The leader
// stays, and accepts changes again once the disks respond.
func TestChangesRequireDiskQuorum(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, disks := startStallableReplicas(t)
	g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	leader := leaderIndex(nodes)
	group := nodes[leader].replicas.groups[configGroup]
	for i, d := range disks {
		if i != leader {
			d.stall()
		}
	}
	_, err := group.propose(encodeChange("stalled", 0), 4*time.Second)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() error {
		_, err := group.propose(encodeChange("refused", 0), 100*time.Millisecond)
		return err
	}, 5*time.Second, 50*time.Millisecond).Should(gomega.MatchError(gomega.ContainSubstring("disks")))
	g.Expect(leaderIndex(nodes)).To(gomega.Equal(leader))
	for _, d := range disks {
		d.resume()
	}
	g.Eventually(func() error {
		_, err := group.propose(encodeChange("after", 0), time.Second)
		return err
	}, 5*time.Second, 20*time.Millisecond).Should(gomega.Succeed())
	g.Expect(leaderIndex(nodes)).To(gomega.Equal(leader))
}

// Guards against keeping a follower whose disk hangs while its process responds.
func TestReplicaWhoseDiskHangsIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, disks := startStallableReplicas(t)
	dir := t.TempDir()
	spare := startNode(t, "d", []string{nodes[0].opt.Control}, func(o *Options) {
		o.DataFolder = dir
		o.Replicas = len(nodes)
	})
	g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	leader := leaderIndex(nodes)
	hung := (leader + 1) % len(nodes)
	disks[hung].stall()
	version := uint64(0)
	g.Eventually(func() bool {
		// A hung disk is only detected when it has something to save.
		_, res := nodes[leader].proposeChange("", version, settings.Entries{"#deadline": fmt.Sprintf("%ds", version+2)})
		version = max(version, res.Version)
		conf := nodes[leader].replicas.groups[configGroup].conf.Load()
		return conf.IsVoter(spare.replicas.id) && !conf.IsVoter(nodes[hung].replicas.id)
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.BeTrue())
}
