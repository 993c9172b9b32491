package node

import (
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/raft"
)

// writerQueueSize holds all jobs that a group has pending at once: a save, a compaction, the
// rewrite after a refused write, and the first snapshot of a new group. The queue is therefore never full.
const writerQueueSize = 4

// replicaLog stores the durable state of a replica. Each call returns once its effect is
// synced.
type replicaLog interface {
	// Save persists a Ready. After an error the log must be replaced by Reset.
	Save(r *raft.Ready) error
	// Reset replaces everything by a snapshot, a state and the entries after the snapshot.
	Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error
	// Create replaces a log without a snapshot by the first one of a new group. A restart finds
	// nothing of the group after an error, unless its Execution is unknown.
	Create(snap raft.Snapshot, st raft.HardState) error
	// State returns the last saved state.
	State() raft.HardState
	// Close closes the files.
	Close()
}

// logWriter owns a group's log and runs its jobs one at a time on a goroutine of its own.
type logWriter struct {
	log     replicaLog
	jobs    *ring.Queue[writeJob]
	results *ring.Queue[writeResult]
}

// writeJob is a Ready to save, or a reset of the log if reset is not nil.
type writeJob struct {
	ready raft.Ready
	reset *logReset
	// rewrite marks the reset that repairs the log after a refused write.
	rewrite bool
}

// logReset replaces the log. A nil state keeps the last saved one.
type logReset struct {
	// creates marks the first snapshot of a new group. It has a state and no entries.
	creates  bool
	snapshot raft.Snapshot
	state    *raft.HardState
	entries  []raft.Entry
}

// writeResult is a finished job with its error.
type writeResult struct {
	job writeJob
	err error
}

// newLogWriter returns a writer for a log, which it owns; run executes the jobs.
func newLogWriter(log replicaLog) *logWriter {
	return &logWriter{log: log, jobs: ring.New[writeJob](writerQueueSize), results: ring.New[writeResult](writerQueueSize)}
}

// run executes jobs until stop is closed, and then closes the log.
func (w *logWriter) run(stop <-chan struct{}) {
	defer w.log.Close()
	for {
		select {
		case <-stop:
			return
		case job := <-w.jobs.C():
			w.results.Offer(writeResult{job, w.execute(job)})
		}
	}
}

// execute executes one job and returns its error.
func (w *logWriter) execute(job writeJob) error {
	if job.reset == nil {
		return w.log.Save(&job.ready)
	}
	if job.reset.creates {
		return w.log.Create(job.reset.snapshot, *job.reset.state)
	}
	st := w.log.State()
	if job.reset.state != nil {
		st = *job.reset.state
	}
	return w.log.Reset(job.reset.snapshot, st, job.reset.entries)
}

// resetLogAndWait resets the log and waits for the result. It finishes the jobs queued before.
func (g *group) resetLogAndWait(reset *logReset) error {
	g.writer.jobs.Offer(writeJob{reset: reset})
	for {
		select {
		case <-g.replicas.node.stop:
			return fault.New(fault.Draining, "the node is stopping").WithUnknownExecution()
		case result := <-g.writer.results.C():
			if result.job.reset == reset {
				return result.err
			}
			g.completeWrite(result)
		}
	}
}
