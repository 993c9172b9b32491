package raft

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/umberthread/umberthread/fault"
	"pgregory.net/rapid"
)

// simDisk holds what a replica has persisted.
type simDisk struct {
	state   HardState
	snap    Snapshot
	entries []Entry
}

// save persists the contents of a Ready.
func (d *simDisk) save(r Ready) {
	if r.Snapshot != nil {
		d.snap = *r.Snapshot
		d.entries = nil
	}
	for _, e := range r.Entries {
		at := int(e.Index - d.snap.Index - 1)
		if at < 0 {
			continue
		}
		d.entries = append(d.entries[:at:at], e)
	}
	if r.State != nil {
		d.state = *r.State
	}
}

// simReplica is a replica with its disk.
type simReplica struct {
	id   string
	core *Core
	disk *simDisk
	down bool
	// pendingSave is the save in progress, if saves are slow, and saveRefused whether the disk
	// has refused it.
	pendingSave *Ready
	saveRefused bool
}

// simCluster runs replicas in one process over a network that loses, delays, duplicates and
// reorders messages. Replicas may crash at every write.
type simCluster struct {
	t              *rapid.T
	rng            *rand.Rand
	replicas       map[string]*simReplica
	ids            []string
	inFlight       []Message
	blockedLinks   map[string]bool // keys are "from>to"
	appliedByIndex map[uint64]string
	leaderByTerm   map[uint64]string
	replacements   int
	stepCount      int
	// crashFaults lets replicas crash while they process a message.
	crashFaults bool
	// sendBeforeSync makes replicas send messages before they persist: a fault that the
	// checks must detect.
	sendBeforeSync bool
	// slowSaves keeps saves pending until finishSave.
	slowSaves bool
	// refuseSaves makes disks refuse some of the slow saves.
	refuseSaves    bool
	appliedEntries int
	// onViolation, if set, is called instead of failing the test.
	onViolation func()
}

// violationFound is the panic value that ends a run after onViolation.
type violationFound struct{}

// fatalf reports a violation: it calls onViolation if set, or else fails the test.
func (c *simCluster) fatalf(format string, args ...any) {
	if c.onViolation != nil {
		c.onViolation()
		panic(violationFound{})
	}
	c.t.Fatalf(format, args...)
}

// newSimCluster returns a cluster of n voters.
func newSimCluster(t *rapid.T, n int, seed uint64) *simCluster {
	c := &simCluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), replicas: map[string]*simReplica{},
		crashFaults: true, blockedLinks: map[string]bool{}, appliedByIndex: map[uint64]string{}, leaderByTerm: map[uint64]string{},
	}
	var conf Conf
	for i := range n {
		conf.Voters = append(conf.Voters, Peer{ID: fmt.Sprintf("r%d", i)})
	}
	for _, p := range conf.Voters {
		d := &simDisk{snap: Snapshot{Index: 1, Term: 1, Conf: conf}, state: HardState{Term: 1, Commit: 1}}
		c.addReplica(p.ID, d)
	}
	return c
}

// addReplica starts a replica with the given disk.
func (c *simCluster) addReplica(id string, d *simDisk) {
	r := &simReplica{id: id, disk: d}
	c.replicas[id] = r
	c.ids = append(c.ids, id)
	c.restart(r)
}

// restart starts a replica from its disk.
func (c *simCluster) restart(r *simReplica) {
	o := Options{ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: c.rng, MaxBatchEntries: 4}
	r.core = New(o, r.disk.state, r.disk.snap, append([]Entry(nil), r.disk.entries...))
	r.down = false
	r.pendingSave, r.saveRefused = nil, false
}

