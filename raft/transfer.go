package raft

// tickTransfer hands the lead over if the own disk stalls: the group then commits
// with the other disks alone and bears no loss.
func (c *Core) tickTransfer() {
	if c.heir != "" {
		c.heirTicks++
		if c.heirTicks >= c.opt.ElectionTicks {
			c.heir = ""
		}
		return
	}
	if c.opt.StallTicks == 0 || c.SaveTicks() < c.opt.StallTicks {
		return
	}
	c.heir = c.soundestVoter()
	c.heirTicks = 0
	c.passLead()
}

// soundestVoter returns the voter that has persisted most, if a quorum has persisted
// what this leader's disk has not, else "": where a quorum of disks stalls, a change of
// the leader helps nobody.
func (c *Core) soundestVoter() string {
	best, match, sound := "", c.log.stable, 0
	for _, v := range c.conf.Voters {
		p := c.peers[v.ID]
		if v.ID == c.opt.ID || p.match <= c.log.stable || p.silent >= c.opt.ElectionTicks {
			continue
		}
		sound++
		if p.match > match {
			best, match = v.ID, p.match
		}
	}
	if sound < c.quorum() {
		return ""
	}
	return best
}

// passLead asks the heir to stand for election once it has persisted all entries.
func (c *Core) passLead() {
	if c.role != Leader || c.heir == "" {
		return
	}
	if p := c.peers[c.heir]; p != nil && p.match == c.log.last() {
		c.sendEarly(Message{Type: MsgTimeoutNow, To: c.heir})
	}
}

// takeOver stands for election at once, as the leader asks. A replica whose own
// disk stalls could not vote for itself.
func (c *Core) takeOver(m Message) {
	stalls := c.opt.StallTicks > 0 && c.SaveTicks() >= c.opt.StallTicks
	if c.role != Follower || c.leader != m.From || stalls || !c.conf.IsVoter(c.opt.ID) {
		return
	}
	c.elapsed = 0
	c.campaign(true)
}
