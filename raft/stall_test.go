package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// endlessSync is the duration of a sync that does not end during a test.
const endlessSync = time.Hour

// electStableLeader elects a leader while all disks respond.
func electStableLeader(t *testing.T, s *slowGroup) {
	t.Helper()
	s.defaultSync = 2 * time.Millisecond
	if s.timeToCommit(time.Minute) == time.Minute {
		t.Fatal("no leader")
	}
}

// longestCommitGap runs the group for a span, with a command every 20 ms, and returns the
// longest time without a commit on the leader.
func (s *slowGroup) longestCommitGap(span time.Duration) time.Duration {
	const commandEvery = 20 * time.Millisecond
	var longest time.Duration
	last, commit := s.clock, uint64(0)
	for next, end := s.clock, s.clock+span; s.clock < end; {
		s.advance()
		l := s.leader()
		if l == nil {
			continue
		}
		if l.core.Commit() > commit {
			longest = max(longest, s.clock-last)
			last, commit = s.clock, l.core.Commit()
		}
		if s.clock >= next {
			next = s.clock + commandEvery
			if _, _, err := l.core.Propose([]byte("command")); err == nil {
				s.processReady(l)
			}
		}
	}
	return max(longest, s.clock-last)
}

// TestStalledLeaderTransfersLeadership checks that a leader whose disk stalls transfers
// leadership to another voter while the group keeps committing.
func TestStalledLeaderTransfersLeadership(t *testing.T) {
	const (
		groups = 50
		span   = 10 * time.Second
		// The transfer takes two syncs and must not be noticeable to a caller.
		maxGap = 200 * time.Millisecond
	)
	for _, voters := range []int{3, 5} {
		for seed := range uint64(groups) {
			s := newSlowGroup(seed, voters)
			electStableLeader(t, s)
			old := s.leaderID()
			s.syncOverrides = map[string]time.Duration{old: endlessSync}
			if longest := s.longestCommitGap(span); longest > maxGap {
				t.Fatalf("%d voters, seed %d: nothing was committed for %v", voters, seed, longest)
			}
			if id := s.leaderID(); id == old {
				t.Fatalf("%d voters, seed %d: %s still leads after %v", voters, seed, old, span)
			}
		}
	}
}

// TestStalledQuorumKeepsLeaderAndTerm checks that a group keeps its leader and its term while
// the disks of a quorum stall, as no other leader could commit, and that it commits once the
// disks respond again.
func TestStalledQuorumKeepsLeaderAndTerm(t *testing.T) {
	const (
		groups = 50
		// Pending entries commit after one sync and one response.
		maxRecovery = 100 * time.Millisecond
	)
	for seed := range uint64(groups) {
		rng := rand.New(rand.NewPCG(seed, 98))
		s := newSlowGroup(seed, 5)
		electStableLeader(t, s)
		leader := s.leaderID()
		term := s.leader().core.Term()
		stalled := slices.Clone(s.ids)
		rng.Shuffle(len(stalled), func(i, k int) { stalled[i], stalled[k] = stalled[k], stalled[i] })
		s.syncOverrides = map[string]time.Duration{}
		for _, id := range stalled[:3] {
			s.syncOverrides[id] = endlessSync
		}
		s.longestCommitGap(20 * time.Second)
		if id := s.leaderID(); s.syncOverrides[leader] == 0 && (id != leader || s.leader().core.Term() != term) {
			t.Fatalf("seed %d: %s leads in term %d, expected %s in term %d", seed, id, s.leader().core.Term(), leader, term)
		}
		if got := s.highestTerm(); got > term+1 {
			t.Fatalf("seed %d: term %d after the stall, %d before it", seed, got, term)
		}
		for _, id := range stalled[:3] {
			delete(s.syncOverrides, id)
			if r := s.replicas[id]; r.pendingSave != nil {
				r.saveEnd = s.clock
			}
		}
		if took := s.timeToCommit(time.Minute); took > maxRecovery {
			t.Fatalf("seed %d: a commit took %v after the disks responded again", seed, took)
		}
	}
}

// highestTerm returns the highest term of any replica.
func (s *slowGroup) highestTerm() uint64 {
	var term uint64
	for _, r := range s.replicas {
		term = max(term, r.core.Term())
	}
	return term
}

// TestStalledFollowerReceivesNoDuplicateEntries checks that entries held by a follower with a
// stalled disk are not resent at each heartbeat, and that the leader learns what was persisted
// even if the append responses are lost.
func TestStalledFollowerReceivesNoDuplicateEntries(t *testing.T) {
	s := newSlowGroup(1, 3)
	electStableLeader(t, s)
	l := s.leader()
	follower := s.ids[0]
	if follower == l.core.options.ID {
		follower = s.ids[1]
	}
	s.syncOverrides = map[string]time.Duration{follower: endlessSync}
	s.longestCommitGap(time.Second)
	sent := map[uint64]int{}
	for range 400 {
		s.advance()
		for _, f := range s.inFlight {
			if f.msg.To == follower && f.msg.Type == MsgAppend && f.arrival == s.clock+simStep {
				for _, e := range f.msg.Entries {
					sent[e.Index]++
				}
			}
		}
		if _, _, err := l.core.Propose([]byte("command")); err == nil {
			s.processReady(l)
		}
	}
	for index, n := range sent {
		if n > 1 {
			t.Fatalf("entry %d was sent %d times", index, n)
		}
	}
	delete(s.syncOverrides, follower)
	r := s.replicas[follower]
	r.saveEnd = s.clock
	last := l.core.log.lastIndex()
	for range 200 {
		// Drop all append responses.
		s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool { return f.msg.Type == MsgAppendResp })
		s.advance()
	}
	if got := l.core.peers[follower].matchIndex; got < last {
		t.Fatalf("the leader knows of persisted entry %d, expected %d", got, last)
	}
}

