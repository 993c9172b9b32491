package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// darkScenarioCount is the number of simulated clusters that lose power, for each number
	// of seeds that are stale afterwards.
	darkScenarioCount = 200
	// seedCount is the number of bootstrap addresses of a process.
	seedCount = 3
	// startSpread is the span within which the processes start again.
	startSpread = 300 * time.Millisecond
	// maxDarkRecoveryTime bounds the time from the return of power until the settings that
	// the remaining disks hold are active on every process. The start of the processes takes
	// startSpread of it.
	maxDarkRecoveryTime = time.Second
)

// staleSeed returns an address for a seed that is no replica any more: mostly of no process, or
// of an ordinary node that was given the address.
func (r *recoveryScenario) staleSeed(i int) string {
	if r.rng.IntN(4) > 0 {
		return fmt.Sprintf("nobody/%d", i)
	}
	return r.nodes[r.rng.IntN(len(r.nodes))]
}

// drawSeeds returns the bootstrap addresses of a process, the given number of them stale.
func (r *recoveryScenario) drawSeeds(stale int) []string {
	seeds := slices.Clone(r.replicas)
	r.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:seedCount]
	for i := range stale {
		seeds[i] = r.staleSeed(i)
	}
	return seeds
}

// losePowerOfAll stops all processes at once and starts them again with a number of stale seeds,
// which the processes have in common or each draws for itself. One replica loses its disk. The
// others keep the addresses of all replicas and a version of the settings that no other process
// has. It returns the time from the return of power until all processes have that version.
func (r *recoveryScenario) losePowerOfAll(staleSeeds int, commonSeeds bool, version int) time.Duration {
	all := slices.Concat(r.replicas, r.nodes)
	for _, addr := range all {
		r.stop(addr)
	}
	r.run(time.Second)
	back := r.now
	lost := r.replicas[r.rng.IntN(len(r.replicas))]
	common := r.drawSeeds(staleSeeds)
	for _, addr := range all {
		seeds, kept := common, 0
		if !commonSeeds {
			seeds = r.drawSeeds(staleSeeds)
		}
		if slices.Contains(r.replicas, addr) && addr != lost {
			seeds, kept = slices.Concat(seeds, r.replicas), version
		}
		r.after(time.Duration(r.rng.Int64N(int64(startSpread))), func() {
			r.bootstrapAddrs = seeds
			r.start(addr, r.domains[addr], kept)
		})
	}
	r.run(startSpread)
	r.runUntil(back+recoveryTimeout, func() bool {
		return !slices.ContainsFunc(all, func(addr string) bool { return r.processes[addr].settingsVersion < version })
	})
	return r.now - back
}

// TestSettingsReachAllProcessesAfterPowerLossOfAll checks that processes without memory of any
// other find the settings again while one of their seeds is left, which may be the replica
// that has lost its disk.
func TestSettingsReachAllProcessesAfterPowerLossOfAll(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, commonSeeds := range []bool{true, false} {
		for stale := range seedCount {
			var took []time.Duration
			for seed := range uint64(darkScenarioCount) {
				r := newRecoveryScenario(seed)
				r.run(2 * time.Second)
				d := r.losePowerOfAll(stale, commonSeeds, 2)
				if d > maxDarkRecoveryTime {
					t.Logf("seed %d, %d stale seeds, common %t: %s", seed, stale, commonSeeds, d)
				}
				took = append(took, d)
			}
			slices.Sort(took)
			t.Logf("%d of %d seeds stale, common %t: %s", stale, seedCount, commonSeeds, formatQuantiles(took))
			g.Expect(took[len(took)-1]).To(gomega.BeNumerically("<=", maxDarkRecoveryTime))
		}
	}
}
