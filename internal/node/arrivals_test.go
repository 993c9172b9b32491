package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
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
