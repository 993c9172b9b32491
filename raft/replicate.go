package raft

import "slices"

// Step takes in a message of another replica.
func (c *Core) Step(m Message) {
	if m.To != c.opt.ID {
		return
	}
	switch m.Type {
	case MsgPreVote:
		if !c.hearsLeader() {
			c.voteRequest(m)
		}
		return
	case MsgPreVoteResp:
		c.preVoteResponse(m)
		return
	case MsgVote:
		if c.hearsLeader() && !m.Transfer {
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
		c.answerStale(m)
		return
	}
	c.stepCurrent(m)
}

// answerStale tells a leader of an earlier term that it no longer leads.
func (c *Core) answerStale(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Reject: true, Hint: c.log.last()})
	}
}

func (c *Core) stepCurrent(m Message) {
	switch m.Type {
	case MsgVote:
		c.voteRequest(m)
	case MsgVoteResp:
		c.voteResponse(m)
	case MsgAppend:
		c.follow(m)
		c.appendRequest(m)
	case MsgHeartbeat:
		c.follow(m)
		c.commitTo(min(m.Commit, m.Index))
		// It is answered at once, also while the disk stalls: a leader that hears a
		// quorum keeps its lead, and changes go on with those whose disks answer.
		c.sendNow(Message{
			Type: MsgHeartbeatResp, To: m.From, Term: c.state.Term, Round: m.Round,
			Index: c.log.last(), Hint: c.held, Saved: min(c.held, c.log.stable),
		})
	case MsgSnapshot:
		c.follow(m)
		c.snapshotRequest(m)
	case MsgAppendResp:
		c.appendResponse(m)
	case MsgHeartbeatResp:
		c.heartbeatResponse(m)
	case MsgTimeoutNow:
		c.takeOver(m)
	}
}

// follow accepts the sender as the leader of the current term.
func (c *Core) follow(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.elapsed = 0
	c.yielded = false
}

// maxUnsaved is how many entries a replica whose disk stalls takes in: its memory ends,
// and what it does not take is sent again.
const maxUnsaved = 1 << 14

func (c *Core) appendRequest(m Message) {
	if m.Index < c.log.snap.Index {
		// What lies before the snapshot is committed and so the same.
		c.held = max(c.held, c.log.commit)
		c.send(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commit})
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index-1, c.log.last())
		c.sendNow(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: m.Index, Reject: true, Hint: hint})
		return
	}
	if c.saving && c.log.last()-min(c.log.stable, c.log.last()) >= maxUnsaved && m.Index+uint64(len(m.Entries)) > c.log.last() {
		return
	}
	c.log.merge(m.Entries)
	c.refreshConf()
	last := m.Index + uint64(len(m.Entries))
	c.held = max(c.held, last)
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: last})
}

func (c *Core) commitTo(index uint64) {
	index = min(index, c.log.last())
	c.log.commit = max(c.log.commit, index)
}

func (c *Core) snapshotRequest(m Message) {
	s := m.Snapshot
	if s != nil && s.Index > c.log.commit {
		if t, ok := c.log.term(s.Index); ok && t == s.Term {
			// The entries are here; only the commit is news.
			c.commitTo(s.Index)
		} else {
			c.log.restore(*s)
			c.restored = s
			c.refreshConf()
		}
		c.held = max(c.held, c.log.commit)
	}
	c.send(Message{Type: MsgAppendResp, To: m.From, Term: c.state.Term, Index: c.log.commit})
}

func (c *Core) heard(id string) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.peers[id]
	if p != nil {
		p.heard = true
		p.silent = 0
	}
	return p
}

func (c *Core) appendResponse(m Message) {
	p := c.heard(m.From)
	if p == nil {
		return
	}
	p.snapshotWait = 0
	if m.Reject {
		if m.Index == p.next-1 || m.Hint+1 < p.next {
			p.next = max(p.match+1, m.Hint+1)
			c.sendAppend(m.From, p)
		}
		return
	}
	c.confirmSaved(p, m.Index)
	if c.role == Leader && p.next <= c.log.last() {
		c.sendAppend(m.From, p)
	}
}

// confirmSaved takes in up to which index a replica has persisted the log.
func (c *Core) confirmSaved(p *progress, index uint64) {
	if index <= p.match {
		return
	}
	p.match = index
	p.unsaved = 0
	p.next = max(p.next, index+1)
	c.advanceCommit()
	c.passLead()
}

