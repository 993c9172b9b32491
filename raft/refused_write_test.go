package raft

import (
	"slices"
	"testing"
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
func TestReplicasAgreeAfterRefusedWrites(t *testing.T) { checkSlowSaves(t, true) }
