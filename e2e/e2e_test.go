// Package e2e brings about failures with real processes: kills, freezes, lost
// and damaged disks, cuts and silent connections.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/internal/standin"
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
			if n.Proc != nil {
				n.Signal(syscall.SIGCONT)
				n.Signal(syscall.SIGKILL)
			}
		}
		for _, s := range f.Servers {
			if s.Proc != nil {
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
	n, err := f.StartNode(harness.NodeSpec{Domain: domain, Disk: disk, Extra: append([]string{`replace_after = "3s"`, "replicas = 3"}, extra...)})
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
	f.ok(f.Form(f.Nodes[0]))
	f.voters(3)
	_, err := f.Configure(f.Nodes[0], tree, nil)
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
			if nd.Folder != "" && !nd.Wait(0) {
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
			if n.Wait(0) || contains(not, i) {
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
			if n.Wait(0) {
				continue
			}
			r := load.Run(load.Options{Entries: []string{n.HTTP}, Kinds: []load.Kind{kind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 1000, For: time.Millisecond}}})
			for _, o := range r.Outcomes {
				if !o.OK {
					return fmt.Errorf("%s: %s", n.Name, o.Reason)
				}
			}
		}
		return nil
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
}

func kind(target string, deadline time.Duration) load.Kind {
	return load.Kind{Target: target, Share: 1, Deadline: deadline}
}

// loseDisk removes a stopped node's data folder.
func (f *fleet) loseDisk(n *harness.Node) { f.ok(os.RemoveAll(n.Folder)) }

func (f *fleet) kill(n *harness.Node) {
	n.Signal(syscall.SIGKILL)
	if !n.Wait(5 * time.Second) {
		f.t.Fatal("a killed process did not end")
	}
}

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
		f.ok(f.Restart(f.Nodes[l]))
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
		f.ok(f.Restart(f.Nodes[i]))
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
	for _, a := range ctl.AskAll[[]node.Event](f.Admins(), "/v1/events", nil) {
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
	path := filepath.Join(n.Folder, "group-0", "log")
	b, err := os.ReadFile(path)
	f.ok(err)
	b[len(b)/2] ^= 4
	f.ok(os.WriteFile(path, b, 0o644))
	f.ok(f.Restart(n))
	f.voters(3)
	after, err := n.Status()
	f.ok(err)
	f.g.Expect(after.Replica.ID).NotTo(gomega.Equal(before.Replica.ID))
	log, err := os.ReadFile(filepath.Join(f.Dir, n.Name+".log"))
	f.ok(err)
	f.g.Expect(string(log)).To(gomega.ContainSubstring("The data folder is damaged and set aside"))
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
		var res node.ChangeResult
		f.ok(c.Post("/v1/config", node.ChangeRequest{ID: uuid.NewString(), Base: v, Set: settings.Entries{"#deadline": fmt.Sprintf("%dms", 1000+i)}}, &res))
		f.g.Expect(res.Version).To(gomega.Equal(v + 1))
		v++
	}
	for _, n := range f.Nodes {
		f.kill(n)
	}
	for _, n := range f.Nodes[:3] {
		f.ok(f.Restart(n))
	}
	started := time.Now()
	f.ok(f.Restart(plain))
	f.ok(f.AwaitVersion(v, 10*time.Second))
	t.Logf("%d changes in force on a restarted node after %s", 500, time.Since(started).Round(time.Millisecond))
}

// underLoad sends requests of a kind, does what is to be tested two seconds
// later, and returns what became of all requests.
func (f *fleet) underLoad(entries []string, target string, span time.Duration, during func()) *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		done <- load.Run(load.Options{Entries: entries, Kinds: []load.Kind{kind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 150, For: span}}})
	}()
	time.Sleep(2 * time.Second)
	during()
	return <-done
}

// allServed checks that every request was served.
func (f *fleet) allServed(r *load.Result) {
	f.t.Helper()
	for _, o := range r.Outcomes {
		f.g.Expect(o.OK).To(gomega.BeTrue(), o.Reason+" "+o.Detail)
	}
}

