package ctl

import (
	"fmt"
	"sort"
	"time"

	"github.com/umberthread/umberthread/internal/node"
)

// leaderGroupStatus is the status of a replica group as reported by its leader.
type leaderGroupStatus struct {
	// Node is the name of the node that runs the leader.
	Node string `json:"node"`
	node.GroupStatus
}

// PrintReplicas prints the replica groups as reported by their leaders: the
// members, whether the group tolerates one more failure, and the duration of the
// last repair.
func PrintReplicas(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	groups := []leaderGroupStatus{}
	for _, a := range QueryAll[node.Status](all, "/v1/status", nil) {
		if a.Err != nil || a.Value.Replica == nil {
			continue
		}
		for _, g := range a.Value.Replica.Groups {
			if g.Leads {
				groups = append(groups, leaderGroupStatus{a.Value.Name, g})
			}
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Group < groups[j].Group })
	if o.JSON {
		return o.json(groups)
	}
	t := o.table("GROUP", "LEADER", "VOTERS", "LEARNERS", "BEARS A LOSS", "LAST REPAIR")
	for _, g := range groups {
		t.row(g.Group, g.Node, len(g.Voters), len(g.Learners), g.ToleratesFailure, formatRepairTime(g.RepairMs))
	}
	return t.flush()
}

func formatRepairTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprint(time.Duration(ms) * time.Millisecond)
}
