package discovery

import (
	"maps"
	"slices"
	"time"
)

// probeJitter is the fraction of a node's probe interval by which it varies either way,
// so that the probes of different members are spread in time.
const probeJitter = 0.5

// sharedInterval returns the time between two probes of this node, such that the members of the
// failure domain together probe once per domainProbeInterval.
func (s *Scheduler) sharedInterval() time.Duration {
	return domainProbeInterval * time.Duration(1+len(s.view.Alive))
}

// memberProbeInterval returns the time between two probes of lost members. They take half of the
// shared probes while replicas are sought, too.
func (s *Scheduler) memberProbeInterval() time.Duration {
	if len(s.possibleReplicaAddrs()) > 0 {
		return 2 * s.sharedInterval()
	}
	return s.sharedInterval()
}

// replicaProbeInterval returns the time between two probes for replicas.
func (s *Scheduler) replicaProbeInterval() time.Duration {
	interval := s.sharedInterval()
	if len(s.lostMemberAddrs()) > 0 {
		interval *= 2
	}
	return min(interval, maxReplicaProbeInterval)
}

// expireLost drops the addresses that were lost more than lostRetention ago.
func (s *Scheduler) expireLost(now time.Duration) {
	expired := func(_ string, since time.Duration) bool { return now-since >= lostRetention }
	maps.DeleteFunc(s.lostMembers, expired)
	maps.DeleteFunc(s.lostReplicas, expired)
	maps.DeleteFunc(s.lastProbed, func(addr string, _ time.Duration) bool { return !s.isProbeCandidate(addr) })
}

// LostAddrCount returns the number of addresses to probe: those of lost members and,
// while no replica is known, those where a replica may be.
func (s *Scheduler) LostAddrCount() int {
	return len(s.lostMemberAddrs()) + len(s.possibleReplicaAddrs())
}

// isProbeCandidate reports whether an address may be probed, now or when no replica is
// known.
func (s *Scheduler) isProbeCandidate(addr string) bool {
	_, member := s.lostMembers[addr]
	_, replica := s.lostReplicas[addr]
	return member || replica || slices.Contains(s.bootstrapAddrs, addr)
}

// addDueProbes adds, if they are due, the least recently probed lost member and the least recently
// probed address where a replica may be. Each has its own pace, so that many lost members do not
// delay the search for replicas.
func (s *Scheduler) addDueProbes(now time.Duration, targets map[string]time.Duration) {
	s.expireLost(now)
	if addrs := s.lostMemberAddrs(); len(addrs) > 0 && now >= s.nextMemberProbe {
		s.addProbe(now, targets, addrs)
		s.nextMemberProbe = now + s.jitter(s.memberProbeInterval(), probeJitter)
	}
	if addrs := s.possibleReplicaAddrs(); len(addrs) > 0 && now >= s.nextReplicaProbe {
		s.addProbe(now, targets, addrs)
		s.nextReplicaProbe = now + s.jitter(s.replicaProbeInterval(), probeJitter)
	}
}

// addProbe adds the least recently probed of some addresses, unless all are being probed.
func (s *Scheduler) addProbe(now time.Duration, targets map[string]time.Duration, addrs []string) {
	if addr := s.leastRecentlyProbed(addrs); addr != "" {
		s.lastProbed[addr] = now
		targets[addr] = probeTimeout
	}
}

// lostMemberAddrs returns the addresses of lost members. One that replied, as a leaving
// member does, is omitted until the next round.
func (s *Scheduler) lostMemberAddrs() []string {
	addrs := slices.Sorted(maps.Keys(s.lostMembers))
	return slices.DeleteFunc(addrs, func(a string) bool { return s.replied[a] })
}

// possibleReplicaAddrs returns, while no settings replica is known, the addresses where
// one may be: those of lost replicas and the bootstrap addresses. One that replied but
// is no replica is omitted until the next round.
func (s *Scheduler) possibleReplicaAddrs() []string {
	if len(s.view.Replicas) > 0 {
		return nil
	}
	return slices.DeleteFunc(s.ReplicaAddrs(), func(a string) bool {
		return s.replied[a] || slices.Contains(s.view.Alive, a)
	})
}

// ReplicaAddrs returns all addresses where a settings replica may be, whether one is known or not:
// those of lost replicas and the bootstrap addresses.
func (s *Scheduler) ReplicaAddrs() []string {
	addrs := slices.Concat(s.bootstrapAddrs, slices.Collect(maps.Keys(s.lostReplicas)))
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == s.opt.Self })
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// leastRecentlyProbed returns the address probed longest ago that is not pending, or ""
// if there is none. Ties, as between addresses never probed, are broken at random.
func (s *Scheduler) leastRecentlyProbed(addrs []string) string {
	var best []string
	for _, a := range addrs {
		if s.pending[a] || a == s.opt.Self {
			continue
		}
		switch {
		case len(best) == 0 || s.lastProbed[a] < s.lastProbed[best[0]]:
			best = []string{a}
		case s.lastProbed[a] == s.lastProbed[best[0]]:
			best = append(best, a)
		}
	}
	return s.pickRandomOther(best)
}
