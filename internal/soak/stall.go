package soak

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// sequentialStalls is the number of stalls without concurrent steps, and
	// sequentialStallPause the time between two of them.
	sequentialStalls     = 6
	sequentialStallPause = time.Second
	// maxSequentialStall is shorter than the two seconds after which a leader may
	// transfer its leadership.
	maxSequentialStall = 1800 * time.Millisecond
)

// stallDisksSequentially stalls single disks of a recovered fleet. Each group must keep
// its leader and continue to commit, and every request with a key must succeed.
func (r *soakRun) stallDisksSequentially() {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(maxSequentialStall)))
	began := time.Now()
	for i := range sequentialStalls {
		before := r.fleet.leaders()
		target := i % replicas
		r.executeStep(Step{Kind: StallDisk, Target: target, For: minStall + time.Duration(rng.Int64N(int64(maxSequentialStall-minStall)))})
		time.Sleep(sequentialStallPause)
		if after := r.fleet.leaders(); !maps.Equal(before, after) {
			r.reportViolation("stalled disk", "the leaders of the groups are %v; before the disk stall of node %d they were %v", after, target+1, before)
		}
	}
	r.checkKeyedRequests(began, time.Now())
}

// checkKeyedRequests checks that all attempts of the requests with a key that were
// first sent in the time range succeeded. Requests first sent earlier are ignored: a
// resend may be refused while an earlier attempt is in flight.
func (r *soakRun) checkKeyedRequests(began, ended time.Time) {
	first := map[string]time.Time{}
	attempts := r.callers.recordedAttempts()
	for _, a := range attempts {
		if at, ok := first[a.id]; !ok || a.sentAt.Before(at) {
			first[a.id] = a.sentAt
		}
	}
	for _, a := range attempts {
		inSpan := first[a.id].After(began) && a.sentAt.Before(ended)
		if requestTypes[a.requestType].keyed && inSpan && a.status != http.StatusOK {
			r.reportViolation("stalled disk", "%s %s got status %d after %s while one disk stalled", requestTypes[a.requestType].target, a.id, a.status, a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
		}
	}
}

// leaders returns the name of the leader of each group.
func (f *fleet) leaders() map[int]string {
	out := map[int]string{}
	for _, m := range f.members[:replicas] {
		s, err := m.Status()
		if err != nil || s.Replica == nil {
			continue
		}
		for _, g := range s.Replica.Groups {
			if g.Leads {
				out[g.Group] = s.Name
			}
		}
	}
	return out
}
