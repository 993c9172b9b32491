package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// scenarioCount is the number of simulated clusters, and lossesPerScenario how
	// often the replicas of each are lost and return.
	scenarioCount     = 200
	lossesPerScenario = 2
	// maxRecoveryTime bounds the time from the return of the replicas until their
	// settings are active on every node, and maxRecoveryTimeP99 its 99th percentile.
	// Of the two seconds allowed for a change, up to one is for the leader election.
	maxRecoveryTime    = 900 * time.Millisecond
	maxRecoveryTimeP99 = 600 * time.Millisecond
	// recoveryTimeout ends a scenario whose nodes do not recover.
	recoveryTimeout = 30 * time.Second
)

// lossKind is a way of losing the replicas.
type lossKind int

const (
	powerLoss lossKind = iota
	networkCut
	lossKinds
)

// recoveryScenario is a cluster whose replicas are lost and return together.
type recoveryScenario struct {
	*simCluster
	replicas, nodes []string
	domains         map[string]string
}

// newRecoveryScenario starts a cluster of three or four failure domains with a replica
// and two to six nodes each. Three replicas are the bootstrap addresses.
func newRecoveryScenario(seed uint64) *recoveryScenario {
	r := &recoveryScenario{simCluster: newSimCluster(seed), domains: map[string]string{}}
	for d := range 3 + r.rng.IntN(2) {
		domain := string(rune('a' + d))
		r.replicas = append(r.replicas, domain+"/replica")
		r.domains[domain+"/replica"] = domain
		for i := range 2 + r.rng.IntN(5) {
			addr := fmt.Sprintf("%s/%d", domain, i)
			r.nodes = append(r.nodes, addr)
			r.domains[addr] = domain
		}
	}
	r.bootstrapAddrs = r.replicas[:3]
	for _, addr := range slices.Concat(r.replicas, r.nodes) {
		r.startWithRandomDelay(addr, 1)
	}
	return r
}

// startWithRandomDelay starts a process at an address within 0.3 s.
func (r *recoveryScenario) startWithRandomDelay(addr string, version int) {
	const within = 300 * time.Millisecond
	r.after(time.Duration(r.rng.Int64N(int64(within))), func() { r.start(addr, r.domains[addr], version) })
}

// loseReplicas stops or cuts off the replicas for a while and brings them back with a
// settings version that no other node has. It returns the time from their return until
// all nodes have that version.
func (r *recoveryScenario) loseReplicas(how lossKind, down time.Duration, version int) time.Duration {
	for _, addr := range r.replicas {
		if how == networkCut {
			r.processes[addr].settingsVersion = version
			r.unreachable[addr] = true
			continue
		}
		r.stop(addr)
	}
	r.run(down)
	back := r.now
	for _, addr := range r.replicas {
		if how == networkCut {
			delete(r.unreachable, addr)
			continue
		}
		r.startWithRandomDelay(addr, version)
	}
	r.runUntil(back+recoveryTimeout, func() bool {
		return !slices.ContainsFunc(r.nodes, func(addr string) bool { return r.processes[addr].settingsVersion < version })
	})
	return r.now - back
}

// TestSettingsReachAllNodesAfterReplicasRecover checks that nodes find the replicas again
// within the bounds after all of them lost power or were cut off long enough to be
// declared dead.
func TestSettingsReachAllNodesAfterReplicasRecover(t *testing.T) {
	g := gomega.NewWithT(t)
	var took [lossKinds][]time.Duration
	for seed := range uint64(scenarioCount) {
		r := newRecoveryScenario(seed)
		r.run(8 * time.Second)
		for i := range lossesPerScenario {
			r.run(time.Duration(r.rng.Int64N(int64(10 * time.Second))))
			how := lossKind(r.rng.IntN(int(lossKinds)))
			down := 3*time.Second + time.Duration(r.rng.Int64N(int64(9*time.Second)))
			d := r.loseReplicas(how, down, 2+i)
			took[how] = append(took[how], d)
			r.run(8 * time.Second)
		}
	}
	for how, name := range []string{"power lost", "cut off"} {
		slices.Sort(took[how])
		t.Logf("%s: %s", name, formatQuantiles(took[how]))
	}
	for _, ds := range took {
		g.Expect(quantile(ds, 0.99)).To(gomega.BeNumerically("<=", maxRecoveryTimeP99))
		g.Expect(ds[len(ds)-1]).To(gomega.BeNumerically("<=", maxRecoveryTime))
	}
}

// TestSettingsReachAllNodesAfterPlannedReplicaStop checks the same bounds for replicas
// that announced that they leave, and so are not declared dead.
func TestSettingsReachAllNodesAfterPlannedReplicaStop(t *testing.T) {
	g := gomega.NewWithT(t)
	var took []time.Duration
	for seed := range uint64(scenarioCount) {
		r := newRecoveryScenario(seed)
		r.run(8*time.Second + time.Duration(r.rng.Int64N(int64(10*time.Second))))
		for _, addr := range r.replicas {
			r.processes[addr].gossip.Leave()
			r.processes[addr].gossip.PingRandom(2 * simUrgentPings)
			r.processes[addr].processGossipOutput()
		}
		r.run(time.Second)
		down := 3*time.Second + time.Duration(r.rng.Int64N(int64(9*time.Second)))
		took = append(took, r.loseReplicas(powerLoss, down, 2))
	}
	slices.Sort(took)
	t.Logf("stopped: %s", formatQuantiles(took))
	g.Expect(quantile(took, 0.99)).To(gomega.BeNumerically("<=", maxRecoveryTimeP99))
	g.Expect(took[len(took)-1]).To(gomega.BeNumerically("<=", maxRecoveryTime))
}

// quantile returns the q-quantile of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// formatQuantiles formats quantiles of sorted durations.
func formatQuantiles(sorted []time.Duration) string {
	out := fmt.Sprintf("%d recoveries:", len(sorted))
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999, 1} {
		out += fmt.Sprintf(" %g%% %s", 100*q, quantile(sorted, q).Round(time.Millisecond))
	}
	return out
}
