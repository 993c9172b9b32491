package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// outageLeast and outageMost bound how long all replicas are gone: longer than
	// it takes to hold them dead.
	outageLeast = 4 * time.Second
	outageMost  = 8 * time.Second
	// returnDue bounds the time from the acceptance of a change to its being in
	// force on every node: two seconds, and one for processors that some runs
	// share.
	returnDue = 3 * time.Second
)

// loseReplicas ends every run: all replicas are lost at once, under load, and
// return. What is changed then must be in force everywhere soon. It returns how
// long that took.
func (r *run) loseReplicas() time.Duration {
	rng := rand.New(rand.NewPCG(r.opt.Seed, uint64(replicas)))
	away := outageLeast + time.Duration(rng.Int64N(int64(outageMost-outageLeast)))
	var acts sync.WaitGroup
	for i := range replicas {
		acts.Add(1)
		go func() {
			defer acts.Done()
			r.act(Step{Kind: Kill, Target: i, For: away})
		}()
	}
	acts.Wait()
	before := len(r.operators.accepted())
	r.operators.change(rng.IntN(r.opt.Nodes))
	accepted := r.operators.accepted()
	if len(accepted) == before {
		r.broke("settings", "no change was accepted after all replicas had returned")
		return 0
	}
	last := accepted[len(accepted)-1]
	if err := r.fleet.AwaitVersion(last.version, returnDue); err != nil {
		r.broke("settings", "version %d is not in force everywhere %s after its acceptance, all replicas having returned: %v", last.version, returnDue, err)
	}
	return time.Since(last.at)
}
