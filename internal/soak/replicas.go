package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
)

const (
	// minOutage and maxOutage bound the outage of all replicas; it is longer than the
	// failure detection.
	minOutage = 4 * time.Second
	maxOutage = 8 * time.Second
	// activationTimeout bounds the time from the acceptance of a change to its
	// activation on every node: two seconds, and one for concurrent runs.
	activationTimeout = 3 * time.Second
	// repairTimeout bounds the time from recovery to complete replica groups; a
	// replica is replaced after four seconds of silence.
	repairTimeout = 10 * time.Second
)

// reserveDiskLoss reports whether a replica may lose its disk now; if so, it denies
// further losses for minDiskLossInterval.
func (r *soakRun) reserveDiskLoss() bool {
	r.diskMu.Lock()
	defer r.diskMu.Unlock()
	if time.Since(r.lastDiskLoss) < minDiskLossInterval || r.fleet.checkToleratesLoss() != nil {
		return false
	}
	r.lastDiskLoss = time.Now()
	return true
}

// checkToleratesLoss returns an error unless each group is complete and tolerates the
// loss of a replica, as its leader reports it, and each replica that responds is one of its
// voters: a leader may not have noticed yet that a replica lost its disk.
func (f *fleet) checkToleratesLoss() error {
	bears := map[int]bool{}
	var ids []string
	var statuses []*node.ReplicaStatus
	for _, m := range f.members[:replicas] {
		if s, err := m.Status(); err == nil && s.Replica != nil {
			ids = append(ids, s.Replica.ID)
			statuses = append(statuses, s.Replica)
		}
	}
	for _, s := range statuses {
		for _, g := range s.Groups {
			whole := len(g.Voters) == replicas && len(g.Learners) == 0 && areVoters(ids, g.Voters)
			bears[g.Group] = bears[g.Group] || g.ToleratesFailure && whole
		}
	}
	if len(bears) == 0 {
		return fault.New(fault.NoQuorum, "no replica responds")
	}
	for id, ok := range bears {
		if !ok {
			return fault.Newf(fault.NoQuorum, "group %d does not tolerate a loss", id)
		}
	}
	return nil
}

// areVoters reports whether each identity is one of the voters, given as identity@address.
func areVoters(ids, voters []string) bool {
	for _, id := range ids {
		if !slices.ContainsFunc(voters, func(v string) bool { return strings.HasPrefix(v, id+"@") }) {
			return false
		}
	}
	return true
}

// awaitRepair waits until the replica groups are complete and returns the time taken.
func (r *soakRun) awaitRepair() time.Duration {
	start := time.Now()
	if err := harness.Await(repairTimeout, r.fleet.checkToleratesLoss); err != nil {
		r.reportViolation("repair", "the replica groups are incomplete %s after recovery: %v", repairTimeout, err)
	}
	return time.Since(start)
}

// restartAllReplicas kills all replicas at once under load and restarts them. A
// settings change made afterwards must become active on every node within
// activationTimeout. It returns the time that this took.
func (r *soakRun) restartAllReplicas() time.Duration {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(replicas)))
	away := minOutage + time.Duration(rng.Int64N(int64(maxOutage-minOutage)))
	var acts sync.WaitGroup
	r.outageStart = time.Now()
	for i := range replicas {
		acts.Add(1)
		go func() {
			defer acts.Done()
			r.executeStep(Step{Kind: KillProcess, Target: i, For: away})
		}()
	}
	acts.Wait()
	before := len(r.operators.acceptedChanges())
	r.operators.changeSettings(rng.IntN(r.options.Nodes))
	accepted := r.operators.acceptedChanges()
	if len(accepted) == before {
		r.reportViolation("settings", "no settings change was accepted after the restart of all replicas")
		return 0
	}
	last := accepted[len(accepted)-1]
	if err := r.fleet.AwaitVersion(last.version, activationTimeout); err != nil {
		r.reportViolation("settings", "version %d, accepted after the restart of all replicas, is not active on every node after %s: %v", last.version, activationTimeout, err)
	}
	return time.Since(last.acceptedAt)
}
