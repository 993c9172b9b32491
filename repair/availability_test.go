package repair

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// The simulation runs real raft cores and the real repair decisions in virtual time, with a
// sequence of replica failures. The group must keep committing during each of them.
const (
	// simTick is the tick interval of the replicas.
	simTick = 25 * time.Millisecond
	// simDiscoveryDelay is the delay until the leader learns of a new replica.
	simDiscoveryDelay = 800 * time.Millisecond
	// simRestartTime is the restart time of a process.
	simRestartTime = 500 * time.Millisecond
	// simFailureInterval is the minimum time between the end of a failure and the next one.
	simFailureInterval = 4 * time.Second
	// simMaxElectionTime is the maximum time without commits after the loss of the leader.
	simMaxElectionTime = 3 * time.Second
	// simSettledInterval and simUnsettledInterval are the intervals between repair checks
	// of a settled and of any other group.
	simSettledInterval, simUnsettledInterval = 500 * time.Millisecond, 100 * time.Millisecond
)

// simReplica is a replica and its disk.
type simReplica struct {
	raft.Peer
	core         *raft.Core
	state        raft.HardState
	snap         raft.Snapshot
	entries      []raft.Entry
	discoveredAt time.Duration
	// running is false while the process is down. A frozen replica receives its inbox only
	// when it resumes; an isolated one neither sends nor receives messages.
	running, frozen, isolated bool
	inbox                     []raft.Message
}

// simGroup simulates the replicas of a group and their network.
type simGroup struct {
	t        *testing.T
	rng      *rand.Rand
	clock    time.Duration
	replicas []*simReplica
	inFlight []raft.Message
	// acked holds the acknowledged entries, and proposedTerms the terms of proposed
	// commands, both by index.
	acked           map[uint64]string
	proposedTerms   map[uint64]uint64
	lastAck         time.Duration
	ticksWithLeader int
	replacements    int
	nextRepair      time.Duration
	options         Options
	removedVoters   int
}

// newSimGroup returns replicas in separate failure domains, the first of them voters.
func newSimGroup(t *testing.T, seed uint64, domains int, o Options) *simGroup {
	f := &simGroup{t: t, rng: rand.New(rand.NewPCG(seed, 7)), acked: map[uint64]string{}, proposedTerms: map[uint64]uint64{}, options: o}
	var conf raft.Conf
	for i := range domains {
		p := raft.Peer{ID: fmt.Sprintf("r%d", i), Addr: fmt.Sprintf("a%d", i), Domain: fmt.Sprintf("d%d", i)}
		r := &simReplica{Peer: p}
		if i < o.TargetVoters {
			conf.Voters = append(conf.Voters, p)
		}
		f.replicas = append(f.replicas, r)
	}
	for i, r := range f.replicas {
		if i < o.TargetVoters {
			r.snap, r.state = raft.Snapshot{Index: 1, Term: 1, Conf: conf}, raft.HardState{Term: 1, Commit: 1}
		}
		f.start(r)
	}
	return f
}

// start starts a replica from its disk.
func (f *simGroup) start(r *simReplica) {
	r.running = true
	r.core = raft.New(raft.Options{ID: r.ID, ElectionTicks: 20, HeartbeatTicks: 3, MaxBatchEntries: 256, Rand: f.rng}, r.state, r.snap, slices.Clone(r.entries))
}

// processReady does the pending work of a replica.
func (f *simGroup) processReady(r *simReplica) {
	for {
		rd := r.core.Ready()
		if rd.Empty() {
			break
		}
		if rd.Snapshot != nil {
			r.snap, r.entries = *rd.Snapshot, nil
		}
		for _, e := range rd.Entries {
			r.entries = append(r.entries[:e.Index-r.snap.Index-1:e.Index-r.snap.Index-1], e)
		}
		if rd.State != nil {
			r.state = *rd.State
		}
		r.core.Advance(rd)
		f.inFlight = append(f.inFlight, rd.ImmediateMessages...)
		f.inFlight = append(f.inFlight, rd.Messages...)
		for _, e := range rd.Committed {
			f.apply(r, e)
		}
	}
	if len(r.entries) > compactAfterEntries {
		if snap, ok := r.core.Compact(r.core.Applied(), nil); ok {
			r.snap, r.entries = snap, r.core.EntriesAfterSnapshot()
		}
	}
}