// processReady does a replica's pending work. It crashes the replica before the save if
// crashAt is 1 and after it if crashAt is 2.
func (c *simCluster) processReady(r *simReplica, crashAt int) {
	for !r.down {
		rd := r.core.Ready()
		if rd.Empty() {
			return
		}
		c.inFlight = append(c.inFlight, rd.ImmediateMessages...)
		if c.sendBeforeSync {
			c.inFlight = append(c.inFlight, rd.Messages...)
		}
		if crashAt == 1 {
			c.crash(r)
			return
		}
		if c.slowSaves && rd.MustSave() {
			r.pendingSave = &rd
			c.applyCommitted(r, rd)
			continue
		}
		r.disk.save(rd)
		if crashAt == 2 {
			c.crash(r)
			return
		}
		r.core.Advance(rd)
		c.inFlight = append(c.inFlight, rd.Messages...)
		c.applyCommitted(r, rd)
	}
}

// applyCommitted applies the committed entries of a Ready.
func (c *simCluster) applyCommitted(r *simReplica, rd Ready) {
	for _, e := range rd.Committed {
		c.apply(r, e)
	}
	c.checkLeader(r)
}

// finishSave completes the pending save of a replica.
func (c *simCluster) finishSave(r *simReplica) {
	if r.saveRefused {
		c.rewriteLog(r)
		return
	}
	rd := *r.pendingSave
	r.pendingSave = nil
	r.disk.save(rd)
	r.core.Advance(rd)
	c.inFlight = append(c.inFlight, rd.Messages...)
	c.processReady(r, 0)
}

// crash stops a replica; its disk remains.
func (c *simCluster) crash(r *simReplica) {
	r.down = true
}

// apply checks that all replicas apply the same entry at each index.
func (c *simCluster) apply(r *simReplica, e Entry) {
	cmd := fmt.Sprintf("%d/%d/%s", e.Term, e.Type, e.Data)
	if old, ok := c.appliedByIndex[e.Index]; ok && old != cmd {
		c.fatalf("index %d: %s applied %q, another replica applied %q", e.Index, r.id, cmd, old)
	}
	c.appliedByIndex[e.Index] = cmd
	c.appliedEntries++
}

// checkLeader checks that each term has at most one leader.
func (c *simCluster) checkLeader(r *simReplica) {
	if r.core.Role() != Leader {
		return
	}
	term := r.core.Term()
	if old, ok := c.leaderByTerm[term]; ok && old != r.id {
		c.fatalf("term %d has two leaders: %s and %s", term, old, r.id)
	}
	c.leaderByTerm[term] = r.id
}

// leader returns the running leader of the highest term, nil if there is none.
func (c *simCluster) leader() *simReplica {
	var best *simReplica
	for _, id := range c.ids {
		r := c.replicas[id]
		if !r.down && r.core.Role() == Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// deliver delivers the in-flight message i, possibly with a crash of the receiver.
func (c *simCluster) deliver(i int) {
	m := c.inFlight[i]
	c.inFlight[i] = c.inFlight[len(c.inFlight)-1]
	c.inFlight = c.inFlight[:len(c.inFlight)-1]
	r := c.replicas[m.To]
	if r == nil || r.down || c.blockedLinks[m.From+">"+m.To] {
		return
	}
	r.core.Step(m)
	crashAt := 0
	if c.crashFaults {
		crashAt = max(0, c.rng.IntN(60)-57)
	}
	c.processReady(r, crashAt)
}

// randomStep performs one random action or fault.
func (c *simCluster) randomStep(t *rapid.T) {
	c.stepCount++
	id := c.ids[rapid.IntRange(0, len(c.ids)-1).Draw(t, "replica")]
	r := c.replicas[id]
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0, 1, 2:
		for range rapid.IntRange(1, 12).Draw(t, "ticks") {
			if !r.down {
				r.core.Tick()
				c.processReady(r, 0)
			}
		}
	case 3, 4, 5, 6:
		for range 8 {
			if len(c.inFlight) > 0 {
				c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message"))
			}
		}
	case 7:
		if len(c.inFlight) > 0 {
			m := c.inFlight[rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "duplicate")]
			c.inFlight = append(c.inFlight, m)
		}
	case 8, 9:
		if l := c.leader(); l != nil {
			if _, _, err := l.core.Propose([]byte(fmt.Sprintf("c%d", c.stepCount))); err == nil {
				c.processReady(l, rapid.IntRange(0, 2).Draw(t, "crash"))
			}
		}
	case 10:
		other := c.ids[rapid.IntRange(0, len(c.ids)-1).Draw(t, "other")]
		key := r.id + ">" + other
		c.blockedLinks[key] = !c.blockedLinks[key]
	case 11:
		if r.down {
			c.restart(r)
		} else {
			c.crash(r)
		}
	case 12:
		c.loseDisk(t, r)
	case 13:
		if !r.down {
			if snap, ok := r.core.Compact(r.core.Applied(), nil); ok {
				r.disk.entries = append([]Entry(nil), r.disk.entries[min(len(r.disk.entries), int(snap.Index-r.disk.snap.Index)):]...)
				r.disk.snap = snap
			}
		}
	case 14:
		c.repairMembership(t)
	case 15:
		c.inFlight = nil
	}
}

