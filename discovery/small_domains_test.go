package discovery

import (
	"testing"
	"time"
)

const (
	// smallScenarioCount is the number of simulated clusters of smallNodesPerDomain nodes in
	// each of three failure domains, with faultsAtReturn faults around the return of all
	// replicas.
	smallScenarioCount  = 300
	smallNodesPerDomain = 5
	faultsAtReturn      = 5
	// faultsBeforeReturn and faultsAfterReturn delimit when these faults begin.
	faultsBeforeReturn = 3 * time.Second
	faultsAfterReturn  = 2 * time.Second
	// maxFaultTime is the longest time that a freeze or a cut takes.
	maxFaultTime = 2500 * time.Millisecond
)

// injectFaultAtReturn starts a random fault. Nodes that it holds up count from its end.
func (s *lateScenario) injectFaultAtReturn() {
	d := 300*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxFaultTime-300*time.Millisecond)))
	domain := []string{"a", "b", "c"}[s.rng.IntN(3)]
	running := s.drawNodes(1)
	switch s.rng.IntN(6) {
	case 0:
		for _, addr := range s.drawNodes(0.15) {
			s.stop(addr)
		}
	case 1:
		s.leave(running[s.rng.IntN(len(running))])
	case 2:
		for _, addr := range s.drawNodes(0.3) {
			s.freeze(addr, d, func() { s.resumedAt[addr] = s.now })
		}
	case 3:
		s.isolate(domain, d)
	case 4:
		s.changeSeeds()
	case 5:
		if s.goneReplica == "" && s.processes[domain+"/replica"] == nil {
			s.goneReplica = domain + "/replica"
		}
	}
}

// leave stops the node at an address, which says so before.
func (s *lateScenario) leave(addr string) {
	p := s.processes[addr]
	p.gossip.Leave()
	p.gossip.PingRandom(2 * simUrgentPings)
	p.processGossipOutput()
	s.after(600*time.Millisecond, func() { s.stop(addr) })
}

// isolate cuts a failure domain off from the others for a while.
func (s *lateScenario) isolate(domain string, d time.Duration) {
	if len(s.isolatedDomains) > 0 {
		return
	}
	s.isolatedDomains[domain] = true
	s.after(d, func() {
		delete(s.isolatedDomains, domain)
		for _, addr := range s.nodes {
			if s.domains[addr] == domain {
				s.resumedAt[addr] = s.now
			}
		}
	})
}

// changeSeeds gives all processes other bootstrap addresses, of which one is still a replica.
func (s *lateScenario) changeSeeds() {
	seeds := []string{s.replicas[s.rng.IntN(len(s.replicas))], s.nodes[s.rng.IntN(len(s.nodes))], "nobody/0"}
	s.bootstrapAddrs = seeds
	for _, p := range s.processes {
		p.scheduler.SetBootstrap(seeds)
	}
}

// TestSettingsReachSmallDomainsUnderFaultsAtReturn checks that changes accepted after the return
// of all replicas are active in time on each of a few nodes, while members leave, vanish and
// freeze, a failure domain is cut off, a replica does not return and seeds change.
func TestSettingsReachSmallDomainsUnderFaultsAtReturn(t *testing.T) {
	checkLateness(t, smallScenarioCount, smallNodesPerDomain, func(s *lateScenario) []time.Duration {
		return s.play(func() {
			for range faultsAtReturn {
				s.after(time.Duration(s.rng.Int64N(int64(faultsBeforeReturn+faultsAfterReturn))), s.injectFaultAtReturn)
			}
		}, faultsBeforeReturn)
	})
}
