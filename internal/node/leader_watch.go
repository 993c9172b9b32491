package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberthread/umberthread/raft"
)

// leaderlessWarnTicks is how many ticks a replica may know no leader before it warns:
// several elections.
const leaderlessWarnTicks = 80

// leaderWatch tracks how long a replica has known no leader. Times are in ticks.
type leaderWatch struct {
	// leaderless is set while no leader is known, since the tick leaderlessSince.
	leaderless      bool
	leaderlessSince int
	// warned is set once the lack of a leader has been reported.
	warned bool
}

// leaderReport is what a replica has to report of its leader.
type leaderReport uint8

const (
	// nothingToReport means that nothing changed.
	nothingToReport leaderReport = iota
	// leaderMissing means that no leader has been known for leaderlessWarnTicks.
	leaderMissing
	// leaderFound means that a leader is known again after leaderMissing.
	leaderFound
)

// observe records whether a leader is known, and returns what to report and how many ticks
// none has been known. A replica outside the group expects no leader.
func (w *leaderWatch) observe(tick int, inGroup, known bool) (r leaderReport, leaderless int) {
	if !inGroup {
		*w = leaderWatch{}
		return nothingToReport, 0
	}
	if known {
		ended := *w
		*w = leaderWatch{}
		if ended.warned {
			return leaderFound, tick - ended.leaderlessSince
		}
		return nothingToReport, 0
	}
	if !w.leaderless {
		w.leaderless, w.leaderlessSince = true, tick
	}
	leaderless = tick - w.leaderlessSince
	if leaderless >= leaderlessWarnTicks && !w.warned {
		w.warned = true
		return leaderMissing, leaderless
	}
	return nothingToReport, leaderless
}

// SilentVoter is a voter that a replica misses.
type SilentVoter struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// SilentMs is how long it has sent nothing, in milliseconds.
	SilentMs int64 `json:"silent_ms"`
}

// checkLeader publishes how long no leader has been known and which voters are missed, and
// reports the loss and the return of a leader.
func (g *group) checkLeader() {
	conf, id, n := g.core.Conf(), g.replicas.id, g.replicas.node
	report, ticks := g.leaderWatch.observe(g.ticks, conf.IsVoter(id) || conf.IsLearner(id), g.core.Leader() != "")
	leaderless := time.Duration(ticks) * raftTickInterval
	prefix := "Group " + formatUint(uint64(g.id)) + ": "
	switch report {
	case leaderMissing:
		silent := g.findSilentVoters(conf, ticks, leaderless)
		n.warnEvent("replica", prefix+"no leader has been known for "+leaderless.String()+"; "+describeSilent(silent, len(conf.Voters))+".",
			"term", g.core.Term(), "role", g.core.Role())
	case leaderFound:
		n.logEvent("replica", prefix+"a leader is known again after "+leaderless.String()+".")
		leaderless = 0
	}
	g.leaderlessFor.Store(int64(leaderless))
	silent := g.findSilentVoters(conf, ticks, n.opt.SuspectAfter.Duration)
	g.silentVoters.Store(&silent)
}

// findSilentVoters returns the voters that have sent nothing for at least a time. Without
// a leader only the time since its loss counts: followers do not hear each other before.
func (g *group) findSilentVoters(conf raft.Conf, leaderlessTicks int, atLeast time.Duration) []SilentVoter {
	leads := g.core.Role() == raft.Leader
	var out []SilentVoter
	for _, p := range conf.Voters {
		if p.ID == g.replicas.id {
			continue
		}
		ticks, _, _ := g.core.PeerStatus(p.ID)
		if !leads {
			ticks = min(leaderlessTicks, g.core.TicksSinceHeard(p.ID))
		}
		if silent := time.Duration(ticks) * raftTickInterval; silent > 0 && silent >= atLeast {
			out = append(out, SilentVoter{p.ID, p.Addr, silent.Milliseconds()})
		}
	}
	return out
}

// describeSilent describes the voters that were not heard from.
func describeSilent(silent []SilentVoter, voters int) string {
	if len(silent) == 0 {
		return fmt.Sprintf("all others of %d voters were heard from", voters)
	}
	names := make([]string, len(silent))
	for i, s := range silent {
		names[i] = s.ID + "@" + s.Addr
	}
	return fmt.Sprintf("%d of %d voters were not heard from: %s", len(silent), voters, strings.Join(names, ", "))
}
