package e2e

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/soak"
)

// faultDuration is how long each soak run injects faults. Longer runs: make soak.
const faultDuration = 8 * time.Second

// soakSeeds are the seeds of runs without disk stalls; the plan of 102 has most kinds
// of steps. soak.KnownFailures lists the seeds that once broke a promise.
var soakSeeds = []uint64{102}

// stallSeeds are the seeds of runs with disk stalls.
var stallSeeds = []uint64{8240}

// TestSoakKeepsThePromises injects the faults of fixed seeds into a small fleet. It
// guards against broken promises of docs/PROOFS.md.
func TestSoakKeepsThePromises(t *testing.T) { runSoak(t, soakSeeds, soak.Options{}) }

// TestSoakWithStallingDisksKeepsThePromises adds disk stalls of the replicas,
// during the other faults and then one replica after the other.
func TestSoakWithStallingDisksKeepsThePromises(t *testing.T) {
	runSoak(t, stallSeeds, soak.Options{DiskStalls: true})
}

// limitSeeds are the seeds of runs in which backend servers limit their requests or leave.
var limitSeeds = []uint64{9300}

// TestSoakWithLimitedServersKeepsThePromises checks that backend servers get no more requests
// than they name, and none while they leave, during the other faults.
func TestSoakWithLimitedServersKeepsThePromises(t *testing.T) {
	runSoak(t, limitSeeds, soak.Options{ServerLimits: true})
}

// straySeeds are the seeds of runs in which backend servers send responses to nobody.
var straySeeds = []uint64{9703}

// TestSoakWithStrayResponsesKeepsThePromises checks that responses that nobody asked for are not
// delivered, and do not let a request run again, during the other faults.
func TestSoakWithStrayResponsesKeepsThePromises(t *testing.T) {
	runSoak(t, straySeeds, soak.Options{StrayResponses: true})
}

// stopSeeds are the seeds of runs of planned work alone.
var stopSeeds = []uint64{7000}

// TestSoakWithPlannedStopsFinishesExecutions checks that no request is broken off at its server and
// left without an answer while nodes stop in series and servers are late. The servers are
// overloaded then, so it does not ask how many requests are served.
func TestSoakWithPlannedStopsFinishesExecutions(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, seed := range stopSeeds {
		rep, err := soak.Run(soak.Options{Bin: binDir, Seed: seed, Duration: faultDuration, PlannedStops: true})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rep.Broken).To(gomega.BeEmpty(), "seed %d, steps %v, logs in %s", seed, rep.Steps, rep.Folder)
		g.Expect(rep.Served).To(gomega.BeNumerically(">", 0))
		t.Logf("seed %d: %d steps, %d attempts, %d served, outcomes %v", seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Outcomes)
	}
}

// refusalSeeds are the seeds of runs in which disks refuse writes.
var refusalSeeds = []uint64{9500}

// TestSoakWithLostDisksKeepsThePromises checks that a replica counts again once its disk takes
// writes, so that another disk may be lost, and that a disk may be lost while all nodes are down.
func TestSoakWithLostDisksKeepsThePromises(t *testing.T) {
	runSoak(t, refusalSeeds, soak.Options{RefuseWrites: true, LastFault: true})
}

// runSoak runs each seed and checks that no promise is broken and that more than three
// quarters of the attempts at running nodes are served.
func runSoak(t *testing.T, seeds []uint64, o soak.Options) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, seed := range seeds {
		o.Bin, o.Seed, o.Duration = binDir, seed, faultDuration
		rep, err := soak.Run(o)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rep.Broken).To(gomega.BeEmpty(), "seed %d, steps %v, logs in %s", seed, rep.Steps, rep.Folder)
		g.Expect(rep.ServableServed).To(gomega.BeNumerically(">", rep.Servable*3/4), "seed %d, outcomes %v", seed, rep.Outcomes)
		t.Logf("seed %d: %d steps, %d attempts, %d served, of those at running nodes %d of %d, recovered after %s, outcomes %v",
			seed, len(rep.Steps), rep.Attempts, rep.Served, rep.ServableServed, rep.Servable, rep.Recovered, rep.Outcomes)
	}
}
