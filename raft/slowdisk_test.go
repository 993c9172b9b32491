package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// simStep is the step of the virtual clock and the delay of a message.
	simStep = 5 * time.Millisecond
	// simTick is the tick interval of the replicas.
	simTick = 25 * time.Millisecond
	// simStallTicks is the value of Options.StallTicks.
	simStallTicks = 80
)

// slowReplica runs a core as the daemon does: it continues during a save, and at most one
// save is in progress.
type slowReplica struct {
	core  *Core
	inbox []Message
	// tickOffset is the time of the replica's ticks relative to multiples of simTick.
	tickOffset time.Duration
	// pendingSave is the save in progress, which ends at saveEnd.
	pendingSave *Ready
	saveEnd     time.Duration
	// lastState is the last state passed to the disk.
	lastState HardState
}

// inFlightMessage is a message with its arrival time.
type inFlightMessage struct {
	arrival time.Duration
	msg     Message
}

// slowGroup simulates replicas with slow disks in virtual time.
type slowGroup struct {
	clock time.Duration
	// defaultSync is the duration of a sync, and syncOverrides those of particular replicas.
	defaultSync   time.Duration
	syncOverrides map[string]time.Duration
	replicas      map[string]*slowReplica
	ids           []string
	// isolated and failed replicas neither send nor receive messages.
	isolated string
	failed   map[string]bool
	inFlight []inFlightMessage
	// transmit, if set, returns when a message arrives, false if it is lost.
	transmit func(now time.Duration, m Message) (arrival time.Duration, ok bool)
}