// compactAfterEntries is the log length that triggers a snapshot.
const compactAfterEntries = 30

// apply checks that replicas apply the same entries. It acknowledges an entry that is applied in
// the term of its proposal.
func (f *simGroup) apply(r *simReplica, e raft.Entry) {
	text := fmt.Sprintf("%d/%d/%s", e.Term, e.Type, e.Data)
	if old, ok := f.acked[e.Index]; ok && old != text {
		f.t.Fatalf("%v: index %d: %s applies %q, acknowledged %q", f.clock, e.Index, r.ID, text, old)
	}
	if f.proposedTerms[e.Index] == e.Term {
		f.acked[e.Index] = text
		f.lastAck = f.clock
		delete(f.proposedTerms, e.Index)
	}
}

// isReachable reports whether a replica runs and is connected to the others.
func (f *simGroup) isReachable(r *simReplica) bool { return r.running && !r.frozen && !r.isolated }

// advance runs the simulation for one tick.
func (f *simGroup) advance() {
	f.clock += simTick
	msgs := f.inFlight
	f.inFlight = nil
	for _, m := range msgs {
		f.deliver(m)
	}
	for _, r := range f.replicas {
		if r.running && !r.frozen {
			r.core.Tick()
			f.processReady(r)
		}
	}
	l := f.leader()
	if l == nil {
		return
	}
	f.proposeCommand(l)
	if f.clock >= f.nextRepair {
		f.runRepair(l)
	}
	f.processReady(l)
}

// commandEveryTicks is the number of ticks between two commands.
const commandEveryTicks = 8

// proposeCommand makes the leader propose a command every commandEveryTicks.
func (f *simGroup) proposeCommand(l *simReplica) {
	f.ticksWithLeader++
	if f.ticksWithLeader%commandEveryTicks != 0 {
		return
	}
	if i, term, err := l.core.Propose([]byte(fmt.Sprint(f.ticksWithLeader))); err == nil {
		f.proposedTerms[i] = term
	}
}

// deliver passes a message to its receiver unless one of the two is disconnected.
func (f *simGroup) deliver(m raft.Message) {
	from, to := f.replicaByID(m.From), f.replicaByID(m.To)
	if from == nil || to == nil || !to.running || from.isolated || to.isolated {
		return
	}
	if to.frozen {
		to.inbox = append(to.inbox, m)
		return
	}
	to.core.Step(m)
	f.processReady(to)
}

