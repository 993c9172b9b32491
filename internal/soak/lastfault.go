package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxFaultDelay is the longest time from the acknowledgement of a change to the fault.
	maxFaultDelay = 400 * time.Millisecond
	// maxReturnDelay is the longest time from the fault to the start of a node.
	maxReturnDelay = 2 * time.Second
	// tornProbability is the probability that a killed replica has a torn record.
	tornProbability = 0.5
)

// loseDiskWhileAllAreDown takes away the disk of a replica and kills all other nodes at the
// same moment, right after a settings change was acknowledged. All return soon. The change must
// then be readable and active everywhere, and another one be accepted. It returns the time from
// the last start to the acceptance.
func (r *soakRun) loseDiskWhileAllAreDown() time.Duration {
	r.awaitRepair()
	// Nodes that were replaced have other addresses than the settings files say.
	if err := r.fleet.UpdateBootstrap(); err != nil {
		r.reportViolation("soak", "cannot write the bootstrap addresses: %v", err)
		return 0
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(maxFaultDelay)))
	acked, ok := r.requireChange(rng.IntN(r.options.Nodes), time.Now(), "the repair of all replicas")
	if !ok {
		return 0
	}
	time.Sleep(time.Duration(rng.Int64N(int64(maxFaultDelay))))
	var starts, checks sync.WaitGroup
	lastStart := r.restartAllNodes(rng, &starts)
	checks.Go(func() { starts.Wait(); r.checkReadable(acked, lastStart.Add(repairTimeout)) })
	next, ok := r.requireChange(rng.IntN(r.options.Nodes), lastStart, "the restart of all nodes")
	checks.Wait()
	if !ok {
		return 0
	}
	r.checkReadable(next, next.acceptedAt.Add(repairTimeout))
	if _, _, err := r.awaitService(recoveryTimeout); err != nil {
		r.reportViolation("recovery", "requests still fail %s after the restart of all nodes: %v", recoveryTimeout, err)
	}
	r.awaitRepair()
	return next.acceptedAt.Sub(lastStart)
}

// restartAllNodes kills all nodes, of which one replica loses its disk, and starts each after a
// time of its own. It returns the time of the last start without waiting for the nodes.
func (r *soakRun) restartAllNodes(rng *rand.Rand, starts *sync.WaitGroup) time.Time {
	lost, longest := rng.IntN(replicas), time.Duration(0)
	began := time.Now()
	for i, m := range r.fleet.members {
		s := Step{Kind: KillProcess, Target: i, For: time.Duration(rng.Int64N(int64(maxReturnDelay)))}
		if i == lost {
			s.Kind = WipeDisk
		} else if i < replicas && rng.Float64() < tornProbability {
			s.Kind = TearLog
		}
		longest = max(longest, s.For)
		starts.Go(func() { r.restartProcess(m, s) })
	}
	time.Sleep(longest)
	return began.Add(longest)
}
