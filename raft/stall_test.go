package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// never is a sync that does not end.
const never = time.Hour

// settle elects a leader whose disk and those of the others answer.
func settle(t *testing.T, s *slowGroup) {
	t.Helper()
	s.sync = 2 * time.Millisecond
	if s.commitTime(time.Minute) == time.Minute {
		t.Fatal("no leader")
	}
}

// longestGap plays the group for a span, with a command every 20 ms, and returns the
// longest time without a commit on the leader.
func (s *slowGroup) longestGap(span time.Duration) time.Duration {
	const command = 20 * time.Millisecond
	var longest time.Duration
	last, commit := s.now, uint64(0)
	for next, end := s.now, s.now+span; s.now < end; {
		s.step()
		l := s.leader()
		if l == nil {
			continue
		}
		if l.core.Commit() > commit {
			longest = max(longest, s.now-last)
			last, commit = s.now, l.core.Commit()
		}
		if s.now >= next {
			next = s.now + command
			if _, _, err := l.core.Propose([]byte("command")); err == nil {
				s.work(l)
			}
		}
	}
	return max(longest, s.now-last)
}

// The leader's disk stops to answer for good, or for some seconds. The others commit
// on without it, and it hands its lead to one of them: the group would bear no loss.
func TestLeaderWhoseDiskStallsHandsOver(t *testing.T) {
	const (
		groups = 50
		span   = 10 * time.Second
		// The heir is asked once it has everything, and wins with two syncs: nobody
		// who waits for a command should notice.
		gap = 200 * time.Millisecond
	)
	for _, voters := range []int{3, 5} {
		for seed := range uint64(groups) {
			s := newSlowGroup(seed, voters)
			settle(t, s)
			old := s.leaderID()
			s.syncs = map[string]time.Duration{old: never}
			if longest := s.longestGap(span); longest > gap {
				t.Fatalf("%d voters, seed %d: nothing was committed for %v", voters, seed, longest)
			}
			if id := s.leaderID(); id == old {
				t.Fatalf("%d voters, seed %d: %s still leads after %v", voters, seed, old, span)
			}
		}
	}
}

// The disks of a quorum stop to answer, the leader's among them or not. No other
// leader could commit: the group keeps its leader and its term, and commits as soon
// as the disks answer again.
func TestGroupWhoseQuorumStallsWaits(t *testing.T) {
	const (
		groups = 50
		// What waited for the disks is committed after one sync and one way back.
		back = 100 * time.Millisecond
	)
	for seed := range uint64(groups) {
		rng := rand.New(rand.NewPCG(seed, 98))
		s := newSlowGroup(seed, 5)
		settle(t, s)
		leader := s.leaderID()
		term := s.leader().core.Term()
		stalled := slices.Clone(s.ids)
		rng.Shuffle(len(stalled), func(i, k int) { stalled[i], stalled[k] = stalled[k], stalled[i] })
		s.syncs = map[string]time.Duration{}
		for _, id := range stalled[:3] {
			s.syncs[id] = never
		}
		s.longestGap(20 * time.Second)
		if id := s.leaderID(); s.syncs[leader] == 0 && (id != leader || s.leader().core.Term() != term) {
			t.Fatalf("seed %d: %s leads in term %d, expected %s in term %d", seed, id, s.leader().core.Term(), leader, term)
		}
		if got := s.highestTerm(); got > term+1 {
			t.Fatalf("seed %d: term %d after a stall, it was %d", seed, got, term)
		}
		for _, id := range stalled[:3] {
			delete(s.syncs, id)
			if r := s.replicas[id]; r.saving != nil {
				r.done = s.now
			}
		}
		if took := s.commitTime(time.Minute); took > back {
			t.Fatalf("seed %d: a commit took %v once the disks answered again", seed, took)
		}
	}
}

func (s *slowGroup) highestTerm() uint64 {
	var term uint64
	for _, r := range s.replicas {
		term = max(term, r.core.Term())
	}
	return term
}

// A follower's disk stalls. What it holds is not sent again at each heartbeat, and
// what it has persisted is known though its answer was lost.
func TestStalledFollowerIsSentNothingTwice(t *testing.T) {
	s := newSlowGroup(1, 3)
	settle(t, s)
	l := s.leader()
	follower := s.ids[0]
	if follower == l.core.opt.ID {
		follower = s.ids[1]
	}
	s.syncs = map[string]time.Duration{follower: never}
	s.longestGap(time.Second)
	sent := map[uint64]int{}
	for range 400 {
		s.step()
		for _, f := range s.net {
			if f.msg.To == follower && f.msg.Type == MsgAppend && f.at == s.now+slowUnit {
				for _, e := range f.msg.Entries {
					sent[e.Index]++
				}
			}
		}
		if _, _, err := l.core.Propose([]byte("command")); err == nil {
			s.work(l)
		}
	}
	for index, n := range sent {
		if n > 1 {
			t.Fatalf("entry %d was sent %d times", index, n)
		}
	}
	delete(s.syncs, follower)
	r := s.replicas[follower]
	r.done = s.now
	last := l.core.log.last()
	for range 200 {
		// All answers to appends are lost.
		s.net = slices.DeleteFunc(s.net, func(f flight) bool { return f.msg.Type == MsgAppendResp })
		s.step()
	}
	if got := l.core.peers[follower].match; got < last {
		t.Fatalf("the leader knows of entry %d, the follower has persisted %d", got, last)
	}
}