// replicaByID returns the replica with the given ID, nil if there is none.
func (f *simGroup) replicaByID(id string) *simReplica {
	for _, r := range f.replicas {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// leader returns the reachable leader of the highest term.
func (f *simGroup) leader() *simReplica {
	var best *simReplica
	for _, r := range f.replicas {
		if f.isReachable(r) && r.core.Role() == raft.Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// runRepair makes the leader's periodic repair decision.
func (f *simGroup) runRepair(l *simReplica) {
	g := GroupStatus{Conf: l.core.Conf(), LeaderID: l.ID, Health: map[string]Health{}}
	for _, p := range slices.Concat(g.Conf.Voters, g.Conf.Learners) {
		if ticks, lag, ok := l.core.PeerStatus(p.ID); ok {
			g.Health[p.ID] = Health{SilentFor: time.Duration(ticks) * simTick, Lag: lag}
		}
	}
	for _, r := range f.replicas {
		if f.isReachable(r) && f.clock >= r.discoveredAt {
			g.Candidates = append(g.Candidates, r.Peer)
		}
	}
	f.nextRepair = f.clock + simSettledInterval
	if !Settled(g, f.options) {
		f.nextRepair = f.clock + simUnsettledInterval
	}
	if p, ok := NextChange(g, f.options); ok && l.core.ProposeConf(p.Conf) == nil {
		if len(p.Conf.Voters) < len(g.Conf.Voters) {
			f.removedVoters++
		}
	}
}

// toleratesFailure reports whether the group can commit after any one more failure.
func (f *simGroup) toleratesFailure() bool {
	l := f.leader()
	if l == nil || l.core.ConfPending() {
		return false
	}
	conf := l.core.Conf()
	sound := 0
	for _, v := range conf.Voters {
		r := f.replicaByID(v.ID)
		if r == nil || !f.isReachable(r) {
			continue
		}
		if _, lag, ok := l.core.PeerStatus(v.ID); v.ID == l.ID || ok && lag <= f.options.MaxLag {
			sound++
		}
	}
	return sound-1 >= len(conf.Voters)/2+1
}

// runFor runs the simulation for d.
func (f *simGroup) runFor(d time.Duration) {
	for end := f.clock + d; f.clock < end; {
		f.advance()
	}
}

// waitUntil runs the simulation until done returns true, and fails the test after the limit.
func (f *simGroup) waitUntil(what string, bound time.Duration, done func() bool) time.Duration {
	from := f.clock
	for !done() {
		if f.clock-from > bound {
			f.t.Fatalf("%v: condition not met within %v: %s; %s", f.clock, bound, what, f.describe())
		}
		f.advance()
	}
	return f.clock - from
}

// describe returns the state of the group for failure messages.
func (f *simGroup) describe() string {
	l := f.leader()
	if l == nil {
		return "no leader"
	}
	return fmt.Sprintf("%s leads %v in term %d, pending %v", l.ID, l.core.Conf(), l.core.Term(), l.core.ConfPending())
}

// addReplica starts a new replica that the leader discovers after the given delay.
func (f *simGroup) addReplica(addr, domain string, after time.Duration) *simReplica {
	f.replacements++
	r := &simReplica{
		Peer:         raft.Peer{ID: fmt.Sprintf("n%d", f.replacements), Addr: addr, Domain: domain},
		discoveredAt: f.clock + after,
	}
	f.replicas = append(f.replicas, r)
	f.start(r)
	return r
}

// removeReplica removes a replica and its disk.
func (f *simGroup) removeReplica(r *simReplica) {
	f.replicas = slices.DeleteFunc(f.replicas, func(x *simReplica) bool { return x == r })
}

// simFailures holds the kinds of failures. Each returns once the replica or its successor runs.
var simFailures = map[string]func(f *simGroup, r *simReplica, lasts time.Duration){
	"replaced": func(f *simGroup, r *simReplica, lasts time.Duration) {
		f.removeReplica(r)
		f.runFor(min(lasts, 2*time.Second))
		f.addReplica(r.Addr+"'", r.Domain, simDiscoveryDelay)
	},
	"wiped": func(f *simGroup, r *simReplica, lasts time.Duration) {
		f.removeReplica(r)
		f.runFor(simRestartTime + min(lasts, 3*time.Second))
		f.addReplica(r.Addr, r.Domain, simDiscoveryDelay)
	},
	"killed": func(f *simGroup, r *simReplica, lasts time.Duration) {
		r.running = false
		f.runFor(simRestartTime + lasts)
		f.start(r)
	},
	"frozen": func(f *simGroup, r *simReplica, lasts time.Duration) {
		r.frozen = true
		f.runFor(lasts)
		r.frozen = false
		for _, m := range r.inbox {
			r.core.Step(m)
		}
		r.inbox = nil
	},
	"cut": func(f *simGroup, r *simReplica, lasts time.Duration) {
		r.isolated = true
		f.runFor(lasts)
		r.isolated = false
	},
}

// repairOptions are the options of all simulations.
var repairOptions = Options{TargetVoters: 3, SuspectAfter: 600 * time.Millisecond, ReplaceAfter: 2 * time.Second, MaxLag: 16}

// runFailures simulates a sequence of failures and returns the repair times, measured from when
// the replica or its successor runs.
func runFailures(t *testing.T, seed uint64, domains, losses int) []time.Duration {
	f := newSimGroup(t, seed, domains, repairOptions)
	f.waitUntil("a first leader", simMaxElectionTime, func() bool { return f.lastAck > 0 })
	kinds := []string{"cut", "frozen", "killed", "replaced", "wiped"}
	var times []time.Duration
	for range losses {
		f.runFor(time.Duration(f.rng.Int64N(int64(4 * time.Second))))
		if !f.toleratesFailure() {
			t.Fatalf("seed %d at %v: the group does not tolerate another failure", seed, f.clock)
		}
		victim := f.replicas[f.rng.IntN(len(f.replicas))]
		if l := f.leader(); f.rng.IntN(3) == 0 {
			victim = l
		}
		kind := kinds[f.rng.IntN(len(kinds))]
		acked := f.lastAck
		lasts := time.Duration(f.rng.Int64N(int64(8 * time.Second)))
		simFailures[kind](f, victim, lasts)
		if gap := f.clock - acked; gap > simMaxElectionTime && f.lastAck <= acked {
			t.Fatalf("seed %d at %v: nothing committed for %v while %s was %s", seed, f.clock, gap, victim.ID, kind)
		}
		from := f.clock
		took := f.waitUntil(fmt.Sprintf("seed %d: tolerance of another failure after %s was %s", seed, victim.ID, kind), simFailureInterval, f.toleratesFailure)
		times = append(times, took)
		f.runFor(max(0, from+simFailureInterval-f.clock))
	}
	f.checkAcked(seed)
	return times
}

// checkAcked checks that each voter has applied all acknowledged entries; apply compares them.
func (f *simGroup) checkAcked(seed uint64) {
	last := uint64(0)
	for i := range f.acked {
		last = max(last, i)
	}
	f.runFor(time.Second)
	for _, v := range f.leader().core.Conf().Voters {
		if r := f.replicaByID(v.ID); r == nil || r.core.Applied() < last {
			f.t.Fatalf("seed %d: %s lacks acknowledged entries up to %d", seed, v.ID, last)
		}
	}
}

// TestSeriesOfFailuresIsTolerated simulates failures of one replica after another in short
// succession, on groups with and without a spare replica.
func TestSeriesOfFailuresIsTolerated(t *testing.T) {
	const seeds, losses = 200, 8
	for _, domains := range []int{3, 4} {
		t.Run(fmt.Sprintf("%d replicas", domains), func(t *testing.T) {
			var all []time.Duration
			for seed := range uint64(seeds) {
				all = append(all, runFailures(t, seed, domains, losses)...)
			}
			slices.Sort(all)
			t.Logf("%d failures; time until another is tolerated: median %v, 90%% %v, 99%% %v, longest %v",
				len(all), all[len(all)/2], all[len(all)*9/10], all[len(all)*99/100], all[len(all)-1])
		})
	}
}

// TestShortSilenceRemovesNoVoter checks that a restart or a short partition does not change the
// voters, even if a spare replica is available.
func TestShortSilenceRemovesNoVoter(t *testing.T) {
	for seed := range uint64(20) {
		f := newSimGroup(t, seed, 4, repairOptions)
		f.waitUntil("a first leader", simMaxElectionTime, func() bool { return f.lastAck > 0 })
		f.runFor(time.Second)
		for _, kind := range []string{"killed", "cut", "frozen"} {
			simFailures[kind](f, f.replicas[f.rng.IntN(3)], 800*time.Millisecond)
			f.runFor(simFailureInterval)
		}
		if f.removedVoters > 0 {
			t.Fatalf("seed %d: %d voters were removed", seed, f.removedVoters)
		}
	}
}
