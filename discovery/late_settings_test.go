package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// freezeScenarioCount, restScenarioCount and linkScenarioCount are the numbers of simulated
	// clusters of lateNodesPerDomain nodes in each of three failure domains.
	freezeScenarioCount, restScenarioCount, linkScenarioCount = 20, 40, 20
	lateNodesPerDomain                                        = 30
	// changeInterval is the time between two changes of the settings.
	changeInterval = 250 * time.Millisecond
	// replicaOutage is for how long all replicas are without power.
	replicaOutage = 6 * time.Second
	// disturbedTime is how long a scenario runs after the return of the replicas.
	disturbedTime = 8 * time.Second
	// settleTime is how long a node must have been resumed to count as late.
	settleTime = 2 * time.Second
	// ageCheckInterval is the time between two checks of the ages that the nodes know.
	ageCheckInterval = 100 * time.Millisecond
)

// lateScenario is a cluster whose settings change all the time, and which tracks how late each
// version is active on each node.
type lateScenario struct {
	*recoveryScenario
	version int
	// acceptedAt is when each version was accepted, and lateness how long after that the
	// nodes activated it. resumedAt is when a node was last resumed or started.
	acceptedAt map[int]time.Duration
	lateness   []time.Duration
	resumedAt  map[string]time.Duration
	// goneReplica is the replica that does not return, "" if all do.
	goneReplica string
	// replicaUpAt is when the first of the running replicas started, and oldest is the highest
	// age of a confirmation that a node knew while one had run for settleTime.
	replicaUpAt time.Duration
	oldest      time.Duration
	// wrong are the confirmations of a version that was not the newest then.
	wrong []string
}

// newLateScenario starts a cluster of three failure domains with a replica and some nodes each.
func newLateScenario(seed uint64, nodesPerDomain int) *lateScenario {
	r := &recoveryScenario{simCluster: newSimCluster(seed), domains: map[string]string{}}
	s := &lateScenario{recoveryScenario: r, version: 1, acceptedAt: map[int]time.Duration{}, resumedAt: map[string]time.Duration{}}
	for _, domain := range []string{"a", "b", "c"} {
		r.replicas = append(r.replicas, domain+"/replica")
		for i := range nodesPerDomain {
			r.nodes = append(r.nodes, fmt.Sprintf("%s/%d", domain, i))
		}
	}
	r.bootstrapAddrs = r.replicas
	for _, addr := range slices.Concat(r.replicas, r.nodes) {
		r.domains[addr] = addr[:1]
		r.startWithRandomDelay(addr, 1)
	}
	r.run(8 * time.Second)
	for _, addr := range r.nodes {
		s.track(addr)
	}
	return s
}

// track records when the node at an address activates versions.
func (s *lateScenario) track(addr string) {
	p := s.processes[addr]
	s.resumedAt[addr] = s.now
	last := p.settingsVersion
	p.activated = func(version int) {
		// Intermediate versions that the node skips are in force with this one.
		for v := last + 1; v <= version; v++ {
			s.lateness = append(s.lateness, s.now-max(s.acceptedAt[v], s.resumedAt[addr]))
		}
		last = version
	}
}

// change accepts a version on the replicas that run, if there are any.
func (s *lateScenario) change() {
	accepted := false
	for _, addr := range s.replicas {
		p := s.processes[addr]
		if p == nil {
			continue
		}
		if !accepted {
			s.version++
			s.acceptedAt[s.version] = s.now
			accepted = true
		}
		p.applySettings(s.version)
	}
}

// loseReplicasForAWhile cuts the power of all replicas, of all but goneReplica for replicaOutage.
// They keep their disks.
func (s *lateScenario) loseReplicasForAWhile() {
	for _, addr := range s.replicas {
		s.stop(addr)
		s.after(replicaOutage, func() {
			if addr != s.goneReplica {
				s.startWithRandomDelay(addr, s.version)
			}
		})
	}
}

// checkAges records the age of the settings that each undisturbed node knows, and whether it is
// true.
func (s *lateScenario) checkAges() {
	s.after(ageCheckInterval, s.checkAges)
	if !slices.ContainsFunc(s.replicas, func(addr string) bool { return s.processes[addr] != nil }) {
		s.replicaUpAt = s.now
	}
	for _, addr := range s.nodes {
		p := s.processes[addr]
		if p == nil || s.frozen[addr] {
			continue
		}
		confirmedAt := p.started + p.confirmations.ConfirmedAt()
		if next, ok := s.acceptedAt[p.settingsVersion+1]; ok && next <= confirmedAt && p.confirmations.ConfirmedAt() > 0 {
			s.wrong = append(s.wrong, fmt.Sprintf("%s at %s: version %d as of %s", addr, s.now, p.settingsVersion, confirmedAt))
		}
		if s.now-s.replicaUpAt > settleTime && s.now-s.resumedAt[addr] > settleTime && !s.isolatedDomains[s.domains[addr]] {
			s.oldest = max(s.oldest, s.now-confirmedAt)
		}
	}
}

// drawNodes returns a random share of the nodes that run.
func (s *lateScenario) drawNodes(share float64) []string {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(addr string) bool {
		return s.processes[addr] == nil || s.rng.Float64() >= share
	})
}

