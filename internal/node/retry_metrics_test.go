package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
)

// Backend servers that fail everything must show in the metrics as first arrivals, repeats,
// and retries that the ratio denies at the entry or beside the backend server.
func TestMetricsTellRepeatsAndDeniedRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startNode(t, "d1", nil, nil)
	b := startNode(t, "d1", []string{a.opt.Control}, nil)
	kinds := map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond}}
	for _, n := range []*testNode{a, b} {
		startStandin(t, n, "f/s", 8, kinds).SetFaults(standin.Faults{FailureRate: 1})
	}
	useSettings(t, "[fleet.f.service.s]\nretry_ratio = 0.2\nretry_burst = 4\neject_max = 0\n[fleet.f.service.s.kind.k]\nidempotent = true\nretry_budget = 1", a, b)
	a.awaitInstances("f/s", 2)
	const requests = 100
	for i := range requests {
		g.Expect(a.call("f/s/k", fmt.Sprint("r", i), nil, nil).status).To(gomega.BeNumerically(">=", http.StatusInternalServerError))
	}
	entry, other := a.Status(), b.Status()
	repeated := entry.Backend.RepeatedArrivals + other.Backend.RepeatedArrivals
	refused := entry.Backend.RefusedRepeats + other.Backend.RefusedRepeats
	g.Expect(entry.Backend.FirstArrivals + other.Backend.FirstArrivals).To(gomega.BeEquivalentTo(requests))
	g.Expect(repeated + refused).To(gomega.Equal(entry.Retries))
	g.Expect(repeated).To(gomega.BeNumerically(">", 0))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))
	g.Expect(entry.DeniedRetries + entry.Retries - entry.UnchargedRetries).To(gomega.BeEquivalentTo(requests))
}
