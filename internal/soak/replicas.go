package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
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
	// repairWithin bounds the time from when all is served again to groups that are
	// whole: a replacement begins four seconds after the last word of a replica.
	repairWithin = 10 * time.Second
)

// mayTakeDisk tells whether one more replica may lose its disk now, and if so keeps
// the others from it for a while.
func (r *run) mayTakeDisk() bool {
	r.disks.Lock()
	defer r.disks.Unlock()
	if time.Since(r.diskLost) < repairTime || r.fleet.bearsLoss() != nil {
		return false
	}
	r.diskLost = time.Now()
	return true
}

// bearsLoss fails unless the leader of each group knows that the group is whole and
// commits on after the loss of one more replica.
func (f *fleet) bearsLoss() error {
	bears := map[int]bool{}
	for _, m := range f.members[:replicas] {
		s, err := m.Status()
		if err != nil || s.Replica == nil {
			continue
		}
		for _, g := range s.Replica.Groups {
			whole := len(g.Voters) == replicas && len(g.Learners) == 0
			bears[g.Group] = bears[g.Group] || g.ToleratesFailure && whole
		}
	}
	if len(bears) == 0 {
		return fault.New(fault.NoQuorum, "no replica answers")
	}
	for id, ok := range bears {
		if !ok {
			return fault.Newf(fault.NoQuorum, "group %d does not bear a loss", id)
		}
	}
	return nil
}

// awaitRepair waits until the groups are whole, and returns how long that took.
func (r *run) awaitRepair() time.Duration {
	start := time.Now()
	if err := harness.Await(repairWithin, r.fleet.bearsLoss); err != nil {
		r.broke("repair", "the replicas are not whole %s after all is served: %v", repairWithin, err)
	}
	return time.Since(start)
}

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
