package node

import "github.com/umberthread/umberthread/raft"

// diskStalls records which disk stalls a replica has detected in its group.
type diskStalls struct {
	// ownDiskStalled is set if this replica's disk stalls.
	ownDiskStalled bool
	// lacksQuorum is set on a leader if too many disks stall to commit changes.
	lacksQuorum bool
}

// checkDiskStalls detects disk stalls and reports when they start and end. A leader without a
// quorum of responsive disks refuses changes, as it could not confirm them.
func (g *group) checkDiskStalls() {
	own := g.core.SaveTicks() >= stallTicks
	if own != g.stall.ownDiskStalled {
		g.reportStall(own, "its disk has not responded for "+(stallTicks*raftTickInterval).String(), "its disk responds again")
	}
	quorum := g.core.Role() == raft.Leader && !g.hasDiskQuorum(own)
	if quorum != g.stall.lacksQuorum {
		g.reportStall(quorum, "no quorum of disks responds, changes are refused", "a quorum of disks responds again, changes are accepted")
	}
	g.stall = diskStalls{own, quorum}
	g.saveTime.Store(int64(g.core.SaveTicks()) * int64(raftTickInterval))
	g.stalled.Store(quorum)
}

// reportStall logs an event with startText if a stall starts, and with endText if it ends.
func (g *group) reportStall(stalled bool, startText, endText string) {
	text := endText
	if stalled {
		text = startText
	}
	g.replicas.node.logEvent("replica", "Group "+formatUint(uint64(g.id))+": "+text+".")
}

// hasDiskQuorum reports whether the disks of a quorum respond, as a leader sees it.
func (g *group) hasDiskQuorum(ownStalls bool) bool {
	voters := g.core.Conf().Voters
	stalled := 0
	for _, v := range voters {
		if v.ID == g.replicas.id && ownStalls || g.core.UnsavedTicks(v.ID) >= stallTicks {
			stalled++
		}
	}
	return len(voters)-stalled > len(voters)/2
}
