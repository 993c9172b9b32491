package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// faultSeries is how many fleets are disturbed, each by faultCount faults that
	// begin within faultsFor.
	faultSeries = 200
	faultCount  = 8
	faultsFor   = 12 * time.Second
	// faultsDue is how long a change, made as the last faults end, may take to be
	// in force everywhere.
	faultsDue = 2 * time.Second
)

// disturb begins one random fault, which ends by itself, at the time end at the
// latest.
func (r *reunion) disturb(end time.Duration) {
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
		r.apart[domain] = true
		r.after(d, func() { delete(r.apart, domain) })
	case 5:
		addr := all[r.rng.IntN(len(all))]
		r.cut[addr] = true
		r.after(d, func() { delete(r.cut, addr) })
	}
}

// restart ends the process at an address and starts another there a while later.
func (r *reunion) restart(addr string, down time.Duration) {
	old := r.at[addr]
	if old == nil {
		return
	}
	r.stop(addr)
	r.after(down, func() {
		if r.at[addr] == nil {
			r.start(addr, old.domain, old.version)
		}
	})
}

// replace ends the node for good; another starts at a new address.
func (r *reunion) replace(i int, down time.Duration) {
	old := r.nodes[i]
	next := fmt.Sprintf("%s'", old)
	r.nodes[i] = next
	r.domains[next] = r.domains[old]
	r.stop(old)
	r.after(down, func() { r.start(next, r.domains[next], 1) })
}

// TestWhateverWasLostTheFleetMeetsAgain: restarts, replacements, cuts of domains and
// of single nodes, losses of all replicas, in series and overlapping; many end
// together. At that moment a change is made at the replicas; it must be in force on
// every node within two seconds.
func TestWhateverWasLostTheFleetMeetsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var took []time.Duration
	for seed := range uint64(faultSeries) {
		r := newReunion(seed)
		r.run(8 * time.Second)
		end := r.now + faultsFor
		for range faultCount {
			r.after(time.Duration(r.rng.Int64N(int64(faultsFor))), func() { r.disturb(end) })
		}
		r.run(faultsFor + time.Millisecond)
		changed := r.now
		for _, addr := range r.replicas {
			r.at[addr].force(2)
		}
		r.runUntil(changed+reunionGiveUp, func() bool {
			return !slices.ContainsFunc(r.nodes, func(addr string) bool { return r.at[addr].version < 2 })
		})
		took = append(took, r.now-changed)
		if r.now-changed > faultsDue {
			t.Logf("seed %d: %s", seed, r.now-changed)
		}
	}
	slices.Sort(took)
	t.Logf("in force after %s", distribution(took))
	g.Expect(took[len(took)-1]).To(gomega.BeNumerically("<=", faultsDue))
}
