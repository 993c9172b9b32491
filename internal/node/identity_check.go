package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// identityCheck asks replicas for their identities. Each has its own time to answer, so that the
// address of a machine without power does not delay what is learnt of the others.
type identityCheck struct {
	// ask reports whether a replica confirms its identity at its address.
	ask func(p raft.Peer) bool
	// answered is signalled when an answer or a timeout has been recorded.
	answered chan struct{}

	mu sync.Mutex
	// asking holds the replicas whose answer is awaited, and confirmed the latest answer of each
	// replica that has been asked.
	asking, confirmed map[raft.Peer]bool
}

// newIdentityCheck returns a check that has asked nobody.
func newIdentityCheck(ask func(p raft.Peer) bool) *identityCheck {
	return &identityCheck{ask: ask, answered: make(chan struct{}, 1), asking: map[raft.Peer]bool{}, confirmed: map[raft.Peer]bool{}}
}

// run asks the given replicas unless their answer is still awaited. It returns those that have
// confirmed their identity, once all have answered or after wait: until then the previous answer
// of a replica counts.
func (c *identityCheck) run(peers []raft.Peer, wait time.Duration) []raft.Peer {
	for _, p := range peers {
		if c.begin(p) {
			go func() { c.finish(p, c.ask(p)) }()
		}
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for c.isAsking(peers) {
		select {
		case <-c.answered:
		case <-timeout.C:
			return c.confirmedOf(peers)
		}
	}
	return c.confirmedOf(peers)
}

// begin marks a replica as being asked. It returns false if it is already.
func (c *identityCheck) begin(p raft.Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking[p] {
		return false
	}
	c.asking[p] = true
	return true
}

// finish records an answer.
func (c *identityCheck) finish(p raft.Peer, confirmed bool) {
	c.mu.Lock()
	delete(c.asking, p)
	c.confirmed[p] = confirmed
	c.mu.Unlock()
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// isAsking reports whether the answer of one of the replicas is awaited.
func (c *identityCheck) isAsking(peers []raft.Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		if c.asking[p] {
			return true
		}
	}
	return false
}

// confirmedOf returns those of the replicas that have confirmed their identity, and forgets the
// answers of all others. A replica is left out while it is asked for the first time at another
// address, as it would seem to have moved from there.
func (c *identityCheck) confirmedOf(peers []raft.Peer) []raft.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := make(map[raft.Peer]bool, len(peers))
	undecided := map[string]bool{}
	for _, p := range peers {
		confirmed, known := c.confirmed[p]
		if !known {
			undecided[p.ID] = true
			continue
		}
		latest[p] = confirmed
	}
	c.confirmed = latest
	var out []raft.Peer
	for _, p := range peers {
		if latest[p] && !undecided[p.ID] {
			out = append(out, p)
		}
	}
	return out
}
