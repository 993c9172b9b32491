package raft

// Tick tells the replica that one unit of time has passed.
func (c *Core) Tick() {
	c.elapsed++
	if c.saving {
		c.saveTicks++
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout {
		c.preCampaign()
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silent++
		p.unsaved++
		if p.match == c.log.last() {
			p.unsaved = 0
		}
		if p.snapshotWait > 0 {
			p.snapshotWait--
		}
	}
	c.tickTransfer()
	c.beat++
	if c.beat >= c.opt.HeartbeatTicks {
		c.beat = 0
		c.round++
		for _, p := range c.peers {
			p.beatNext, p.beatRound = p.next, c.round
		}
		c.sendHeartbeats()
	}
	if c.elapsed < c.opt.ElectionTicks {
		return
	}
	c.elapsed = 0
	if !c.heardQuorum() {
		// A leader that cannot hear a quorum must not answer as if it were
		// current, and must not keep the others from electing.
		c.becomeFollower(c.state.Term, "")
	}
}

// heardQuorum tells whether a quorum answered since it was last called.
func (c *Core) heardQuorum() bool {
	n := 0
	for _, v := range c.conf.Voters {
		if v.ID == c.opt.ID || c.peers[v.ID].heard {
			n++
		}
	}
	for _, p := range c.peers {
		p.heard = false
	}
	return n >= c.quorum()
}

// preCampaign asks whether an election could be won, without raising the
// term: a replica that was cut off does not disturb the others on return.
func (c *Core) preCampaign() {
	c.elapsed = 0
	c.timeout = c.retryTime()
	// Also a learner gives its leader up: its vote may be needed, as it may have
	// been given one that it does not know of.
	c.leader = ""
	if !c.conf.IsVoter(c.opt.ID) || c.saving {
		// What waits for the disk is sent when its save ends: replicas whose saves
		// end together would stand together, each time.
		return
	}
	c.role = PreCandidate
	c.preVotes = map[string]bool{c.opt.ID: true}
	if c.won(c.preVotes) {
		c.campaign(false)
		return
	}
	c.askVotes(Message{Type: MsgPreVote, Term: c.state.Term + 1})
}

// retryPart is the part of an election time after which a replica that stood and did
// not win stands again: no leader is there, and to wait as long as for the first time
// would only be for a vote that was split or for voters that heard the lost leader for
// a moment longer.
const retryPart = 4

// retryTime draws the time until the next try.
func (c *Core) retryTime() int {
	part := max(1, c.opt.ElectionTicks/retryPart)
	return part + c.opt.Rand.IntN(part)
}

// yield leaves a candidate the time to win, once until a leader is heard or a term
// ends: two that stand at the same time split the votes.
func (c *Core) yield() {
	if c.yielded {
		return
	}
	c.yielded = true
	c.timeout = max(c.timeout, c.elapsed+max(1, c.opt.ElectionTicks/retryPart))
}

// campaign stands for election. A transfer is one that the leader asked for.
func (c *Core) campaign(transfer bool) {
	c.role = Candidate
	c.leader = ""
	c.raiseTerm(c.state.Term + 1)
	c.state.Vote = c.opt.ID
	c.preVotes = nil
	c.votes = map[string]bool{c.opt.ID: true}
	if c.won(c.votes) {
		c.becomeLeader()
		return
	}
	c.askVotes(Message{Type: MsgVote, Term: c.state.Term, Transfer: transfer})
}

// askVotes sends a request for a vote to all other voters. Also one before the
// election waits for the disk, as its grant does: a group whose disks stall stays
// in its term.
func (c *Core) askVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, v := range c.conf.Voters {
		if v.ID != c.opt.ID {
			m.To = v.ID
			c.send(m)
		}
	}
}

// won tells whether a quorum has granted its vote.
func (c *Core) won(votes map[string]bool) bool {
	n := 0
	for _, v := range c.conf.Voters {
		if votes[v.ID] {
			n++
		}
	}
	return n >= c.quorum()
}

// lost tells whether no quorum can grant its vote any more.
func (c *Core) lost(votes map[string]bool) bool {
	n := 0
	for _, v := range c.conf.Voters {
		if granted, voted := votes[v.ID]; voted && !granted {
			n++
		}
	}
	return n > len(c.conf.Voters)-c.quorum()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.opt.ID
	c.elapsed = 0
	c.beat = 0
	c.preVotes, c.votes = nil, nil
	c.peers = map[string]*progress{}
	c.refreshConf()
	for _, p := range c.peers {
		p.heard = true
	}
	// An entry of the own term is needed to commit those of earlier terms.
	c.append(Entry{Type: EntryData})
	c.broadcast()
}

// voteRequest answers MsgPreVote and MsgVote.
func (c *Core) voteRequest(m Message) {
	resp := MsgVoteResp
	if m.Type == MsgPreVote {
		resp = MsgPreVoteResp
	}
	grant := c.log.upToDate(m.Index, m.LogTerm) && c.mayVote(m)
	switch {
	case grant && m.Type == MsgVote:
		c.state.Vote = m.From
		c.elapsed = 0
	case grant:
		c.yield()
	}
	term := c.state.Term
	if grant {
		term = m.Term
	}
	answer := Message{Type: resp, To: m.From, Term: term, Reject: !grant}
	if grant {
		c.send(answer)
		return
	}
	c.sendNow(answer)
}

func (c *Core) mayVote(m Message) bool {
	if m.Type == MsgPreVote {
		return m.Term > c.state.Term
	}
	return m.Term == c.state.Term && (c.state.Vote == "" || c.state.Vote == m.From)
}

// hearsLeader tells whether a leader was heard within the least election
// time; votes are then refused, so that a replica which alone cannot hear the
// leader does not unseat it.
func (c *Core) hearsLeader() bool {
	return c.role == Leader || c.leader != "" && c.elapsed < c.opt.ElectionTicks
}

func (c *Core) voteResponse(m Message) {
	// Votes of the current term count until it ends, also after the next election
	// was begun: a group whose disks take as long as a candidate waits would never
	// have a leader.
	if m.Term != c.state.Term || c.votes == nil {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.won(c.votes):
		c.becomeLeader()
	case c.role == Candidate && c.lost(c.votes):
		c.becomeFollower(c.state.Term, "")
		c.timeout = c.retryTime()
	}
}

func (c *Core) preVoteResponse(m Message) {
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
	case c.won(c.preVotes):
		c.campaign(false)
	case c.lost(c.preVotes):
		c.becomeFollower(c.state.Term, "")
	}
}
