package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/route"
)

// Guards against each entry node spending the retries of the whole service.
func TestRepeatsFromSeveralEntriesStayWithinRatio(t *testing.T) {
	const (
		entries, servers   = 5, 2
		requestsPerEntry   = 20
		ratio, burst       = 0.2, 5
		allowedRepeats     = ratio*entries*requestsPerEntry + burst*servers
		settingsOfFailures = "[fleet.f.service.s]\nretry_ratio = 0.2\nretry_burst = 5\neject_max = 0\n[fleet.f.service.s.kind.k]\nidempotent = true\nretry_budget = 4"
	)
	g := gomega.NewWithT(t)
	first := startNode(t, "d1", nil, nil)
	nodes := []*testNode{first}
	for len(nodes) < entries+servers {
		nodes = append(nodes, startNode(t, "d1", []string{first.opt.Control}, nil))
	}
	useSettings(t, settingsOfFailures, nodes...)
	kinds := map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond}}
	var backends []*standin.Server
	for _, n := range nodes[:servers] {
		s := startStandin(t, n, "f/s", 8, kinds)
		s.SetFaults(standin.Faults{FailureRate: 1})
		backends = append(backends, s)
	}
	for _, entry := range nodes[servers:] {
		entry.awaitInstances("f/s", servers)
	}
	for range requestsPerEntry {
		for _, entry := range nodes[servers:] {
			entry.call("f/s/k", "", nil, nil)
		}
	}
	for _, n := range nodes[:servers] {
		// An execution ends once its reply has been sent, which the caller may see before.
		g.Eventually(n.runningExecutions, "2s", "1ms").Should(gomega.BeZero(), "a refused repeat leaves no execution behind")
	}
	arrivals, distinct := 0, map[string]bool{}
	for _, s := range backends {
		for _, a := range s.RequestArrivals() {
			arrivals++
			distinct[a.RequestID] = true
		}
	}
	repeats := arrivals - len(distinct)
	g.Expect(len(distinct)).To(gomega.Equal(entries * requestsPerEntry))
	g.Expect(repeats).To(gomega.BeNumerically("<=", allowedRepeats))
	g.Expect(repeats).To(gomega.BeNumerically(">=", burst*servers))
}

// runningExecutions returns the number of executions at the local backend server.
func (n *testNode) runningExecutions() int {
	running := 0
	n.executionsByToken.Range(func(any, any) bool {
		running++
		return true
	})
	return running
}

// Guards against counting the calls of a retry as first attempts when the retry is executed by
// the backend server beside the entry.
func TestCallsOfALocalRetryAreRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startNode(t, "d1", nil, nil)
	failing := startNode(t, "d1", []string{entry.opt.Control}, nil)
	called := startNode(t, "d1", []string{entry.opt.Control}, nil)
	useSettings(t, "[fleet.f.service.front]\nretry_ratio = 1.0\neject_max = 0\n[fleet.f.service.front.kind.k]\nidempotent = true\n[fleet.f.service.back]\nretry_ratio = 1.0\nretry_burst = 100\n[fleet.f.service.back.kind.k]\n", entry, failing, called)
	front := map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond, Calls: []string{"f/back/k"}}}
	startStandin(t, entry, "f/front", 8, front)
	startStandin(t, failing, "f/front", 8, front).SetFaults(standin.Faults{FailureRate: 1})
	startStandin(t, called, "f/back", 8, map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond}})
	entry.awaitInstances("f/front", 2)
	entry.awaitInstances("f/back", 1)
	requests := int64(0)
	for ; requests < 500 && entry.Status().Retries < 3; requests++ {
		g.Expect(entry.call("f/front/k", "", nil, nil).status).To(gomega.Equal(http.StatusOK))
	}
	retries := entry.Status().Retries
	arrivals := called.Status().Backend
	g.Expect(retries).To(gomega.BeNumerically(">", 0))
	g.Expect(arrivals.RepeatedArrivals).To(gomega.Equal(retries))
	g.Expect(arrivals.FirstArrivals).To(gomega.Equal(requests - retries))
}

// Guards against attempts that a backend server got, but did not execute, and whose retries
// count as first arrivals.
func TestAttemptsThatReachedAServerMakeTheNextOneARepeat(t *testing.T) {
	g := gomega.NewWithT(t)
	for code, repeat := range map[fault.Code]bool{
		fault.Rejected: true, fault.Misdirected: true,
		fault.NoBackend: false, fault.Overload: false, fault.Draining: false, fault.RateLimited: false, fault.RetryBudgetSpent: false, fault.BackendLost: false, fault.PeerLost: false,
	} {
		c := &call{}
		c.recordOffer(&route.Instance{}, fault.New(code, "not executed"))
		g.Expect(c.isRepeat()).To(gomega.Equal(repeat), code.String())
	}
	lost := &call{}
	lost.recordOffer(&route.Instance{}, fault.New(fault.PeerLost, "maybe executed").WithUnknownExecution())
	g.Expect(lost.isRepeat()).To(gomega.BeTrue())
}
