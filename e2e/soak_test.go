package e2e

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/soak"
)

// soakSpan is how long faults are injected in a run of the soak here. By hand it
// runs longer: make soak.
const soakSpan = 8 * time.Second

// soakSeeds are the seeds that run here: one with most kinds of steps. Those that
// broke a promise run for longer, by hand: soak.Failures.
var soakSeeds = []uint64{102}

// TestSoakKeepsThePromises disturbs a small fleet by the plans of fixed seeds.
func TestSoakKeepsThePromises(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, seed := range soakSeeds {
		rep, err := soak.Run(soak.Options{Bin: bin, Seed: seed, Span: soakSpan})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rep.Broken).To(gomega.BeEmpty(), "seed %d, steps %v, logs in %s", seed, rep.Steps, rep.Folder)
		g.Expect(rep.Served).To(gomega.BeNumerically(">", rep.Attempts/2))
		t.Logf("seed %d: %d steps, %d attempts, %d served, recovered after %s", seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Recovered)
	}
}
