package repair

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// The disk simulation runs raft cores and the repair decisions as the daemon does: a replica
// goes on while it saves, unsynced writes may be lost with its power, and its disk may be slow
// or refuse writes.
const (
	// diskStep is the step of the virtual clock and the delay of a message.
	diskStep = 5 * time.Millisecond
	// diskStallTicks is the value of raft.Options.StallTicks.
	diskStallTicks = 80
	// diskMessageLoss is the part of the messages that a bad network loses.
	diskMessageLoss = 0.02
	// diskCommandInterval is the time between two commands of a busy group, and
	// diskIdleInterval that of an idle one, in which a stalled disk lacks few entries.
	diskCommandInterval, diskIdleInterval = 50 * time.Millisecond, time.Second
	// diskSaveRetry is the time after which a refused save is tried again.
	diskSaveRetry = 100 * time.Millisecond
	// diskCheckTicks and diskSettledCheckTicks are the ticks between the repair decisions of a
	// group that is being repaired, and of a settled one.
	diskCheckTicks, diskSettledCheckTicks = 4, 20
	// diskVerifyInterval and diskSettledVerifyInterval are the times between checks of the
	// replicas' identities. A check lasts diskVerifyWait if a replica does not answer; that one
	// counts as confirmed for another diskVerifyTimeout.
	diskVerifyInterval, diskSettledVerifyInterval = 100 * time.Millisecond, 500 * time.Millisecond
	diskVerifyWait, diskVerifyTimeout             = 200 * time.Millisecond, time.Second
	// diskForgetTime is the time until the others no longer ask a lost replica.
	diskForgetTime = 6 * time.Second
	// diskCommitBound is the time from the last return to an accepted command.
	diskCommitBound = 5 * time.Second
	// diskStallNotice is the time after which a leader must have noticed that a learner's disk
	// confirms nothing.
	diskStallNotice = 500 * time.Millisecond
	// diskNormalSync is the longest sync of a disk of normal speed.
	diskNormalSync = 10 * time.Millisecond
	// diskRepairBound is the time from the start of a lost replica's successor until the next
	// loss is tolerated, with disks of normal speed.
	diskRepairBound = 4 * time.Second
)

// diskDraws is the number of seeds for a group of three, for long runs by hand.
var diskDraws = flag.Int("disk-draws", 30, "sequences of disk failures for a group of three; fewer for larger ones")

// diskScenario describes the groups of a simulation.
type diskScenario struct {
	available, voters int
	// slowest is the longest sync; syncs take from 1 ms to it.
	slowest time.Duration
	// stopsWhenRefused makes a replica stop for good when its disk refuses a write.
	stopsWhenRefused bool
	kinds            []string
	// syncOf holds the time of each sync of particular replicas, and delayOf the additional
	// delay of each message from and to them.
	syncOf, delayOf map[string]time.Duration
}

// diskReplica is a replica with its process and its disk.
type diskReplica struct {
	raft.Peer
	core *raft.Core
	// state, snap and entries are the synced contents of the disk.
	state   raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
	// save is the save in progress, which ends at saveEnd.
	save    *raft.Ready
	saveEnd time.Duration
	// running is false while the machine has no power. A stopped replica still confirms its
	// identity, but takes no part in the group. A frozen one does neither.
	running, stopped, frozen bool
	// cutOff is set while no message passes between it and replicas that are not cut off.
	cutOff bool
	// startedAt is when it was started, and silentFrom when it last went silent.
	startedAt, silentFrom     time.Duration
	refusesFrom, refusesUntil time.Duration
	tickOffset                time.Duration
	ticks                     int
	// candidates are the replicas whose identity it has confirmed as the leader.
	candidates       []raft.Peer
	verifyAt         time.Duration
	pendingCandidate []raft.Peer
	settled          bool
}

// diskGroup simulates a group in virtual time.
type diskGroup struct {
	diskScenario
	rng      *rand.Rand
	clock    time.Duration
	replicas []*diskReplica
	inFlight []raft.Message
	// delayed are the messages over slow links.
	delayed     []delayedMessage
	nextCommand time.Duration
	// messageLoss is the part of the messages that the network loses.
	messageLoss float64
	// commandInterval is the time between two commands.
	commandInterval time.Duration
	commands        int
	// guarded is set while a quorum of voters is sound, so that commands must be accepted.
	guarded bool
	// guardedSince is the time of the last command accepted while guarded, or of its start.
	guardedSince time.Duration
	// proposed holds the term and the time of proposed commands, and acked the acknowledged
	// entries, both by index.
	proposed map[uint64]diskProposal
	acked    map[uint64]string
	lastAck  time.Duration
	// lastAckProposed is when the latest acknowledged command was proposed.
	lastAckProposed time.Duration
	// silentUntil is the time until which leaders still ask addresses that nobody has any more.
	silentUntil time.Duration
	// lost are the lost replicas that leaders still take for confirmed.
	lost       []diskLostPeer
	successors int
	plans      []string
	err        error
}

