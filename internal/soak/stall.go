package soak

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// aloneStalls is how many disks stall one after the other, with no other step
	// under way, and alonePause the time between two.
	aloneStalls = 6
	alonePause  = time.Second
	// aloneMost is the longest such stall: a leader may hand its lead over after two
	// seconds.
	aloneMost = 1800 * time.Millisecond
)

// stallOneByOne lets single disks stall on a fleet that is whole. Each group commits on
// with the disks that answer: its leader stays, and no request with a key is refused.
func (r *run) stallOneByOne() {
	rng := rand.New(rand.NewPCG(r.opt.Seed, uint64(aloneMost)))
	began := time.Now()
	for i := range aloneStalls {
		before := r.fleet.leaders()
		target := i % replicas
		r.act(Step{Kind: Stall, Target: target, For: stallLeast + time.Duration(rng.Int64N(int64(aloneMost-stallLeast)))})
		time.Sleep(alonePause)
		if after := r.fleet.leaders(); !maps.Equal(before, after) {
			r.broke("stalled disk", "the groups are led by %v, before the disk of node %d stalled by %v", after, target+1, before)
		}
	}
	r.checkKeyed(began, time.Now())
}

// checkKeyed checks that each request with a key was served at once that was first sent
// in a span. A resend of one whose earlier attempt was cut before is rightly refused: that
// attempt may be in work.
func (r *run) checkKeyed(began, ended time.Time) {
	first := map[string]time.Time{}
	attempts := r.callers.taken()
	for _, a := range attempts {
		if at, ok := first[a.id]; !ok || a.sent.Before(at) {
			first[a.id] = a.sent
		}
	}
	for _, a := range attempts {
		inSpan := first[a.id].After(began) && a.sent.Before(ended)
		if sorts[a.sort].keyed && inSpan && a.status != http.StatusOK {
			r.broke("stalled disk", "%s %s got status %d after %s while one disk stalled", sorts[a.sort].target, a.id, a.status, a.ended.Sub(a.sent).Round(time.Millisecond))
		}
	}
}

// leaders returns which node leads each group, by the groups' numbers.
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
