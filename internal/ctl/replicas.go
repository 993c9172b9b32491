package ctl

import (
	"fmt"
	"sort"
	"time"

	"github.com/umberthread/umberthread/internal/node"
)

// replicaGroup is a group as its leader sees it.
type replicaGroup struct {
	// Node is the name of the leader's node.
	Node string `json:"node"`
	node.GroupStatus
}

// Replicas prints the replica groups as their leaders see them: the members,
// whether one more loss is borne, and how long it was not the last time.
func PrintReplicas(o Output, admins []string) error {
	all, err := Fleet(admins)
	if err != nil {
		return err
	}
	groups := []replicaGroup{}
	for _, a := range QueryAll[node.Status](all, "/v1/status", nil) {
		if a.Err != nil || a.Value.Replica == nil {
			continue
		}
		for _, g := range a.Value.Replica.Groups {
			if g.Leads {
				groups = append(groups, replicaGroup{a.Value.Name, g})
			}
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Group < groups[j].Group })
	if o.JSON {
		return o.json(groups)
	}
	t := o.table("GROUP", "LEADER", "VOTERS", "LEARNERS", "BEARS A LOSS", "LAST REPAIR")
	for _, g := range groups {
		t.row(g.Group, g.Node, len(g.Voters), len(g.Learners), g.ToleratesFailure, repairTime(g.RepairMs))
	}
	return t.flush()
}

func repairTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprint(time.Duration(ms) * time.Millisecond)
}
