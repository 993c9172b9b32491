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

// stallSeeds are the seeds that run here with stalling disks.
var stallSeeds = []uint64{8240}

// TestSoakKeepsThePromises disturbs a small fleet by the plans of fixed seeds.
func TestSoakKeepsThePromises(t *testing.T) { playSoak(t, soakSeeds, false) }

// TestSoakWithStallingDisksKeepsThePromises lets the disks of replicas stall too, all the
// time with the other steps, and then one after the other.
func TestSoakWithStallingDisksKeepsThePromises(t *testing.T) { playSoak(t, stallSeeds, true) }

func playSoak(t *testing.T, seeds []uint64, stalls bool) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, seed := range seeds {
		rep, err := soak.Run(soak.Options{Bin: bin, Seed: seed, Duration: soakSpan, DiskStalls: stalls})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rep.Broken).To(gomega.BeEmpty(), "seed %d, steps %v, logs in %s", seed, rep.Steps, rep.Folder)
		g.Expect(rep.Served).To(gomega.BeNumerically(">", rep.Attempts/2))
		t.Logf("seed %d: %d steps, %d attempts, %d served, recovered after %s", seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Recovered)
	}
}
