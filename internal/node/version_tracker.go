package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/confirm"
	"github.com/umberthread/umberthread/internal/latency"
	"github.com/umberthread/umberthread/raft"
)

// versionSource is how a node learned of a version of the settings.
type versionSource string

const (
	// viaPacket is a gossip packet, which carries its sender's version.
	viaPacket versionSource = "packet"
	// viaSync is a sync of gossip records between two nodes.
	viaSync versionSource = "sync"
	// viaExchange is an exchange between two failure domains.
	viaExchange versionSource = "exchange"
	// viaReplicaResponse is a replica's response to a change that this node submitted.
	viaReplicaResponse versionSource = "answer"
	// viaDisk is the replica on this node, which applied the version before another node
	// reported it.
	viaDisk versionSource = "disk"
)

// versionTracker measures how long versions of the settings take from when the node
// learns of them until they are active, and whether any replica is known. It is safe
// for concurrent use. All times are on the node's clock.
type versionTracker struct {
	mu sync.Mutex
	// pending is the first version learned of that is newer than the active one, or
	// 0; source and from say how and from whom the node learned of it.
	pending      uint64
	pendingSince time.Duration
	source       versionSource
	from         string
	// lastDelay is how long the latest version took to become active after the node
	// learned that one was missing.
	lastDelay time.Duration
	// delays counts how long versions heard of from other nodes took to become active.
	delays latency.Histogram
	// fetches and failedFetches count the fetches from other nodes.
	fetches, failedFetches atomic.Int64
	// confirmations are those of the active version by a quorum, and confirmedAt is the time of
	// the latest one, 0 for never, for those that must not wait for mu.
	confirmations confirm.Tracker
	confirmedAt   atomic.Int64
	// replicaKnown reports whether a replica is known, and replicaLostAt is when the
	// last known one was lost.
	replicaKnown  bool
	replicaLostAt time.Duration
}

// observe records a version if it is newer than the active one and no newer version
// is pending already.
func (t *versionTracker) observe(now time.Duration, version, active uint64, source versionSource, from string) {
	if version <= active {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending > active {
		// The delay counts from the first missing version.
		return
	}
	t.pending, t.pendingSince, t.source, t.from = version, now, source, from
}

// activate records that a version becomes active. It returns how long ago the node
// learned of a newer version, how and from whom. A version that it had not learned
// of comes from its own disk.
func (t *versionTracker) activate(now time.Duration, version uint64) (delay time.Duration, source versionSource, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmations.Activate(version)
	t.confirmedAt.Store(int64(t.confirmations.ConfirmedAt()))
	if t.pending == 0 {
		t.lastDelay = 0
		return 0, viaDisk, ""
	}
	delay, source, from = now-t.pendingSince, t.source, t.from
	t.lastDelay = delay
	t.delays.Observe(delay)
	if version >= t.pending {
		t.pending = 0
	}
	return delay, source, from
}

// activationDelay returns how long the latest version took to become active after
// the node learned that one was missing.
func (t *versionTracker) activationDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastDelay
}

// confirm records that at a time, a quorum confirmed that no version was newer than the given one.
func (t *versionTracker) confirm(at time.Duration, version, active uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmations.Record(confirm.Confirmation{At: at, Version: version}, active)
	t.confirmedAt.Store(int64(t.confirmations.ConfirmedAt()))
}

// confirmation returns when a quorum last confirmed the active version or an older one as the
// newest, 0 for never.
func (t *versionTracker) confirmation() time.Duration { return time.Duration(t.confirmedAt.Load()) }

// observeReplicas records whether a replica is known. It reports whether that
// changed and, if one is known again, for how long none was.
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

// logReplicaAvailability logs when the last known replica is lost and when one is
// known again.
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