// loseDisk replaces a voter by a new replica with an empty disk and adds that as a learner,
// provided that the remaining live voters keep a quorum.
func (c *simCluster) loseDisk(t *rapid.T, r *simReplica) {
	l := c.leader()
	if l == nil || l.core.ConfPending() || l == r {
		return
	}
	conf := l.core.Conf()
	if !conf.IsVoter(r.id) || len(conf.Voters) < 3 || c.liveVoters(conf) <= len(conf.Voters)/2+1 {
		return
	}
	c.replacements++
	r.down = true
	r.disk = nil
	delete(c.replicas, r.id)
	next := fmt.Sprintf("n%d", c.replacements)
	for i, id := range c.ids {
		if id == r.id {
			c.ids = append(c.ids[:i], c.ids[i+1:]...)
			break
		}
	}
	c.addReplica(next, &simDisk{})
	if l.core.ProposeConf(conf.With(Peer{ID: next}, false)) == nil {
		c.processReady(l, 0)
	}
}

// liveVoters counts the voters that are running.
func (c *simCluster) liveVoters(conf Conf) int {
	n := 0
	for _, v := range conf.Voters {
		if r := c.replicas[v.ID]; r != nil && !r.down {
			n++
		}
	}
	return n
}

// repairMembership repairs the group as the daemon does: it promotes a learner that has
// caught up, or else removes a voter whose disk is lost.
func (c *simCluster) repairMembership(t *rapid.T) {
	l := c.leader()
	if l == nil {
		return
	}
	conf := l.core.Conf()
	for _, p := range conf.Learners {
		if _, lag, ok := l.core.PeerStatus(p.ID); ok && lag == 0 {
			if l.core.ProposeConf(conf.With(p, true)) == nil {
				c.processReady(l, 0)
			}
			return
		}
	}
	for _, p := range conf.Voters {
		if c.replicas[p.ID] == nil {
			if l.core.ProposeConf(conf.Without(p.ID)) == nil {
				c.processReady(l, 0)
			}
			return
		}
	}
}

// recoversAfterFaults ends all faults and reports whether the group elects a leader and commits.
func (c *simCluster) recoversAfterFaults() bool {
	c.blockedLinks = map[string]bool{}
	c.crashFaults, c.slowSaves = false, false
	for _, id := range c.ids {
		if r := c.replicas[id]; r.pendingSave != nil && !r.down {
			c.finishSave(r)
		}
		if c.replicas[id].down {
			c.restart(c.replicas[id])
		}
	}
	for round := range 400 {
		for _, id := range c.ids {
			c.replicas[id].core.Tick()
			c.processReady(c.replicas[id], 0)
		}
		for n := len(c.inFlight); n > 0; n-- {
			c.deliver(0)
		}
		if round < 200 {
			continue
		}
		if l := c.leader(); l != nil {
			if index, _, err := l.core.Propose([]byte("last")); err == nil {
				c.processReady(l, 0)
				for range 20 {
					for n := len(c.inFlight); n > 0; n-- {
						c.deliver(0)
					}
				}
				if l.core.Commit() >= index {
					return true
				}
			}
		}
	}
	return false
}

