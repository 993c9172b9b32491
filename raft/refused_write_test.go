package raft

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// refuseSave fails the pending save of a replica, which may have reached the disk all the same.
func (c *simCluster) refuseSave(r *simReplica) {
	if !r.saveRefused && c.rng.IntN(2) == 0 {
		r.disk.save(*r.pendingSave)
	}
	r.saveRefused = true
}

// rewriteLog replaces what a replica has on disk by everything that its core holds, and drops
// the messages of the refused save.
func (c *simCluster) rewriteLog(r *simReplica) {
	st, snap, entries := r.core.PersistentState()
	*r.disk = simDisk{st, snap, slices.Clone(entries)}
	rd := *r.pendingSave
	r.pendingSave, r.saveRefused = nil, false
	r.core.Advance(rd)
	c.processReady(r, 0)
}

// TestReplicasAgreeAfterRefusedWrites is TestReplicasAgreeWhileDisksStall with disks that refuse
// saves and take a rewritten log later.
func TestReplicasAgreeAfterRefusedWrites(t *testing.T) {
	// Guards against runs in which hardly anything is committed.
	const groups, minApplied = 10, 20000
	commits := 0
	rapid.Check(t, func(t *rapid.T) {
		for range groups {
			c := newSimCluster(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
			c.slowSaves, c.refuseSaves = true, true
			c.runSlowSaveSteps(t, rapid.IntRange(500, 3000).Draw(t, "steps"))
			commits += c.appliedEntries
			if !c.lostQuorum() && !c.recoversAfterFaults() {
				t.Fatal("the group does not recover after the faults")
			}
		}
	})
	if commits < minApplied {
		t.Errorf("%d entries were applied, at least %d expected", commits, minApplied)
	}
}
