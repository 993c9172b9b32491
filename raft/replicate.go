package raft

import "slices"

// Step processes a message from another replica.
func (c *Core) Step(m Message) {
	if m.To != c.options.ID {
		return
	}
	switch m.Type {
	case MsgPreVote:
		if !c.hasActiveLeader() {
			c.handleVoteRequest(m)
		}
		return
	case MsgPreVoteResp:
		c.handlePreVoteResponse(m)
		return
	case MsgVote:
		if c.hasActiveLeader() && !m.Transfer {
			return
		}
	}
	if m.Term > c.state.Term {
		leader := ""
		if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	}
	if m.Term < c.state.Term {
		c.rejectStaleLeader(m)
		return
	}
	c.stepCurrentTerm(m)
}

// rejectStaleLeader informs a leader of an earlier term of the current one.
func (c *Core) rejectStaleLeader(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Reject: true, Hint: c.log.last()})
	}
}

// stepCurrentTerm processes a message of the current term.
func (c *Core) stepCurrentTerm(m Message) {
	switch m.Type {
	case MsgVote:
		c.handleVoteRequest(m)
	case MsgVoteResp:
		c.handleVoteResponse(m)
	case MsgAppend:
		c.acceptLeader(m)
		c.handleAppend(m)
	case MsgHeartbeat:
		c.acceptLeader(m)
		c.commitTo(min(m.Commit, m.Index))
		// Heartbeats are answered without waiting for the disk, so that a leader with stalled
		// followers keeps its quorum and commits with the disks that respond.
		c.sendNow(Message{
			Type: MsgHeartbeatResp, To: m.From, Term: c.state.Term, Round: m.Round,
			Index: c.log.last(), Hint: c.leaderMatch, Saved: min(c.leaderMatch, c.log.stable),
		})
	case MsgSnapshot:
		c.acceptLeader(m)
		c.handleSnapshot(m)
	case MsgAppendResp:
		c.handleAppendResponse(m)
	case MsgHeartbeatResp:
		c.handleHeartbeatResponse(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	}
}

// acceptLeader accepts the sender as the leader of the current term.
func (c *Core) acceptLeader(m Message) {
	if c.role != Follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	c.deferred = false
}

// maxUnsavedEntries limits the entries that a replica with a stalled disk buffers. The
// leader resends what is dropped.
const maxUnsavedEntries = 1 << 14

func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.snap.Index {
		// Entries before the snapshot are committed and therefore match.
		c.leaderMatch = max(c.leaderMatch, c.log.commit)
		c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commit})
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index-1, c.log.last())
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: m.Index, Reject: true, Hint: hint})
		return
	}
	if c.saving && c.log.last()-min(c.log.stable, c.log.last()) >= maxUnsavedEntries && m.Index+uint64(len(m.Entries)) > c.log.last() {
		return
	}
	c.log.merge(m.Entries)
	c.refreshConf()
	last := m.Index + uint64(len(m.Entries))
	c.leaderMatch = max(c.leaderMatch, last)
	c.commitTo(min(m.Commit, last))
	c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: last})
}

func (c *Core) commitTo(index uint64) {
	index = min(index, c.log.last())
	c.log.commit = max(c.log.commit, index)
}

func (c *Core) handleSnapshot(m Message) {
	s := m.Snapshot
	if s != nil && s.Index > c.log.commit {
		if t, ok := c.log.term(s.Index); ok && t == s.Term {
			// The entries are present; only the commit index advances.
			c.commitTo(s.Index)
		} else {
			c.log.restore(*s)
			c.restoredSnapshot = s
			c.refreshConf()
		}
		c.leaderMatch = max(c.leaderMatch, c.log.commit)
	}
	c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commit})
}

// markActive records a message from a replica and returns its progress, nil if this replica
// does not lead or does not know the sender.
func (c *Core) markActive(id string) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.peers[id]
	if p != nil {
		p.recentlyActive = true
		p.silentTicks = 0
	}
	return p
}

func (c *Core) handleAppendResponse(m Message) {
	p := c.markActive(m.From)
	if p == nil {
		return
	}
	p.snapshotWaitTicks = 0
	if m.Reject {
		if m.Index == p.next-1 || m.Hint+1 < p.next {
			p.next = max(p.match+1, m.Hint+1)
			c.sendAppend(m.From, p)
		}
		return
	}
	c.recordSaved(p, m.Index)
	if c.role == Leader && p.next <= c.log.last() {
		c.sendAppend(m.From, p)
	}
}

// recordSaved records the index up to which a replica has persisted the log, and commits
// what a quorum has persisted.
func (c *Core) recordSaved(p *progress, index uint64) {
	if index <= p.match {
		return
	}
	p.match = index
	p.unsavedTicks = 0
	p.next = max(p.next, index+1)
	c.advanceCommit()
	c.requestTakeover()
}

