package soak

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
)

// checkAll checks the promises once the fleet has recovered.
func (r *run) checkAll() {
	runs := r.executions()
	for _, a := range r.callers.taken() {
		r.checkAttempt(a, runs[a.id])
	}
	r.checkOnce(runs)
	r.checkStops(runs)
	r.checkDrains()
	r.checkSettings()
	for _, m := range r.fleet.members {
		if m.Wait(0) {
			r.broke("exit", "node %s has ended by itself, with %d", m.Name, m.Exit())
		}
	}
}

// executions counts how often requests were executed by the backend servers of
// the service that they were sent to.
func (r *run) executions() map[string]int {
	out := map[string]int{}
	for _, m := range r.fleet.members {
		for _, s := range m.servers {
			if s.Service() != frontService {
				continue
			}
			for id, w := range s.Work() {
				out[id] += w.Runs
			}
		}
	}
	return out
}

// checkAttempt checks that an answer is whole and the caller's own, that a
// served request was executed, and that one refused as not run never was.
func (r *run) checkAttempt(a attempt, runs int) {
	target := sorts[a.sort].target
	if a.wrong != "" {
		r.broke("whole answer", "%s %s: %s", target, a.id, a.wrong)
	}
	if a.status == http.StatusOK && runs == 0 {
		r.broke("whole answer", "%s %s was answered and never executed", target, a.id)
	}
	// The attempts of a request with a key share its id.
	if a.notRun && runs > 0 && !sorts[a.sort].keyed {
		r.broke("honest refusal", "%s %s was refused as not run with %d, and was executed", target, a.id, a.status)
	}
}

// checkOnce checks that what may be executed once was not executed twice.
func (r *run) checkOnce(runs map[string]int) {
	seen := map[string]bool{}
	for _, a := range r.callers.taken() {
		if !sorts[a.sort].repeatable && runs[a.id] > 1 && !seen[a.id] {
			seen[a.id] = true
			r.broke("at most once", "%s %s was executed %d times", sorts[a.sort].target, a.id, runs[a.id])
		}
	}
}

const (
	// calmBefore and calmAfter are kept free of other steps round a planned
	// stop for it to be judged.
	calmBefore = 4 * time.Second
	calmAfter  = time.Second
)

// checkStops checks that a planned stop on a calm fleet cuts no request that
// its node has passed on.
func (r *run) checkStops(runs map[string]int) {
	for _, sp := range r.spells {
		if sp.Kind != Term || !r.calm(sp) {
			continue
		}
		for _, a := range r.callers.taken() {
			cut := a.status == 0 && !a.unsent && a.entry == sp.Target && a.ended.Sub(a.sent) < callerDeadline
			if cut && a.sent.After(sp.began) && a.ended.Before(sp.ended) && runs[a.id] > 0 {
				r.broke("planned stop", "%s %s was cut %s after its node was told to stop", sorts[a.sort].target, a.id, a.ended.Sub(sp.began))
			}
		}
	}
}

// calm tells whether no other step disturbed a node around a spell.
func (r *run) calm(sp *spell) bool {
	for _, o := range r.spells {
		if o == sp || o.Kind.harmless() {
			continue
		}
		if o.ended.After(sp.began.Add(-calmBefore)) && o.began.Before(sp.ended.Add(calmAfter)) {
			return false
		}
	}
	return true
}

// checkDrains checks that a draining backend server gets no new work, where its
// node heard of it.
func (r *run) checkDrains() {
	for _, sp := range r.spells {
		if sp.Kind == ServerDrain && sp.drained && sp.startedAfter > 0 && r.alone(sp) {
			r.broke("drain", "the backend server of node %d got %d requests later than %s after it said that it drains", sp.Target+1, sp.startedAfter, drainNotice)
		}
	}
}

// alone tells whether no other step had the same node as its target while the
// spell lasted.
func (r *run) alone(sp *spell) bool {
	for _, o := range r.spells {
		if o != sp && o.Target == sp.Target && o.Kind != Change && o.Kind != Race && o.ended.After(sp.began) && o.began.Before(sp.ended) {
			return false
		}
	}
	return true
}

const (
	// versionsEvery is how often nodes are asked for their version.
	versionsEvery = 250 * time.Millisecond
	// settled bounds the time until all nodes have the newest settings.
	settled = 9 * time.Second
)

// watchVersions checks that no process goes back to an older version.
func (r *run) watchVersions(ctx context.Context) {
	type seen struct {
		process string
		version uint64
	}
	last := make([]seen, len(r.fleet.members))
	for ctx.Err() == nil {
		for i, m := range r.fleet.members {
			var s node.Status
			if ctl.NewClient(m.Admin).Get("/v1/status", nil, &s) != nil {
				continue
			}
			if last[i].process == s.ID && s.Config < last[i].version {
				r.broke("settings", "node %s went back from version %d to %d", s.Name, last[i].version, s.Config)
			}
			last[i] = seen{s.ID, s.Config}
		}
		time.Sleep(versionsEvery)
	}
}

// checkSettings checks that what was accepted is in force on every node, and
// that of two changes on the same version one was accepted at most.
func (r *run) checkSettings() {
	accepted := r.operators.accepted()
	newest := uint64(0)
	on := map[uint64]string{}
	for _, o := range accepted {
		newest = max(newest, o.version)
		if other, ok := on[o.base]; ok {
			r.broke("settings", "changes %s and %s on version %d were both accepted", other, o.id, o.base)
		}
		on[o.base] = o.id
	}
	if err := r.fleet.AwaitVersion(newest, settled); err != nil {
		r.broke("settings", "version %d is not in force everywhere %s after all is well: %v", newest, settled, err)
		return
	}
	for _, m := range r.fleet.members {
		var d node.ConfigDocument
		err := harness.Await(settled, func() error {
			return ctl.NewClient(m.Admin).Get("/v1/config", url.Values{"current": {"true"}}, &d)
		})
		if err != nil {
			r.broke("settings", "node %s cannot read the settings: %v", m.Name, err)
			continue
		}
		for _, o := range accepted {
			if d.Entries[o.entry] != o.value {
				r.broke("settings", "node %s lacks the accepted change %s (version %d)", m.Name, o.id, o.version)
			}
		}
	}
}
