package raft

import "slices"

// Step processes a message from another replica.
func (c *Core) Step(m Message) {
	if m.To != c.options.ID {
		return
	}
	c.recordHeard(m.From)
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

// recordHeard records a message of another replica. Only members are recorded, which bounds
// the map.
func (c *Core) recordHeard(id string) {
	if c.conf.IsVoter(id) || c.conf.IsLearner(id) {
		c.lastHeard[id] = c.ticks
	}
}

// rejectStaleLeader informs a leader of an earlier term of the current one.
func (c *Core) rejectStaleLeader(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Reject: true, Hint: c.log.lastIndex()})
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
			Index: c.log.lastIndex(), Hint: c.leaderMatch, Saved: min(c.leaderMatch, c.log.stableIndex),
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
	c.electionDeferred = false
}

// maxUnsavedEntries limits the entries that a replica with a stalled disk buffers. The
// leader resends what is dropped.
const maxUnsavedEntries = 1 << 14

// handleAppend appends entries from the leader. It rejects them if the preceding entry does not
// match.
func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.snapshot.Index {
		// Entries before the snapshot are committed and therefore match.
		c.leaderMatch = max(c.leaderMatch, c.log.commitIndex)
		c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commitIndex})
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index-1, c.log.lastIndex())
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: m.Index, Reject: true, Hint: hint})
		return
	}
	if c.saving && c.log.lastIndex()-min(c.log.stableIndex, c.log.lastIndex()) >= maxUnsavedEntries && m.Index+uint64(len(m.Entries)) > c.log.lastIndex() {
		return
	}
	c.log.mergeEntries(m.Entries)
	c.refreshConf()
	last := m.Index + uint64(len(m.Entries))
	c.leaderMatch = max(c.leaderMatch, last)
	c.commitTo(min(m.Commit, last))
	c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: last})
}

// commitTo raises the commit index, but not beyond the log.
func (c *Core) commitTo(index uint64) {
	index = min(index, c.log.lastIndex())
	c.log.commitIndex = max(c.log.commitIndex, index)
}

// handleSnapshot restores a snapshot from the leader unless its entries are present.
func (c *Core) handleSnapshot(m Message) {
	s := m.Snapshot
	if s != nil && s.Index > c.log.commitIndex {
		if t, ok := c.log.term(s.Index); ok && t == s.Term {
			// The entries are present; only the commit index advances.
			c.commitTo(s.Index)
		} else {
			c.log.restore(*s)
			c.restoredSnapshot = s
			c.refreshConf()
		}
		c.leaderMatch = max(c.leaderMatch, c.log.commitIndex)
	}
	c.sendAfterSave(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commitIndex})
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

// handleAppendResponse updates the progress of a replica and sends it further entries.
func (c *Core) handleAppendResponse(m Message) {
	p := c.markActive(m.From)
	if p == nil {
		return
	}
	p.snapshotWaitTicks, p.snapshotWaitElections = 0, 0
	if m.Reject {
		if !p.answersOvertakenAppend(m) && (m.Index == p.nextIndex-1 || m.Hint+1 < p.nextIndex) {
			p.resendFrom(max(p.matchIndex+1, m.Hint+1))
			c.sendAppend(m.From, p)
		}
		return
	}
	c.recordSaved(p, m.Index)
	if c.role == Leader && p.nextIndex <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// resendFrom makes next the index of the next entry to send, which was sent before.
func (p *progress) resendFrom(next uint64) {
	p.resentFrom, p.resentUpTo = next, max(p.resentUpTo, p.nextIndex-1)
	p.nextIndex = next
}

// answersOvertakenAppend reports whether a rejection is, or may be, that of an append that was
// under way when the entries before it were resent. Each of those behind a lost append is rejected,
// and must not have the same entries sent again. If the resent ones are lost as well, heartbeats
// show it.
func (p *progress) answersOvertakenAppend(m Message) bool {
	return m.Index >= p.resentFrom && m.Index <= p.resentUpTo && m.Hint+1 >= p.resentFrom
}

// recordSaved records the index up to which a replica has persisted the log, and commits
// what a quorum has persisted.
func (c *Core) recordSaved(p *progress, index uint64) {
	if index <= p.matchIndex {
		return
	}
	p.matchIndex = index
	p.unsavedTicks = 0
	if index >= p.resentUpTo {
		p.resentFrom, p.resentUpTo = 0, 0
	}
	if t, ok := c.log.term(index); ok && t == c.state.Term {
		p.savedInTerm, p.savedTicks = true, 0
	}
	p.nextIndex = max(p.nextIndex, index+1)
	c.advanceCommit()
	c.requestTakeover()
}

// handleHeartbeatResponse confirms reads and resends lost entries.
func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.markActive(m.From)
	if p == nil {
		return
	}
	p.ackedHeartbeatRound = max(p.ackedHeartbeatRound, m.Round)
	c.confirmReads()
	saved := p.matchIndex
	c.recordSaved(p, m.Saved)
	if c.role != Leader {
		return
	}
	if p.matchIndex > saved && p.nextIndex <= c.log.lastIndex() {
		// The response that would have asked for further entries was lost.
		c.sendAppend(m.From, p)
	}
	if m.Round >= p.heartbeatRound && p.heartbeatNextIndex > 0 {
		c.resendLost(m, p)
	}
}