func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.markActive(m.From)
	if p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	c.recordSaved(p, m.Saved)
	if c.role != Leader {
		return
	}
	if m.Round >= p.heartbeatRound && p.heartbeatNext > 0 {
		c.resendLost(m, p)
	}
}

// resendLost resends entries that were sent before the current heartbeat round but did not
// reach the replica: the append or its response was lost, or the replica is new. Entries that
// the replica holds but has not persisted are not resent.
func (c *Core) resendLost(m Message, p *progress) {
	stuck := p.match < c.log.last() && p.match == p.heartbeatMatch && m.Hint+1 < p.heartbeatNext
	p.heartbeatMatch, p.heartbeatNext = p.match, 0
	if !stuck {
		return
	}
	p.next = max(p.match, m.Hint) + 1
	if p.match == 0 {
		p.next = min(max(m.Index+1, 1), c.log.last()+1)
	}
	c.sendAppend(m.From, p)
}

// advanceCommit commits entries of the current term that a quorum has persisted.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, v := range c.conf.Voters {
		if v.ID == c.options.ID {
			matches = append(matches, c.log.stable)
		} else {
			matches = append(matches, c.peers[v.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if t, ok := c.log.term(index); !ok || t != c.state.Term || index <= c.log.commit {
		return
	}
	c.log.commit = index
	c.broadcastCommit()
	if !c.conf.IsVoter(c.options.ID) && c.confIndex <= c.log.commit {
		// The committed change removed this replica.
		c.becomeFollower(c.state.Term, "")
	}
}

// confirmReads completes the reads whose heartbeat round was answered by a quorum.
func (c *Core) confirmReads() {
	for len(c.pendingReads) > 0 {
		n := 0
		for _, v := range c.conf.Voters {
			if v.ID == c.options.ID || c.peers[v.ID].ackedRound >= c.pendingReads[0].round {
				n++
			}
		}
		if n < c.quorum() {
			return
		}
		c.readResults = append(c.readResults, ReadResult{c.pendingReads[0].id, c.pendingReads[0].index, true})
		c.pendingReads = c.pendingReads[1:]
	}
}

// forEachPeer calls send for all other voters and learners.
func (c *Core) forEachPeer(send func(id string, p *progress)) {
	for _, p := range slices.Concat(c.conf.Voters, c.conf.Learners) {
		if p.ID != c.options.ID {
			send(p.ID, c.peers[p.ID])
		}
	}
}

func (c *Core) broadcast() { c.forEachPeer(c.sendAppend) }

// broadcastCommit sends the new commit index to all other replicas.
func (c *Core) broadcastCommit() {
	c.forEachPeer(func(id string, p *progress) { c.sendHeartbeat(id, p) })
}

func (c *Core) sendHeartbeats() { c.forEachPeer(c.sendHeartbeat) }

func (c *Core) sendHeartbeat(id string, p *progress) {
	// Index is the last entry known to match on both sides; the receiver must not
	// advance its commit index beyond it.
	c.sendAsLeader(Message{Type: MsgHeartbeat, To: id, Commit: c.log.commit, Index: p.match, Round: c.heartbeatRound})
}

// sendAppend sends the next entries, or a snapshot if they are compacted.
func (c *Core) sendAppend(id string, p *progress) {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	hi := min(c.log.last(), prev+uint64(c.options.MaxBatchEntries))
	es := slices.Clone(c.log.slice(p.next, hi))
	p.next = hi + 1
	c.sendAsLeader(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Commit: c.log.commit, Entries: es})
}

// snapshotRetryElections is the number of election timeouts before a snapshot is sent again.
const snapshotRetryElections = 4

func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotWaitTicks > 0 {
		return
	}
	p.snapshotWaitTicks = snapshotRetryElections * c.options.ElectionTicks
	snap := c.log.snap
	p.next = snap.Index + 1
	c.sendAsLeader(Message{Type: MsgSnapshot, To: id, Snapshot: &snap})
}

// sendAfterSave queues a message that must not be sent before the next save. Consecutive
// acknowledgements are merged, which bounds the queue while the disk stalls.
func (c *Core) sendAfterSave(m Message) {
	m.From = c.options.ID
	if last := len(c.messages) - 1; last >= 0 && canMergeAcks(&c.messages[last], &m) {
		c.messages[last].Index = max(c.messages[last].Index, m.Index)
		return
	}
	c.messages = append(c.messages, m)
}

// canMergeAcks reports whether two messages acknowledge entries to the same leader and term.
func canMergeAcks(a, b *Message) bool {
	return a.Type == MsgAppendResp && b.Type == MsgAppendResp && a.To == b.To && a.Term == b.Term && !a.Reject && !b.Reject
}

// sendNow queues a message that may be sent before the next save; its term is set.
func (c *Core) sendNow(m Message) {
	m.From = c.options.ID
	c.immediateMessages = append(c.immediateMessages, m)
}

// sendAsLeader queues a leader's message of the current term, which does not wait for a save.
func (c *Core) sendAsLeader(m Message) {
	m.Term = c.state.Term
	c.sendNow(m)
}
