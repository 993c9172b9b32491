package seek

import "time"

const (
	// hedge is how long a question may go unanswered until another replica is asked
	// as well: many round trips between failure domains.
	hedge = 60 * time.Millisecond
	// pause is the time between two questions while nobody leads.
	pause = 20 * time.Millisecond
	// silentFor is how long a replica that did not answer is not asked at another's
	// word: those that have not noticed its loss go on naming it.
	silentFor = 300 * time.Millisecond
)

// replica is what is known of one address.
type replica struct {
	// asking tells whether a question is under way.
	asking bool
	// asked counts the questions.
	asked int
	// silent tells whether the last one was not answered, and silentAt since when
	// that is known.
	silent   bool
	silentAt time.Duration
}

// Search is the search for the leader on behalf of one command or read. It is not
// safe for concurrent use.
type LeaderSearch struct {
	replicas map[string]*replica
	// hint is the likely leader, "" if nobody named one.
	hint string
	// nextAt is when the next question may be asked.
	nextAt time.Duration
}

// New returns a search that begins with the likely leader, "" if none is known.
func New(hint string) *LeaderSearch {
	return &LeaderSearch{replicas: map[string]*replica{}, hint: hint}
}

// Next returns the replica to ask now, given all that are known, or "" and when to
// look again. Time counts from any fixed moment.
func (s *LeaderSearch) NextReplica(now time.Duration, addrs []string) (addr string, again time.Duration) {
	if now < s.nextAt {
		return "", s.nextAt
	}
	addr = s.choose(now, addrs)
	if addr == "" {
		return "", now + pause
	}
	r := s.of(addr)
	r.asking = true
	r.asked++
	s.nextAt = now + hedge
	if r.silent {
		// It will hardly answer: its question is one beside the next.
		s.nextAt = now + pause
	}
	return addr, s.nextAt
}

// choose returns the likely leader, else the replica that answers and was asked
// least, with no question under way.
func (s *LeaderSearch) choose(now time.Duration, addrs []string) string {
	if s.hint != "" && s.worthAsking(now, s.of(s.hint)) {
		return s.hint
	}
	best := ""
	for _, a := range addrs {
		if s.of(a).asking {
			continue
		}
		if best == "" || s.before(a, best) {
			best = a
		}
	}
	return best
}

// worthAsking tells whether to ask a replica that another one takes for the leader.
func (s *LeaderSearch) worthAsking(now time.Duration, r *replica) bool {
	return !r.asking && (!r.silent || now-r.silentAt >= silentFor)
}

// before tells whether to ask a rather than b. A replica that did not answer has its
// turn as well: it may be back.
func (s *LeaderSearch) before(a, b string) bool {
	x, y := s.of(a), s.of(b)
	if x.asked != y.asked {
		return x.asked < y.asked
	}
	return !x.silent && y.silent
}

// NotLeader takes in that a replica answered and does not lead, and whom it takes for
// the leader, "" for nobody.
func (s *LeaderSearch) NotLeader(now time.Duration, addr, leader string) {
	r := s.of(addr)
	r.asking, r.silent = false, false
	s.hint = ""
	if leader != addr {
		s.hint = leader
	}
	s.nextAt = now + pause
	if s.hint != "" && s.of(s.hint).asked == 0 {
		// A leader that was not asked yet needs no pause.
		s.nextAt = now
	}
}

// NoQuorum takes in that the leader answered and could not commit. It is asked again,
// as well as the others: another one may lead by now.
func (s *LeaderSearch) NoQuorum(now time.Duration, addr string) {
	r := s.of(addr)
	r.asking, r.silent = false, false
	s.hint = ""
	s.nextAt = now + pause
}

// Silent takes in that a question was not answered: the connection failed, or the
// time was over.
func (s *LeaderSearch) RecordNoResponse(now time.Duration, addr string) {
	r := s.of(addr)
	r.asking, r.silent, r.silentAt = false, true, now
	if s.hint == addr {
		s.hint = ""
	}
	s.nextAt = min(s.nextAt, now+pause)
}

func (s *LeaderSearch) of(addr string) *replica {
	r := s.replicas[addr]
	if r == nil {
		r = &replica{}
		s.replicas[addr] = r
	}
	return r
}