// newSlowGroup returns a group of n voters.
func newSlowGroup(seed uint64, n int) *slowGroup {
	s := &slowGroup{replicas: map[string]*slowReplica{}}
	var conf Conf
	for i := range n {
		conf.Voters = append(conf.Voters, Peer{ID: string(rune('a' + i))})
	}
	for i, p := range conf.Voters {
		o := Options{ID: p.ID, ElectionTicks: 20, HeartbeatTicks: 3, MaxBatchEntries: 256, StallTicks: simStallTicks, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		c := New(o, HardState{Term: 1, Commit: 1}, Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
		s.replicas[p.ID] = &slowReplica{core: c, lastState: HardState{Term: 1}}
		s.ids = append(s.ids, p.ID)
	}
	return s
}

// isReachable reports whether a replica is connected to the others.
func (s *slowGroup) isReachable(id string) bool { return id != s.isolated && !s.failed[id] }

// sendMessages puts messages between reachable replicas in flight.
func (s *slowGroup) sendMessages(ms []Message) {
	for _, m := range ms {
		if s.isReachable(m.From) && s.isReachable(m.To) {
			arrival, ok := s.clock+simStep, true
			if s.transmit != nil {
				arrival, ok = s.transmit(s.clock, m)
			}
			if ok {
				s.inFlight = append(s.inFlight, inFlightMessage{arrival, m})
			}
		}
	}
}

// syncTime returns the sync duration of a replica's disk.
func (s *slowGroup) syncTime(r *slowReplica) time.Duration {
	if d, ok := s.syncOverrides[r.core.options.ID]; ok {
		return d
	}
	return s.defaultSync
}

// processReady does the pending work of the core.
func (s *slowGroup) processReady(r *slowReplica) {
	for {
		rd := r.core.Ready()
		if rd.Empty() {
			return
		}
		s.sendMessages(rd.ImmediateMessages)
		if !rd.MustSave() {
			s.sendMessages(rd.Messages)
			continue
		}
		r.pendingSave, r.saveEnd = &rd, s.clock
		vote := rd.State != nil && (rd.State.Term != r.lastState.Term || rd.State.Vote != r.lastState.Vote)
		if len(rd.Entries) > 0 || vote || rd.Snapshot != nil {
			r.saveEnd += s.syncTime(r)
		}
		if rd.State != nil {
			r.lastState = *rd.State
		}
		s.finishSave(r)
	}
}

// finishSave completes the pending save if it is due, and sends the messages that waited for it.
func (s *slowGroup) finishSave(r *slowReplica) {
	if r.pendingSave == nil || r.saveEnd > s.clock {
		return
	}
	rd := *r.pendingSave
	r.pendingSave = nil
	r.core.Advance(rd)
	s.sendMessages(rd.Messages)
}

// advance runs the group for one step of the virtual clock.
func (s *slowGroup) advance() {
	s.clock += simStep
	net := s.inFlight
	s.inFlight = nil
	for _, f := range net {
		if f.arrival > s.clock {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		to := s.replicas[f.msg.To]
		to.inbox = append(to.inbox, f.msg)
	}
	for _, id := range s.ids {
		s.runReplica(s.replicas[id])
	}
}

// runReplica runs a replica's loop for one step.
func (s *slowGroup) runReplica(r *slowReplica) {
	s.finishSave(r)
	for _, m := range r.inbox {
		r.core.Step(m)
	}
	r.inbox = nil
	if s.clock%simTick == r.tickOffset {
		r.core.Tick()
	}
	s.processReady(r)
}

// leaderID returns the identity of a reachable leader, or "".
func (s *slowGroup) leaderID() string {
	for _, id := range s.ids {
		if s.isReachable(id) && s.replicas[id].core.Role() == Leader {
			return id
		}
	}
	return ""
}

// leader returns a reachable leader, nil if there is none.
func (s *slowGroup) leader() *slowReplica { return s.replicas[s.leaderID()] }

// commandInterval is the time between two commands.
const commandInterval = 200 * time.Millisecond

// timeToCommit returns the time until one of the commands proposed from now on is committed,
// at most limit.
func (s *slowGroup) timeToCommit(limit time.Duration) time.Duration {
	type command struct{ index, term uint64 }
	var asked []command
	from, next := s.clock, s.clock
	for s.clock < from+limit {
		s.advance()
		l := s.leader()
		if l == nil {
			continue
		}
		if slices.ContainsFunc(asked, func(c command) bool { return l.hasCommitted(c.index, c.term) }) {
			return s.clock - from
		}
		if s.clock < next {
			continue
		}
		next = s.clock + commandInterval
		if index, term, err := l.core.Propose([]byte("command")); err == nil {
			asked = append(asked, command{index, term})
			s.processReady(l)
		}
	}
	return limit
}

// hasCommitted reports whether the replica has committed the given entry.
func (r *slowReplica) hasCommitted(index, term uint64) bool {
	t, ok := r.core.log.term(index)
	return ok && t == term && r.core.Commit() >= index
}

// checkTimesToCommit checks the times until the first commit of many groups, with syncs of the
// given duration.
func checkTimesToCommit(t *testing.T, name string, sync time.Duration, took []time.Duration) {
	t.Helper()
	// Split votes and lost commands add up to baseTime, besides consecutive syncs.
	const baseTime, syncCount = 3 * time.Second, 9
	n := len(took)
	slices.Sort(took)
	t.Logf("%s, sync %v: first commit: median %v, 90%% %v, 99%% %v, longest %v", name, sync, took[n/2], took[n*9/10], took[n*99/100], took[n-1])
	if maxTime := baseTime + syncCount*sync; took[n-1] > maxTime {
		t.Errorf("%s, sync %v: longest %v, limit %v", name, sync, took[n-1], maxTime)
	}
}

// Replicas whose disks are equally slow must not vote for themselves, all of them and again and
// again, because each starts its next attempt before the others' votes are saved.
func TestEquallySlowDisksElectLeader(t *testing.T) {
	const groups, limit = 100, time.Minute
	for _, n := range []int{3, 5} {
		for _, sync := range []time.Duration{2, 100, 200, 300, 400, 500, 800, 1000} {
			sync *= time.Millisecond
			var started, lostLeader []time.Duration
			for seed := range uint64(groups) {
				s := newSlowGroup(seed, n)
				s.defaultSync = sync
				started = append(started, s.timeToCommit(limit))

				s = newSlowGroup(seed, n)
				s.defaultSync = 2 * time.Millisecond
				s.timeToCommit(limit)
				s.isolated = s.leaderID()
				s.defaultSync = sync
				lostLeader = append(lostLeader, s.timeToCommit(limit))
			}
			checkTimesToCommit(t, fmt.Sprintf("%d voters start together", n), sync, started)
			checkTimesToCommit(t, fmt.Sprintf("%d voters lose their leader", n), sync, lostLeader)
		}
	}
}

// Replicas whose disks all stalled during an election must not wait in proportion to the stall once
// it is over.
func TestLongStallDoesNotDelayLaterElections(t *testing.T) {
	const groups, stall, maxTime = 20, time.Minute, 5 * time.Second
	longest := time.Duration(0)
	for seed := range uint64(groups) {
		s := newSlowGroup(seed, 3)
		s.defaultSync = stall
		s.timeToCommit(stall)
		s.defaultSync = 2 * time.Millisecond
		longest = max(longest, s.timeToCommit(time.Minute))
	}
	t.Logf("longest time to the first commit after a stall of %v: %v", stall, longest)
	if longest > maxTime {
		t.Errorf("longest time to the first commit %v, limit %v", longest, maxTime)
	}
}

// TestElectionWithSlowDisks runs elections with syncs that take longer than the candidate's
// timeout. Votes that arrive after the candidate's next attempt has started must still count.
func TestElectionWithSlowDisks(t *testing.T) {
	const (
		groups = 200
		limit  = time.Minute
		// Split votes and lost commands add up to baseTime, besides consecutive syncs.
		baseTime, syncCount = 3 * time.Second, 8
	)
	for _, sync := range []time.Duration{2, 100, 500, 800, 1000, 3000} {
		sync *= time.Millisecond
		var took []time.Duration
		for seed := range uint64(groups) {
			s := newSlowGroup(seed, 3)
			s.defaultSync = 2 * time.Millisecond
			s.timeToCommit(limit)
			s.isolated = s.leaderID()
			s.defaultSync = sync
			took = append(took, s.timeToCommit(limit))
		}
		slices.Sort(took)
		t.Logf("sync %v: first commit after the loss of the leader: median %v, 90%% %v, 99%% %v, longest %v",
			sync, took[groups/2], took[groups*9/10], took[groups*99/100], took[groups-1])
		if maxTime := baseTime + syncCount*sync; took[groups-1] > maxTime {
			t.Errorf("sync %v: longest recovery %v, limit %v", sync, took[groups-1], maxTime)
		}
	}
}

// TestStallingDisksKeepLeader checks that a group keeps its leader while all disks stall for
// up to a second at a time. Heartbeats must not wait for the disk.
func TestStallingDisksKeepLeader(t *testing.T) {
	const (
		groups       = 20
		span         = time.Minute
		stall        = time.Second
		commandEvery = 20 * time.Millisecond
		// One change in ten minutes of group time is acceptable.
		maxChanges = groups / 10
	)
	changes := 0
	for seed := range uint64(groups) {
		s := newSlowGroup(seed, 3)
		s.defaultSync = 2 * time.Millisecond
		s.timeToCommit(span)
		rng := rand.New(rand.NewPCG(seed, 99))
		last, next := s.leaderID(), s.clock
		for end := s.clock + span; s.clock < end; {
			s.defaultSync = time.Duration(rng.Int64N(int64(stall)))
			s.advance()
			if id := s.leaderID(); id != "" && id != last {
				changes++
				last = id
			}
			if l := s.leader(); l != nil && s.clock >= next {
				next = s.clock + commandEvery
				if _, _, err := l.core.Propose([]byte("command")); err == nil {
					s.processReady(l)
				}
			}
		}
	}
	t.Logf("%d leader changes in %d groups of %v each", changes, groups, span)
	if changes > maxChanges {
		t.Errorf("%d leader changes, at most %d expected", changes, maxChanges)
	}
}