// runSlowSaveSteps runs a group whose saves end late or with a crash: mostly normal operation,
// with an occasional random fault.
func (c *simCluster) runSlowSaveSteps(t *rapid.T, steps int) {
	const faultEvery = 25
	for i := range steps {
		if i%faultEvery == 0 {
			c.randomStep(t)
		}
		r := c.replicas[c.ids[c.rng.IntN(len(c.ids))]]
		switch c.rng.IntN(4) {
		case 0:
			if !r.down {
				r.core.Tick()
				c.processReady(r, 0)
			}
		case 1:
			for range c.rng.IntN(8) {
				if len(c.inFlight) > 0 {
					c.deliver(c.rng.IntN(len(c.inFlight)))
				}
			}
		case 2:
			c.finishOrCrashSave()
		case 3:
			c.proposeCommand()
		}
	}
}

// proposeCommand proposes a command to the leader, if there is one.
func (c *simCluster) proposeCommand() {
	l := c.leader()
	if l == nil {
		return
	}
	c.stepCount++
	if _, _, err := l.core.Propose(fmt.Append(nil, "c", c.stepCount)); err == nil {
		c.processReady(l, 0)
	}
}

// finishOrCrashSave completes a pending save or crashes its replica.
func (c *simCluster) finishOrCrashSave() {
	var saving []*simReplica
	for _, id := range c.ids {
		if r := c.replicas[id]; r.pendingSave != nil && !r.down {
			saving = append(saving, r)
		}
	}
	if len(saving) == 0 {
		return
	}
	r := saving[c.rng.IntN(len(saving))]
	switch c.rng.IntN(50) {
	case 0:
		// Crash before the save completes.
		c.crash(r)
	case 1:
		// Crash after the save but before it is reported.
		r.disk.save(*r.pendingSave)
		c.crash(r)
	case 2, 3, 4, 5, 6, 7, 8, 9:
		if c.refuseSaves {
			c.refuseSave(r)
			return
		}
		c.finishSave(r)
	default:
		c.finishSave(r)
	}
}

// TestReplicasAgreeWhileDisksStall is TestReplicasAgree with saves of arbitrary duration and
// crashes between a save and its confirmation.
func TestReplicasAgreeWhileDisksStall(t *testing.T) { checkSlowSaves(t, false) }

// checkSlowSaves runs groups whose saves end late and, if refuse is set, whose disks refuse some
// of them, and checks that the replicas agree and the groups recover.
func checkSlowSaves(t *testing.T, refuse bool) {
	// Guards against runs in which hardly anything is committed.
	const groups, minApplied = 10, 20000
	commits := 0
	rapid.Check(t, func(t *rapid.T) {
		for range groups {
			c := newSimCluster(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
			c.slowSaves, c.refuseSaves = true, refuse
			c.runSlowSaveSteps(t, rapid.IntRange(500, 3000).Draw(t, "steps"))
			commits += c.appliedEntries
			if !c.lostQuorum() && !c.recoversAfterFaults() {
				t.Fatal("the group does not recover after the faults")
			}
		}
	})
	if commits < minApplied {
		t.Errorf("%d entries were applied, at least %d expected", commits, minApplied)
	}
}

// TestChecksDetectEarlySaveConfirmation verifies that the checks detect replicas that treat a
// save as complete when it starts.
func TestChecksDetectEarlySaveConfirmation(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		for range 40 {
			if found {
				return
			}
			c := newSimCluster(t, 3, rapid.Uint64().Draw(t, "seed"))
			c.slowSaves, c.sendBeforeSync = true, true
			c.onViolation = func() { found = true }
			runUntilViolation(func() { c.runSlowSaveSteps(t, 1000) })
		}
	})
	if !found {
		t.Fatal("no check failed")
	}
}

// What a response of an earlier term confirms may be replaced before it is persisted, so it
// must not be sent after the term has changed.
func TestResponsesOfEarlierTermAreDropped(t *testing.T) {
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
	// The first entry is still being saved when another leader replaces both.
	c.Step(appendOf("b", 3, 2))
	c.Advance(first)
	for _, m := range c.Ready().Messages {
		if m.Term == 2 {
			t.Fatalf("message of term 2 sent in term 3: %+v", m)
		}
	}
}

// TestStalledFollowerBuffersBoundedEntries checks that a follower whose disk never responds
// buffers a bounded number of entries and messages.
func TestStalledFollowerBuffersBoundedEntries(t *testing.T) {
	conf := Conf{Voters: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	o := Options{ID: "c", ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 4, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(o, HardState{Term: 2, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
	const entries = 3 * maxUnsavedEntries
	term := uint64(1)
	for i := uint64(2); i < entries; i++ {
		c.Step(Message{Type: MsgAppend, From: "a", To: "c", Term: 2, Index: i - 1, LogTerm: term, Entries: []Entry{{Term: 2, Index: i}}})
		c.Ready()
		term = 2
	}
	if n := len(c.messagesAfterSave); n > 1 {
		t.Errorf("%d messages are queued for the disk", n)
	}
	if n := c.LogLen(); n > maxUnsavedEntries+1 {
		t.Errorf("%d entries are buffered for the disk", n)
	}
}
