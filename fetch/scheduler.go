package fetch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minHedgeDelay is the time without a reply after which another node is asked as well, at
	// the earliest. It exceeds the usual round trip between failure domains many times.
	minHedgeDelay = 100 * time.Millisecond
	// hedgeLatencies is the same in mean latencies of the last replies: where all replies are
	// slow, as over a full link, further ones would only slow them more.
	hedgeLatencies = 4
	// minQueryDelay is the time without a reply after which other nodes are queried, at the
	// earliest, queryLatencies the same in mean latencies of the last replies, and queryInterval
	// the time between two rounds of queries.
	minQueryDelay  = minHedgeDelay / 2
	queryLatencies = hedgeLatencies / 2
	queryInterval  = 250 * time.Millisecond
	// maxQueries bounds the queries of one round.
	maxQueries = 16
	// latencyWeight is the weight of the latest reply in the mean latency.
	latencyWeight = 0.25
	// initialSilence is for how long nothing may arrive in the first fetches. It is short so that
	// a connection that has gone silent is replaced soon.
	initialSilence = 300 * time.Millisecond
	// maxSilence bounds the silence in a fetch after repeated failures, for slow links.
	maxSilence = 2 * time.Second
	// timeout bounds a fetch whose reply keeps arriving.
	timeout = 4 * time.Second
	// failuresPerDoubling is the number of consecutive failures after which the silence doubles.
	failuresPerDoubling = 2
	// retryDelay is how long a node that failed and has not been heard from since is not asked
	// again.
	retryDelay = 500 * time.Millisecond
	// maxPending bounds the fetches in progress, whose replies share the node's link.
	maxPending = 3
	// maxSources bounds the remembered nodes. The one heard from longest ago is dropped.
	maxSources = 64
)

// Fetch is a fetch to start: the address of the node to ask, for how long nothing may arrive
// from it, and the time limit of the whole.
type Fetch struct {
	Addr             string
	Silence, Timeout time.Duration
}

// source is a node that has announced a version of the settings.
type source struct {
	version uint64
	heardAt time.Duration
	// startedAt is when the latest fetch from it began; pending is set until that ends, and
	// then either replied or failed.
	startedAt                time.Duration
	pending, replied, failed bool
	// queriedAt is when it was last queried, 0 for never.
	queriedAt time.Duration
}

// silent reports whether the node has failed and was not heard from since the fetch began.
func (s *source) silent() bool { return s.failed && s.heardAt <= s.startedAt }

// Scheduler decides when to fetch and from whom.
type Scheduler struct {
	sources map[string]*source
	// pending is the number of fetches in progress, and lastStart when the latest one began.
	pending   int
	lastStart time.Duration
	// latency is the mean latency of the last replies.
	latency time.Duration
	// failures counts the consecutive failures of any nodes.
	failures int
	// unanswered is set while no node has replied to the fetches since unansweredSince.
	unanswered      bool
	unansweredSince time.Duration
	// nextQuery is when the next round of queries is due.
	nextQuery time.Duration
}

// New returns the scheduler of a node that has heard of no settings.
func New() *Scheduler { return &Scheduler{sources: map[string]*source{}} }

// Observe records that the node at addr has a version of the settings, as that node said itself.
func (s *Scheduler) Observe(now time.Duration, addr string, version uint64) {
	src := s.sources[addr]
	if src == nil {
		src = &source{}
		s.sources[addr] = src
	}
	src.version, src.heardAt = max(src.version, version), now
	s.evictOldest()
}

// evictOldest drops the source heard from longest ago while there are too many.
func (s *Scheduler) evictOldest() {
	if len(s.sources) <= maxSources {
		return
	}
	oldest := ""
	for addr, src := range s.sources {
		if src.pending {
			continue
		}
		if oldest == "" || src.heardAt < s.sources[oldest].heardAt || src.heardAt == s.sources[oldest].heardAt && addr < oldest {
			oldest = addr
		}
	}
	delete(s.sources, oldest)
}

// Next returns the fetch to start now, if any; active is the active version. The caller must
// report its result by RecordReply or RecordFailure, and call Next again at once. If there is
// none, wait is the time after which to call Next again, 0 if only an event can change that.
func (s *Scheduler) Next(now time.Duration, active uint64) (f Fetch, ok bool, wait time.Duration) {
	addr, at := s.bestSource(now, active)
	if addr == "" || s.pending == maxPending {
		return Fetch{}, false, 0
	}
	if at = max(at, s.nextStart()); at > now {
		return Fetch{}, false, at - now
	}
	src := s.sources[addr]
	src.pending, src.startedAt = true, now
	s.pending++
	s.lastStart = now
	if !s.unanswered {
		s.unanswered, s.unansweredSince = true, now
		s.nextQuery = now + max(minQueryDelay, queryLatencies*s.latency)
	}
	return Fetch{addr, s.silence(), timeout}, true, 0
}

