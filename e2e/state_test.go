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

// TestKilledLeaderIsFollowedAndNothingAcceptedIsLost kills the leader again
// and again while operators make changes.
func TestKilledLeaderIsFollowedAndNothingAcceptedIsLost(t *testing.T) {
	f := newFleet(t)
	f.three()
	accepted := map[string]string{}
	var last uint64
	for round := range 3 {
		l := f.leader()
		key := fmt.Sprintf("suva/cover-desk/k%d#deadline", round)
		v, err := f.change(f.Nodes[l], settings.Entries{key: "1s"})
		f.ok(err)
		accepted[key] = "1s"
		f.kill(f.Nodes[l])
		started := time.Now()
		key = fmt.Sprintf("suva/cover-desk/a%d#deadline", round)
		v2, err := f.change(f.other(l), settings.Entries{key: "2s"})
		f.ok(err)
		accepted[key] = "2s"
		t.Logf("first change accepted %s after the kill", time.Since(started).Round(time.Millisecond))
		f.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 4*time.Second))
		f.g.Expect(v2).To(gomega.BeNumerically(">", v))
		f.ok(f.RestartNode(f.Nodes[l]))
		last = v2
	}
	f.ok(f.AwaitVersion(last, 5*time.Second))
	d, err := ctl.NewClient(f.Nodes[0].Admin).Document(true)
	f.ok(err)
	for k, v := range accepted {
		f.g.Expect(d.Entries).To(gomega.HaveKeyWithValue(k, v))
	}
}

// TestFrozenLeaderDoesNotAnswerAsIfCurrent freezes the leader, as behind a
// silent partition, lets the others go on, and thaws it.
func TestFrozenLeaderDoesNotAnswerAsIfCurrent(t *testing.T) {
	f := newFleet(t)
	f.three()
	l := f.leader()
	f.Nodes[l].Signal(syscall.SIGSTOP)
	v, err := f.change(f.other(l), settings.Entries{"#deadline": "2s"})
	f.ok(err)
	f.Nodes[l].Signal(syscall.SIGCONT)
	d, err := ctl.NewClient(f.Nodes[l].Admin).Document(true)
	f.ok(err)
	f.g.Expect(d.Version).To(gomega.BeNumerically(">=", v))
	f.ok(f.AwaitVersion(v, 5*time.Second))
	for _, n := range f.Nodes {
		s, err := n.Status()
		f.ok(err)
		f.g.Expect(s.Config).To(gomega.Equal(v))
	}
}

// TestLostDiskIsReplacedAndASecondLossLosesNothing: a replica comes back
// without its disk under a new identity and gets a vote once it has caught up;
// right after that the next replica is lost.
func TestLostDiskIsReplacedAndASecondLossLosesNothing(t *testing.T) {
	f := newFleet(t)
	f.three()
	v, err := f.change(f.Nodes[0], settings.Entries{"suva#deadline": "2s"})
	f.ok(err)
	for _, i := range []int{1, 2} {
		before, err := f.Nodes[i].Status()
		f.ok(err)
		lost := time.Now()
		f.kill(f.Nodes[i])
		f.loseDisk(f.Nodes[i])
		f.ok(f.RestartNode(f.Nodes[i]))
		f.voters(3)
		after, err := f.Nodes[i].Status()
		f.ok(err)
		f.g.Expect(after.Replica.ID).NotTo(gomega.Equal(before.Replica.ID))
		f.neverAdded(before.Replica.ID, lost)
	}
	// Only the two repaired ones are left.
	f.kill(f.Nodes[0])
	d, err := ctl.NewClient(f.Nodes[1].Admin).Document(true)
	f.ok(err)
	f.g.Expect(d.Version).To(gomega.Equal(v))
	f.g.Expect(d.Entries).To(gomega.HaveKeyWithValue("suva#deadline", "2s"))
}

// neverAdded checks that no leader took a lost identity back into a group since it was lost.
func (f *fleet) neverAdded(id string, since time.Time) {
	f.t.Helper()
	for _, a := range ctl.AskAll[[]node.Event](f.AdminAddrs(), "/v1/events", nil) {
		for _, e := range a.Value {
			if e.Time.After(since) {
				f.g.Expect(e.Text).NotTo(gomega.ContainSubstring("added " + id))
			}
		}
	}
}

// TestDamagedDiskIsTreatedAsLost flips a bit in a replica's log.
func TestDamagedDiskIsTreatedAsLost(t *testing.T) {
	f := newFleet(t)
	f.three()
	n := f.Nodes[2]
	before, err := n.Status()
	f.ok(err)
	f.kill(n)
	path := filepath.Join(n.DataFolder, "group-0", "log")
	b, err := os.ReadFile(path)
	f.ok(err)
	b[len(b)/2] ^= 4
	f.ok(os.WriteFile(path, b, 0o644))
	f.ok(f.RestartNode(n))
	f.voters(3)
	after, err := n.Status()
	f.ok(err)
	f.g.Expect(after.Replica.ID).NotTo(gomega.Equal(before.Replica.ID))
	log, err := os.ReadFile(filepath.Join(f.Dir, n.Name+".log"))
	f.ok(err)
	f.g.Expect(string(log)).To(gomega.ContainSubstring("The data folder is damaged and set aside"))
}

// clearChange sends a change until the answer is clear, as operators do: a sync of
// the disk may take seconds beside other load, and the same id is taken once.
func (f *fleet) clearChange(c *ctl.Client, req node.ChangeRequest) node.ChangeResult {
	var res node.ChangeResult
	var err error
	f.g.Eventually(func() fault.Code {
		err = c.Post("/v1/config", req, &res)
		return fault.CodeOf(err)
	}, 10*time.Second, 20*time.Millisecond).ShouldNot(gomega.Equal(fault.NoQuorum))
	f.ok(err)
	return res
}

// TestRestartAfterManyChangesKnowsTheLatest restarts everything after 500
// changes; a node without a disk learns them too.
func TestRestartAfterManyChangesKnowsTheLatest(t *testing.T) {
	f := newFleet(t)
	f.three()
	plain := f.node("suva-a", false)
	var v uint64
	c := ctl.NewClient(f.Nodes[0].Admin)
	d, err := c.Document(true)
	f.ok(err)
	v = d.Version
	for i := range 500 {
		res := f.clearChange(c, node.ChangeRequest{ID: uuid.NewString(), Base: v, Set: settings.Entries{"#deadline": fmt.Sprintf("%dms", 1000+i)}})
		f.g.Expect(res.Version).To(gomega.Equal(v + 1))
		v++
	}
	for _, n := range f.Nodes {
		f.kill(n)
	}
	for _, n := range f.Nodes[:3] {
		f.ok(f.RestartNode(n))
	}
	started := time.Now()
	f.ok(f.RestartNode(plain))
	f.ok(f.AwaitVersion(v, 10*time.Second))
	t.Logf("%d changes in force on a restarted node after %s", 500, time.Since(started).Round(time.Millisecond))
}
