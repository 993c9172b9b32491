package node

import "github.com/umberthread/umberthread/raft"

// stallWatch is what a replica knows of disks that do not answer.
type diskStalls struct {
	// own tells whether the own disk stalls.
	ownDisk bool
	// quorum tells whether so many disks of the group stall that nothing can be
	// committed; only a leader knows.
	quorum bool
}

// watchDisks says when disks begin to stall and when they answer again. A leader
// refuses changes while it lacks a quorum of disks, in place of taking in what
// it can't confirm.
func (g *group) checkDiskStalls() {
	own := g.core.SaveTicks() >= stallTicks
	if own != g.stall.ownDisk {
		g.reportStall(own, "its disk has not answered for "+(stallTicks*raftTick).String(), "its disk answers again")
	}
	quorum := g.core.Role() == raft.Leader && !g.hasDiskQuorum(own)
	if quorum != g.stall.quorum {
		g.reportStall(quorum, "the disks of too many replicas stall, changes are refused", "a quorum of disks answers, changes are taken")
	}
	g.stall = diskStalls{own, quorum}
	g.savingFor.Store(int64(g.core.SaveTicks()) * int64(raftTick))
	g.stalled.Store(quorum)
}

func (g *group) reportStall(stalls bool, begins, ends string) {
	text := ends
	if stalls {
		text = begins
	}
	g.r.n.event("replica", "Group "+formatUint(uint64(g.id))+": "+text+".")
}

// quorumOfDisks tells whether the disks of a quorum answer a leader.
func (g *group) hasDiskQuorum(ownStalls bool) bool {
	voters := g.core.Conf().Voters
	stalled := 0
	for _, v := range voters {
		if v.ID == g.r.id && ownStalls || g.core.Unsaved(v.ID) >= stallTicks {
			stalled++
		}
	}
	return len(voters)-stalled > len(voters)/2
}
