package node

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/internal/wal"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/repair"
)

const (
	raftTick       = 25 * time.Millisecond
	electionTicks  = 20
	heartbeatTicks = 3
	maxBatch       = 256
	inboxSize      = 4096
	drainBatch     = 512
	// compactAfter is how many entries are kept before a snapshot.
	compactAfter = 4096
	// repairEvery is how many ticks lie between two looks at the members.
	repairEvery = 20
	// unsettledEvery is the same while a change of the members is due.
	unsettledEvery = 4
	// caughtUp is how many entries a learner may lack to get a vote.
	caughtUp = 16
	// stallTicks is how long a sync may take before the disk counts as stalled.
	stallTicks = 80
)

// group is one replica of one group: the duty that owns a raft core and its state
// machine. Its folder is its writer's.
type group struct {
	id      int
	r       *replicas
	core    *raft.Core
	writer  *logWriter
	sm      stateMachine
	inbox   *ring.Ring[func()]
	waiters map[uint64]waiter
	reads   map[uint64]chan raft.Read
	waiting []raft.Read
	readID  uint64
	ticks   int
	role    raft.Role
	life    chart.State
	failed  bool
	// compacting tells whether a compaction is being written.
	compacting bool
	// stall is what is known of disks that do not answer.
	stall stallWatch

	leaderAddr atomic.Pointer[string]
	leads      atomic.Bool
	conf       atomic.Pointer[raft.Conf]
	applied    atomic.Uint64
	// settled is false while this replica leads and a change of the members is
	// due, and bears tells whether the group commits on after one more loss.
	settled, bears atomic.Bool
	// exposedSince is since when the group does not bear a loss, and repairTook how
	// long it was so the last time, in nanoseconds.
	exposedSince time.Time
	repairTook   atomic.Int64
	// savingFor is how long the save under way has taken, in nanoseconds, and stalled
	// tells whether a quorum of disks stalls.
	savingFor atomic.Int64
	stalled   atomic.Bool
}

type waiter struct {
	term uint64
	done chan []byte
}

