package discovery

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// syncInterval is the time between two sync rounds, which deliver the records
	// that gossip packets missed.
	syncInterval = 2 * time.Second
	// startupPeriod is how long after its start a process syncs more often and asks
	// the bootstrap addresses in more rounds, so that processes that start together
	// find each other quickly.
	startupPeriod       = 5 * time.Second
	startupSyncInterval = 150 * time.Millisecond
	// startupSyncTimeout bounds a sync during startup. It is short as many bootstrap
	// addresses may be down.
	startupSyncTimeout = 300 * time.Millisecond
	// joinRetryInterval is the time between two rounds of a process that has not
	// joined its failure domain after startup.
	joinRetryInterval = 100 * time.Millisecond
	// syncTimeout bounds a sync after startup. It allows for the records of a large
	// failure domain.
	syncTimeout = 2 * time.Second
	// roundsPerBootstrapSync is the number of rounds per sync with a bootstrap
	// address. These syncs reconnect the halves of a partitioned domain.
	roundsPerBootstrapSync = 5
	// startupRoundsPerBootstrapSync replaces roundsPerBootstrapSync during startup.
	startupRoundsPerBootstrapSync = 2
	// syncJitter is the fraction of syncInterval by which it varies either way. It
	// keeps the rounds of processes that started together apart.
	syncJitter = 0.25
	// foreignRepliesToJoin is the number of replies from other domains after which a
	// node assumes that it is the first of its own.
	foreignRepliesToJoin = 10
)

const (
	// domainProbeInterval is the time between two probes of lost addresses by all
	// members of a failure domain taken together. It bounds how soon replicas that
	// return after all were lost are found.
	domainProbeInterval = 100 * time.Millisecond
	// maxReplicaProbeInterval bounds the time between two probes of a node for replicas while it
	// knows none. It counts in a large domain, whose members may share the probes with many
	// that have vanished unnoticed.
	maxReplicaProbeInterval = 600 * time.Millisecond
	// probeTimeout bounds a probe. It allows for several round trips between domains,
	// and is short as most lost addresses do not answer.
	probeTimeout = 300 * time.Millisecond
	// lostRetention is how long a lost address is probed. It exceeds the usual length
	// of a network partition. While no replica is known, the bootstrap addresses are
	// probed without limit.
	lostRetention = 10 * time.Minute
)

// Options configures a Scheduler.
type Options struct {
	// Self is the node's control address, and Domain its failure domain.
	Self, Domain string
	// Rand is the source of randomness.
	Rand *rand.Rand
}

// Target is an address to sync with and the timeout of that sync.
type Target struct {
	Addr    string
	Timeout time.Duration
}

// PeerInfo is what a node reports about itself in a sync.
type PeerInfo struct {
	// Domain is the failure domain of the node.
	Domain string
	// Seeds are control addresses in the asking node's domain, as reported by a node
	// of another domain.
	Seeds []string
}

// View holds the addresses of the other nodes that are known to be up.
type View struct {
	// Alive are the control addresses of the active members of the node's failure
	// domain.
	Alive []string
	// Replicas are the control addresses of the settings replicas, in any domain,
	// that are assumed reachable.
	Replicas []string
}

// Scheduler decides when a node syncs and with which addresses. It is not safe for
// concurrent use.
type Scheduler struct {
	opt            Options
	bootstrapAddrs []string
	view           View
	// lostMembers and lostReplicas are the addresses that dropped out of the view's
	// Alive and Replicas, with the time at which they did.
	lostMembers, lostReplicas map[string]time.Duration
	// seedAddrs are the addresses in this domain that a node of another domain
	// reported last, foreignReplies counts the replies from other domains, and
	// localBootstrapAddr is a bootstrap address in this domain.
	seedAddrs          []string
	foreignReplies     int
	localBootstrapAddr string
	joined             bool
	// pending are the addresses of syncs in progress, replied those that have replied
	// since the last round, and lastProbed is the time of each address's last probe.
	pending, replied map[string]bool
	lastProbed       map[string]time.Duration

	roundCount int
	nextRound  time.Duration
	// nextMemberProbe and nextReplicaProbe are when the next lost member, and the next address
	// where a replica may be, are probed if there are any.
	nextMemberProbe, nextReplicaProbe time.Duration
}

// New returns the scheduler of a process that started at time 0 and knows no other node.
func New(o Options) *Scheduler {
	return &Scheduler{
		opt: o, lostMembers: map[string]time.Duration{}, lostReplicas: map[string]time.Duration{},
		pending: map[string]bool{}, replied: map[string]bool{}, lastProbed: map[string]time.Duration{},
	}
}

// SetBootstrap replaces the bootstrap addresses: control addresses from the settings, of
// nodes in any failure domain.
func (s *Scheduler) SetBootstrap(addrs []string) { s.bootstrapAddrs = slices.Clone(addrs) }

// UpdateView replaces the node's view of the other nodes.
func (s *Scheduler) UpdateView(now time.Duration, v View) {
	hadLostMembers, soughtReplicas := len(s.lostMemberAddrs()) > 0, len(s.possibleReplicaAddrs()) > 0
	updateLost(now, s.lostMembers, s.view.Alive, v.Alive)
	updateLost(now, s.lostReplicas, s.view.Replicas, v.Replicas)
	s.view = v
	// Members that lose the same node at once probe at different times.
	if !hadLostMembers {
		s.nextMemberProbe = now + time.Duration(s.opt.Rand.Float64()*float64(s.memberProbeInterval()))
	}
	if !soughtReplicas {
		s.nextReplicaProbe = now + time.Duration(s.opt.Rand.Float64()*float64(s.replicaProbeInterval()))
	}
}