// delayedMessage is a message with its arrival time.
type delayedMessage struct {
	arrival time.Duration
	raft.Message
}

// diskProposal is a proposed command.
type diskProposal struct {
	term uint64
	at   time.Duration
}

// diskLostPeer is a lost replica that counts as confirmed until a time.
type diskLostPeer struct {
	raft.Peer
	until time.Duration
}

// errDisk marks a broken promise.
var errDisk = errors.New("promise broken")

// fail records the first broken promise.
func (f *diskGroup) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%w at %v: %s; %s; last changes: %s", errDisk, f.clock, fmt.Sprintf(format, args...), f.describe(),
			strings.Join(f.plans[max(0, len(f.plans)-6):], " | "))
	}
}

// newDiskGroup returns a formed group; replicas beyond the voters stand by.
func newDiskGroup(seed uint64, s diskScenario) *diskGroup {
	f := &diskGroup{diskScenario: s, rng: rand.New(rand.NewPCG(seed, 11)), proposed: map[uint64]diskProposal{}, acked: map[uint64]string{}}
	if f.rng.IntN(2) == 0 {
		f.messageLoss = diskMessageLoss
	}
	f.commandInterval = diskCommandInterval
	if f.rng.IntN(2) == 0 {
		f.commandInterval = diskIdleInterval
	}
	var conf raft.Conf
	for i := range s.available {
		p := raft.Peer{ID: fmt.Sprintf("r%d", i), Addr: fmt.Sprintf("a%d", i), Domain: fmt.Sprintf("d%d", i%s.voters)}
		if i < s.voters {
			conf.Voters = append(conf.Voters, p)
		}
		f.replicas = append(f.replicas, &diskReplica{Peer: p})
	}
	for i, r := range f.replicas {
		if i < s.voters {
			r.snap, r.state = raft.Snapshot{Index: 1, Term: 1, Conf: conf}, raft.HardState{Term: 1, Commit: 1}
		}
		f.start(r)
	}
	return f
}

// options returns the options of the repair decision.
func (f *diskGroup) options() Options {
	return Options{TargetVoters: f.voters, SuspectAfter: 600 * time.Millisecond, ReplaceAfter: 2 * time.Second, MaxLag: 16}
}

// start starts a replica from its disk.
func (f *diskGroup) start(r *diskReplica) {
	r.running, r.stopped, r.frozen, r.startedAt = true, false, false, f.clock
	r.save, r.candidates, r.pendingCandidate, r.verifyAt = nil, nil, nil, 0
	r.tickOffset = diskStep * time.Duration(f.rng.IntN(int(simTick/diskStep)))
	r.core = raft.New(raft.Options{
		ID: r.ID, ElectionTicks: 20, HeartbeatTicks: 3, MaxBatchEntries: 256, StallTicks: diskStallTicks, Rand: f.rng,
	}, r.state, r.snap, slices.Clone(r.entries))
}

// losePower ends a replica's process. The save in progress reaches its disk or not.
func (f *diskGroup) losePower(r *diskReplica) {
	if r.save != nil && f.clock >= r.refusesUntil && f.rng.IntN(2) == 0 {
		r.persist(r.save)
	}
	r.running, r.save, r.silentFrom = false, nil, f.clock
}

// persist writes a Ready to the disk.
func (r *diskReplica) persist(rd *raft.Ready) {
	if rd.Snapshot != nil {
		r.snap, r.entries = *rd.Snapshot, nil
	}
	for _, e := range rd.Entries {
		at := e.Index - r.snap.Index - 1
		r.entries = append(r.entries[:at:at], e)
	}
	if rd.State != nil {
		r.state = *rd.State
	}
}

// isActive reports whether a replica takes part in its group.
func (r *diskReplica) isActive() bool { return r.running && !r.stopped && !r.frozen }