// TestReplicasAgree checks under a combination of all faults that replicas apply the same
// commands, each term has one leader, and the group recovers after the faults.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimCluster(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			c.randomStep(t)
		}
		if c.lostQuorum() {
			return
		}
		if !c.recoversAfterFaults() {
			t.Fatal("the group does not recover after the faults")
		}
	})
}

// lostQuorum reports whether too many disks are lost for the group to recover.
func (c *simCluster) lostQuorum() bool {
	conf := c.replicas[c.ids[0]].core.Conf()
	if l := c.leader(); l != nil {
		conf = l.core.Conf()
	}
	lost := 0
	for _, v := range conf.Voters {
		if c.replicas[v.ID] == nil {
			lost++
		}
	}
	return lost > (len(conf.Voters)-1)/2
}

// TestChecksDetectSendBeforeSync verifies that the checks detect replicas that send messages
// before they persist.
func TestChecksDetectSendBeforeSync(t *testing.T) {
	found := false
	commits := 0
	rapid.Check(t, func(t *rapid.T) {
		for range 40 {
			if found {
				return
			}
			c := newSimCluster(t, 3, rapid.Uint64().Draw(t, "seed"))
			c.sendBeforeSync = true
			c.onViolation = func() { found = true }
			runRandomSteps(t, c)
			commits += c.appliedEntries
		}
	})
	if !found {
		t.Fatalf("no check failed in %d commits", commits)
	}
}

// runRandomSteps performs random steps until a check fails, at most 300.
func runRandomSteps(t *rapid.T, c *simCluster) {
	runUntilViolation(func() {
		for range 300 {
			c.randomStep(t)
		}
	})
}

// runUntilViolation runs play until a check fails.
func runUntilViolation(play func()) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(violationFound); !ok {
				panic(r)
			}
		}
	}()
	play()
}

// A leader with a short log must not mistake a silent learner for one that has caught up.
func TestLagOfSilentLearnerIsMaximal(t *testing.T) {
	snap := InitialSnapshot(Peer{ID: "a"}, nil)
	c := New(Options{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}, HardState{Term: 1, Commit: 1}, snap, nil)
	c.Campaign()
	for rd := c.Ready(); !rd.Empty(); rd = c.Ready() {
		c.Advance(rd)
	}
	if err := c.ProposeConf(c.Conf().With(Peer{ID: "b"}, false)); err != nil {
		t.Fatal(err)
	}
	if _, lag, ok := c.PeerStatus("b"); !ok || lag < 1<<60 {
		t.Fatalf("lag %d of a learner that never responded, expected the maximum", lag)
	}
}

