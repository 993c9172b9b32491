package raft

// Tick advances the replica's logical clock by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionElapsed++
	if c.saving {
		c.saveTicks++
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.preCampaign()
	}
}

// tickLeader sends heartbeats and steps down without a responsive quorum.
func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silentTicks++
		p.unsavedTicks++
		p.savedTicks++
		if p.matchIndex == c.log.lastIndex() {
			p.unsavedTicks = 0
		}
		if p.snapshotWaitTicks > 0 {
			p.snapshotWaitTicks--
		}
	}
	c.tickTransfer()
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.heartbeatRound++
		for _, p := range c.peers {
			// A round stays open until it is answered: over a slow link, the answers would
			// always be to earlier rounds.
			if p.heartbeatNextIndex == 0 {
				p.heartbeatNextIndex, p.heartbeatRound = p.nextIndex, c.heartbeatRound
			}
		}
		c.sendHeartbeats()
	}
	if c.electionElapsed < c.options.ElectionTicks {
		return
	}
	c.electionElapsed = 0
	if !c.checkQuorumActive() {
		// A leader without a quorum must not serve as if it were current, and must not
		// keep the other replicas from electing a new one.
		c.becomeFollower(c.state.Term, "")
	}
}

// checkQuorumActive reports whether a quorum has responded since the previous call.
func (c *Core) checkQuorumActive() bool {
	n := 0
	for _, v := range c.conf.Voters {
		if v.ID == c.options.ID || c.peers[v.ID].recentlyActive {
			n++
		}
	}
	for _, p := range c.peers {
		p.recentlyActive = false
	}
	return n >= c.quorum()
}

// preCampaign asks whether an election could succeed without increasing the term, so that
// a replica returning from a partition does not disrupt the group.
func (c *Core) preCampaign() {
	c.electionElapsed = 0
	c.electionTimeout = c.randomRetryTimeout()
	// Learners clear their leader as well: a learner's vote may be needed if it was
	// promoted but has not yet received the change.
	c.leaderID = ""
	if !c.conf.IsVoter(c.options.ID) || c.saving {
		// Vote requests wait for the save in progress. Replicas whose saves end together
		// would otherwise become candidates together every time.
		return
	}
	c.role = PreCandidate
	c.preVotes = map[string]bool{c.options.ID: true}
	if c.hasVoteQuorum(c.preVotes) {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MsgPreVote, Term: c.state.Term + 1})
}

// retryDivisor divides the election timeout to give the shorter timeout after a failed
// election, when no leader is known. A full one would only wait longer for a vote that was
// split, or for voters that heard the lost leader for a moment longer.
const retryDivisor = 4

// retrySaves is the minimum timeout after a failed election in saves of this replica: a vote needs
// one of the candidate and one of the voter. Replicas whose disks are equally slow would otherwise
// all vote for themselves, again and again, before they hear of each other.
const retrySaves = 2

// maxRetryElections limits the part of the saves in election timeouts. Replicas would otherwise
// wait twice as long as a stall of their disks that is over.
const maxRetryElections = 4

// minRetryTimeout returns the minimum timeout after a failed election. The save in progress
// counts as well: disks may have become slow since the last one.
func (c *Core) minRetryTimeout() int {
	saves := retrySaves * max(c.lastSaveTicks, c.SaveTicks())
	return max(1, c.options.ElectionTicks/retryDivisor, min(saves, maxRetryElections*c.options.ElectionTicks))
}

// randomRetryTimeout returns a random timeout until the next election attempt.
func (c *Core) randomRetryTimeout() int {
	part := c.minRetryTimeout()
	return part + c.options.Rand.IntN(part)
}

// deferToCandidate delays this replica's own election to avoid splitting the vote between
// simultaneous candidates. It does so at most once until a leader is heard or the term changes.
func (c *Core) deferToCandidate() {
	if c.electionDeferred {
		return
	}
	c.electionDeferred = true
	c.electionTimeout = max(c.electionTimeout, c.electionElapsed+c.minRetryTimeout())
}

