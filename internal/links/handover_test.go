package links

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a burst of calls to the link members when thousands of nodes start at once, and
// against an address that only one of thousands knows and does not hand over for long.
func TestHandoversAreFewWhoeverKnowsTheAddress(t *testing.T) {
	// knownAfter is the number of rounds until an address is known to all: gossip takes about
	// a second.
	const knownAfter = 4
	rng := rand.New(rand.NewPCG(1, 2))
	for _, members := range []int{1, 3, 30, 1100, 10000} {
		for _, holders := range []int{1, 3, members} {
			worst, latest := 0, 0
			for range 200 {
				total, first := 0, -1
				for round := 0; first < 0 || round < first+knownAfter; round++ {
					for range min(holders, members) {
						if rng.Float64() < HandoverChance(round, members) {
							total++
							if first < 0 {
								first = round
							}
						}
					}
				}
				worst, latest = max(worst, total), max(latest, first)
			}
			t.Logf("%5d of %5d members know the address: first handed over after at most %d rounds, %d calls at most", holders, members, latest, worst)
			g := gomega.NewWithT(t)
			g.Expect(latest).To(gomega.BeNumerically("<=", 12), "rounds")
			g.Expect(worst).To(gomega.BeNumerically("<=", 200), "calls")
		}
	}
}

// Guards against handovers by all members for as long as the addresses lead nowhere.
func TestUselessHandoversBecomeRare(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, members := range []int{1, 3, 30, 1100, 10000} {
		total := 0.0
		for round := range 1000 {
			total += HandoverChance(round, members)
		}
		g.Expect(total*float64(members)).To(gomega.BeNumerically("<=", 4*members+1000*handoversPerRound), "%d members", members)
	}
}

// Guards against handovers of what is known already, and for an address that nobody has passed on.
func TestOnlyUnknownAddressesAreHandedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	g.Expect(l.Unlocated(nil)).To(gomega.BeEmpty())
	l.RecordContact("b", "b:1")
	l.RecordContact("c", "c:1")
	known := RemoteDomain{ControlAddrs: []string{"b:2"}}
	g.Expect(l.Unlocated(nil)).To(gomega.HaveLen(2))
	g.Expect(l.Unlocated(map[string]RemoteDomain{"b": known, "c": {}})).To(gomega.Equal(map[string]string{"c": "c:1"}))
	g.Expect(l.Unlocated(map[string]RemoteDomain{"b": known, "c": known})).To(gomega.BeEmpty())
}