// processReady does the pending work of a replica.
func (f *diskGroup) processReady(r *diskReplica) {
	for r.isActive() {
		rd := r.core.Ready()
		if rd.Empty() {
			break
		}
		f.inFlight = append(f.inFlight, rd.ImmediateMessages...)
		for _, e := range rd.Committed {
			f.apply(r, e)
		}
		if !rd.MustSave() {
			f.inFlight = append(f.inFlight, rd.Messages...)
			continue
		}
		r.save, r.saveEnd = &rd, f.clock
		synced := rd.State != nil && (rd.State.Term != r.state.Term || rd.State.Vote != r.state.Vote)
		if synced || len(rd.Entries) > 0 || rd.Snapshot != nil {
			r.saveEnd += f.syncTime(r)
		}
		f.finishSave(r)
	}
	if r.isActive() && !r.core.Saving() && r.core.LogLen() > 2*compactAfterEntries {
		if snap, ok := r.core.Compact(r.core.Applied(), nil); ok {
			r.snap, r.entries = snap, r.core.EntriesAfterSnapshot()
		}
	}
}

// syncTime returns the duration of a replica's next sync.
func (f *diskGroup) syncTime(r *diskReplica) time.Duration {
	if d, ok := f.syncOf[r.ID]; ok {
		return d
	}
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(f.slowest)))
}

// finishSave ends the save in progress once it is due, unless the disk refuses it.
func (f *diskGroup) finishSave(r *diskReplica) {
	if r.save == nil || r.saveEnd > f.clock {
		return
	}
	if f.clock < r.refusesUntil {
		r.stopped = f.stopsWhenRefused
		r.saveEnd = f.clock + diskSaveRetry
		return
	}
	rd := *r.save
	r.save = nil
	r.persist(&rd)
	r.core.Advance(rd)
	f.inFlight = append(f.inFlight, rd.Messages...)
}

// apply checks that replicas apply the same entries, and acknowledges those that are applied in
// the term of their proposal.
func (f *diskGroup) apply(r *diskReplica, e raft.Entry) {
	text := fmt.Sprintf("%d/%d/%s", e.Term, e.Type, e.Data)
	if old, ok := f.acked[e.Index]; ok && old != text {
		f.fail("index %d: %s applies %q, acknowledged %q", e.Index, r.ID, text, old)
	}
	p, ok := f.proposed[e.Index]
	if !ok || p.term != e.Term || r.core.Role() != raft.Leader {
		return
	}
	f.acked[e.Index] = text
	f.lastAck, f.lastAckProposed = f.clock, max(f.lastAckProposed, p.at)
	delete(f.proposed, e.Index)
}

// arrivingMessages returns the messages that arrive in this step.
func (f *diskGroup) arrivingMessages() []raft.Message {
	var arriving []raft.Message
	for _, m := range f.inFlight {
		if d := max(f.delayOf[m.From], f.delayOf[m.To]); d > 0 {
			f.delayed = append(f.delayed, delayedMessage{f.clock + d, m})
		} else {
			arriving = append(arriving, m)
		}
	}
	f.inFlight = nil
	var later []delayedMessage
	for _, m := range f.delayed {
		if m.arrival > f.clock {
			later = append(later, m)
		} else {
			arriving = append(arriving, m.Message)
		}
	}
	f.delayed = later
	return arriving
}

// advance runs the simulation for one step.
func (f *diskGroup) advance() {
	f.clock += diskStep
	msgs := f.arrivingMessages()
	for _, m := range msgs {
		from, to := f.replica(m.From), f.replica(m.To)
		if from != nil && to != nil && from.cutOff != to.cutOff {
			continue
		}
		if to != nil && to.isActive() && f.rng.Float64() >= f.messageLoss {
			to.core.Step(m)
		}
	}
	for _, r := range f.replicas {
		if !r.isActive() {
			continue
		}
		f.finishSave(r)
		if r.isActive() && f.clock%simTick == r.tickOffset {
			f.tick(r)
		}
		f.processReady(r)
	}
	if f.guarded && f.clock-max(f.guardedSince, f.lastAck) > diskCommitBound {
		f.fail("no command was accepted for %v although a quorum is sound", diskCommitBound)
	}
	if l := f.leader(); l != nil && f.clock >= f.nextCommand {
		f.nextCommand = f.clock + f.commandInterval
		f.commands++
		if i, term, err := l.core.Propose([]byte(fmt.Sprint(f.commands))); err == nil {
			f.proposed[i] = diskProposal{term, f.clock}
		}
		f.processReady(l)
	}
}

