package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// refuseSave fails the pending save of a replica, which may have reached the disk all the same.
func (c *simCluster) refuseSave(r *simReplica) {
	if !r.saveRefused && c.rng.IntN(2) == 0 {
		r.disk.save(*r.pendingSave)
	}
	r.saveRefused = true
}

// rewriteLog replaces what a replica has on disk by everything that its core holds, and drops
// the messages of the refused save.
func (c *simCluster) rewriteLog(r *simReplica) {
	st, snap, entries := r.core.PersistentState()
	*r.disk = simDisk{st, snap, slices.Clone(entries)}
	rd := *r.pendingSave
	r.pendingSave, r.saveRefused = nil, false
	r.core.Advance(rd)
	c.processReady(r, 0)
}

// TestReplicasAgreeAfterRefusedWrites is TestReplicasAgreeWhileDisksStall with disks that refuse
// saves and take a rewritten log later.
func TestReplicasAgreeAfterRefusedWrites(t *testing.T) { checkSlowSaves(t, true) }

// lossyLinks delays the messages of a group, in order on each link, and loses some.
type lossyLinks struct {
	rng         *rand.Rand
	delay, span time.Duration
	loss        float64
	arrivals    map[string]time.Duration
}

// transmit returns when a message that is sent now arrives, false if it is lost.
func (l *lossyLinks) transmit(now time.Duration, m Message) (time.Duration, bool) {
	if l.rng.Float64() < l.loss {
		return 0, false
	}
	link := m.From + ">" + m.To
	l.arrivals[link] = max(l.arrivals[link], now+l.delay+time.Duration(l.rng.Int64N(int64(l.span)+1)))
	return l.arrivals[link], true
}

// refuseWrites runs commands while the disk of a replica refuses writes. The log is rewritten
// soon after that; the messages that waited for the refused save are dropped.
func (s *slowGroup) refuseWrites(id string) {
	const commands, commandEvery, retryAfter = 10, 50 * time.Millisecond, 100 * time.Millisecond
	s.syncOverrides = map[string]time.Duration{id: endlessSync}
	for next, n := s.clock, 0; n < commands; s.advance() {
		l := s.leader()
		if l == nil || s.clock < next {
			continue
		}
		if _, _, err := l.core.Propose([]byte("command")); err == nil {
			s.processReady(l)
			n, next = n+1, s.clock+commandEvery
		}
	}
	s.syncOverrides = nil
	if r := s.replicas[id]; r.pendingSave != nil {
		r.pendingSave.Messages = nil
		r.saveEnd = s.clock + retryAfter
	}
}

// isBehind reports whether a replica has not applied all entries of the group.
func (s *slowGroup) isBehind(id string) bool {
	last := uint64(0)
	for _, r := range s.replicas {
		last = max(last, r.core.log.lastIndex())
	}
	return s.replicas[id].core.Applied() < last
}

// A replica whose disk refused writes must soon hold all entries again, also if messages are late
// or lost and no further command shows that it lacks some.
func TestReplicaCatchesUpAfterRefusedWrites(t *testing.T) {
	const groups, limit = 200, 5 * time.Second
	for _, delay := range []time.Duration{simStep, 100 * time.Millisecond} {
		for _, span := range []time.Duration{0, 150 * time.Millisecond} {
			for _, loss := range []float64{0, 0.1} {
				for _, refusing := range []string{"follower", "leader"} {
					longest, behind := time.Duration(0), 0
					for seed := range uint64(groups) {
						s := newSlowGroup(seed, 3)
						electStableLeader(t, s)
						links := &lossyLinks{rand.New(rand.NewPCG(seed, 97)), delay, span, loss, map[string]time.Duration{}}
						s.transmit = links.transmit
						id := s.leaderID()
						if refusing == "follower" {
							id = s.ids[(slices.Index(s.ids, id)+1)%len(s.ids)]
						}
						s.refuseWrites(id)
						from := s.clock
						for s.isBehind(id) && s.clock < from+limit {
							s.advance()
						}
						longest = max(longest, s.clock-from)
						if s.isBehind(id) {
							behind++
						}
					}
					name := fmt.Sprintf("delay %v to %v, loss %v, disk of the %s", delay, delay+span, loss, refusing)
					t.Logf("%s: all entries after at most %v", name, longest)
					if behind > 0 {
						t.Errorf("%s: %d of %d replicas lack entries after %v", name, behind, groups, limit)
					}
				}
			}
		}
	}
}
