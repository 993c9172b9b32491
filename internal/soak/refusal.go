package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minFinalRefusal is the shortest time for which a disk refuses writes before another one
	// is lost, long enough for a save of each group.
	minFinalRefusal = 2 * time.Second
	// maxPauseBeforeLoss is the longest time that operators wait before another loss once a
	// disk takes writes again.
	maxPauseBeforeLoss = 4 * time.Second
	// refusalChangeDelay is the time from the start of the refusal to a settings change, which
	// the disk cannot save.
	refusalChangeDelay = 200 * time.Millisecond
)

// loseDiskAfterRefusal lets a disk of a whole fleet refuse writes for some seconds, and takes
// away another one soon after. The replica whose disk works again must count towards the quorum
// by then, so that changes are accepted.
func (r *soakRun) loseDiskAfterRefusal() {
	r.awaitRepair()
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(maxPauseBeforeLoss)))
	full := rng.IntN(replicas)
	lost := (full + 1 + rng.IntN(replicas-1)) % replicas
	r.refuseWritesDuringChange(full, minFinalRefusal+time.Duration(rng.Int64N(int64(maxRefusal-minFinalRefusal))))
	time.Sleep(time.Duration(rng.Int64N(int64(maxPauseBeforeLoss))))
	var acts sync.WaitGroup
	lostAt := time.Now()
	loss := Step{Kind: WipeDisk, Target: lost, For: minStepDuration + time.Duration(rng.Int64N(int64(maxStepDuration-minStepDuration)))}
	acts.Go(func() { r.restartProcess(r.fleet.members[lost], loss) })
	change, ok := r.requireChange(rng.IntN(r.options.Nodes), lostAt, "the loss of a disk after another one had refused writes")
	acts.Wait()
	if ok {
		r.checkReadable(change, lostAt.Add(repairTimeout+loss.For))
	}
	r.awaitRepair()
}

// refuseWritesDuringChange lets a disk refuse writes, and submits a settings change meanwhile.
func (r *soakRun) refuseWritesDuringChange(target int, span time.Duration) {
	var acts sync.WaitGroup
	acts.Go(func() { r.executeStep(Step{Kind: RefuseWrites, Target: target, For: span}) })
	time.Sleep(refusalChangeDelay)
	r.requireChange(target, time.Now(), "one disk refused writes")
	acts.Wait()
}