// tick advances a replica's clock; a leader decides on the membership.
func (f *diskGroup) tick(r *diskReplica) {
	r.core.Tick()
	r.ticks++
	if r.core.Role() != raft.Leader {
		r.candidates, r.pendingCandidate, r.verifyAt, r.settled = nil, nil, 0, true
		return
	}
	f.verifyCandidates(r)
	if r.ticks%diskCheckTicks == 0 {
		f.repair(r)
	}
}

// verifyCandidates lets a leader ask the known replicas for their identities.
func (f *diskGroup) verifyCandidates(l *diskReplica) {
	if f.clock < l.verifyAt {
		return
	}
	if l.verifyAt > 0 {
		l.candidates = l.pendingCandidate
	}
	l.pendingCandidate = nil
	conf := l.core.Conf()
	atVoter := func(p raft.Peer) bool {
		return slices.ContainsFunc(conf.Voters, func(v raft.Peer) bool { return v.Addr == p.Addr })
	}
	answered := f.clock >= f.silentUntil
	for _, p := range f.lost {
		if f.clock < p.until && !slices.ContainsFunc(f.replicas, func(r *diskReplica) bool { return r.Addr == p.Addr }) {
			l.pendingCandidate = append(l.pendingCandidate, p.Peer)
		}
	}
	for _, r := range f.replicas {
		switch known := f.clock >= max(r.startedAt, l.startedAt)+simDiscoveryDelay; {
		case !r.running || r.frozen || r.cutOff != l.cutOff:
			answered = false
			if f.clock < r.silentFrom+diskVerifyTimeout && slices.Contains(l.candidates, r.Peer) {
				l.pendingCandidate = append(l.pendingCandidate, r.Peer)
			}
		case known || atVoter(r.Peer):
			l.pendingCandidate = append(l.pendingCandidate, r.Peer)
		}
	}
	wait := diskSettledVerifyInterval
	if !l.settled {
		wait = diskVerifyInterval
	}
	if !answered {
		wait += diskVerifyWait
	}
	l.verifyAt = f.clock + wait
}

// diskDuration converts ticks, which may be math.MaxInt.
func diskDuration(ticks int) time.Duration { return time.Duration(min(ticks, 1<<20)) * simTick }

// repair makes a leader's periodic decision on the membership.
func (f *diskGroup) repair(l *diskReplica) {
	g := GroupStatus{Conf: l.core.Conf(), LeaderID: l.ID, Health: map[string]Health{}, Candidates: l.candidates}
	for _, p := range slices.Concat(g.Conf.Voters, g.Conf.Learners) {
		if silent, lag, ok := l.core.PeerStatus(p.ID); ok {
			g.Health[p.ID] = Health{
				SilentFor: diskDuration(silent), UnsavedFor: diskDuration(l.core.UnsavedTicks(p.ID)),
				SavedAgo: diskDuration(l.core.SavedTicks(p.ID)), Lag: lag,
			}
		}
	}
	l.settled = Settled(g, f.options())
	if l.settled && l.ticks%diskSettledCheckTicks != 0 || l.core.ConfPending() {
		return
	}
	if p, ok := NextChange(g, f.options()); ok && l.core.ProposeConf(p.Conf) == nil {
		f.checkPromotion(g.Conf, p.Conf)
		f.plans = append(f.plans, fmt.Sprintf("%v %s: %s", f.clock, l.ID, p.Reason))
	}
}

// checkPromotion checks that no learner is promoted whose disk has refused writes for a while. A
// promotion right after the refusal may stop the group until the disk takes writes again.
func (f *diskGroup) checkPromotion(before, after raft.Conf) {
	for _, v := range after.Voters {
		r := f.replica(v.ID)
		if before.IsVoter(v.ID) || r == nil || f.clock >= r.refusesUntil {
			continue
		}
		if d := f.clock - r.refusesFrom; d > diskStallNotice {
			f.fail("%s was promoted although its disk has refused writes for %v", r.ID, d)
		}
		f.guarded = false
	}
}

// refuse makes the disk of a replica refuse writes for d.
func (f *diskGroup) refuse(r *diskReplica, d time.Duration) {
	r.refusesFrom, r.refusesUntil = f.clock, f.clock+d
}