// TestDrainingServerGetsNothingNewAndNothingIsCut drains a backend server
// under load and then stops it.
func TestDrainingServerGetsNothingNewAndNothingIsCut(t *testing.T) {
	f := newFleet(t)
	f.three()
	a := f.server(f.Nodes[0], "suva/cover-desk", 16, "check=30ms", "note=30ms")
	f.server(f.Nodes[1], "suva/cover-desk", 16, "check=30ms", "note=30ms")
	f.served("suva/cover-desk/note")
	var before map[string]standin.Work
	r := f.underLoad(f.Entries(), "suva/cover-desk/note", 6*time.Second, func() {
		f.ok(a.SetFaults(standin.Faults{State: "draining"}))
		time.Sleep(2 * time.Second)
		var err error
		before, err = a.Work()
		f.ok(err)
	})
	after, err := a.Work()
	f.ok(err)
	f.g.Expect(len(after)).To(gomega.Equal(len(before)), "new work two seconds after the drain")
	f.allServed(r)
}

// TestPlannedStopOfANodeCutsNothing stops nodes under load.
func TestPlannedStopOfANodeCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.three()
	extra := f.node("suva-b", false)
	for _, n := range f.Nodes {
		f.server(n, "suva/cover-desk", 16, "check=30ms", "note=30ms")
	}
	f.served("suva/cover-desk/note")
	// Callers use the nodes that stay.
	r := f.underLoad(f.Entries()[:3], "suva/cover-desk/note", 5*time.Second, func() {
		extra.Signal(syscall.SIGTERM)
		f.g.Expect(extra.Wait(10 * time.Second)).To(gomega.BeTrue())
		f.g.Expect(extra.Exit()).To(gomega.BeZero())
	})
	f.allServed(r)
}

// TestKilledNodeIsRoutedAround kills a node under load: requests that may run
// twice are all served.
func TestKilledNodeIsRoutedAround(t *testing.T) {
	f := newFleet(t)
	f.three()
	extra := f.node("suva-b", false)
	for _, n := range f.Nodes {
		f.server(n, "suva/cover-desk", 16, "check=30ms", "note=30ms")
	}
	f.served("suva/cover-desk/check")
	r := f.underLoad(f.Entries()[:3], "suva/cover-desk/check", 5*time.Second, func() { f.kill(extra) })
	failed := 0
	for _, o := range r.Outcomes {
		if !o.OK {
			failed++
		}
	}
	f.g.Expect(failed).To(gomega.BeZero())
}

// TestLodgementsRunOnceWhileNodesAreKilledAndFrozen sends keyed requests with
// resends at all nodes while nodes are killed and frozen, and checks the count
// at the backend servers.
func TestLodgementsRunOnceWhileNodesAreKilledAndFrozen(t *testing.T) {
	f := newFleet(t)
	f.three()
	entry := f.node("suva-a", false)
	var servers []*harness.Server
	for _, n := range f.Nodes[:3] {
		servers = append(servers, f.server(n, "suva/claims-hub", 8, "lodge=20ms", "status=1ms"))
	}
	f.served("suva/claims-hub/status")
	k := kind("suva/claims-hub/lodge", 5*time.Second)
	k.Keyed = true
	k.Body = 100
	var wg sync.WaitGroup
	var r *load.Result
	wg.Add(1)
	go func() {
		defer wg.Done()
		r = load.Run(load.Options{Entries: f.Entries(), Kinds: []load.Kind{k}, Resends: 60, Pause: 100 * time.Millisecond, Phases: []load.Phase{{Rate: 60, For: 8 * time.Second}}})
	}()
	time.Sleep(time.Second)
	entry.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	entry.Signal(syscall.SIGCONT)
	l := f.leader()
	f.kill(f.Nodes[l])
	time.Sleep(2 * time.Second)
	f.ok(f.Restart(f.Nodes[l]))
	wg.Wait()
	runs := map[string]int{}
	total := 0
	for _, s := range servers {
		work, err := s.Work()
		f.ok(err)
		for id, w := range work {
			runs[id] += w.Runs
			total += w.Runs
		}
	}
	served := 0
	for _, o := range r.Outcomes {
		f.g.Expect(runs[o.ID]).To(gomega.BeNumerically("<=", 1), "request %s ran %d times", o.ID, runs[o.ID])
		if o.OK {
			served++
			f.g.Expect(runs[o.ID]).To(gomega.Equal(1))
		}
	}
	t.Logf("%d of %d lodgements served, %d executions", served, len(r.Outcomes), total)
	f.g.Expect(served).To(gomega.BeNumerically(">", len(r.Outcomes)*8/10))
}
