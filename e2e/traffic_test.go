package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/internal/standin"
)

// underLoad sends requests of a kind, does what is to be tested two seconds
// later, and returns what became of all requests.
func (f *fleet) underLoad(entries []string, target string, span time.Duration, during func()) *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		done <- load.Run(load.Options{Addrs: entries, Kinds: []load.RequestKind{kind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 150, Duration: span}}})
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
	var before map[string]standin.RequestStats
	r := f.underLoad(f.HTTPAddrs(), "suva/cover-desk/note", 6*time.Second, func() {
		f.ok(a.SetFaults(standin.Faults{AnnouncedState: "draining"}))
		time.Sleep(2 * time.Second)
		var err error
		before, err = a.RequestStats()
		f.ok(err)
	})
	after, err := a.RequestStats()
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
	r := f.underLoad(f.HTTPAddrs()[:3], "suva/cover-desk/note", 5*time.Second, func() {
		extra.Signal(syscall.SIGTERM)
		f.g.Expect(extra.WaitExit(10 * time.Second)).To(gomega.BeTrue())
		f.g.Expect(extra.ExitCode()).To(gomega.BeZero())
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
	r := f.underLoad(f.HTTPAddrs()[:3], "suva/cover-desk/check", 5*time.Second, func() { f.kill(extra) })
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
	k.BodyBytes = 100
	var wg sync.WaitGroup
	var r *load.Result
	wg.Add(1)
	go func() {
		defer wg.Done()
		r = load.Run(load.Options{Addrs: f.HTTPAddrs(), Kinds: []load.RequestKind{k}, MaxResends: 60, ResendDelay: 100 * time.Millisecond, Phases: []load.Phase{{Rate: 60, Duration: 8 * time.Second}}})
	}()
	time.Sleep(time.Second)
	entry.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	entry.Signal(syscall.SIGCONT)
	l := f.leader()
	f.kill(f.Nodes[l])
	time.Sleep(2 * time.Second)
	f.ok(f.RestartNode(f.Nodes[l]))
	wg.Wait()
	runs := map[string]int{}
	total := 0
	for _, s := range servers {
		work, err := s.RequestStats()
		f.ok(err)
		for id, w := range work {
			runs[id] += w.Executions
			total += w.Executions
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
