package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// faultScenarioCount is the number of simulated clusters, each with
	// faultsPerScenario faults that begin within faultWindow.
	faultScenarioCount = 200
	faultsPerScenario  = 8
	faultWindow        = 12 * time.Second
	// maxPropagationTime bounds the time from a change of settings, made when the last
	// faults end, until it is active on every node.
	maxPropagationTime = 2 * time.Second
)

// injectFault starts a random fault that ends by itself, at the latest at the given time.
func (r *recoveryScenario) injectFault(end time.Duration) {
	all := slices.Concat(r.replicas, r.nodes)
	d := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(7*time.Second)))
	d = min(d, end-r.now)
	switch r.rng.IntN(6) {
	case 0:
		r.restart(all[r.rng.IntN(len(all))], d)
	case 1:
		r.replace(r.rng.IntN(len(r.nodes)), d)
	case 2:
		for _, addr := range r.replicas {
			r.restart(addr, d)
		}
	case 3:
		for _, addr := range all {
			if r.rng.IntN(2) == 0 {
				r.restart(addr, d)
			}
		}
	case 4:
		domain := r.domains[all[r.rng.IntN(len(all))]]
		r.isolatedDomains[domain] = true
		r.after(d, func() { delete(r.isolatedDomains, domain) })
	case 5:
		addr := all[r.rng.IntN(len(all))]
		r.unreachable[addr] = true
		r.after(d, func() { delete(r.unreachable, addr) })
	}
}

// restart stops the process at an address and starts a new one there after the downtime.
func (r *recoveryScenario) restart(addr string, down time.Duration) {
	old := r.processes[addr]
	if old == nil {
		return
	}
	r.stop(addr)
	r.after(down, func() {
		if r.processes[addr] == nil {
			r.start(addr, old.domain, old.settingsVersion)
		}
	})
}

// replace stops a node and starts a new one at another address after the downtime.
func (r *recoveryScenario) replace(i int, down time.Duration) {
	old := r.nodes[i]
	next := fmt.Sprintf("%s'", old)
	r.nodes[i] = next
	r.domains[next] = r.domains[old]
	r.stop(old)
	r.after(down, func() { r.start(next, r.domains[next], 1) })
}

// TestSettingsReachAllNodesAfterOverlappingFaults checks that a change of settings made
// when restarts, replacements, partitions and losses of all replicas end becomes active on
// every node within maxPropagationTime.
func TestSettingsReachAllNodesAfterOverlappingFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	var took []time.Duration
	for seed := range uint64(faultScenarioCount) {
		r := newRecoveryScenario(seed)
		r.run(8 * time.Second)
		end := r.now + faultWindow
		for range faultsPerScenario {
			r.after(time.Duration(r.rng.Int64N(int64(faultWindow))), func() { r.injectFault(end) })
		}
		r.run(faultWindow + time.Millisecond)
		changed := r.now
		for _, addr := range r.replicas {
			r.processes[addr].applySettings(2)
		}
		r.runUntil(changed+recoveryTimeout, func() bool {
			return !slices.ContainsFunc(r.nodes, func(addr string) bool { return r.processes[addr].settingsVersion < 2 })
		})
		took = append(took, r.now-changed)
		if r.now-changed > maxPropagationTime {
			t.Logf("seed %d: %s", seed, r.now-changed)
		}
	}
	slices.Sort(took)
	t.Logf("active after %s", formatQuantiles(took))
	g.Expect(took[len(took)-1]).To(gomega.BeNumerically("<=", maxPropagationTime))
}
