package node

import (
	"time"

	"github.com/umberthread/umberthread/fetch"
	"github.com/umberthread/umberthread/internal/control"
)

// configHint names a node that has a newer version of the settings.
type configHint struct {
	addr    string
	version uint64
}

// fetchResult is the result of a fetch of settings from the node at addr, which has a version.
type fetchResult struct {
	addr    string
	version uint64
	err     error
}

// fetchLoop fetches newer settings from the nodes that have them. It owns the scheduler, which
// selects them; each fetch has a goroutine.
func (g *gossiper) fetchLoop() {
	scheduler := fetch.New()
	// Unbuffered: a fetch that ends waits for this loop, which only waits for events.
	results := make(chan fetchResult)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		g.startFetches(scheduler, timer, results)
		select {
		case <-g.node.stop:
			return
		case <-timer.C:
		case hint := <-g.configHints.C():
			scheduler.Observe(g.node.clock(), hint.addr, hint.version)
		case r := <-results:
			g.recordFetch(scheduler, r)
		}
	}
}

// startFetches starts the fetches and queries that are due, and sets the timer for the next ones.
func (g *gossiper) startFetches(scheduler *fetch.Scheduler, timer *time.Timer, results chan<- fetchResult) {
	timer.Stop()
	for {
		f, ok, wait := scheduler.Next(g.node.clock(), g.node.conf.Load().version)
		if !ok {
			queried, queryWait := scheduler.Queries(g.node.clock(), g.node.conf.Load().version)
			g.query(queried)
			if wait = shorterWait(wait, queryWait); wait > 0 {
				timer.Reset(wait)
			}
			return
		}
		go func() {
			version, err := g.node.fetchConfig(f)
			select {
			case results <- fetchResult{f.Addr, version, err}:
			case <-g.node.stop:
			}
		}()
	}
}

// shorterWait returns the shorter of two waits, of which 0 means that there is none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// recordFetch tells the scheduler the result of a fetch.
func (g *gossiper) recordFetch(scheduler *fetch.Scheduler, r fetchResult) {
	if r.err != nil {
		scheduler.RecordFailure(r.addr)
		g.node.warn("config", "Cannot fetch settings.", "from", r.addr, "err", r.err)
		return
	}
	scheduler.RecordReply(g.node.clock(), r.addr, r.version)
}

// fetchConfig fetches and activates the version of a node, and returns it.
func (n *Node) fetchConfig(f fetch.Fetch) (uint64, error) {
	var reply control.FetchReply
	req := control.FetchRequest{Since: n.conf.Load().version}
	n.versions.fetches.Add(1)
	if err := n.control.pool.CallWhileArriving(f.Addr, "Fetch", &req, &reply, f.Silence, f.Timeout); err != nil {
		n.versions.failedFetches.Add(1)
		return 0, err
	}
	if reply.Full != nil {
		n.applyDocument(reply.Version, reply.Full)
	} else {
		n.applyChanges(reply.Changes)
	}
	return reply.Version, nil
}
