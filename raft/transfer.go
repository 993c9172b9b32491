package raft

// tickTransfer transfers leadership if the local disk stalls, so that the group again
// tolerates the loss of a replica.
func (c *Core) tickTransfer() {
	if c.transferee != "" {
		c.transferTicks++
		if c.transferTicks >= c.options.ElectionTicks {
			c.transferee = ""
		}
		return
	}
	if c.options.StallTicks == 0 || c.SaveTicks() < c.options.StallTicks {
		return
	}
	c.transferee = c.selectTransferee()
	c.transferTicks = 0
	c.requestTakeover()
}

// selectTransferee returns the voter with the longest persisted log, or "" unless a quorum
// has persisted more than this leader: if a quorum of disks stalls, no other leader could
// commit either.
func (c *Core) selectTransferee() string {
	best, match, eligible := "", c.log.stableIndex, 0
	for _, v := range c.conf.Voters {
		p := c.peers[v.ID]
		if v.ID == c.options.ID || p.matchIndex <= c.log.stableIndex || p.silentTicks >= c.options.ElectionTicks {
			continue
		}
		eligible++
		if p.matchIndex > match {
			best, match = v.ID, p.matchIndex
		}
	}
	if eligible < c.quorum() {
		return ""
	}
	return best
}

// requestTakeover asks the transferee to start an election once it has persisted all entries.
func (c *Core) requestTakeover() {
	if c.role != Leader || c.transferee == "" {
		return
	}
	if p := c.peers[c.transferee]; p != nil && p.matchIndex == c.log.lastIndex() {
		c.sendAsLeader(Message{Type: MsgTimeoutNow, To: c.transferee})
	}
}

// handleTimeoutNow starts an election at the leader's request, unless the local disk stalls:
// this replica could then not persist its own vote.
func (c *Core) handleTimeoutNow(m Message) {
	diskStalled := c.options.StallTicks > 0 && c.SaveTicks() >= c.options.StallTicks
	if c.role != Follower || c.leaderID != m.From || diskStalled || !c.conf.IsVoter(c.options.ID) {
		return
	}
	c.electionElapsed = 0
	c.campaign(true)
}