// updateLost adds the addresses that dropped out of a view to lost, and removes those
// that are in it again.
func updateLost(now time.Duration, lost map[string]time.Duration, before, after []string) {
	for _, addr := range before {
		lost[addr] = now
	}
	for _, addr := range after {
		delete(lost, addr)
	}
}

// Joined reports whether the node has found its failure domain, or may assume that it is
// the first node there.
func (s *Scheduler) Joined() bool { return s.joined }

// InStartup reports whether a process that started at time 0 is in its startup period.
func InStartup(now time.Duration) bool { return now < startupPeriod }

// NextDue returns the time at which DueTargets must be called next.
func (s *Scheduler) NextDue() time.Duration {
	next := s.nextRound
	if len(s.lostMemberAddrs()) > 0 {
		next = min(next, s.nextMemberProbe)
	}
	if len(s.possibleReplicaAddrs()) > 0 {
		next = min(next, s.nextReplicaProbe)
	}
	return next
}

// DueTargets returns the addresses to sync with now. The caller must report the result of
// each by RecordReply or RecordFailure; until then the address is not returned again.
func (s *Scheduler) DueTargets(now time.Duration) []Target {
	targets := map[string]time.Duration{}
	s.addDueProbes(now, targets)
	if now >= s.nextRound {
		s.addRoundTargets(now, targets)
		s.nextRound = now + s.roundInterval(now)
		s.roundCount++
		clear(s.replied)
	}
	return s.markPending(targets)
}

// markPending marks addresses as pending and returns them sorted, without the node's own
// and those already pending.
func (s *Scheduler) markPending(targets map[string]time.Duration) []Target {
	var out []Target
	for _, addr := range slices.Sorted(maps.Keys(targets)) {
		if addr == "" || addr == s.opt.Self || s.pending[addr] {
			continue
		}
		s.pending[addr] = true
		out = append(out, Target{addr, targets[addr]})
	}
	return out
}

// roundInterval returns the time until the next round.
func (s *Scheduler) roundInterval(now time.Duration) time.Duration {
	switch {
	case InStartup(now):
		return startupSyncInterval
	case !s.joined:
		return joinRetryInterval
	default:
		return s.jitter(syncInterval, syncJitter)
	}
}

// jitter returns d varied at random by at most the given fraction either way.
func (s *Scheduler) jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 + fraction*(2*s.opt.Rand.Float64()-1)))
}

// addRoundTargets adds the addresses of one sync round. During startup, when many
// addresses may be down, these are a peer, a seed address and the bootstrap address in
// this failure domain or, while that is unknown, all bootstrap addresses.
func (s *Scheduler) addRoundTargets(now time.Duration, targets map[string]time.Duration) {
	if !InStartup(now) {
		targets[s.pickSyncPeer(roundsPerBootstrapSync)] = syncTimeout
		return
	}
	targets[s.pickSyncPeer(startupRoundsPerBootstrapSync)] = startupSyncTimeout
	targets[s.pickRandomOther(s.seedAddrs)] = startupSyncTimeout
	targets[s.localBootstrapAddr] = startupSyncTimeout
	if s.localBootstrapAddr != "" {
		return
	}
	for _, addr := range s.bootstrapAddrs {
		targets[addr] = startupSyncTimeout
	}
}

// pickSyncPeer returns a random member or, once in roundsPerBootstrap rounds and always
// while no member is known, a random bootstrap or seed address.
func (s *Scheduler) pickSyncPeer(roundsPerBootstrap int) string {
	if len(s.view.Alive) == 0 || s.roundCount%roundsPerBootstrap == 0 {
		if addr := s.pickRandomOther(slices.Concat(s.bootstrapAddrs, s.seedAddrs)); addr != "" {
			return addr
		}
	}
	return s.pickRandomOther(s.view.Alive)
}

// pickRandomOther returns a random address that is not the node's own, or "" if there is
// none.
func (s *Scheduler) pickRandomOther(addrs []string) string {
	var others []string
	for _, a := range addrs {
		if a != s.opt.Self {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[s.opt.Rand.IntN(len(others))]
}

// RecordReply records a successful sync with the node at an address.
func (s *Scheduler) RecordReply(addr string, info PeerInfo) {
	delete(s.pending, addr)
	s.replied[addr] = true
	if info.Domain == s.opt.Domain {
		s.joined = true
		if slices.Contains(s.bootstrapAddrs, addr) {
			s.localBootstrapAddr = addr
		}
		return
	}
	s.seedAddrs = info.Seeds
	s.foreignReplies++
	if s.pickRandomOther(s.seedAddrs) == "" || len(s.view.Alive) > 0 || s.foreignReplies >= foreignRepliesToJoin {
		s.joined = true
	}
}

// RecordFailure records a failed sync with the node at an address.
func (s *Scheduler) RecordFailure(addr string) { delete(s.pending, addr) }
