package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
)

// Options are the settings of a run.
type Options struct {
	// Bin is the folder of the commands.
	Bin string
	// Seed decides the plan.
	Seed uint64
	// Span is how long steps begin.
	Duration time.Duration
	// Stalls tells whether disks stall too, and Poison whether a request that ends
	// backend servers is sent once all is well again.
	DiskStalls, PoisonRequest bool
	// Nodes is how many nodes there are, at least 6.
	Nodes int
	// PerSecond is how many requests callers send in a second.
	RequestRate int
}

const (
	leastNodes       = 6
	defaultPerSecond = 120
)

// Broken is a promise that did not hold.
type Broken struct {
	// Promise is the name of the promise.
	Promise string
	Detail  string
}

// Report is what a run found.
type Report struct {
	Seed  uint64
	Steps []Step
	// Played counts the steps that were carried out, by kind: a step that takes a
	// disk is left out while the replicas do not bear it.
	Played map[StepKind]int
	Broken []Broken
	// Attempts, Served and Refused count what callers saw.
	Attempts, Served, Refused int
	// Changes is how many changes of the settings were accepted.
	Changes int
	// Recovered is how long after the last step all requests were served.
	Recovered time.Duration
	// Missed are the requests that were not served during that time, or served slowly,
	// the last ones.
	Missed []string
	// Repaired is how much longer it took until the replica groups were whole.
	Repaired time.Duration
	// InForce is how long a change took that was made after all replicas had been
	// lost and had returned, from its acceptance to being in force on every node.
	InForce time.Duration
	// Folder has the logs; it is removed if nothing is broken.
	Folder string
}

// run is a run under way.
type run struct {
	opt       Options
	fleet     *fleet
	callers   *callers
	operators *operators

	// disks is held while a step that takes a disk is let through or left out;
	// diskLost is when the last one was let through.
	disks    sync.Mutex
	diskLost time.Time

	mu     sync.Mutex
	spells []*spell
	broken []Broken
}

// Run plays one seed. The error is of the soak itself; promises that did not
// hold are in the report.
func Run(o Options) (*Report, error) {
	o.Nodes = max(o.Nodes, leastNodes)
	if o.RequestRate <= 0 {
		o.RequestRate = defaultPerSecond
	}
	f, err := startFleet(o.Bin, o.Nodes)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return nil, err
	}
	r := &run{opt: o, fleet: f, callers: newCallers(f.Entries()), operators: &operators{admins: f.Admins()}}
	if _, _, err := r.awaitService(recoverWithin); err != nil {
		return nil, err
	}
	rep := r.play()
	if len(rep.Broken) == 0 {
		rep.Folder = ""
		if err := os.RemoveAll(f.Dir); err != nil {
			return rep, fault.Wrap(fault.Internal, err, "cannot remove the folder")
		}
	}
	return rep, nil
}

// play carries the plan out under load and checks what it did.
func (r *run) play() *Report {
	steps := Plan(r.opt.Seed, r.opt.Nodes, replicas, r.opt.Duration)
	if r.opt.DiskStalls {
		steps = together(steps, StallPlan(r.opt.Seed, replicas, r.opt.Duration))
	}
	ctx, stop := context.WithCancel(context.Background())
	var load, acts sync.WaitGroup
	load.Add(2)
	go func() { defer load.Done(); r.callers.run(ctx, r.opt.RequestRate) }()
	go func() { defer load.Done(); r.watchVersions(ctx) }()
	start := time.Now()
	for _, s := range steps {
		time.Sleep(s.At - time.Since(start))
		acts.Add(1)
		go func() { defer acts.Done(); r.act(s) }()
	}
	acts.Wait()
	played := r.played()
	recovered, missed, err := r.awaitService(recoverWithin)
	if err != nil {
		r.broke("recovery", "not all is served %s after the last step: %v", recoverWithin, err)
	}
	repaired := r.awaitRepair()
	if r.opt.DiskStalls {
		r.stallOneByOne()
	}
	if r.opt.PoisonRequest {
		r.poison()
	}
	inForce := r.loseReplicas()
	stop()
	load.Wait()
	r.checkAll()
	rep := &Report{Seed: r.opt.Seed, Steps: steps, Played: played, Recovered: recovered, Missed: missed, Repaired: repaired, InForce: inForce, Folder: r.fleet.Dir, Broken: r.broken, Changes: len(r.operators.accepted())}
	for _, a := range r.callers.taken() {
		rep.Attempts++
		switch {
		case a.status == http.StatusOK:
			rep.Served++
		case a.notRun:
			rep.Refused++
		}
	}
	return rep
}

const (
	// recoverWithin bounds the time until all is served again.
	recoverWithin = 15 * time.Second
	// inARow is how many requests of each sort every node must serve.
	inARow = 5
)

const (
	// missedMost is how many requests that were not served, or slowly, are kept.
	missedMost = 12
	// slowProbe is from when on a request is served slowly: it works for 20 ms.
	slowProbe = 400 * time.Millisecond
)

// awaitService waits until every node serves every sort of request a few times
// in a row. It returns how long that took, and what was not served meanwhile.
func (r *run) awaitService(within time.Duration) (time.Duration, []string, error) {
	start := time.Now()
	var missed []string
	probe := newCallers(r.fleet.Entries())
	err := harness.Await(within, func() error {
		for kind := range sorts {
			for entry := range r.fleet.members {
				for range inARow {
					probe.request(kind, entry)
				}
			}
		}
		taken := probe.taken()
		probe.attempts = nil
		for _, a := range taken {
			if took := a.ended.Sub(a.sent); a.status != http.StatusOK || took > slowProbe {
				missed = append(missed, fmt.Sprintf("%s after %s at node %d: status %d, took %s, id %s", sorts[a.sort].target,
					a.sent.Sub(start).Round(time.Millisecond), a.entry+1, a.status, took.Round(time.Millisecond), a.id))
				missed = missed[max(0, len(missed)-missedMost):]
			}
		}
		for _, a := range taken {
			if a.status != http.StatusOK {
				return fault.Newf(fault.NotFound, "%s at node %d: status %d", sorts[a.sort].target, a.entry+1, a.status)
			}
		}
		return nil
	})
	return time.Since(start), missed, err
}

// played counts the steps carried out so far, by kind.
func (r *run) played() map[StepKind]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[StepKind]int{}
	for _, sp := range r.spells {
		out[sp.Kind]++
	}
	return out
}

func (r *run) note(sp *spell) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spells = append(r.spells, sp)
}

// broke notes a promise that did not hold.
func (r *run) broke(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, Broken{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}
