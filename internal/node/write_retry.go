package node

import (
	"time"

	"github.com/umberthread/umberthread/raft"
)

const (
	// minWriteRetryTicks and maxWriteRetryTicks bound the ticks until a refused write is
	// retried. The delay doubles with each failure.
	minWriteRetryTicks = 4
	maxWriteRetryTicks = 40
)

// writeRetry is the state of a replica whose disk has refused a write. What the log files
// hold beyond the last successful write is unknown, so the retry replaces them by
// everything that the core holds. Until it succeeds the replica confirms nothing, as with
// a stalled disk, but goes on applying what a quorum has saved.
type writeRetry struct {
	// save is the Ready whose save failed, nil if only a compaction failed.
	save *raft.Ready
	// delayTicks is the delay of the next attempt, due at nextTick.
	delayTicks, nextTick int
	// inProgress reports whether an attempt is with the log writer.
	inProgress bool
}

// recordRefusedWrite schedules the retry of a failed job.
func (g *group) recordRefusedWrite(w writeResult) {
	if g.retry == nil {
		g.retry = &writeRetry{delayTicks: minWriteRetryTicks}
		g.writeRefusedSince.Store(int64(g.replicas.node.clock()))
		g.replicas.node.warnEvent("replica", "Group "+formatUint(uint64(g.id))+": its disk refuses writes: "+w.err.Error())
	}
	r := g.retry
	switch {
	case w.job.rewrite:
		r.inProgress = false
		r.delayTicks = min(2*r.delayTicks, maxWriteRetryTicks)
	case w.job.reset == nil:
		r.save = &w.job.ready
	}
	r.nextTick = g.ticks + r.delayTicks
}

// retryWrite starts the next attempt if it is due.
func (g *group) retryWrite() {
	r := g.retry
	if r == nil || r.inProgress || g.ticks < r.nextTick {
		return
	}
	st, snap, entries := g.core.PersistentState()
	r.inProgress = g.writer.jobs.Offer(writeJob{reset: &logReset{snapshot: snap, state: &st, entries: entries}, rewrite: true})
}

// completeRewrite resumes normal operation after the log was replaced.
func (g *group) completeRewrite() {
	save, refused := g.retry.save, g.writeRefusedFor()
	g.forgetRefusedWrites()
	if save != nil {
		// The messages of the failed save are dropped: they may confirm entries that newer
		// ones in the rewritten log have replaced. Raft sends them again.
		g.core.Advance(*save)
	}
	g.replicas.node.logEvent("replica", "Group "+formatUint(uint64(g.id))+": its disk accepts writes again after "+refused.Round(time.Millisecond).String()+".")
}

// forgetRefusedWrites ends the retry after the log was replaced.
func (g *group) forgetRefusedWrites() {
	g.retry = nil
	g.compacting = false
	g.writeRefusedSince.Store(0)
}

// writeRefusedFor returns how long the disk has refused writes, 0 if it accepts them.
func (g *group) writeRefusedFor() time.Duration {
	since := time.Duration(g.writeRefusedSince.Load())
	if since == 0 {
		return 0
	}
	return g.replicas.node.clock() - since
}
