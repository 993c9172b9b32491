package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// TestKilledLeaderIsReplacedWithoutLosingAcceptedChanges kills the leader
// repeatedly while settings change. It guards against lost changes and slow
// elections.
func TestKilledLeaderIsReplacedWithoutLosingAcceptedChanges(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	accepted := map[string]string{}
	var last uint64
	for round := range 3 {
		l := f.awaitLeader()
		key := fmt.Sprintf("suva/cover-desk/k%d#deadline", round)
		v, err := f.changeSettings(f.Nodes[l], settings.Entries{key: "1s"})
		f.noError(err)
		accepted[key] = "1s"
		f.kill(f.Nodes[l])
		started := time.Now()
		key = fmt.Sprintf("suva/cover-desk/a%d#deadline", round)
		v2, err := f.changeSettings(f.nextNode(l), settings.Entries{key: "2s"})
		f.noError(err)
		accepted[key] = "2s"
		t.Logf("first change accepted %s after the leader was killed", time.Since(started).Round(time.Millisecond))
		f.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 4*time.Second))
		f.g.Expect(v2).To(gomega.BeNumerically(">", v))
		f.noError(f.RestartNode(f.Nodes[l]))
		last = v2
	}
	f.noError(f.AwaitVersion(last, 5*time.Second))
	d, err := ctl.NewClient(f.Nodes[0].Admin).Settings(true)
	f.noError(err)
	for k, v := range accepted {
		f.g.Expect(d.Entries).To(gomega.HaveKeyWithValue(k, v))
	}
}

// TestThawedLeaderDoesNotServeStaleSettings freezes the leader while the others
// accept a change. It guards against stale reads from a former leader.
func TestThawedLeaderDoesNotServeStaleSettings(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	l := f.awaitLeader()
	f.Nodes[l].Signal(syscall.SIGSTOP)
	v, err := f.changeSettings(f.nextNode(l), settings.Entries{"#deadline": "2s"})
	f.noError(err)
	f.Nodes[l].Signal(syscall.SIGCONT)
	d, err := ctl.NewClient(f.Nodes[l].Admin).Settings(true)
	f.noError(err)
	f.g.Expect(d.Version).To(gomega.BeNumerically(">=", v))
	f.noError(f.AwaitVersion(v, 5*time.Second))
	for _, n := range f.Nodes {
		s, err := n.Status()
		f.noError(err)
		f.g.Expect(s.Config).To(gomega.Equal(v))
	}
}

// TestReplicaRejoinsAfterDiskLossAndToleratesAnother restarts two replicas with
// empty disks, one after the other, then kills the third. It guards against lost
// changes, and a lost identity that is added again.
func TestReplicaRejoinsAfterDiskLossAndToleratesAnother(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	v, err := f.changeSettings(f.Nodes[0], settings.Entries{"suva#deadline": "2s"})
	f.noError(err)
	for _, i := range []int{1, 2} {
		before, err := f.Nodes[i].Status()
		f.noError(err)
		lost := time.Now()
		f.kill(f.Nodes[i])
		f.removeDataFolder(f.Nodes[i])
		f.noError(f.RestartNode(f.Nodes[i]))
		f.awaitVoters(3)
		after, err := f.Nodes[i].Status()
		f.noError(err)
		f.g.Expect(after.Replica.ID).NotTo(gomega.Equal(before.Replica.ID))
		f.expectNotReadded(before.Replica.ID, lost)
	}
	// Only the two repaired replicas are left.
	f.kill(f.Nodes[0])
	d, err := ctl.NewClient(f.Nodes[1].Admin).Settings(true)
	f.noError(err)
	f.g.Expect(d.Version).To(gomega.Equal(v))
	f.g.Expect(d.Entries).To(gomega.HaveKeyWithValue("suva#deadline", "2s"))
}

// expectNotReadded checks that no leader has added the replica id to a group since
// the given time.
func (f *testFleet) expectNotReadded(id string, since time.Time) {
	f.t.Helper()
	for _, a := range ctl.QueryAll[[]node.Event](f.AdminAddrs(), "/v1/events", nil) {
		for _, e := range a.Value {
			if e.Time.After(since) {
				f.g.Expect(e.Text).NotTo(gomega.ContainSubstring("added " + id))
			}
		}
	}
}

// TestDamagedDiskIsTreatedAsLost flips a bit in a replica's log. It guards against
// a replica that rejoins with damaged data.
func TestDamagedDiskIsTreatedAsLost(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	n := f.Nodes[2]
	before, err := n.Status()
	f.noError(err)
	f.kill(n)
	path := filepath.Join(n.DataFolder, "group-0", "log")
	b, err := os.ReadFile(path)
	f.noError(err)
	b[len(b)/2] ^= 4
	f.noError(os.WriteFile(path, b, 0o644))
	f.noError(f.RestartNode(n))
	f.awaitVoters(3)
	after, err := n.Status()
	f.noError(err)
	f.g.Expect(after.Replica.ID).NotTo(gomega.Equal(before.Replica.ID))
	log, err := os.ReadFile(filepath.Join(f.Dir, n.Name+".log"))
	f.noError(err)
	f.g.Expect(string(log)).To(gomega.ContainSubstring("The data folder is damaged and set aside"))
}

// retryChange sends a change until it no longer fails for lack of a quorum, which a
// slow disk sync can cause. All attempts carry the same id, so the change is applied
// at most once.
func (f *testFleet) retryChange(c *ctl.Client, req node.ChangeRequest) node.ChangeResult {
	var res node.ChangeResult
	var err error
	f.g.Eventually(func() fault.Code {
		err = c.Post("/v1/config", req, &res)
		return fault.CodeOf(err)
	}, 10*time.Second, 20*time.Millisecond).ShouldNot(gomega.Equal(fault.NoQuorum))
	f.noError(err)
	return res
}

// TestFullRestartRecoversLatestSettings kills all nodes after 500 changes. It
// guards against settings that are lost in a restart, also on a node without a
// disk.
func TestFullRestartRecoversLatestSettings(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	plain := f.startNode("suva-a", false)
	var v uint64
	c := ctl.NewClient(f.Nodes[0].Admin)
	d, err := c.Settings(true)
	f.noError(err)
	v = d.Version
	for i := range 500 {
		res := f.retryChange(c, node.ChangeRequest{ID: uuid.NewString(), Base: v, Set: settings.Entries{"#deadline": fmt.Sprintf("%dms", 1000+i)}})
		f.g.Expect(res.Version).To(gomega.Equal(v + 1))
		v++
	}
	for _, n := range f.Nodes {
		f.kill(n)
	}
	for _, n := range f.Nodes[:3] {
		f.noError(f.RestartNode(n))
	}
	started := time.Now()
	f.noError(f.RestartNode(plain))
	f.noError(f.AwaitVersion(v, 10*time.Second))
	t.Logf("%d changes active on a restarted node after %s", 500, time.Since(started).Round(time.Millisecond))
}
