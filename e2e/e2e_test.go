// Package e2e brings about failures with real processes: kills, freezes, lost
// and damaged disks, cuts and silent connections.
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

var bin string

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
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const tree = `
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

// fleet is a harness.Fleet that fails the test.
type fleet struct {
	*harness.Fleet
	t *testing.T
	g *gomega.WithT
}

func newFleet(t *testing.T) *fleet {
	f, err := harness.New(bin)
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
			t.Log("logs in", f.Dir)
		}
	})
	return &fleet{f, t, gomega.NewWithT(t)}
}

func (f *fleet) ok(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) node(domain string, disk bool, extra ...string) *harness.Node {
	f.t.Helper()
	n, err := f.StartNode(harness.NodeSpec{Domain: domain, HasDisk: disk, ExtraSettings: append([]string{`replace_after = "3s"`, "replicas = 3"}, extra...)})
	f.ok(err)
	return n
}

func (f *fleet) server(n *harness.Node, service string, slots int, kinds ...string) *harness.Server {
	f.t.Helper()
	s, err := f.StartServer(n, harness.ServerSpec{Service: service, Slots: slots, Connections: 4 * slots, Kinds: kinds})
	f.ok(err)
	return s
}

// three starts a replica in each of three failure domains.
func (f *fleet) three() {
	f.t.Helper()
	for _, d := range []string{"suva-a", "suva-b", "suva-c"} {
		f.node(d, true)
	}
	f.ok(f.FormReplicaGroups(f.Nodes[0]))
	f.voters(3)
	_, err := f.ApplySettings(f.Nodes[0], tree, nil)
	f.ok(err)
}

// voters waits until all running replicas agree on n voters that are all
// alive.
func (f *fleet) voters(n int) {
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

// change makes one change at a node and returns the version.
func (f *fleet) change(n *harness.Node, set settings.Entries) (uint64, error) {
	c := ctl.NewClient(n.Admin)
	id := uuid.NewString()
	var res node.ChangeResult
	err := harness.Await(10*time.Second, func() error {
		d, err := c.Document(true)
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

// leader returns the index of the node that leads the configuration group.
func (f *fleet) leader(not ...int) int {
	f.t.Helper()
	found := -1
	f.g.Eventually(func() int {
		for i, n := range f.Nodes {
			if n.WaitExit(0) || contains(not, i) {
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

func contains(in []int, i int) bool {
	for _, v := range in {
		if v == i {
			return true
		}
	}
	return false
}

func (f *fleet) other(i int) *harness.Node { return f.Nodes[(i+1)%len(f.Nodes)] }

func (f *fleet) served(target string) {
	f.t.Helper()
	f.g.Eventually(func() error {
		for _, n := range f.Nodes {
			if n.WaitExit(0) {
				continue
			}
			r := load.Run(load.Options{Addrs: []string{n.HTTP}, Kinds: []load.RequestKind{kind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 1000, Duration: time.Millisecond}}})
			for _, o := range r.Outcomes {
				if !o.OK {
					return fmt.Errorf("%s: %s", n.Name, o.Reason)
				}
			}
		}
		return nil
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
}

func kind(target string, deadline time.Duration) load.RequestKind {
	return load.RequestKind{Target: target, ArrivalFraction: 1, Deadline: deadline}
}

// loseDisk removes a stopped node's data folder.
func (f *fleet) loseDisk(n *harness.Node) { f.ok(os.RemoveAll(n.DataFolder)) }

func (f *fleet) kill(n *harness.Node) {
	n.Signal(syscall.SIGKILL)
	if !n.WaitExit(5 * time.Second) {
		f.t.Fatal("a killed process did not end")
	}
}