// replica returns the replica with an identity, nil if there is none.
func (f *diskGroup) replica(id string) *diskReplica {
	for _, r := range f.replicas {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// leader returns the active leader of the highest term.
func (f *diskGroup) leader() *diskReplica {
	var best *diskReplica
	for _, r := range f.replicas {
		if r.isActive() && r.core.Role() == raft.Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// toleratesLoss reports whether a quorum with sound disks is left after any one more loss. It
// looks at the replicas and not at what the leader knows of them.
func (f *diskGroup) toleratesLoss() bool {
	l := f.leader()
	if l == nil || l.core.ConfPending() {
		return false
	}
	voters := l.core.Conf().Voters
	sound := 0
	for _, v := range voters {
		r := f.replica(v.ID)
		if r != nil && r.isActive() && f.clock >= r.refusesUntil && r.core.Commit()+f.options().MaxLag >= l.core.Commit() {
			sound++
		}
	}
	return sound > len(voters)/2+1
}

// describe returns the state of the group for failure messages.
func (f *diskGroup) describe() string {
	var parts []string
	for _, r := range f.replicas {
		state := "off"
		switch {
		case r.stopped:
			state = "stopped"
		case r.frozen:
			state = "frozen"
		case r.running:
			conf := r.core.Conf()
			state = fmt.Sprintf("%v in term %d, commit %d, pending %v, voters %s, learners %s",
				r.core.Role(), r.core.Term(), r.core.Commit(), r.core.ConfPending(), peerIDs(conf.Voters), peerIDs(conf.Learners))
		}
		parts = append(parts, r.ID+" "+state)
	}
	return strings.Join(parts, "; ")
}

// peerIDs returns the identities of replicas.
func peerIDs(ps []raft.Peer) string {
	var ids []string
	for _, p := range ps {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// runFor runs the simulation for d.
func (f *diskGroup) runFor(d time.Duration) {
	for end := f.clock + d; f.clock < end && f.err == nil; {
		f.advance()
	}
}

// waitFor runs the simulation until done returns true and returns the time taken. It fails after
// the bound.
func (f *diskGroup) waitFor(what string, bound time.Duration, done func() bool) time.Duration {
	from := f.clock
	for !done() && f.err == nil {
		if f.clock-from > bound {
			f.fail("not within %v: %s", bound, what)
		}
		f.advance()
	}
	return f.clock - from
}

// draw returns a random duration from lo to hi.
func (f *diskGroup) draw(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

// victim returns a random active voter, the leader in one of three cases.
func (f *diskGroup) victim() *diskReplica {
	l := f.leader()
	if l == nil {
		return f.replicas[f.rng.IntN(len(f.replicas))]
	}
	voters := l.core.Conf().Voters
	if v := f.replica(voters[f.rng.IntN(len(voters))].ID); v != nil && f.rng.IntN(3) > 0 {
		return v
	}
	return l
}

// spare returns a learner, or a random replica that is no member, nil if there is none.
func (f *diskGroup) spare() *diskReplica {
	l := f.leader()
	if l == nil {
		return nil
	}
	conf := l.core.Conf()
	if len(conf.Learners) > 0 {
		return f.replica(conf.Learners[f.rng.IntN(len(conf.Learners))].ID)
	}
	for _, i := range f.rng.Perm(len(f.replicas)) {
		if r := f.replicas[i]; !conf.IsVoter(r.ID) {
			return r
		}
	}
	return nil
}

// succeed puts a new replica with an empty disk in the place of a lost one, and starts it.
func (f *diskGroup) succeed(lost *diskReplica, addr string) *diskReplica {
	f.successors++
	r := &diskReplica{Peer: raft.Peer{ID: fmt.Sprintf("n%d", f.successors), Addr: addr, Domain: lost.Domain}, cutOff: lost.cutOff}
	f.replicas = append(f.replicas, r)
	f.start(r)
	return r
}

// remove removes a replica and its disk.
func (f *diskGroup) remove(lost *diskReplica) {
	f.replicas = slices.DeleteFunc(f.replicas, func(r *diskReplica) bool { return r == lost })
	f.silentUntil = f.clock + diskForgetTime
	f.lost = append(f.lost, diskLostPeer{lost.Peer, f.clock + diskVerifyTimeout})
}

// diskFailures holds the kinds of failures. Each returns once all replicas or their successors run.
var diskFailures = map[string]func(f *diskGroup){
	"wiped": func(f *diskGroup) {
		v := f.victim()
		f.remove(v)
		f.runFor(f.draw(300*time.Millisecond, 4*time.Second))
		f.succeed(v, v.Addr)
	},
	"replaced": func(f *diskGroup) {
		v := f.victim()
		f.remove(v)
		f.runFor(f.draw(300*time.Millisecond, 4*time.Second))
		f.succeed(v, v.Addr+"'")
	},
	"killed": func(f *diskGroup) {
		v := f.victim()
		f.losePower(v)
		f.runFor(f.draw(300*time.Millisecond, 8*time.Second))
		f.start(v)
	},
	"frozen": func(f *diskGroup) {
		v := f.victim()
		v.frozen, v.silentFrom = true, f.clock
		f.runFor(f.draw(300*time.Millisecond, 8*time.Second))
		v.frozen = false
	},
	"refuses": func(f *diskGroup) {
		v := f.victim()
		if f.rng.IntN(4) == 0 {
			v = f.replicas[f.rng.IntN(len(f.replicas))]
		}
		d := f.draw(time.Second, 8*time.Second)
		f.refuse(v, d)
		f.runFor(d)
	},
	// The voter that is lost leaves a quorum of sound voters; the disk that refuses writes is not
	// one of theirs, but possibly that of the replacement.
	"lost while a spare refuses": func(f *diskGroup) {
		v := f.victim()
		f.remove(v)
		f.runFor(f.draw(0, 3*time.Second))
		d := f.draw(time.Second, 12*time.Second)
		if spare := f.spare(); spare != nil {
			f.refuse(spare, d)
		}
		f.runFor(d)
		f.succeed(v, v.Addr)
	},
	"dark": func(f *diskGroup) { f.goDark(f.victim()) },
	// The membership changes while one replica is away for longer than it may be silent.
	"dark during repair": func(f *diskGroup) {
		away := f.victim()
		f.losePower(away)
		f.runFor(f.draw(500*time.Millisecond, 3500*time.Millisecond))
		for range 8 {
			if v := f.victim(); v != away {
				f.goDark(v)
				return
			}
		}
		f.start(away)
	},
	// The disk that was lost is lost again while its replacement is taken in, alone or with the
	// power of all others.
	"wiped again": func(f *diskGroup) {
		v := f.victim()
		f.remove(v)
		f.runFor(f.draw(300*time.Millisecond, 2*time.Second))
		again := f.succeed(v, v.Addr)
		f.runUntilMember(again)
		if f.rng.IntN(2) == 0 {
			f.goDarkAtOnce(again)
			return
		}
		f.remove(again)
		f.runFor(f.draw(300*time.Millisecond, 2*time.Second))
		f.succeed(again, again.Addr)
	},
	// One half is cut off from the other, and meanwhile a disk is lost or all replicas lose their
	// power and one its disk. Service may be suspended until all are back.
	"dark while cut": func(f *diskGroup) {
		for range 1 + f.rng.IntN(len(f.replicas)/2) {
			f.cutOff(f.victim())
		}
		f.runFor(f.draw(0, 4*time.Second))
		if v := f.victim(); f.rng.IntN(2) == 0 {
			f.goDarkAtOnce(v)
		} else {
			f.remove(v)
			f.runFor(f.draw(300*time.Millisecond, 2*time.Second))
			f.succeed(v, v.Addr)
		}
		f.runFor(f.draw(0, 2*time.Second))
		for _, r := range f.replicas {
			r.cutOff, r.silentFrom = false, f.clock
		}
	},
	// All lose power while the replacement of a lost disk is taken in; no further disk is lost.
	"dark while a replacement joins": func(f *diskGroup) {
		v := f.victim()
		f.remove(v)
		f.runFor(f.draw(300*time.Millisecond, 2*time.Second))
		f.runUntilMember(f.succeed(v, v.Addr))
		f.goDarkAtOnce(nil)
	},
	"restarts in series": func(f *diskGroup) {
		for _, r := range slices.Clone(f.replicas) {
			f.losePower(r)
			f.runFor(f.draw(300*time.Millisecond, 1500*time.Millisecond))
			f.start(r)
			f.runFor(diskRepairBound)
		}
	},
}

// goDark cuts the power of all replicas soon after an acknowledged command, takes the disk of one
// of them, and lets them return in any order.
func (f *diskGroup) goDark(lost *diskReplica) {
	if acked := f.lastAck; f.leader() != nil {
		for limit := f.clock + time.Second; f.lastAck == acked && f.clock < limit && f.err == nil; {
			f.advance()
		}
	}
	f.runFor(diskStep * time.Duration(f.rng.IntN(12)))
	f.goDarkAtOnce(lost)
}

// cutOff cuts a replica off from all others that are not.
func (f *diskGroup) cutOff(r *diskReplica) { r.cutOff, r.silentFrom = true, f.clock }

// maxMemberWait bounds the wait for a replacement to be taken in.
const maxMemberWait = 3 * time.Second

// runUntilMember runs the simulation until the leader has just made r a learner or, as often, a
// voter, and for up to two decisions on the membership more.
func (f *diskGroup) runUntilMember(r *diskReplica) {
	joined := raft.Conf.IsLearner
	if f.rng.IntN(2) == 0 {
		joined = raft.Conf.IsVoter
	}
	for limit := f.clock + maxMemberWait; f.clock < limit && f.err == nil; {
		if l := f.leader(); l != nil && joined(l.core.Conf(), r.ID) {
			break
		}
		f.advance()
	}
	f.runFor(diskStep * time.Duration(f.rng.IntN(2*diskCheckTicks*int(simTick/diskStep))))
}

// goDarkAtOnce cuts the power of all replicas, takes the disk of one of them unless it is nil, and
// lets them return in any order.
func (f *diskGroup) goDarkAtOnce(lost *diskReplica) {
	returns := map[*diskReplica]time.Duration{}
	last := f.clock
	for _, r := range f.replicas {
		if r.running {
			f.losePower(r)
		}
		returns[r] = f.clock + f.draw(300*time.Millisecond, 2*time.Second)
		last = max(last, returns[r])
	}
	for f.clock < last && f.err == nil {
		f.runFor(diskStep)
		for _, r := range slices.Clone(f.replicas) {
			at, ok := returns[r]
			switch {
			case !ok || f.clock < at || r.running:
			case r == lost:
				f.remove(r)
				f.succeed(r, r.Addr)
			default:
				f.start(r)
			}
		}
	}
}

// diskTimes are what a simulation measures after each failure, from the last return.
type diskTimes struct {
	// accepted is the time until a new command is acknowledged, repaired the time until the
	// next loss is tolerated.
	accepted, repaired []time.Duration
	// repairedByKind holds repaired by the kind of the failure.
	repairedByKind map[string][]time.Duration
}

// add appends the times of another simulation.
func (t *diskTimes) add(o diskTimes) {
	t.accepted = append(t.accepted, o.accepted...)
	t.repaired = append(t.repaired, o.repaired...)
	for kind, d := range o.repairedByKind {
		t.repairedByKind[kind] = append(t.repairedByKind[kind], d...)
	}
}

// sort sorts all times.
func (t *diskTimes) sort() {
	slices.Sort(t.accepted)
	slices.Sort(t.repaired)
	for _, d := range t.repairedByKind {
		slices.Sort(d)
	}
}

// runDiskFailures simulates a series of failures at the allowed spacing. It returns the first
// broken promise.
func runDiskFailures(seed uint64, s diskScenario, losses int) (diskTimes, error) {
	f := newDiskGroup(seed, s)
	times := diskTimes{repairedByKind: map[string][]time.Duration{}}
	f.waitFor("a first command", diskCommitBound, func() bool { return f.lastAck > 0 })
	f.runFor(2 * time.Second)
	for range losses {
		kind := s.kinds[f.rng.IntN(len(s.kinds))]
		f.plans = append(f.plans, fmt.Sprintf("%v [%s]", f.clock, kind))
		f.guarded, f.guardedSince = !strings.HasPrefix(kind, "dark") && kind != "wiped again", f.clock
		diskFailures[kind](f)
		f.guarded = false
		returned := f.clock
		f.plans = append(f.plans, fmt.Sprintf("%v [all returned]", f.clock))
		took := f.waitFor("a new command", diskCommitBound, func() bool { return f.lastAckProposed >= returned })
		times.accepted = append(times.accepted, took)
		tolerant := f.clock
		for !f.toleratesLoss() && f.clock < returned+2*diskRepairBound && f.err == nil {
			f.advance()
			tolerant = f.clock
		}
		times.repaired = append(times.repaired, tolerant-returned)
		times.repairedByKind[kind] = append(times.repairedByKind[kind], tolerant-returned)
		if tolerant-returned > diskRepairBound && s.slowest <= diskNormalSync {
			f.fail("%v after the return the next loss is not tolerated", tolerant-returned)
		}
		f.runFor(max(0, returned+diskRepairBound-f.clock))
		if f.rng.IntN(2) == 0 {
			f.runFor(f.draw(0, 2*time.Second))
		}
		if f.err != nil {
			return times, f.err
		}
	}
	f.runFor(2 * time.Second)
	f.checkAcked()
	return times, f.err
}

// checkAcked checks that each voter has applied all acknowledged entries; apply compares them.
func (f *diskGroup) checkAcked() {
	last := uint64(0)
	for i := range f.acked {
		last = max(last, i)
	}
	f.nextCommand = f.clock + time.Minute
	f.runFor(2 * time.Second)
	l := f.leader()
	if l == nil {
		f.fail("no leader")
		return
	}
	for _, v := range l.core.Conf().Voters {
		if r := f.replica(v.ID); r != nil && r.isActive() && r.core.Applied() < last {
			f.fail("%s lacks acknowledged entries up to %d", v.ID, last)
		}
	}
}

// runDiskDraws runs many simulations side by side and returns the measured times, sorted, and the
// errors by seed.
func runDiskDraws(draws int, s diskScenario, losses int) (diskTimes, map[uint64]error) {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
		all   = diskTimes{repairedByKind: map[string][]time.Duration{}}
	)
	errs := map[uint64]error{}
	slots := make(chan struct{}, 3)
	for seed := range uint64(draws) {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; group.Done() }()
			times, err := runDiskFailures(seed, s, losses)
			mu.Lock()
			defer mu.Unlock()
			all.add(times)
			if err != nil {
				errs[seed] = err
			}
		}()
	}
	group.Wait()
	all.sort()
	return all, errs
}

// distribution formats sorted durations.
func distribution(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d: median %v, 90%% %v, 99%% %v, max %v", len(d), d[len(d)/2], d[len(d)*9/10], d[len(d)*99/100], d[len(d)-1])
}

// diskGroups are the simulated group sizes: available replicas and voters.
var diskGroups = []struct{ available, voters int }{{3, 3}, {4, 3}, {5, 5}, {12, 5}}

// allDiskKinds are the kinds of failures that a group must tolerate at the allowed spacing.
var allDiskKinds = []string{"dark", "dark during repair", "dark while a replacement joins", "dark while cut", "frozen", "killed", "lost while a spare refuses", "refuses", "replaced", "restarts in series", "wiped", "wiped again"}

// Losses in series must neither leave a group without a leader nor take an acknowledged command,
// also if a disk refused writes or all replicas lost power with one of the disks.
func TestDiskFailuresInSeriesAreTolerated(t *testing.T) {
	const losses = 5
	for _, slowest := range []time.Duration{diskNormalSync, 300 * time.Millisecond} {
		for _, n := range diskGroups {
			t.Run(fmt.Sprintf("%d of %d, syncs to %v", n.voters, n.available, slowest), func(t *testing.T) {
				s := diskScenario{available: n.available, voters: n.voters, slowest: slowest, kinds: allDiskKinds}
				times, errs := runDiskDraws(max(1, *diskDraws*3/n.available), s, losses)
				for seed, err := range errs {
					t.Errorf("seed %d: %v", seed, err)
				}
				t.Logf("until a command is accepted: %s", distribution(times.accepted))
				t.Logf("until the next loss is tolerated: %s", distribution(times.repaired))
				for _, kind := range s.kinds {
					t.Logf("  after %q: %s", kind, distribution(times.repairedByKind[kind]))
				}
			})
		}
	}
}

// A replica that stops for good once its disk refused a write leaves a group of three that no
// longer tolerates a loss. The simulation must find that, or it would not find its like.
func TestSimulationFindsReplicasStoppedByTheirDisk(t *testing.T) {
	const draws, losses = 20, 5
	s := diskScenario{available: 3, voters: 3, slowest: diskNormalSync, kinds: allDiskKinds, stopsWhenRefused: true}
	_, errs := runDiskDraws(draws, s, losses)
	if len(errs) == 0 {
		t.Errorf("none of %d draws found the fault", draws)
	}
	for seed := range uint64(draws) {
		if err := errs[seed]; err != nil {
			t.Logf("first found by draw %d of %d, by %d in all: %v", seed+1, draws, len(errs), err)
			return
		}
	}
}