// resendLost resends entries that were sent before the current heartbeat round but did not
// reach the replica: the append or its response was lost, or the replica is new. Entries that
// the replica holds but has not persisted are not resent.
func (c *Core) resendLost(m Message, p *progress) {
	stuck := p.matchIndex < c.log.lastIndex() && p.matchIndex == p.heartbeatMatchIndex && m.Hint+1 < p.heartbeatNextIndex
	p.heartbeatMatchIndex, p.heartbeatNextIndex = p.matchIndex, 0
	if !stuck {
		return
	}
	next := max(p.matchIndex, m.Hint) + 1
	if p.matchIndex == 0 {
		next = min(max(m.Index+1, 1), c.log.lastIndex()+1)
	}
	p.resendFrom(next)
	c.sendAppend(m.From, p)
}

// advanceCommit commits entries of the current term that a quorum has persisted.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, v := range c.conf.Voters {
		if v.ID == c.options.ID {
			matches = append(matches, c.log.stableIndex)
		} else {
			matches = append(matches, c.peers[v.ID].matchIndex)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if t, ok := c.log.term(index); !ok || t != c.state.Term || index <= c.log.commitIndex {
		return
	}
	c.log.commitIndex = index
	c.broadcastCommit()
	if !c.conf.IsVoter(c.options.ID) && c.confIndex <= c.log.commitIndex {
		// The committed change removed this replica.
		c.becomeFollower(c.state.Term, "")
	}
}

// confirmReads completes the reads whose heartbeat round was answered by a quorum.
func (c *Core) confirmReads() {
	for len(c.pendingReads) > 0 {
		n := 0
		for _, v := range c.conf.Voters {
			if v.ID == c.options.ID || c.peers[v.ID].ackedHeartbeatRound >= c.pendingReads[0].round {
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

// broadcastAppend sends new entries to all other replicas.
func (c *Core) broadcastAppend() { c.forEachPeer(c.sendAppend) }

// broadcastCommit sends the new commit index to all other replicas.
func (c *Core) broadcastCommit() {
	c.forEachPeer(func(id string, p *progress) { c.sendHeartbeat(id, p) })
}

// sendHeartbeats sends a heartbeat to all other replicas.
func (c *Core) sendHeartbeats() { c.forEachPeer(c.sendHeartbeat) }

// sendHeartbeat sends the commit index and the heartbeat round to a replica.
func (c *Core) sendHeartbeat(id string, p *progress) {
	// Index is the last entry known to match on both sides; the receiver must not
	// advance its commit index beyond it.
	c.sendAsLeader(Message{Type: MsgHeartbeat, To: id, Commit: c.log.commitIndex, Index: p.matchIndex, Round: c.heartbeatRound})
}

// sendAppend sends the next entries, or a snapshot if they are compacted.
func (c *Core) sendAppend(id string, p *progress) {
	prev := p.nextIndex - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	es := c.nextBatch(p.nextIndex)
	p.nextIndex += uint64(len(es))
	c.sendAsLeader(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Commit: c.log.commitIndex, Entries: es})
}

// nextBatch returns the entries from an index on that one message may hold.
func (c *Core) nextBatch(from uint64) []Entry {
	es := c.log.slice(from, min(c.log.lastIndex(), from-1+uint64(c.options.MaxBatchEntries)))
	size := 0
	for i := range es {
		size += len(es[i].Data)
		if i > 0 && c.options.MaxBatchBytes > 0 && size > c.options.MaxBatchBytes {
			es = es[:i]
			break
		}
	}
	return slices.Clone(es)
}

// maxSnapshotWaitElections is the maximum number of election timeouts before a snapshot is sent
// again. The wait starts at one, as a lost snapshot delays the repair of a group, and grows, as a
// slow link must not be filled with copies.
const maxSnapshotWaitElections = 4

// sendSnapshot sends the snapshot unless one was sent recently. In either case the next entry is
// the one after it, so that heartbeat responses keep showing whether the replica lacks it.
func (c *Core) sendSnapshot(id string, p *progress) {
	snap := c.log.snapshot
	p.nextIndex = snap.Index + 1
	if p.snapshotWaitTicks > 0 {
		return
	}
	p.snapshotWaitElections = min(max(1, 2*p.snapshotWaitElections), maxSnapshotWaitElections)
	p.snapshotWaitTicks = p.snapshotWaitElections * c.options.ElectionTicks
	c.sendAsLeader(Message{Type: MsgSnapshot, To: id, Snapshot: &snap})
}

// sendAfterSave queues a message that must not be sent before the next save. Consecutive
// acknowledgements are merged, which bounds the queue while the disk stalls.
func (c *Core) sendAfterSave(m Message) {
	m.From = c.options.ID
	if last := len(c.messagesAfterSave) - 1; last >= 0 && canMergeAcks(&c.messagesAfterSave[last], &m) {
		c.messagesAfterSave[last].Index = max(c.messagesAfterSave[last].Index, m.Index)
		return
	}
	c.messagesAfterSave = append(c.messagesAfterSave, m)
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