// A leader that restarts after promoting a learner may need the learner's vote before the
// learner knows of its promotion. The learner must not treat the lost leader as active.
func TestLearnerVotesAfterLeaderLoss(t *testing.T) {
	const election = 10
	conf := Conf{Voters: []Peer{{ID: "a"}, {ID: "b"}}, Learners: []Peer{{ID: "c"}}}
	o := Options{ID: "c", ElectionTicks: election, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 2, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	c.Step(Message{Type: MsgHeartbeat, From: "a", To: "c", Term: 2})
	if c.Leader() != "a" {
		t.Fatalf("leader %q, expected a", c.Leader())
	}
	c.Advance(c.Ready())
	for range 2 * election {
		c.Tick()
	}
	for tick := range 4 * election {
		c.Step(Message{Type: MsgPreVote, From: "a", To: "c", Term: 3, Index: 1, LogTerm: 1})
		rd := c.Ready()
		c.Advance(rd)
		if len(rd.Messages) != 1 || rd.Messages[0].Reject {
			t.Fatalf("%d ticks after the election timeout: responses %+v, expected a granted pre-vote", tick, rd.Messages)
		}
		c.Tick()
	}
}

// Entries that a replica had before this term say nothing about its disk now.
func TestSavedTicksCountFromConfirmationsOfTheTerm(t *testing.T) {
	conf := Conf{Voters: []Peer{{ID: "a"}}, Learners: []Peer{{ID: "b"}}}
	o := Options{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 1, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	c.Campaign()
	c.Step(Message{Type: MsgHeartbeatResp, From: "b", To: "a", Term: 2, Saved: 1})
	if _, lag, _ := c.PeerStatus("b"); lag != 1 || c.SavedTicks("b") != math.MaxInt {
		t.Fatalf("lag %d, saved %d ticks ago; expected 1, and no confirmation of the term", lag, c.SavedTicks("b"))
	}
	c.Step(Message{Type: MsgAppendResp, From: "b", To: "a", Term: 2, Index: 2})
	c.Tick()
	if got := c.SavedTicks("b"); got != 1 {
		t.Fatalf("saved %d ticks ago, expected 1", got)
	}
}

// A snapshot that was lost must be sent again soon, as the group waits for its learner, but not at
// a fixed short interval, which would fill a slow link.
func TestLostSnapshotIsSentAgainAtGrowingIntervals(t *testing.T) {
	const election = 10
	conf := Conf{Voters: []Peer{{ID: "a"}}, Learners: []Peer{{ID: "b"}}}
	o := Options{ID: "a", ElectionTicks: election, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 1, Commit: 9}, Snapshot{Index: 9, Term: 1, Conf: conf}, nil)
	c.Campaign()
	var sentAt []int
	for tick := range 15 * election {
		for rd := c.Ready(); !rd.Empty(); rd = c.Ready() {
			c.Advance(rd)
			for _, m := range append(rd.ImmediateMessages, rd.Messages...) {
				switch m.Type {
				case MsgSnapshot:
					sentAt = append(sentAt, tick)
				case MsgHeartbeat:
					c.Step(Message{Type: MsgHeartbeatResp, From: "b", To: "a", Term: m.Term, Round: m.Round})
				}
			}
		}
		c.Tick()
	}
	if len(sentAt) < 5 {
		t.Fatalf("sent at ticks %v, expected at least 5 times", sentAt)
	}
	for i, least := range []int{1, 2, 4, 4} {
		if d := sentAt[i+1] - sentAt[i]; d < least*election || d > (least+1)*election {
			t.Errorf("sent at ticks %v: interval %d is %d, expected %d election timeouts of %d ticks", sentAt, i+1, d, least, election)
		}
	}
}

// A leader writes an entry to check the disk of a learner, which must not hold up the promotion of
// that learner until a slow quorum has committed the entry.
func TestUnchangedMembershipDoesNotHoldUpTheNextChange(t *testing.T) {
	conf := Conf{Voters: []Peer{{ID: "a"}, {ID: "b"}}, Learners: []Peer{{ID: "c"}}}
	o := Options{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 1, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	save := func() {
		for rd := c.Ready(); !rd.Empty(); rd = c.Ready() {
			c.Advance(rd)
		}
	}
	c.Campaign()
	c.Step(Message{Type: MsgPreVoteResp, From: "b", To: "a", Term: 2})
	c.Step(Message{Type: MsgVoteResp, From: "b", To: "a", Term: 2})
	save()
	if err := c.ProposeConf(c.Conf()); fault.CodeOf(err) != fault.Conflict {
		t.Fatalf("error %v before the first commit of the term, expected %v: entries would pile up", err, fault.Conflict)
	}
	c.Step(Message{Type: MsgAppendResp, From: "b", To: "a", Term: 2, Index: 2})
	save()
	if err := c.ProposeConf(c.Conf()); err != nil {
		t.Fatal(err)
	}
	save()
	if c.ConfPending() || c.Commit() != 2 {
		t.Fatalf("pending %v with commit index %d, expected no pending change and 2", c.ConfPending(), c.Commit())
	}
	if err := c.ProposeConf(c.Conf().With(Peer{ID: "c"}, true)); err != nil {
		t.Fatal(err)
	}
	if !c.ConfPending() || !c.Conf().IsVoter("c") {
		t.Fatalf("membership %v, pending %v: expected the promotion of c", c.Conf(), c.ConfPending())
	}
}
