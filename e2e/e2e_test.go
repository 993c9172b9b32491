// Package e2e tests fleets of real processes under kills, freezes, lost and damaged
// disks, and restarts.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// binDir is the folder of the commands, built once by TestMain.
var binDir string

// TestMain builds the commands under test and removes them afterwards.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "umberthread-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/umberthreadd", "../cmd/umberstand", "../cmd/umberctl").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// initialSettings declares the request kinds of the tests' backend servers.
const initialSettings = `
[default]
deadline = "3s"
[fleet.suva.service.cover-desk.kind.check]
class = "protected"
idempotent = true
[fleet.suva.service.cover-desk.kind.note]
class = "normal"
[fleet.suva.service.claims-hub.kind.status]
idempotent = true
[fleet.suva.service.claims-hub.kind.lodge]
class = "protected"
key_required = true
deadline = "5s"
`

// testFleet is a harness.Fleet whose helpers fail the test on errors.
type testFleet struct {
	*harness.Fleet
	t *testing.T
	g *gomega.WithT
}

// newFleet returns an empty fleet. At the end of the test its processes are killed;
// its folder with the logs is kept if the test failed.
func newFleet(t *testing.T) *testFleet {
	f, err := harness.New(binDir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, n := range f.Nodes {
			if n.Process != nil {
				n.Signal(syscall.SIGCONT)
				n.Signal(syscall.SIGKILL)
			}
		}
		for _, s := range f.Servers {
			if s.Process != nil {
				s.Signal(syscall.SIGKILL)
			}
		}
		if !t.Failed() {
			_ = os.RemoveAll(f.Dir)
		} else {
			t.Log("logs kept in", f.Dir)
		}
	})
	return &testFleet{f, t, gomega.NewWithT(t)}
}

// noError fails the test if err is not nil.
func (f *testFleet) noError(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// startNode starts a node in a failure domain; with disk it holds a replica.
func (f *testFleet) startNode(domain string, disk bool, extra ...string) *harness.Node {
	f.t.Helper()
	n, err := f.StartNode(harness.NodeSpec{Domain: domain, HasDisk: disk, ExtraSettings: append([]string{`replace_after = "3s"`, "replicas = 3"}, extra...)})
	f.noError(err)
	return n
}

// startServer starts a stand-in backend server beside a node.
func (f *testFleet) startServer(n *harness.Node, service string, slots int, kinds ...string) *harness.Server {
	f.t.Helper()
	s, err := f.StartServer(n, harness.ServerSpec{Service: service, Slots: slots, Connections: 4 * slots, Kinds: kinds})
	f.noError(err)
	return s
}

// startThreeReplicas starts a replica in each of three failure domains and applies
// initialSettings.
func (f *testFleet) startThreeReplicas() {
	f.t.Helper()
	for _, d := range []string{"suva-a", "suva-b", "suva-c"} {
		f.startNode(d, true)
	}
	f.noError(f.FormReplicaGroups(f.Nodes[0]))
	f.awaitVoters(3)
	_, err := f.ApplySettings(f.Nodes[0], initialSettings, nil)
	f.noError(err)
}

// awaitVoters waits until all running replicas report n voters in each group, all
// of them running.
func (f *testFleet) awaitVoters(n int) {
	f.t.Helper()
	f.g.Eventually(func() error {
		ids := map[string]bool{}
		var nodes []*harness.Node
		for _, nd := range f.Nodes {
			if nd.DataFolder != "" && !nd.WaitExit(0) {
				nodes = append(nodes, nd)
			}
		}
		for _, nd := range nodes {
			s, err := nd.Status()
			if err != nil {
				return err
			}
			ids[s.Replica.ID] = true
		}
		for _, nd := range nodes {
			s, err := nd.Status()
			if err != nil {
				return err
			}
			for _, g := range s.Replica.Groups {
				alive := 0
				for _, v := range g.Voters {
					if ids[v[:16]] {
						alive++
					}
				}
				if len(g.Voters) != n || alive != n {
					return fmt.Errorf("%s group %d: voters %v", s.Name, g.Group, g.Voters)
				}
			}
		}
		return nil
	}, 40*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
}

// changeSettings makes one settings change at a node, on the version that a quorum
// confirms, and returns the new version. It retries on errors and conflicts.
func (f *testFleet) changeSettings(n *harness.Node, set settings.Entries) (uint64, error) {
	c := ctl.NewClient(n.Admin)
	id := uuid.NewString()
	var res node.ChangeResult
	err := harness.Await(10*time.Second, func() error {
		d, err := c.Settings(true)
		if err != nil {
			return err
		}
		if err := c.Post("/v1/config", node.ChangeRequest{ID: id, Base: d.Version, Set: set}, &res); err != nil {
			return err
		}
		if res.Version == 0 {
			id = uuid.NewString()
			return fmt.Errorf("conflict")
		}
		return nil
	})
	return res.Version, err
}

// awaitLeader waits until a node leads the configuration group and returns its
// index. Nodes whose index is in excluded are skipped.
func (f *testFleet) awaitLeader(excluded ...int) int {
	f.t.Helper()
	found := -1
	f.g.Eventually(func() int {
		for i, n := range f.Nodes {
			if n.WaitExit(0) || contains(excluded, i) {
				continue
			}
			s, err := n.Status()
			if err == nil && s.Replica != nil && s.Replica.Groups[0].Leads {
				found = i
			}
		}
		return found
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	return found
}

// contains reports whether i is in the slice.
func contains(in []int, i int) bool {
	for _, v := range in {
		if v == i {
			return true
		}
	}
	return false
}

// nextNode returns the node after index i, wrapping around.
func (f *testFleet) nextNode(i int) *harness.Node { return f.Nodes[(i+1)%len(f.Nodes)] }

// awaitServed waits until every running node serves a request of the target kind.
func (f *testFleet) awaitServed(target string) {
	f.t.Helper()
	f.g.Eventually(func() error {
		for _, n := range f.Nodes {
			if n.WaitExit(0) {
				continue
			}
			r := load.Run(load.Options{Addrs: []string{n.HTTP}, Kinds: []load.RequestKind{requestKind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 1000, Duration: time.Millisecond}}})
			for _, o := range r.Outcomes {
				if !o.OK {
					return fmt.Errorf("%s: %s", n.Name, o.Reason)
				}
			}
		}
		return nil
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
}

// requestKind returns a load of one target kind.
func requestKind(target string, deadline time.Duration) load.RequestKind {
	return load.RequestKind{Target: target, ArrivalFraction: 1, Deadline: deadline}
}

// removeDataFolder simulates the loss of a stopped node's disk.
func (f *testFleet) removeDataFolder(n *harness.Node) { f.noError(os.RemoveAll(n.DataFolder)) }

// kill sends SIGKILL to a node and waits for it to exit.
func (f *testFleet) kill(n *harness.Node) {
	n.Signal(syscall.SIGKILL)
	if !n.WaitExit(5 * time.Second) {
		f.t.Fatal("a killed process did not exit")
	}
}
