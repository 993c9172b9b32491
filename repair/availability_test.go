package repair

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// The fleet of this test runs in virtual time: real raft cores and the real
// repair decision, with losses of one replica after another. A loss is borne
// if the group still commits while it lasts.
const (
	simTick = 25 * time.Millisecond
	// simGossip is how long a new replica takes to be known to the leader.
	simGossip = 800 * time.Millisecond
	// simRestart is how long a process takes to start again.
	simRestart = 500 * time.Millisecond
	// simCatchUp is how long after a loss is over the next one may come.
	simCatchUp = 4 * time.Second
	// simElect is within which a group that lost its leader commits again.
	simElect = 3 * time.Second
	// simSettled and simUnsettled are the times between two looks.
	simSettled, simUnsettled = 500 * time.Millisecond, 100 * time.Millisecond
)

// simReplica is one replica and its disk.
type simReplica struct {
	raft.Peer
	core    *raft.Core
	state   raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
	known   time.Duration
	// up is false while the process is gone, and frozen and cut are what
	// their names say. waiting are messages that reach it when it thaws.
	up, frozen, cut bool
	waiting         []raft.Message
}

type simFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	replicas []*simReplica
	net      []raft.Message
	// acked are the acknowledged commands by index, and pending the terms of
	// those that were proposed.
	acked   map[uint64]string
	pending map[uint64]uint64
	lastAck time.Duration
	asked   int
	newIDs  int
	lookAt  time.Duration
	opt     Options
	removed int
}

func newSimFleet(t *testing.T, seed uint64, domains int, o Options) *simFleet {
	f := &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 7)), acked: map[uint64]string{}, pending: map[uint64]uint64{}, opt: o}
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
		f.boot(r)
	}
	return f
}

func (f *simFleet) boot(r *simReplica) {
	r.up = true
	r.core = raft.New(raft.Options{ID: r.ID, ElectionTicks: 20, HeartbeatTicks: 3, MaxBatchEntries: 256, Rand: f.rng}, r.state, r.snap, slices.Clone(r.entries))
}

func (f *simFleet) work(r *simReplica) {
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
		f.net = append(f.net, rd.ImmediateMessages...)
		f.net = append(f.net, rd.Messages...)
		for _, e := range rd.Committed {
			f.apply(r, e)
		}
	}
	if len(r.entries) > simLog {
		if snap, ok := r.core.Compact(r.core.Applied(), nil); ok {
			r.snap, r.entries = snap, r.core.EntriesAfterSnapshot()
		}
	}
}

// simLog is how many entries a replica keeps before a snapshot.
const simLog = 30

// apply checks that replicas agree, and acknowledges what the proposing leader
// applies in the term of the proposal.
func (f *simFleet) apply(r *simReplica, e raft.Entry) {
	text := fmt.Sprintf("%d/%d/%s", e.Term, e.Type, e.Data)
	if old, ok := f.acked[e.Index]; ok && old != text {
		f.t.Fatalf("%v: index %d: %s applies %q, acknowledged was %q", f.now, e.Index, r.ID, text, old)
	}
	if f.pending[e.Index] == e.Term {
		f.acked[e.Index] = text
		f.lastAck = f.now
		delete(f.pending, e.Index)
	}
}

func (f *simFleet) reaches(r *simReplica) bool { return r.up && !r.frozen && !r.cut }

// step plays one tick.
func (f *simFleet) step() {
	f.now += simTick
	msgs := f.net
	f.net = nil
	for _, m := range msgs {
		f.deliver(m)
	}
	for _, r := range f.replicas {
		if r.up && !r.frozen {
			r.core.Tick()
			f.work(r)
		}
	}
	l := f.leader()
	if l == nil {
		return
	}
	f.propose(l)
	if f.now >= f.lookAt {
		f.look(l)
	}
	f.work(l)
}

// simCommand is how many ticks lie between two commands.
const simCommand = 8

func (f *simFleet) propose(l *simReplica) {
	f.asked++
	if f.asked%simCommand != 0 {
		return
	}
	if i, term, err := l.core.Propose([]byte(fmt.Sprint(f.asked))); err == nil {
		f.pending[i] = term
	}
}