// stallSteps plays a group whose disks end their saves late, or with the replica's end:
// mostly work, and one of the faults of step now and then.
func (c *cluster) stallSteps(t *rapid.T, steps int) {
	const faultEvery = 25
	for i := range steps {
		if i%faultEvery == 0 {
			c.step(t)
		}
		r := c.replicas[c.ids[c.rng.IntN(len(c.ids))]]
		switch c.rng.IntN(4) {
		case 0:
			if !r.down {
				r.core.Tick()
				c.work(r, 0)
			}
		case 1:
			for range c.rng.IntN(8) {
				if len(c.net) > 0 {
					c.deliver(c.rng.IntN(len(c.net)))
				}
			}
		case 2:
			c.stallStep()
		case 3:
			c.command()
		}
	}
}

// command has the leader take a command in.
func (c *cluster) command() {
	l := c.leader()
	if l == nil {
		return
	}
	c.steps++
	if _, _, err := l.core.Propose(fmt.Append(nil, "c", c.steps)); err == nil {
		c.work(l, 0)
	}
}

// stallStep ends a save that is under way, or the replica.
func (c *cluster) stallStep() {
	var saving []*replica
	for _, id := range c.ids {
		if r := c.replicas[id]; r.saving != nil && !r.down {
			saving = append(saving, r)
		}
	}
	if len(saving) == 0 {
		return
	}
	r := saving[c.rng.IntN(len(saving))]
	switch c.rng.IntN(50) {
	case 0:
		// The machine ends before the save.
		c.crash(r)
	case 1:
		// It ends between the save and the word of it.
		r.disk.save(*r.saving)
		c.crash(r)
	default:
		c.endSave(r)
	}
}

// TestReplicasAgreeWhileDisksStall is TestReplicasAgree with saves that take as long
// as it pleases, through votes, snapshots and changes of the membership, and with
// crashes between a save and the word of it.
func TestReplicasAgreeWhileDisksStall(t *testing.T) {
	// A test in which little is committed shows little.
	const groups, leastCommits = 10, 20000
	commits := 0
	rapid.Check(t, func(t *rapid.T) {
		for range groups {
			c := newCluster(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
			c.stalls = true
			c.stallSteps(t, rapid.IntRange(500, 3000).Draw(t, "steps"))
			commits += c.commits
			if !c.lostQuorum() && !c.heal() {
				t.Fatal("the group does not work again after the faults")
			}
		}
	})
	if commits < leastCommits {
		t.Errorf("%d entries were applied, at least %d expected", commits, leastCommits)
	}
}

// TestEarlyWordOfASaveIsFound shows that the checks find replicas that take a save
// for done when it begins.
func TestEarlyWordOfASaveIsFound(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		for range 40 {
			if found {
				return
			}
			c := newCluster(t, 3, rapid.Uint64().Draw(t, "seed"))
			c.stalls, c.breakSync = true, true
			c.found = func() { found = true }
			playBroken(func() { c.stallSteps(t, 1000) })
		}
	})
	if !found {
		t.Fatal("no check failed")
	}
}

// What an answer of an earlier term promises may be replaced before it is persisted:
// it must not be sent after the term has changed.
func TestAnswersOfAnEarlierTermAreNotSentAfterIt(t *testing.T) {
	conf := Conf{Voters: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	o := Options{ID: "c", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 2, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	appendOf := func(from string, term, index uint64) Message {
		return Message{
			Type: MsgAppend, From: from, To: "c", Term: term, Index: index - 1, LogTerm: 1,
			Entries: []Entry{{Term: term, Index: index, Data: fmt.Append(nil, from)}},
		}
	}
	c.Step(appendOf("a", 2, 2))
	first := c.Ready()
	second := appendOf("a", 2, 3)
	second.LogTerm = 2
	c.Step(second)
	// The disk is busy with the first entry when another leader replaces both.
	c.Step(appendOf("b", 3, 2))
	c.Advance(first)
	for _, m := range c.Ready().Messages {
		if m.Term == 2 {
			t.Fatalf("sent in term 3: %+v", m)
		}
	}
}

// A follower's disk never answers again, and the group goes on: what the follower keeps
// for it is bounded.
func TestStalledFollowerKeepsLittle(t *testing.T) {
	conf := Conf{Voters: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	o := Options{ID: "c", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 2, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	const entries = 3 * maxUnsaved
	term := uint64(1)
	for i := uint64(2); i < entries; i++ {
		c.Step(Message{Type: MsgAppend, From: "a", To: "c", Term: 2, Index: i - 1, LogTerm: term, Entries: []Entry{{Term: 2, Index: i}}})
		c.Ready()
		term = 2
	}
	if n := len(c.messages); n > 1 {
		t.Errorf("%d messages wait for the disk", n)
	}
	if n := c.LogLen(); n > maxUnsaved+1 {
		t.Errorf("%d entries wait for the disk", n)
	}
}