func (c *Core) heartbeatResponse(m Message) {
	p := c.heard(m.From)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	c.confirmReads()
	c.confirmSaved(p, m.Saved)
	if c.role != Leader {
		return
	}
	if m.Round >= p.beatRound && p.beatNext > 0 {
		c.sendAgain(m, p)
	}
}

// sendAgain sends what was sent before the present round of heartbeats and did not come
// to the replica: the append or its answer was lost, or the replica is new. What it
// holds without having persisted it is not sent again.
func (c *Core) sendAgain(m Message, p *progress) {
	stuck := p.match < c.log.last() && p.match == p.beatMatch && m.Hint+1 < p.beatNext
	p.beatMatch, p.beatNext = p.match, 0
	if !stuck {
		return
	}
	p.next = max(p.match, m.Hint) + 1
	if p.match == 0 {
		p.next = min(max(m.Index+1, 1), c.log.last()+1)
	}
	c.sendAppend(m.From, p)
}

// advanceCommit commits what a quorum has persisted, if it is of this term.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, v := range c.conf.Voters {
		if v.ID == c.opt.ID {
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
	if !c.conf.IsVoter(c.opt.ID) && c.confIndex <= c.log.commit {
		// The change that removed this replica is in force.
		c.becomeFollower(c.state.Term, "")
	}
}

// confirmReads releases the reads whose heartbeat round a quorum answered.
func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		n := 0
		for _, v := range c.conf.Voters {
			if v.ID == c.opt.ID || c.peers[v.ID].round >= c.reads[0].round {
				n++
			}
		}
		if n < c.quorum() {
			return
		}
		c.done = append(c.done, ReadResult{c.reads[0].id, c.reads[0].index, true})
		c.reads = c.reads[1:]
	}
}

func (c *Core) others(send func(id string, p *progress)) {
	for _, p := range slices.Concat(c.conf.Voters, c.conf.Learners) {
		if p.ID != c.opt.ID {
			send(p.ID, c.peers[p.ID])
		}
	}
}

func (c *Core) broadcast() { c.others(c.sendAppend) }

// broadcastCommit tells the others of a commit; those with entries to send
// learn it with them.
func (c *Core) broadcastCommit() {
	c.others(func(id string, p *progress) { c.sendHeartbeat(id, p) })
}

func (c *Core) sendHeartbeats() { c.others(c.sendHeartbeat) }

func (c *Core) sendHeartbeat(id string, p *progress) {
	// Index is the last entry known to be the same on both sides: only up to
	// there may the commit index be believed.
	c.sendEarly(Message{Type: MsgHeartbeat, To: id, Commit: c.log.commit, Index: p.match, Round: c.round})
}

func (c *Core) sendAppend(id string, p *progress) {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	hi := min(c.log.last(), prev+uint64(c.opt.MaxBatchEntries))
	es := slices.Clone(c.log.slice(p.next, hi))
	p.next = hi + 1
	c.sendEarly(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Commit: c.log.commit, Entries: es})
}

// snapshotRetry is how many election times a snapshot may take to arrive.
const snapshotRetry = 4

func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotWait > 0 {
		return
	}
	p.snapshotWait = snapshotRetry * c.opt.ElectionTicks
	snap := c.log.snap
	p.next = snap.Index + 1
	c.sendEarly(Message{Type: MsgSnapshot, To: id, Snapshot: &snap})
}

// send queues a message that promises what must be persisted first. Of confirmed
// entries the last word says all: while a disk stalls no more than it is kept.
func (c *Core) send(m Message) {
	m.From = c.opt.ID
	if last := len(c.messages) - 1; last >= 0 && confirms(&c.messages[last], &m) {
		c.messages[last].Index = max(c.messages[last].Index, m.Index)
		return
	}
	c.messages = append(c.messages, m)
}

// confirms tells whether two messages confirm entries to one leader.
func confirms(a, b *Message) bool {
	return a.Type == MsgAppendResp && b.Type == MsgAppendResp && a.To == b.To && a.Term == b.Term && !a.Reject && !b.Reject
}

// sendNow queues a message that promises nothing of the disk, its term set.
func (c *Core) sendNow(m Message) {
	m.From = c.opt.ID
	c.early = append(c.early, m)
}

// sendEarly queues a leader's message, which promises nothing of its disk.
func (c *Core) sendEarly(m Message) {
	m.Term = c.state.Term
	c.sendNow(m)
}
