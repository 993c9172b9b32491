package node

import (
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/raft"
)

// writerRing holds all that a group has under way at once: a save, a compaction
// and the first snapshot of a group that is formed. So it is never full.
const writerRing = 4

// replicaLog keeps what a replica must not forget. Each call returns once its
// effect is synced.
type replicaLog interface {
	// Save persists a Ready.
	Save(r *raft.Ready) error
	// Reset replaces everything by a snapshot, a state and the entries after it.
	Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error
	// State returns the state last saved.
	State() raft.HardState
	// Close closes the files.
	Close()
}

// logWriter is the duty that owns a group's log. It does one job after the other.
type logWriter struct {
	log     replicaLog
	jobs    *ring.Queue[writeJob]
	written *ring.Queue[written]
}

// writeJob is a Ready to save, or a reset.
type writeJob struct {
	ready raft.Ready
	reset *logReset
}

// logReset replaces the log. The state is the one last saved if it is nil.
type logReset struct {
	snap  raft.Snapshot
	state *raft.HardState
	tail  []raft.Entry
}

// written is a job that ended.
type written struct {
	job writeJob
	err error
}

func newLogWriter(log replicaLog) *logWriter {
	return &logWriter{log: log, jobs: ring.New[writeJob](writerRing), written: ring.New[written](writerRing)}
}

func (w *logWriter) run(stop <-chan struct{}) {
	defer w.log.Close()
	for {
		select {
		case <-stop:
			return
		case job := <-w.jobs.C():
			w.written.Offer(written{job, w.do(job)})
		}
	}
}

func (w *logWriter) do(job writeJob) error {
	if job.reset == nil {
		return w.log.Save(&job.ready)
	}
	st := w.log.State()
	if job.reset.state != nil {
		st = *job.reset.state
	}
	return w.log.Reset(job.reset.snap, st, job.reset.tail)
}

// writeNow resets the log and waits for it. It ends what was under way before.
func (g *group) writeNow(reset *logReset) error {
	g.writer.jobs.Offer(writeJob{reset: reset})
	for {
		select {
		case <-g.replicas.node.stop:
			return fault.New(fault.Draining, "the node stops")
		case w := <-g.writer.written.C():
			if w.job.reset == reset {
				return w.err
			}
			g.completeWrite(w)
		}
	}
}