func (f *simFleet) deliver(m raft.Message) {
	from, to := f.byID(m.From), f.byID(m.To)
	if from == nil || to == nil || !to.up || from.cut || to.cut {
		return
	}
	if to.frozen {
		to.waiting = append(to.waiting, m)
		return
	}
	to.core.Step(m)
	f.work(to)
}

func (f *simFleet) byID(id string) *simReplica {
	for _, r := range f.replicas {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// leader returns the leader of the highest term that others can reach.
func (f *simFleet) leader() *simReplica {
	var best *simReplica
	for _, r := range f.replicas {
		if f.reaches(r) && r.core.Role() == raft.Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// look does what a leader's shell does now and then.
func (f *simFleet) look(l *simReplica) {
	g := GroupStatus{Conf: l.core.Conf(), LeaderID: l.ID, Health: map[string]Health{}}
	for _, p := range slices.Concat(g.Conf.Voters, g.Conf.Learners) {
		if ticks, lag, ok := l.core.PeerStatus(p.ID); ok {
			g.Health[p.ID] = Health{SilentFor: time.Duration(ticks) * simTick, Lag: lag}
		}
	}
	for _, r := range f.replicas {
		if f.reaches(r) && f.now >= r.known {
			g.Candidates = append(g.Candidates, r.Peer)
		}
	}
	f.lookAt = f.now + simSettled
	if !Settled(g, f.opt) {
		f.lookAt = f.now + simUnsettled
	}
	if p, ok := NextChange(g, f.opt); ok && l.core.ProposeConf(p.Conf) == nil {
		if len(p.Conf.Voters) < len(g.Conf.Voters) {
			f.removed++
		}
	}
}

// bears tells whether the group commits on after any one further loss.
func (f *simFleet) bears() bool {
	l := f.leader()
	if l == nil || l.core.ConfPending() {
		return false
	}
	conf := l.core.Conf()
	sound := 0
	for _, v := range conf.Voters {
		r := f.byID(v.ID)
		if r == nil || !f.reaches(r) {
			continue
		}
		if _, lag, ok := l.core.PeerStatus(v.ID); v.ID == l.ID || ok && lag <= f.opt.MaxLag {
			sound++
		}
	}
	return sound-1 >= len(conf.Voters)/2+1
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// until plays until done, and fails after the bound.
func (f *simFleet) until(what string, bound time.Duration, done func() bool) time.Duration {
	from := f.now
	for !done() {
		if f.now-from > bound {
			f.t.Fatalf("%v: not within %v: %s; %s", f.now, bound, what, f.describe())
		}
		f.step()
	}
	return f.now - from
}

func (f *simFleet) describe() string {
	l := f.leader()
	if l == nil {
		return "no leader"
	}
	return fmt.Sprintf("%s leads %v in term %d, pending %v", l.ID, l.core.Conf(), l.core.Term(), l.core.ConfPending())
}

func (f *simFleet) fresh(addr, domain string, after time.Duration) *simReplica {
	f.newIDs++
	r := &simReplica{
		Peer:  raft.Peer{ID: fmt.Sprintf("n%d", f.newIDs), Addr: addr, Domain: domain},
		known: f.now + after,
	}
	f.replicas = append(f.replicas, r)
	f.boot(r)
	return r
}

func (f *simFleet) drop(r *simReplica) {
	f.replicas = slices.DeleteFunc(f.replicas, func(x *simReplica) bool { return x == r })
}

// The kinds of losses. Each returns when the replica, or its successor, runs.
var simLosses = map[string]func(f *simFleet, r *simReplica, lasts time.Duration){
	"replaced": func(f *simFleet, r *simReplica, lasts time.Duration) {
		f.drop(r)
		f.run(min(lasts, 2*time.Second))
		f.fresh(r.Addr+"'", r.Domain, simGossip)
	},
	"wiped": func(f *simFleet, r *simReplica, lasts time.Duration) {
		f.drop(r)
		f.run(simRestart + min(lasts, 3*time.Second))
		f.fresh(r.Addr, r.Domain, simGossip)
	},
	"killed": func(f *simFleet, r *simReplica, lasts time.Duration) {
		r.up = false
		f.run(simRestart + lasts)
		f.boot(r)
	},
	"frozen": func(f *simFleet, r *simReplica, lasts time.Duration) {
		r.frozen = true
		f.run(lasts)
		r.frozen = false
		for _, m := range r.waiting {
			r.core.Step(m)
		}
		r.waiting = nil
	},
	"cut": func(f *simFleet, r *simReplica, lasts time.Duration) {
		r.cut = true
		f.run(lasts)
		r.cut = false
	},
}

// repairOptions are those that the fleets of this test run with.
var repairOptions = Options{TargetVoters: 3, SuspectAfter: 600 * time.Millisecond, ReplaceAfter: 2 * time.Second, MaxLag: 16}

// playLosses plays a sequence of losses and returns the repair times, counted
// from when the replica or its successor runs.
func playLosses(t *testing.T, seed uint64, domains, losses int) []time.Duration {
	f := newSimFleet(t, seed, domains, repairOptions)
	f.until("a first leader", simElect, func() bool { return f.lastAck > 0 })
	kinds := []string{"cut", "frozen", "killed", "replaced", "wiped"}
	var times []time.Duration
	for range losses {
		f.run(time.Duration(f.rng.Int64N(int64(4 * time.Second))))
		if !f.bears() {
			t.Fatalf("seed %d at %v: the group does not bear the next loss", seed, f.now)
		}
		victim := f.replicas[f.rng.IntN(len(f.replicas))]
		if l := f.leader(); f.rng.IntN(3) == 0 {
			victim = l
		}
		kind := kinds[f.rng.IntN(len(kinds))]
		acked := f.lastAck
		lasts := time.Duration(f.rng.Int64N(int64(8 * time.Second)))
		simLosses[kind](f, victim, lasts)
		if gap := f.now - acked; gap > simElect && f.lastAck <= acked {
			t.Fatalf("seed %d at %v: nothing committed for %v while %s was %s", seed, f.now, gap, victim.ID, kind)
		}
		from := f.now
		took := f.until(fmt.Sprintf("seed %d: a group that bears the next loss after %s was %s", seed, victim.ID, kind), simCatchUp, f.bears)
		times = append(times, took)
		f.run(max(0, from+simCatchUp-f.now))
	}
	f.checkAcked(seed)
	return times
}

// checkAcked checks that each voter has applied all that was acknowledged; that
// they applied the same was checked at each entry.
func (f *simFleet) checkAcked(seed uint64) {
	last := uint64(0)
	for i := range f.acked {
		last = max(last, i)
	}
	f.run(time.Second)
	for _, v := range f.leader().core.Conf().Voters {
		if r := f.byID(v.ID); r == nil || r.core.Applied() < last {
			f.t.Fatalf("seed %d: %s lacks acknowledged entries up to %d", seed, v.ID, last)
		}
	}
}

// TestASeriesOfLossesIsBorne plays losses of one replica after another, each
// as soon as the operators' figures allow, on groups that have a spare replica
// and on groups that have none.
func TestASeriesOfLossesIsBorne(t *testing.T) {
	const seeds, losses = 200, 8
	for _, domains := range []int{3, 4} {
		t.Run(fmt.Sprintf("%d replicas", domains), func(t *testing.T) {
			var all []time.Duration
			for seed := range uint64(seeds) {
				all = append(all, playLosses(t, seed, domains, losses)...)
			}
			slices.Sort(all)
			t.Logf("%d losses; time to a group that bears the next: median %v, 90%% %v, 99%% %v, longest %v",
				len(all), all[len(all)/2], all[len(all)*9/10], all[len(all)*99/100], all[len(all)-1])
		})
	}
}

// TestAShortSilenceCostsNoMember: a restart or a short cut changes no voter,
// though a spare replica is there.
func TestAShortSilenceCostsNoMember(t *testing.T) {
	for seed := range uint64(20) {
		f := newSimFleet(t, seed, 4, repairOptions)
		f.until("a first leader", simElect, func() bool { return f.lastAck > 0 })
		f.run(time.Second)
		for _, kind := range []string{"killed", "cut", "frozen"} {
			simLosses[kind](f, f.replicas[f.rng.IntN(3)], 800*time.Millisecond)
			f.run(simCatchUp)
		}
		if f.removed > 0 {
			t.Fatalf("seed %d: %d voters were removed", seed, f.removed)
		}
	}
}