// disturb freezes some nodes, for 2.5 s at most, and stops others for good, in waves.
func (s *lateScenario) disturb() {
	const waves = 8
	for range waves {
		s.after(time.Duration(s.rng.Int64N(int64(disturbedTime))), func() {
			for _, addr := range s.drawNodes(0.3) {
				d := 500*time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Second)))
				s.freeze(addr, d, func() { s.resumedAt[addr] = s.now })
			}
		})
		s.after(time.Duration(s.rng.Int64N(int64(disturbedTime))), func() {
			for _, addr := range s.drawNodes(0.05) {
				s.stop(addr)
			}
		})
	}
}

// stopMost stops the nodes of a failure domain for good, except some.
func (s *lateScenario) stopMost(domain string, rest int) {
	for _, addr := range s.nodes {
		if s.domains[addr] != domain {
			continue
		}
		if rest > 0 {
			rest--
			continue
		}
		s.stop(addr)
	}
}

// stopLinkMembers stops the link members of all failure domains for good.
func (s *lateScenario) stopLinkMembers() {
	for _, domain := range []string{"a", "b", "c"} {
		i := slices.IndexFunc(s.nodes, func(addr string) bool { return s.domains[addr] == domain && s.processes[addr] != nil })
		_, addrs := s.processes[s.nodes[i]].linkMembers()
		for _, addr := range addrs {
			s.stop(addr)
		}
	}
}

// play runs one loss of all replicas with other failures beside it, which begin a time before the
// replicas return, and changes of the settings all the time. It returns the lateness of each
// version on each node that was up.
func (s *lateScenario) play(disturb func(), beforeReturn time.Duration) []time.Duration {
	const before, after = 3 * time.Second, disturbedTime
	end := s.now + before + replicaOutage + after
	for at := time.Duration(0); at < end-s.now-settleTime; at += changeInterval {
		// A change that no node has heard of before the outage waits for its end.
		if at < before-changeInterval || at > before {
			s.after(at, s.change)
		}
	}
	s.replicaUpAt = s.now
	s.checkAges()
	s.after(before, s.loseReplicasForAWhile)
	s.after(before+replicaOutage-beforeReturn, disturb)
	s.runUntil(end, func() bool { return false })
	for _, addr := range s.nodes {
		p := s.processes[addr]
		if p == nil || s.frozen[addr] || s.now-s.resumedAt[addr] < settleTime {
			continue
		}
		for v := p.settingsVersion + 1; v <= s.version; v++ {
			s.lateness = append(s.lateness, s.now-max(s.acceptedAt[v], s.resumedAt[addr]))
		}
	}
	return s.lateness
}

// checkLateness plays scenarios and checks that each version was active on each node in time, and
// that each node knew how old its settings were.
func checkLateness(t *testing.T, scenarios uint64, nodesPerDomain int, play func(s *lateScenario) []time.Duration) {
	g := gomega.NewWithT(t)
	var all []time.Duration
	var oldest time.Duration
	for seed := range scenarios {
		s := newLateScenario(seed, nodesPerDomain)
		late := play(s)
		if longest := slices.Max(late); longest > maxPropagationTime || s.oldest > maxPropagationTime {
			t.Logf("seed %d: longest %s, oldest %s", seed, longest, s.oldest)
		}
		g.Expect(s.wrong).To(gomega.BeEmpty(), "seed %d", seed)
		all, oldest = append(all, late...), max(oldest, s.oldest)
	}
	slices.Sort(all)
	t.Logf("active after %s; oldest confirmation %s", formatQuantiles(all), oldest)
	g.Expect(all[len(all)-1]).To(gomega.BeNumerically("<=", maxPropagationTime))
	g.Expect(oldest).To(gomega.BeNumerically("<=", maxPropagationTime))
}

// TestSettingsReachNodesWhileOthersFreezeAndVanish checks that changes accepted right after the
// return of all replicas are active on each node in time, while nodes that announced them freeze
// and vanish.
func TestSettingsReachNodesWhileOthersFreezeAndVanish(t *testing.T) {
	checkLateness(t, freezeScenarioCount, lateNodesPerDomain, func(s *lateScenario) []time.Duration { return s.play(s.disturb, 2*time.Second) })
}

// TestSettingsReachRestOfDomainAfterReplicasReturn checks the same for the few nodes left in a
// failure domain whose others vanish just before the replicas return, while the few still count
// them as alive.
func TestSettingsReachRestOfDomainAfterReplicasReturn(t *testing.T) {
	checkLateness(t, restScenarioCount, lateNodesPerDomain, func(s *lateScenario) []time.Duration {
		return s.play(func() { s.stopMost("c", 4) }, 100*time.Millisecond)
	})
}

// TestSettingsReachDomainWithoutReplicaWhoseLinkMembersVanish checks the same for a failure domain
// whose replica does not return, while the members that would bring news from the other domains
// have just vanished.
func TestSettingsReachDomainWithoutReplicaWhoseLinkMembersVanish(t *testing.T) {
	checkLateness(t, linkScenarioCount, lateNodesPerDomain, func(s *lateScenario) []time.Duration {
		s.goneReplica = "c/replica"
		return s.play(s.stopLinkMembers, -time.Second)
	})
}
