// Package repair decides how a replica group replaces lost members. It changes one member at
// a time, adds a new replica as a learner until it has caught up, and spreads the replicas over
// the failure domains. Its functions have no side effects: they derive the next membership from
// the status of the group.
package repair

import (
	"slices"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// Health is the leader's view of a member.
type Health struct {
	// SilentFor is the time since the member was last heard from.
	SilentFor time.Duration
	// UnsavedFor is the time during which it lacked entries and confirmed none of them. A
	// replica whose disk stalls is still heard.
	UnsavedFor time.Duration
	// SavedAgo is the time since it last confirmed an entry.
	SavedAgo time.Duration
	// Lag is the number of entries that it lacks.
	Lag uint64
}

// unresponsiveFor returns the time since the member was last heard from or its disk stalled.
func (h Health) unresponsiveFor() time.Duration { return max(h.SilentFor, h.UnsavedFor) }

// isHealthy reports whether the member was heard recently, its disk responds and it has nearly
// all entries.
func (h Health) isHealthy(o Options) bool {
	return h.Lag <= o.MaxLag && h.unresponsiveFor() < o.SuspectAfter
}

// Options configures the repair.
type Options struct {
	// TargetVoters is the desired number of voters.
	TargetVoters int
	// SuspectAfter is the silence of a voter after which a learner is added as its
	// replacement.
	SuspectAfter time.Duration
	// ReplaceAfter is the silence of a voter after which a learner that has caught up
	// replaces it. A learner may take as long to load its snapshot before another one is added
	// beside it.
	ReplaceAfter time.Duration
	// MaxLag is the maximum number of entries that a healthy member may lack.
	MaxLag uint64
}

// GroupStatus is the input to repair decisions.
type GroupStatus struct {
	Conf raft.Conf
	// LeaderID is the identity of the leader, which makes the decision.
	LeaderID string
	// Health has an entry for each member except the leader.
	Health map[string]Health
	// Candidates are the live replicas, members or not. Each must have confirmed its
	// identity at its address, as information from third parties may predate the loss of
	// a disk.
	Candidates []raft.Peer
}

// Plan is a proposed membership and the reason for it.
type Plan struct {
	Conf   raft.Conf
	Reason string
}

// Settled reports whether the group has the desired membership and no suspected voter, so that
// the next check may be delayed.
func Settled(g GroupStatus, o Options) bool {
	_, suspected := unresponsiveVoter(g, o.SuspectAfter)
	return !suspected && len(g.Conf.Voters) == o.TargetVoters && len(g.Conf.Learners) == 0
}

// ToleratesFailure reports whether the group can still commit after the loss of any one more
// replica: one more voter than a quorum is healthy.
func ToleratesFailure(g GroupStatus, o Options) bool {
	healthy := 0
	for _, v := range g.Conf.Voters {
		if v.ID == g.LeaderID || g.Health[v.ID].isHealthy(o) && !addressReused(g, v) {
			healthy++
		}
	}
	return healthy > len(g.Conf.Voters)/2+1
}

// NextChange returns the next membership change, or false if none is needed.
//
// A learner does not affect the quorum, so it is added as soon as a voter is suspected, and another
// one beside a learner that does not respond. It is promoted only once the voter counts as lost; a
// voter that returns earlier keeps its place. A voter whose disk is lost is removed right before the
// promotion, a silent one after it, as its disk may return when another one is lost.
func NextChange(g GroupStatus, o Options) (Plan, bool) {
	if p, ok := updateAddress(g); ok {
		return p, true
	}
	lost, hasLost := unresponsiveVoter(g, o.ReplaceAfter)
	suspect, hasSuspect := unresponsiveVoter(g, o.SuspectAfter)
	if hasLost && len(g.Conf.Voters) > o.TargetVoters {
		return Plan{g.Conf.Without(lost.ID), "removed " + lost.ID + ": it has been replaced"}, true
	}
	if p, ok := removeLearner(g, o, hasSuspect); ok {
		return p, true
	}
	if hasLost || len(g.Conf.Voters) < o.TargetVoters {
		learner, p, ok := promoteLearner(g, o)
		if v, wiped := voterWithoutDisk(g); ok && wiped && learner.ID != "" && len(g.Conf.Voters) == o.TargetVoters {
			// The voter is of no use any more. Beside it, the learner would add to the quorum:
			// the loss of the new disk, or its stall, would leave none.
			return Plan{g.Conf.Without(v.ID), "removed " + v.ID + ": its disk is lost, and learner " + learner.ID + " replaces it"}, true
		}
		if ok {
			return p, true
		}
	}
	if !hasResponsiveLearner(g, o) && (len(g.Conf.Voters) < o.TargetVoters || len(g.Conf.Voters) == o.TargetVoters && hasSuspect) {
		if c, ok := selectCandidate(g, suspect); ok {
			return Plan{g.Conf.With(c, false), "added " + c.ID + " at " + c.Addr + " as a learner"}, true
		}
	}
	if len(g.Conf.Voters) > o.TargetVoters && allVotersHealthy(g, o) {
		p := surplusVoter(g)
		return Plan{g.Conf.Without(p.ID), "removed " + p.ID + ": more voters than required"}, true
	}
	return Plan{}, false
}

// updateAddress plans the new address of a voter. A voter that also responds at its current
// address keeps it, so that the address does not alternate and block other repairs.
func updateAddress(g GroupStatus) (Plan, bool) {
	for i, v := range g.Conf.Voters {
		if slices.ContainsFunc(g.Candidates, func(c raft.Peer) bool { return c.ID == v.ID && c.Addr == v.Addr }) {
			continue
		}
		for _, c := range g.Candidates {
			if v.ID == c.ID && v.Addr != c.Addr {
				next := g.Conf.Without("")
				next.Voters[i].Addr = c.Addr
				return Plan{next, "changed the address of " + c.ID + " to " + c.Addr}, true
			}
		}
	}
	return Plan{}, false
}

// maxSavedAgo is the maximum time since a learner last confirmed an entry when it is promoted. It
// exceeds the interval between two decisions, so that one of them follows in time. None may be
// left out for the commit of the entry that checks the disk: other voters may take longer for it.
const maxSavedAgo = 250 * time.Millisecond

// promoteLearner plans the promotion of a healthy learner that has confirmed an entry recently.
// A learner whose disk stalls would add to the quorum and could not contribute to it, so that the
// group commits nothing. In an idle group, an entry that changes nothing shows whether it does;
// the plan then has no learner.
func promoteLearner(g GroupStatus, o Options) (learner raft.Peer, p Plan, ok bool) {
	// One more voter than an even number leaves the quorum as it is. The learner has confirmed an
	// entry before the number became even, and the commit of that change may have taken long.
	savedAgo := maxSavedAgo
	if len(g.Conf.Voters)%2 == 0 {
		savedAgo = o.ReplaceAfter
	}
	probe := ""
	for _, l := range g.Conf.Learners {
		h, ok := g.Health[l.ID]
		if !ok || !h.isHealthy(o) {
			continue
		}
		if h.SavedAgo < savedAgo {
			return l, Plan{g.Conf.With(l, true), "promoted learner " + l.ID + " to voter: it has caught up"}, true
		}
		if h.Lag == 0 {
			probe = l.ID
		}
	}
	if probe != "" {
		return raft.Peer{}, Plan{g.Conf.Without(""), "wrote an entry to check the disk of learner " + probe}, true
	}
	return raft.Peer{}, Plan{}, false
}

// hasResponsiveLearner reports whether a learner was heard recently and its disk confirms entries,
// or may still do so: it needs time to load a snapshot.
func hasResponsiveLearner(g GroupStatus, o Options) bool {
	return slices.ContainsFunc(g.Conf.Learners, func(l raft.Peer) bool {
		h := g.Health[l.ID]
		return h.SilentFor < o.SuspectAfter && h.UnsavedFor < o.ReplaceAfter
	})
}

// unresponsiveVoter returns a voter that has been silent for the given time, or whose disk is
// lost because another identity responds at its address.
func unresponsiveVoter(g GroupStatus, after time.Duration) (raft.Peer, bool) {
	for _, v := range g.Conf.Voters {
		if v.ID == g.LeaderID {
			continue
		}
		if addressReused(g, v) || g.Health[v.ID].unresponsiveFor() >= after {
			return v, true
		}
	}
	return raft.Peer{}, false
}

// voterWithoutDisk returns a voter whose disk is lost. A silent one may return with its disk.
func voterWithoutDisk(g GroupStatus) (raft.Peer, bool) {
	for _, v := range g.Conf.Voters {
		if v.ID != g.LeaderID && addressReused(g, v) {
			return v, true
		}
	}
	return raft.Peer{}, false
}

// addressReused reports whether another identity responds at the address of v.
func addressReused(g GroupStatus, v raft.Peer) bool {
	for _, c := range g.Candidates {
		if c.Addr == v.Addr && c.ID != v.ID {
			return true
		}
	}
	return false
}

// removeLearner plans the removal of a learner that is lost, or that is no longer needed because
// all voters are healthy. A silent learner that still confirms its identity keeps its place: it
// would only be added again.
func removeLearner(g GroupStatus, o Options, voterSuspected bool) (Plan, bool) {
	needed := voterSuspected || len(g.Conf.Voters) < o.TargetVoters
	for _, l := range g.Conf.Learners {
		if addressReused(g, l) || g.Health[l.ID].SilentFor >= o.ReplaceAfter && !slices.Contains(g.Candidates, l) {
			return Plan{g.Conf.Without(l.ID), "removed learner " + l.ID + ": it is lost"}, true
		}
		if !needed && allVotersHealthy(g, o) {
			return Plan{g.Conf.Without(l.ID), "removed learner " + l.ID + ": all voters are healthy"}, true
		}
	}
	return Plan{}, false
}

// allVotersHealthy reports whether all voters responded to this leader recently. It is false
// while a new leader has not yet heard from a voter.
func allVotersHealthy(g GroupStatus, o Options) bool {
	for _, v := range g.Conf.Voters {
		h, ok := g.Health[v.ID]
		if v.ID != g.LeaderID && (!ok || !h.isHealthy(o)) {
			return false
		}
	}
	return true
}

// selectCandidate returns the non-member whose failure domain has the fewest voters, not
// counting the lost one.
func selectCandidate(g GroupStatus, lost raft.Peer) (raft.Peer, bool) {
	count := map[string]int{}
	for _, v := range g.Conf.Voters {
		if v.ID != lost.ID {
			count[v.Domain]++
		}
	}
	var best raft.Peer
	found := false
	for _, c := range g.Candidates {
		if g.Conf.IsVoter(c.ID) || g.Conf.IsLearner(c.ID) {
			continue
		}
		if !found || count[c.Domain] < count[best.Domain] || count[c.Domain] == count[best.Domain] && c.ID < best.ID {
			best, found = c, true
		}
	}
	return best, found
}

// surplusVoter returns a voter other than the leader from the failure domain with most voters.
func surplusVoter(g GroupStatus) raft.Peer {
	count := map[string]int{}
	for _, v := range g.Conf.Voters {
		count[v.Domain]++
	}
	var surplus raft.Peer
	for _, v := range g.Conf.Voters {
		if v.ID != g.LeaderID && (surplus.ID == "" || count[v.Domain] > count[surplus.Domain]) {
			surplus = v
		}
	}
	return surplus
}