func openGroup(r *replicas, id int, w *logWriter, l wal.Loaded, m stateMachine) (*group, error) {
	g := &group{
		id: id, r: r, writer: w, sm: m, inbox: ring.New[func()](inboxSize),
		waiters: map[uint64]waiter{}, reads: map[uint64]chan raft.Read{},
	}
	g.core = raft.New(raft.Options{
		ID: r.id, Election: electionTicks, Heartbeat: heartbeatTicks, MaxBatch: maxBatch, Stall: stallTicks,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, l.State, l.Snapshot, l.Entries)
	if err := m.restore(l.Snapshot.Data); err != nil {
		return nil, err
	}
	return g, nil
}

// run is the group's duty. It never waits for the disk, so that a replica whose disk
// stalls goes on answering.
func (g *group) run() {
	t := time.NewTicker(raftTick)
	defer t.Stop()
	g.note()
	for {
		select {
		case <-g.r.n.stop:
			return
		case f := <-g.inbox.C():
			f()
			g.drain()
		case w := <-g.writer.written.C():
			g.finish(w)
		case <-t.C:
			g.tick()
		}
		g.work()
	}
}

// drain takes in what else waits, so that one sync serves many commands.
func (g *group) drain() {
	for range drainBatch {
		select {
		case f := <-g.inbox.C():
			f()
		default:
			return
		}
	}
}

func (g *group) tick() {
	g.core.Tick()
	g.ticks++
	g.watchDisks()
	if g.core.Role() != raft.Leader {
		g.settled.Store(true)
		g.exposedSince = time.Time{}
		return
	}
	if g.ticks%unsettledEvery == 0 {
		g.lookAtMembers()
	}
}

// lookAtMembers makes the next change of the membership if one is due. It looks
// closely while the group is not as it should be: between two changes of one
// repair, a further loss can cost the quorum.
func (g *group) lookAtMembers() {
	members, opt := g.members(), g.repairOptions()
	settled := repair.Settled(members, opt)
	g.settled.Store(settled)
	g.noteBearing(repair.BearsLoss(members, opt))
	if settled && g.ticks%repairEvery != 0 {
		return
	}
	g.repair(members, opt)
}

// noteBearing keeps how long the group could not bear a loss.
func (g *group) noteBearing(bears bool) {
	switch {
	case !bears && g.exposedSince.IsZero():
		g.exposedSince = time.Now()
	case bears && !g.exposedSince.IsZero():
		took := time.Since(g.exposedSince)
		g.exposedSince = time.Time{}
		g.repairTook.Store(int64(took))
		g.r.n.event("replica", "Group "+formatUint(uint64(g.id))+": it bears a loss again after "+took.Round(time.Millisecond).String()+".")
	}
	g.bears.Store(bears)
}

// work does what the core wants done, in the order that its promises need.
func (g *group) work() {
	for !g.failed {
		rd := g.core.Ready()
		if rd.Empty() {
			break
		}
		g.r.send(g, rd.Early)
		if rd.Snapshot != nil {
			if err := g.sm.restore(rd.Snapshot.Data); err != nil {
				g.fail(err)
				return
			}
		}
		if rd.MustSave() {
			g.writer.jobs.Offer(writeJob{ready: rd})
		} else {
			g.r.send(g, rd.Messages)
		}
		for i := range rd.Committed {
			g.apply(&rd.Committed[i])
		}
		g.answerReads(rd.Reads)
	}
	g.note()
	g.compact()
}

// finish takes in that the writer ended a job: what waited for it is sent.
func (g *group) finish(w written) {
	switch {
	case g.failed:
	case w.err != nil:
		g.fail(w.err)
	case w.job.reset != nil:
		g.compacting = false
	default:
		g.core.Advance(w.job.ready)
		g.r.send(g, w.job.ready.Messages)
	}
}

// fail stops a replica whose disk does not keep its promises. It must not go
// on: the next start finds the damage and comes back under a new identity.
func (g *group) fail(err error) {
	g.failed = true
	g.happen(diskFailed)
	g.leads.Store(false)
	g.r.n.event("replica", "Stopped, its disk failed: "+err.Error())
}

func (g *group) apply(e *raft.Entry) {
	var result []byte
	if e.Type == raft.EntryData && len(e.Data) > 0 {
		result = g.sm.apply(e.Data)
	}
	w, ok := g.waiters[e.Index]
	if !ok {
		return
	}
	delete(g.waiters, e.Index)
	if w.term != e.Term {
		// Another leader's entry took the place: the command is lost.
		close(w.done)
		return
	}
	w.done <- result
}

func (g *group) answerReads(rs []raft.Read) {
	g.waiting = append(g.waiting, rs...)
	kept := g.waiting[:0]
	for _, r := range g.waiting {
		if r.OK && r.Index > g.core.Applied() {
			kept = append(kept, r)
			continue
		}
		if done := g.reads[r.ID]; done != nil {
			delete(g.reads, r.ID)
			done <- r
		}
	}
	g.waiting = kept
}

// note publishes what other duties may know of the group.
func (g *group) note() {
	g.applied.Store(g.core.Applied())
	g.leads.Store(g.core.Role() == raft.Leader)
	conf := g.core.Conf()
	g.conf.Store(&conf)
	addr := g.r.addrOf(conf, g.core.Leader())
	g.leaderAddr.Store(&addr)
	if role := g.core.Role(); role != g.role {
		if role == raft.Leader || g.role == raft.Leader {
			g.r.n.event("replica", "Group "+formatUint(uint64(g.id))+": this replica is "+role.String()+" in term "+formatUint(g.core.Term())+".")
		}
		g.changeRole(role)
	}
}

// changeRole follows the core. Several messages may be taken in between two looks,
// so a leader that stands again was a follower meanwhile.
func (g *group) changeRole(role raft.Role) {
	if g.role == raft.Leader && role != raft.Follower {
		g.happen(roleEvents[raft.Follower])
	}
	g.happen(roleEvents[role])
	g.role = role
}

// happen takes an event of the replica chart in. A change of role that the
// chart does not have is said so: the chart or the core is wrong.
func (g *group) happen(e chart.Event) {
	next, ok := replicaChart.Next(g.life, e)
	if !ok {
		g.r.n.warn("replica", "A change of role is not in the chart.", "state", replicaChart.Text(g.life))
		return
	}
	g.life = next
}

// compact has the log replaced by a snapshot once it is long. Between two saves the
// core has nothing that is not persisted.
func (g *group) compact() {
	if g.failed || g.compacting || g.core.LogLen() < compactAfter {
		return
	}
	if g.core.Saving() {
		return
	}
	data, err := g.sm.snapshot()
	if err != nil {
		g.r.n.warn("replica", "Cannot make a snapshot.", "err", err)
		return
	}
	snap, ok := g.core.Compact(g.core.Applied(), data)
	if !ok {
		return
	}
	g.compacting = true
	g.writer.jobs.Offer(writeJob{reset: &logReset{snap: snap, tail: g.core.Tail()}})
}

// members is what the decision about the membership looks at.
func (g *group) members() repair.Group {
	conf := g.core.Conf()
	health := map[string]repair.Health{}
	for _, p := range append(append([]raft.Peer(nil), conf.Voters...), conf.Learners...) {
		if ticks, lag, ok := g.core.Silent(p.ID); ok {
			if conf.Voter(p.ID) {
				// A voter whose disk confirms nothing is as good as silent; a learner
				// may be at work on a large snapshot.
				ticks = max(ticks, g.core.Unsaved(p.ID))
			}
			health[p.ID] = repair.Health{Silent: time.Duration(ticks) * raftTick, Lag: lag}
		}
	}
	return repair.Group{Conf: conf, Self: g.r.id, Health: health, Candidates: g.r.verified()}
}

func (g *group) repairOptions() repair.Options {
	o := &g.r.n.opt
	return repair.Options{
		Target: o.Replicas, SuspectAfter: o.SuspectAfter.Duration, ReplaceAfter: o.ReplaceAfter.Duration, MaxLag: caughtUp,
	}
}

// repair makes the next change of the membership, if there is one to make.
func (g *group) repair(members repair.Group, opt repair.Options) {
	if g.core.ConfPending() {
		return
	}
	plan, ok := repair.Next(members, opt)
	if !ok {
		return
	}
	if err := g.core.ProposeConf(plan.Conf); err != nil {
		return
	}
	g.r.n.event("replica", "Group "+formatUint(uint64(g.id))+": "+plan.Reason+".")
}

// post hands f to the group's goroutine; false if it is too far behind.
func (g *group) post(f func()) bool { return g.inbox.Offer(f) }

// propose has a command applied and returns its result.
func (g *group) propose(command []byte, wait time.Duration) ([]byte, error) {
	type start struct {
		result []byte
		err    error
	}
	started := make(chan start, 1)
	done := make(chan []byte, 1)
	ok := g.post(func() {
		if g.core.Role() != raft.Leader || g.failed {
			started <- start{err: fault.New(fault.NotLeader, "this replica does not lead")}
			return
		}
		if voters := len(g.core.Conf().Voters); voters < g.r.n.opt.MinVoters {
			started <- start{err: fault.Newf(fault.NoQuorum, "the group has %d of %d replicas", voters, g.r.n.opt.MinVoters)}
			return
		}
		if g.stall.quorum {
			started <- start{err: fault.New(fault.NoQuorum, "the disks of too many replicas do not answer")}
			return
		}
		result, err := g.sm.check(command)
		if err != nil || result != nil {
			started <- start{result, err}
			return
		}
		index, term, err := g.core.Propose(command)
		if err == nil {
			g.waiters[index] = waiter{term, done}
		}
		started <- start{err: err}
	})
	if !ok {
		return nil, fault.New(fault.Overload, "the replica's inbox is full")
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case s := <-started:
		if s.err != nil || s.result != nil {
			return s.result, s.err
		}
	case <-t.C:
		return nil, fault.New(fault.NoQuorum, "the replica did not answer in time").WithUnknownExecution()
	}
	select {
	case result, ok := <-done:
		if !ok {
			return nil, fault.New(fault.NoQuorum, "the leader changed").WithUnknownExecution()
		}
		return result, nil
	case <-t.C:
		return nil, fault.New(fault.NoQuorum, "no quorum confirmed the command in time").WithUnknownExecution()
	}
}

// read waits until the state machine reflects all that was committed before,
// and runs f on it.
func (g *group) read(wait time.Duration, f func()) error {
	done := make(chan raft.Read, 1)
	ok := g.post(func() {
		g.readID++
		g.reads[g.readID] = done
		g.core.ReadIndex(g.readID)
	})
	if !ok {
		return fault.New(fault.Overload, "the replica's inbox is full")
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-done:
		if !r.OK {
			return fault.New(fault.NotLeader, "this replica does not lead")
		}
	case <-t.C:
		return fault.New(fault.NoQuorum, "no quorum confirmed the read in time")
	}
	ran := make(chan struct{})
	if !g.post(func() { f(); close(ran) }) {
		return fault.New(fault.Overload, "the replica's inbox is full")
	}
	select {
	case <-ran:
		return nil
	case <-t.C:
		return fault.New(fault.NoQuorum, "the replica did not answer in time")
	}
}
