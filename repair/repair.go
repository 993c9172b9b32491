// Package repair decides how a replica group replaces members that are lost:
// one change at a time, a new replica follows without a vote until it has
// caught up, and the group's replicas are spread over the failure domains. It
// is pure: it looks at the group and returns the next membership.
package repair

import (
	"slices"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// Health is what the leader knows of a member.
type Health struct {
	// Silent is how long nothing was heard of it.
	SilentFor time.Duration
	// Lag is how many entries it lacks.
	Lag uint64
}

// sound tells whether the member was heard lately and follows closely.
func (h Health) sound(o Options) bool { return h.Lag <= o.MaxLag && h.SilentFor < o.SuspectAfter }

// Options are the settings of the repair.
type Options struct {
	// Target is how many voters the group should have.
	TargetVoters int
	// SuspectAfter is the silence of a voter after which a learner is made
	// ready for its place.
	SuspectAfter time.Duration
	// ReplaceAfter is the silence after which a learner that has caught up
	// takes its place.
	ReplaceAfter time.Duration
	// MaxLag is how many entries a learner may lack to get a vote.
	MaxLag uint64
}

// Group is what the decision depends on.
type GroupStatus struct {
	Conf raft.Conf
	// Self is the leader's identity.
	LeaderID string
	// Health has an entry for each member but the leader.
	Health map[string]Health
	// Candidates are replicas that are alive, members or not. Each has
	// answered under its identity at its address: what others tell of a
	// replica may be of the one that stood there before its disk was lost.
	Candidates []raft.Peer
}

// Plan is the next membership and why.
type Plan struct {
	Conf   raft.Conf
	Reason string
}

// Settled tells whether the group is as it should be: the look for the next
// change may take its time.
func Settled(g GroupStatus, o Options) bool {
	_, suspected := silentVoter(g, o.SuspectAfter)
	return !suspected && len(g.Conf.Voters) == o.TargetVoters && len(g.Conf.Learners) == 0
}

// BearsLoss tells whether the group commits on after any one more loss: all that
// it needs and one more are known to follow closely.
func ToleratesFailure(g GroupStatus, o Options) bool {
	sound := 0
	for _, v := range g.Conf.Voters {
		if v.ID == g.LeaderID || g.Health[v.ID].sound(o) && !replacedAt(g, v) {
			sound++
		}
	}
	return sound > len(g.Conf.Voters)/2+1
}

// Next returns the next change of the membership, or false if there is none
// to make.
//
// A learner costs no quorum, so it is taken in at the first suspicion; it gets
// the vote only once the silent voter counts as lost. A voter that was silent
// for less keeps its place.
func NextChange(g GroupStatus, o Options) (Plan, bool) {
	if p, ok := moved(g); ok {
		return p, true
	}
	lost, hasLost := silentVoter(g, o.ReplaceAfter)
	suspect, hasSuspect := silentVoter(g, o.SuspectAfter)
	if hasLost && len(g.Conf.Voters) > o.TargetVoters {
		return Plan{g.Conf.Without(lost.ID), "removed " + lost.ID + ", whose place is taken"}, true
	}
	if p, ok := dropLearner(g, o, hasSuspect); ok {
		return p, true
	}
	if hasLost || len(g.Conf.Voters) < o.TargetVoters {
		if p, ok := promote(g, o); ok {
			return p, true
		}
	}
	if len(g.Conf.Learners) == 0 && (len(g.Conf.Voters) < o.TargetVoters || len(g.Conf.Voters) == o.TargetVoters && hasSuspect) {
		if c, ok := bestCandidate(g, suspect); ok {
			return Plan{g.Conf.With(c, false), "added " + c.ID + " at " + c.Addr + " as a learner"}, true
		}
	}
	if len(g.Conf.Voters) > o.TargetVoters && allHeard(g, o) {
		p := surplus(g)
		return Plan{g.Conf.Without(p.ID), "removed " + p.ID + ", one more than wanted"}, true
	}
	return Plan{}, false
}

// moved takes over the new address of a member. One that answers at its address as
// well has not moved: it would be moved to and fro, and nothing repaired meanwhile.
func moved(g GroupStatus) (Plan, bool) {
	for i, v := range g.Conf.Voters {
		if slices.ContainsFunc(g.Candidates, func(c raft.Peer) bool { return c.ID == v.ID && c.Addr == v.Addr }) {
			continue
		}
		for _, c := range g.Candidates {
			if v.ID == c.ID && v.Addr != c.Addr {
				next := g.Conf.Without("")
				next.Voters[i].Addr = c.Addr
				return Plan{next, "moved " + c.ID + " to " + c.Addr}, true
			}
		}
	}
	return Plan{}, false
}

func promote(g GroupStatus, o Options) (Plan, bool) {
	for _, l := range g.Conf.Learners {
		h, ok := g.Health[l.ID]
		if ok && h.sound(o) {
			return Plan{g.Conf.With(l, true), "gave " + l.ID + " a vote, it has caught up"}, true
		}
	}
	return Plan{}, false
}

// silentVoter returns a voter whose disk is known to be lost, because another
// identity answers at its address, or that was not heard for the given time.
func silentVoter(g GroupStatus, after time.Duration) (raft.Peer, bool) {
	for _, v := range g.Conf.Voters {
		if v.ID == g.LeaderID {
			continue
		}
		if replacedAt(g, v) || g.Health[v.ID].SilentFor >= after {
			return v, true
		}
	}
	return raft.Peer{}, false
}

func replacedAt(g GroupStatus, v raft.Peer) bool {
	for _, c := range g.Candidates {
		if c.Addr == v.Addr && c.ID != v.ID {
			return true
		}
	}
	return false
}

// dropLearner gives up a learner that is lost, or that nobody needs as all
// voters are heard again.
func dropLearner(g GroupStatus, o Options, suspicion bool) (Plan, bool) {
	needed := suspicion || len(g.Conf.Voters) < o.TargetVoters
	for _, l := range g.Conf.Learners {
		if replacedAt(g, l) || g.Health[l.ID].SilentFor >= o.ReplaceAfter {
			return Plan{g.Conf.Without(l.ID), "dropped the learner " + l.ID + ", it is lost"}, true
		}
		if !needed && allHeard(g, o) {
			return Plan{g.Conf.Without(l.ID), "dropped the learner " + l.ID + ", all voters are heard again"}, true
		}
	}
	return Plan{}, false
}

// allHeard tells whether all voters have answered this leader lately. A new
// leader has not heard of a lost voter either way.
func allHeard(g GroupStatus, o Options) bool {
	for _, v := range g.Conf.Voters {
		h, ok := g.Health[v.ID]
		if v.ID != g.LeaderID && (!ok || !h.sound(o)) {
			return false
		}
	}
	return true
}

// bestCandidate returns the replica outside the group whose failure domain
// has the fewest voters, not counting the lost one.
func bestCandidate(g GroupStatus, lost raft.Peer) (raft.Peer, bool) {
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

// surplus returns the voter, other than the leader, whose domain has most.
func surplus(g GroupStatus) raft.Peer {
	count := map[string]int{}
	for _, v := range g.Conf.Voters {
		count[v.Domain]++
	}
	var worst raft.Peer
	for _, v := range g.Conf.Voters {
		if v.ID != g.LeaderID && (worst.ID == "" || count[v.Domain] > count[worst.Domain]) {
			worst = v
		}
	}
	return worst
}