// campaign starts an election. transfer is set if the leader requested it.
func (c *Core) campaign(transfer bool) {
	c.role = Candidate
	c.leaderID = ""
	c.startTerm(c.state.Term + 1)
	c.state.Vote = c.options.ID
	c.preVotes = nil
	c.votes = map[string]bool{c.options.ID: true}
	if c.hasVoteQuorum(c.votes) {
		c.becomeLeader()
		return
	}
	c.requestVotes(Message{Type: MsgVote, Term: c.state.Term, Transfer: transfer})
}

// requestVotes sends a vote request to all other voters. Requests wait for the save in
// progress, pre-votes included, as does granting them: a group whose disks stall keeps its term.
func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, v := range c.conf.Voters {
		if v.ID != c.options.ID {
			m.To = v.ID
			c.sendAfterSave(m)
		}
	}
}

// hasVoteQuorum reports whether a quorum granted its vote.
func (c *Core) hasVoteQuorum(votes map[string]bool) bool {
	n := 0
	for _, v := range c.conf.Voters {
		if votes[v.ID] {
			n++
		}
	}
	return n >= c.quorum()
}

// hasLostVote reports whether a quorum of granted votes has become impossible.
func (c *Core) hasLostVote(votes map[string]bool) bool {
	n := 0
	for _, v := range c.conf.Voters {
		if granted, voted := votes[v.ID]; voted && !granted {
			n++
		}
	}
	return n > len(c.conf.Voters)-c.quorum()
}

// becomeLeader takes leadership of the current term and appends its first entry.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leaderID = c.options.ID
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.preVotes, c.votes = nil, nil
	c.peers = map[string]*progress{}
	c.refreshConf()
	for _, p := range c.peers {
		p.recentlyActive = true
	}
	// An entry of the current term is needed to commit entries of earlier terms.
	c.append(Entry{Type: EntryData})
	c.broadcastAppend()
}

// handleVoteRequest answers MsgPreVote and MsgVote. Grants wait for the next save.
func (c *Core) handleVoteRequest(m Message) {
	resp := MsgVoteResp
	if m.Type == MsgPreVote {
		resp = MsgPreVoteResp
	}
	grant := c.log.isUpToDate(m.Index, m.LogTerm) && c.canGrantVote(m)
	switch {
	case grant && m.Type == MsgVote:
		c.state.Vote = m.From
		c.electionElapsed = 0
	case grant:
		c.deferToCandidate()
	}
	term := c.state.Term
	if grant {
		term = m.Term
	}
	answer := Message{Type: resp, To: m.From, Term: term, Reject: !grant}
	if grant {
		c.sendAfterSave(answer)
		return
	}
	c.sendNow(answer)
}

// canGrantVote reports whether this replica's term and earlier votes allow a grant.
func (c *Core) canGrantVote(m Message) bool {
	if m.Type == MsgPreVote {
		return m.Term > c.state.Term
	}
	return m.Term == c.state.Term && (c.state.Vote == "" || c.state.Vote == m.From)
}

// hasActiveLeader reports whether a leader was heard within the minimum election timeout.
// Vote requests are then ignored, so that a replica which alone lost contact cannot
// depose the leader.
func (c *Core) hasActiveLeader() bool {
	return c.role == Leader || c.leaderID != "" && c.electionElapsed < c.options.ElectionTicks
}

// handleVoteResponse counts a vote and ends the election if it is decided.
func (c *Core) handleVoteResponse(m Message) {
	// Votes count until their term ends, even after the next pre-vote has started. A group
	// whose syncs take longer than the candidate's timeout could otherwise never elect.
	if m.Term != c.state.Term || c.votes == nil {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.hasVoteQuorum(c.votes):
		c.becomeLeader()
	case c.role == Candidate && c.hasLostVote(c.votes):
		c.becomeFollower(c.state.Term, "")
		c.electionTimeout = c.randomRetryTimeout()
	}
}

// handlePreVoteResponse counts a pre-vote and starts the election if a quorum granted it.
func (c *Core) handlePreVoteResponse(m Message) {
	switch {
	case c.role != PreCandidate:
		return
	case m.Reject && m.Term > c.state.Term:
		c.becomeFollower(m.Term, "")
		return
	case !m.Reject && m.Term != c.state.Term+1:
		return
	}
	c.preVotes[m.From] = !m.Reject
	switch {
	case c.hasVoteQuorum(c.preVotes):
		c.campaign(false)
	case c.hasLostVote(c.preVotes):
		c.becomeFollower(c.state.Term, "")
	}
}
