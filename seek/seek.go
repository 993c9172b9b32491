package seek

import "time"

const (
	// hedgeDelay is how long a request may go unanswered before another replica is asked
	// as well: many round trips between failure domains.
	hedgeDelay = 60 * time.Millisecond
	// requestInterval is the delay of the next request after one that found no leader or
	// went to an unresponsive replica.
	requestInterval = 20 * time.Millisecond
	// maxRequestInterval bounds that delay, which doubles with each answer that names no
	// leader, or one whose answer is awaited already: many searches at once would otherwise
	// keep the replicas from an election, or from the commit.
	maxRequestInterval = 60 * time.Millisecond
	// unresponsiveHintDelay is how long an unresponsive replica is not asked on another
	// replica's hint, since replicas that have not noticed its loss still name it as
	// leader.
	unresponsiveHintDelay = 300 * time.Millisecond
)

// replicaState is the state of the requests to one replica.
type replicaState struct {
	// requestPending reports whether a request is in flight.
	requestPending bool
	// requests counts the requests sent.
	requests int
	// unresponsive reports whether the last request got no response; unresponsiveSince is
	// when that became known.
	unresponsive      bool
	unresponsiveSince time.Duration
}

// LeaderSearch is the search for the leader on behalf of one command or read. It is not
// safe for concurrent use.
type LeaderSearch struct {
	replicas map[string]*replicaState
	// leaderHint is the address of the likely leader, "" if unknown.
	leaderHint string
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt time.Duration
	// fruitlessInterval is the delay after the next answer that names no leader to ask, and
	// fruitlessHint the leader that the last one named.
	fruitlessInterval time.Duration
	fruitlessHint     string
}

// New returns a search that starts with the likely leader, "" if unknown.
func New(hint string) *LeaderSearch {
	return &LeaderSearch{replicas: map[string]*replicaState{}, leaderHint: hint, fruitlessInterval: requestInterval}
}

// NextReplica returns the replica to ask now, given the addresses of all known replicas,
// "" for none, and the time at which to call again. Times count from any fixed moment.
func (s *LeaderSearch) NextReplica(now time.Duration, addrs []string) (addr string, again time.Duration) {
	if now < s.nextRequestAt {
		return "", s.nextRequestAt
	}
	addr = s.chooseReplica(now, addrs)
	if addr == "" {
		return "", now + requestInterval
	}
	r := s.stateOf(addr)
	r.requestPending = true
	r.requests++
	s.nextRequestAt = now + hedgeDelay
	if r.unresponsive {
		// The replica is unlikely to respond; do not delay the next request.
		s.nextRequestAt = now + requestInterval
	}
	return addr, s.nextRequestAt
}

// chooseReplica returns the likely leader if it should be asked, else the replica that
// isPreferred ranks first. It skips replicas with a request in flight.
func (s *LeaderSearch) chooseReplica(now time.Duration, addrs []string) string {
	if s.leaderHint != "" && s.shouldFollowHint(now, s.stateOf(s.leaderHint)) {
		return s.leaderHint
	}
	best := ""
	for _, a := range addrs {
		if s.stateOf(a).requestPending {
			continue
		}
		if best == "" || s.isPreferred(a, best) {
			best = a
		}
	}
	return best
}

// shouldFollowHint reports whether to ask a replica that is named as the leader.
func (s *LeaderSearch) shouldFollowHint(now time.Duration, r *replicaState) bool {
	return !r.requestPending && (!r.unresponsive || now-r.unresponsiveSince >= unresponsiveHintDelay)
}

// isPreferred reports whether to ask a rather than b: the one with fewer requests, then
// the responsive one. Unresponsive replicas get their turn since they may have recovered.
func (s *LeaderSearch) isPreferred(a, b string) bool {
	x, y := s.stateOf(a), s.stateOf(b)
	if x.requests != y.requests {
		return x.requests < y.requests
	}
	return !x.unresponsive && y.unresponsive
}

// RecordNotLeader records that a replica answered that it is not the leader. leader is the one
// that it names, "" if none.
func (s *LeaderSearch) RecordNotLeader(now time.Duration, addr, leader string) {
	r := s.stateOf(addr)
	r.requestPending, r.unresponsive = false, false
	s.leaderHint = ""
	if leader != addr {
		s.leaderHint = leader
	}
	if s.leaderHint == "" || s.stateOf(s.leaderHint).requestPending {
		if s.leaderHint != s.fruitlessHint {
			// The replicas' view has changed, so there may soon be another leader.
			s.fruitlessHint, s.fruitlessInterval = s.leaderHint, requestInterval
		}
		s.nextRequestAt = now + s.fruitlessInterval
		s.fruitlessInterval = min(2*s.fruitlessInterval, maxRequestInterval)
		return
	}
	s.fruitlessInterval = requestInterval
	s.nextRequestAt = now + requestInterval
	if s.stateOf(s.leaderHint).requests == 0 {
		// Ask a leader that was not asked yet without delay.
		s.nextRequestAt = now
	}
}

// RecordNoQuorum records that the leader answered but could not commit. All replicas are asked
// next, since another one may have become the leader.
func (s *LeaderSearch) RecordNoQuorum(now time.Duration, addr string) {
	r := s.stateOf(addr)
	r.requestPending, r.unresponsive = false, false
	s.leaderHint = ""
	s.nextRequestAt = now + requestInterval
}

// RecordNoResponse records that a request got no response: the connection failed or the
// request timed out.
func (s *LeaderSearch) RecordNoResponse(now time.Duration, addr string) {
	r := s.stateOf(addr)
	r.requestPending, r.unresponsive, r.unresponsiveSince = false, true, now
	if s.leaderHint == addr {
		s.leaderHint = ""
	}
	s.nextRequestAt = min(s.nextRequestAt, now+requestInterval)
}

// stateOf returns the state of a replica, created on first use.
func (s *LeaderSearch) stateOf(addr string) *replicaState {
	r := s.replicas[addr]
	if r == nil {
		r = &replicaState{}
		s.replicas[addr] = r
	}
	return r
}