// Queries returns the addresses of nodes to query now, as a fetch has no reply yet: which of them
// respond is told by Observe, at less cost than by a fetch from each. wait is the time after which
// to call Queries again, 0 if only a fetch can change that.
func (s *Scheduler) Queries(now time.Duration, active uint64) (addrs []string, wait time.Duration) {
	if !s.unanswered || s.pending == 0 {
		return nil, 0
	}
	if s.nextQuery > now {
		return nil, s.nextQuery - now
	}
	s.nextQuery = now + queryInterval
	for addr, src := range s.sources {
		if !src.pending && src.version > active && !s.responds(src) {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, s.compareForQuery)
	addrs = addrs[:min(len(addrs), maxQueries)]
	for _, addr := range addrs {
		s.sources[addr].queriedAt = now
	}
	return addrs, queryInterval
}

// compareForQuery orders the source queried longest ago first, among these the one heard from last.
func (s *Scheduler) compareForQuery(a, b string) int {
	srcA, srcB := s.sources[a], s.sources[b]
	return cmp.Or(cmp.Compare(srcA.queriedAt, srcB.queriedAt), cmp.Compare(srcB.heardAt, srcA.heardAt), cmp.Compare(a, b))
}

// responds reports whether a source was heard from after a query, since fetches have had no reply.
func (s *Scheduler) responds(src *source) bool {
	return s.unanswered && src.queriedAt > s.unansweredSince && src.heardAt > src.queriedAt
}

// bestSource returns the source to ask next and the time from which it may be asked: one that
// may be asked now before one that must wait, one that a query has shown to respond, one
// that has replied before others, as a connection to it is open, and among these the one heard
// from last. The address is "" if there is none.
func (s *Scheduler) bestSource(now time.Duration, active uint64) (best string, at time.Duration) {
	for addr, src := range s.sources {
		if src.pending || src.version <= active {
			continue
		}
		eligible := now
		if src.silent() {
			eligible = max(now, src.startedAt+retryDelay)
		}
		if best == "" || s.precedes(addr, eligible, best, at) {
			best, at = addr, eligible
		}
	}
	return best, at
}

// precedes reports whether source a, which may be asked from time atA, is asked before b.
func (s *Scheduler) precedes(a string, atA time.Duration, b string, atB time.Duration) bool {
	srcA, srcB := s.sources[a], s.sources[b]
	switch {
	case atA != atB:
		return atA < atB
	case srcA.silent() != srcB.silent():
		return srcB.silent()
	case s.responds(srcA) != s.responds(srcB):
		return s.responds(srcA)
	case srcA.replied != srcB.replied:
		return srcA.replied
	case srcA.heardAt != srcB.heardAt:
		return srcA.heardAt > srcB.heardAt
	default:
		return a < b
	}
}

// nextStart returns the earliest time of the next fetch. The pause grows with the fetches in
// progress: several slow replies suggest that this node's own link is slow.
func (s *Scheduler) nextStart() time.Duration {
	if s.pending == 0 {
		return 0
	}
	return s.lastStart + max(minHedgeDelay, hedgeLatencies*s.latency)*time.Duration(s.pending)
}

// silence returns for how long nothing may arrive in the next fetch.
func (s *Scheduler) silence() time.Duration {
	const maxDoublings = 8
	return min(maxSilence, initialSilence<<min(s.failures/failuresPerDoubling, maxDoublings))
}

// RecordReply records that the node at addr replied to a fetch with all up to a version, which is
// older than the announced one if the node has been restarted.
func (s *Scheduler) RecordReply(now time.Duration, addr string, version uint64) {
	s.end(addr, false)
	s.failures, s.unanswered = 0, false
	src := s.sources[addr]
	if src == nil {
		return
	}
	s.latency += time.Duration(latencyWeight * float64(now-src.startedAt-s.latency))
	if src.heardAt <= src.startedAt {
		src.version = version
	}
}

// RecordFailure records that a fetch from the node at addr failed.
func (s *Scheduler) RecordFailure(addr string) {
	s.end(addr, true)
	s.failures++
}

// end marks the fetch from a node as ended.
func (s *Scheduler) end(addr string, failed bool) {
	s.pending--
	if src := s.sources[addr]; src != nil {
		src.pending, src.replied, src.failed = false, !failed, failed
	}
}
