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

// runDuringLoad sends requests of a kind for span, calls during two seconds after
// the start, and returns the outcomes.
func (f *testFleet) runDuringLoad(entries []string, target string, span time.Duration, during func()) *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		done <- load.Run(load.Options{Addrs: entries, Kinds: []load.RequestKind{requestKind(target, 3*time.Second)}, Phases: []load.Phase{{Rate: 150, Duration: span}}})
	}()
	time.Sleep(2 * time.Second)
	during()
	return <-done
}

// expectAllServed checks that every request was served.
func (f *testFleet) expectAllServed(r *load.Result) {
	f.t.Helper()
	for _, o := range r.Outcomes {
		f.g.Expect(o.OK).To(gomega.BeTrue(), o.Reason+" "+o.Detail)
	}
}

// TestDrainingServerReceivesNoNewRequests drains a backend server under load. It
// guards against requests sent to a draining server, and against failed requests.
func TestDrainingServerReceivesNoNewRequests(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	a := f.startServer(f.Nodes[0], "suva/cover-desk", 16, "check=30ms", "note=30ms")
	f.startServer(f.Nodes[1], "suva/cover-desk", 16, "check=30ms", "note=30ms")
	f.awaitServed("suva/cover-desk/note")
	var before map[string]standin.RequestStats
	r := f.runDuringLoad(f.HTTPAddrs(), "suva/cover-desk/note", 6*time.Second, func() {
		f.noError(a.SetFaults(standin.Faults{AnnouncedState: "draining"}))
		time.Sleep(2 * time.Second)
		var err error
		before, err = a.RequestStats()
		f.noError(err)
	})
	after, err := a.RequestStats()
	f.noError(err)
	f.g.Expect(len(after)).To(gomega.Equal(len(before)), "new requests reached the backend server two seconds after the drain")
	f.expectAllServed(r)
}

// TestGracefulNodeStopInterruptsNoRequests stops a node under load with SIGTERM. It
// guards against requests that fail in a planned stop.
func TestGracefulNodeStopInterruptsNoRequests(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	extra := f.startNode("suva-b", false)
	for _, n := range f.Nodes {
		f.startServer(n, "suva/cover-desk", 16, "check=30ms", "note=30ms")
	}
	f.awaitServed("suva/cover-desk/note")
	// Callers use only the nodes that keep running.
	r := f.runDuringLoad(f.HTTPAddrs()[:3], "suva/cover-desk/note", 5*time.Second, func() {
		extra.Signal(syscall.SIGTERM)
		f.g.Expect(extra.WaitExit(10 * time.Second)).To(gomega.BeTrue())
		f.g.Expect(extra.ExitCode()).To(gomega.BeZero())
	})
	f.expectAllServed(r)
}

// TestKilledNodeIsRoutedAround kills a node under load. It guards against failures
// of idempotent requests.
func TestKilledNodeIsRoutedAround(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	extra := f.startNode("suva-b", false)
	for _, n := range f.Nodes {
		f.startServer(n, "suva/cover-desk", 16, "check=30ms", "note=30ms")
	}
	f.awaitServed("suva/cover-desk/check")
	r := f.runDuringLoad(f.HTTPAddrs()[:3], "suva/cover-desk/check", 5*time.Second, func() { f.kill(extra) })
	failed := 0
	for _, o := range r.Outcomes {
		if !o.OK {
			failed++
		}
	}
	f.g.Expect(failed).To(gomega.BeZero())
}

// TestKeyedRequestsExecuteOnceDuringNodeFailures sends keyed requests with resends
// while a node is frozen and another killed. It guards against a request that is
// executed twice.
func TestKeyedRequestsExecuteOnceDuringNodeFailures(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	entry := f.startNode("suva-a", false)
	var servers []*harness.Server
	for _, n := range f.Nodes[:3] {
		servers = append(servers, f.startServer(n, "suva/claims-hub", 8, "lodge=20ms", "status=1ms"))
	}
	f.awaitServed("suva/claims-hub/status")
	k := requestKind("suva/claims-hub/lodge", 5*time.Second)
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
	l := f.awaitLeader()
	f.kill(f.Nodes[l])
	time.Sleep(2 * time.Second)
	f.noError(f.RestartNode(f.Nodes[l]))
	wg.Wait()
	runs := map[string]int{}
	total := 0
	for _, s := range servers {
		work, err := s.RequestStats()
		f.noError(err)
		for id, w := range work {
			runs[id] += w.Executions
			total += w.Executions
		}
	}
	served := 0
	for _, o := range r.Outcomes {
		f.g.Expect(runs[o.ID]).To(gomega.BeNumerically("<=", 1), "request %s was executed %d times", o.ID, runs[o.ID])
		if o.OK {
			served++
			f.g.Expect(runs[o.ID]).To(gomega.Equal(1))
		}
	}
	t.Logf("%d of %d keyed requests served, %d executions", served, len(r.Outcomes), total)
	f.g.Expect(served).To(gomega.BeNumerically(">", len(r.Outcomes)*8/10))
}
