package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/umberthread/umberthread/internal/node"
)

// groupSummary is the state of a replica group as reported by its leader or, if none
// leads, by the member that has seen the latest term.
type groupSummary struct {
	// Node is the name of the node that runs the leader, empty if no node reports that it
	// leads.
	Node string `json:"node"`
	// Unseen are the voters that run on none of the nodes that answered. They are down, or
	// in a failure domain of which the tool knows no node.
	Unseen []string `json:"unseen,omitempty"`
	node.GroupStatus
}

// PrintReplicas prints the replica groups: the leader or for how long there has been none,
// the members, whether the group tolerates one more failure, the duration of the last
// repair, the voters that it misses, and those on none of the nodes that answered.
func PrintReplicas(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	var statuses []node.Status
	for _, a := range QueryAll[node.Status](all, "/v1/status", nil) {
		if a.Err == nil && a.Value.Replica != nil {
			statuses = append(statuses, a.Value)
		}
	}
	groups := summarizeGroups(statuses)
	if o.JSON {
		return o.json(groups)
	}
	nodeNames := replicaNodeNames(statuses)
	t := o.table("GROUP", "LEADER", "VOTERS", "LEARNERS", "BEARS A LOSS", "LAST REPAIR", "MISSED", "UNSEEN")
	for _, g := range groups {
		t.row(g.Group, g.formatLeader(), len(g.Voters), len(g.Learners), g.ToleratesFailure, formatRepairTime(g.RepairMs), g.formatMissed(nodeNames), orDash(strings.Join(g.Unseen, ", ")))
	}
	return t.flush()
}

// summarizeGroups returns the groups that the statuses report, sorted by group.
func summarizeGroups(statuses []node.Status) []groupSummary {
	names := replicaNodeNames(statuses)
	byGroup := map[int]groupSummary{}
	for _, s := range statuses {
		for _, g := range s.Replica.Groups {
			next := groupSummary{GroupStatus: g}
			if g.Leads {
				next.Node = s.Name
			}
			// A replica that waits to be added to a group knows no members.
			best, known := byGroup[g.Group]
			if len(g.Voters) > 0 && (!known || next.isBetterReport(best)) {
				byGroup[g.Group] = next
			}
		}
	}
	out := []groupSummary{}
	for _, g := range byGroup {
		for _, v := range g.Voters {
			if id, _, _ := strings.Cut(v, "@"); names[id] == "" {
				g.Unseen = append(g.Unseen, v)
			}
		}
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b groupSummary) int { return a.Group - b.Group })
	return out
}

// isBetterReport reports whether g tells more of its group than other: a leader does, of
// two the one in the later term. Else it is the member that knows a leader, and then the
// later term and the longer log.
func (g groupSummary) isBetterReport(other groupSummary) bool {
	if g.Leads != other.Leads {
		return g.Leads
	}
	if knows := g.Leader != ""; !g.Leads && knows != (other.Leader != "") {
		return knows
	}
	if g.Term != other.Term {
		return g.Term > other.Term
	}
	return g.Applied > other.Applied
}

// replicaNodeNames returns the names of the nodes by the identity of their replica.
func replicaNodeNames(statuses []node.Status) map[string]string {
	names := map[string]string{}
	for _, s := range statuses {
		names[s.Replica.ID] = s.Name
	}
	return names
}

// formatLeader names the leader's node, its address if that node does not answer, or says
// for how long no leader has been known.
func (g groupSummary) formatLeader() string {
	if g.Node != "" || g.Leader != "" {
		return cmp.Or(g.Node, g.Leader)
	}
	return "no leader for " + (time.Duration(g.LeaderlessMs) * time.Millisecond).Round(time.Second).String()
}

// formatMissed lists the voters that the reporting replica misses, and for how long.
func (g groupSummary) formatMissed(nodeNames map[string]string) string {
	var out []string
	for _, s := range g.SilentVoters {
		silent := time.Duration(s.SilentMs) * time.Millisecond
		out = append(out, fmt.Sprintf("%s %s", cmp.Or(nodeNames[s.ID], s.ID+"@"+s.Addr), silent.Round(time.Second)))
	}
	return orDash(strings.Join(out, ", "))
}

func formatRepairTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprint(time.Duration(ms) * time.Millisecond)
}
