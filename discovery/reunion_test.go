package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// series is how many fleets are played, and returns how often the replicas
	// of each are lost and come back.
	series  = 200
	returns = 2
	// reunionDue is the bar on the time from the return of the replicas to their
	// settings in force on every node, and reunionUsual on that of 99 of 100. Two
	// seconds are allowed from the acceptance of a change; a replica group takes
	// up to one of them to elect a leader and the last tenth is for load.
	reunionDue   = 900 * time.Millisecond
	reunionUsual = 600 * time.Millisecond
	// reunionGiveUp ends a series in which the nodes do not meet.
	reunionGiveUp = 30 * time.Second
)

// loss is how the replicas are lost.
type loss int

const (
	power loss = iota
	cut
	losses
)

// reunion is a fleet whose replicas are lost and come back together.
type reunion struct {
	*fleet
	replicas, nodes []string
	domains         map[string]string
}

// newReunion starts a fleet of three or four failure domains with a replica and
// two to six nodes each, all within 0.3 s. Three replicas are the addresses that
// the settings name.
func newReunion(seed uint64) *reunion {
	r := &reunion{fleet: newFleet(seed), domains: map[string]string{}}
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
	r.seeds = r.replicas[:3]
	for _, addr := range slices.Concat(r.replicas, r.nodes) {
		r.startSoon(addr, 1)
	}
	return r
}

func (r *reunion) startSoon(addr string, version int) {
	const within = 300 * time.Millisecond
	r.after(time.Duration(r.rng.Int64N(int64(within))), func() { r.start(addr, r.domains[addr], version) })
}

// lose takes the replicas away for a while, with a version that no other node has
// yet, and brings them back. It returns how long after the first return all nodes
// had that version.
func (r *reunion) lose(how loss, down time.Duration, version int) time.Duration {
	for _, addr := range r.replicas {
		if how == cut {
			r.at[addr].version = version
			r.cut[addr] = true
			continue
		}
		r.stop(addr)
	}
	r.run(down)
	back := r.now
	for _, addr := range r.replicas {
		if how == cut {
			delete(r.cut, addr)
			continue
		}
		r.startSoon(addr, version)
	}
	r.runUntil(back+reunionGiveUp, func() bool {
		return !slices.ContainsFunc(r.nodes, func(addr string) bool { return r.at[addr].version < version })
	})
	return r.now - back
}

// TestReplicasThatReturnTogetherAreMetSoon: all replicas lose power or are cut off
// at once, for longer than it takes to hold them dead. Those that come back know
// only each other, and the nodes know only addresses at which nobody has answered
// for a while. Whoever meets a replica first hands the settings on within
// milliseconds, so what must be bounded is the time to the first meeting.
func TestReplicasThatReturnTogetherAreMetSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	var took [losses][]time.Duration
	for seed := range uint64(series) {
		r := newReunion(seed)
		r.run(8 * time.Second)
		for i := range returns {
			r.run(time.Duration(r.rng.Int64N(int64(10 * time.Second))))
			how := loss(r.rng.IntN(int(losses)))
			down := 3*time.Second + time.Duration(r.rng.Int64N(int64(9*time.Second)))
			d := r.lose(how, down, 2+i)
			took[how] = append(took[how], d)
			r.run(8 * time.Second)
		}
	}
	for how, name := range []string{"power lost", "cut off"} {
		slices.Sort(took[how])
		t.Logf("%s: %s", name, distribution(took[how]))
	}
	for _, ds := range took {
		g.Expect(quantile(ds, 0.99)).To(gomega.BeNumerically("<=", reunionUsual))
		g.Expect(ds[len(ds)-1]).To(gomega.BeNumerically("<=", reunionDue))
	}
}

// TestReplicasThatWereStoppedTogetherAreMetSoon: all replicas stop as planned. They
// have said that they leave, and are held to be leaving for half a minute.
func TestReplicasThatWereStoppedTogetherAreMetSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	var took []time.Duration
	for seed := range uint64(series) {
		r := newReunion(seed)
		r.run(8*time.Second + time.Duration(r.rng.Int64N(int64(10*time.Second))))
		for _, addr := range r.replicas {
			r.at[addr].gossip.Leave()
			r.at[addr].gossip.PingRandom(2 * simNudges)
			r.at[addr].work()
		}
		r.run(time.Second)
		down := 3*time.Second + time.Duration(r.rng.Int64N(int64(9*time.Second)))
		took = append(took, r.lose(power, down, 2))
	}
	slices.Sort(took)
	t.Logf("stopped: %s", distribution(took))
	g.Expect(quantile(took, 0.99)).To(gomega.BeNumerically("<=", reunionUsual))
	g.Expect(took[len(took)-1]).To(gomega.BeNumerically("<=", reunionDue))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func distribution(sorted []time.Duration) string {
	out := fmt.Sprintf("%d returns:", len(sorted))
	for _, q := range []float64{0.5, 0.9, 0.99, 1} {
		out += fmt.Sprintf(" %g%% %s", 100*q, quantile(sorted, q).Round(time.Millisecond))
	}
	return out
}
