package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// newsWay is how a node heard of a version of the settings.
type versionSource string

const (
	// byPacket: a packet of the gossip carries its sender's version.
	viaPacket versionSource = "packet"
	// bySync: two nodes compared their records.
	viaSync versionSource = "sync"
	// byExchange: two failure domains exchanged what they say of themselves.
	viaExchange versionSource = "exchange"
	// byAnswer: an operator's order was answered by a replica.
	viaReplicaAnswer versionSource = "answer"
	// byDisk: the replica on this node's disk has applied it.
	viaDisk versionSource = "disk"
)

// news is what a node remembers of the settings that others have, so that a
// late version can be explained: when it was heard of, how and from whom. It
// is safe for concurrent use.
type versionTracker struct {
	mu sync.Mutex
	// version is the highest that was heard of while it was not in force.
	pending      uint64
	pendingSince time.Duration
	source       versionSource
	from         string
	// late is how long the last version took from being heard of to being in
	// force.
	lastDelay time.Duration
	// known tells whether a replica is known, and unknown since when none was, on
	// the node's clock.
	replicaKnown  bool
	replicaLostAt time.Duration
}

// heard notes a version that is newer than the one in force.
func (t *versionTracker) observe(now time.Duration, version, inForce uint64, way versionSource, from string) {
	if version <= inForce {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending > inForce {
		// The wait counts from the first version that was missing.
		return
	}
	t.pending, t.pendingSince, t.source, t.from = version, now, way, from
}

// force tells, for a version that comes into force, how long ago the node heard
// that it was behind, how and from whom; a version that nobody told of before
// comes from the disk.
func (t *versionTracker) activate(now time.Duration, version uint64) (late time.Duration, way versionSource, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == 0 {
		t.lastDelay = 0
		return 0, viaDisk, ""
	}
	late, way, from = now-t.pendingSince, t.source, t.from
	t.lastDelay = late
	if version >= t.pending {
		t.pending = 0
	}
	return late, way, from
}

// last returns how long the last version took from being heard of to being in
// force.
func (t *versionTracker) activationDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastDelay
}

// sees notes whether a replica is known. It returns true if that changed, and
// after how long one is known again.
func (t *versionTracker) observeReplicas(now time.Duration, known bool) (changed bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known == t.replicaKnown {
		return false, 0
	}
	t.replicaKnown = known
	if known {
		return true, now - t.replicaLostAt
	}
	t.replicaLostAt = now
	return true, 0
}

// watchReplicas logs when the last known replica is lost and one is known again.
func (n *Node) logReplicaAvailability(replicas []raft.Peer) {
	changed, after := n.versions.observeReplicas(n.clock(), len(replicas) > 0)
	switch {
	case !changed:
	case len(replicas) > 0:
		n.info("replica", "A replica is known.", "after_ms", after.Milliseconds(), "count", len(replicas), "first", replicas[0].Addr)
	default:
		n.warn("replica", "No replica is known.")
	}
}
