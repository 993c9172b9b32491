package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// newsWay is how a node heard of a version of the settings.
type newsWay string

const (
	// byPacket: a packet of the gossip carries its sender's version.
	byPacket newsWay = "packet"
	// bySync: two nodes compared their records.
	bySync newsWay = "sync"
	// byExchange: two failure domains exchanged what they say of themselves.
	byExchange newsWay = "exchange"
	// byAnswer: an operator's order was answered by a replica.
	byAnswer newsWay = "answer"
	// byDisk: the replica on this node's disk has applied it.
	byDisk newsWay = "disk"
)

// news is what a node remembers of the settings that others have, so that a
// late version can be explained: when it was heard of, how and from whom. It
// is safe for concurrent use.
type news struct {
	mu sync.Mutex
	// version is the highest that was heard of while it was not in force.
	version uint64
	since   time.Duration
	way     newsWay
	from    string
	// late is how long the last version took from being heard of to being in
	// force.
	late time.Duration
	// known tells whether a replica is known, and unknown since when none was, on
	// the node's clock.
	known   bool
	unknown time.Duration
}

// heard notes a version that is newer than the one in force.
func (w *news) heard(now time.Duration, version, inForce uint64, way newsWay, from string) {
	if version <= inForce {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version > inForce {
		// The wait counts from the first version that was missing.
		return
	}
	w.version, w.since, w.way, w.from = version, now, way, from
}

// force tells, for a version that comes into force, how long ago the node heard
// that it was behind, how and from whom; a version that nobody told of before
// comes from the disk.
func (w *news) force(now time.Duration, version uint64) (late time.Duration, way newsWay, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version == 0 {
		w.late = 0
		return 0, byDisk, ""
	}
	late, way, from = now-w.since, w.way, w.from
	w.late = late
	if version >= w.version {
		w.version = 0
	}
	return late, way, from
}

// last returns how long the last version took from being heard of to being in
// force.
func (w *news) last() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// sees notes whether a replica is known. It returns true if that changed, and
// after how long one is known again.
func (w *news) sees(now time.Duration, known bool) (changed bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known == w.known {
		return false, 0
	}
	w.known = known
	if known {
		return true, now - w.unknown
	}
	w.unknown = now
	return true, 0
}

// watchReplicas logs when the last known replica is lost and one is known again.
func (n *Node) watchReplicas(replicas []raft.Peer) {
	changed, after := n.news.sees(n.clock(), len(replicas) > 0)
	switch {
	case !changed:
	case len(replicas) > 0:
		n.info("replica", "A replica is known.", "after_ms", after.Milliseconds(), "count", len(replicas), "first", replicas[0].Addr)
	default:
		n.warn("replica", "No replica is known.")
	}
}
