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

// Options configures a run.
type Options struct {
	// Bin is the folder with the binaries.
	Bin string
	// Seed determines the plan.
	Seed uint64
	// Duration is the time during which steps start.
	Duration time.Duration
	// DiskStalls adds disk stalls to the plan. PoisonRequest adds a request that
	// crashes backend servers, sent after the recovery.
	DiskStalls, PoisonRequest bool
	// RefuseWrites adds disks that refuse writes to the plan, and a loss of another disk after
	// such a refusal to its end. LastFault ends the run with the loss of a disk while all
	// other nodes are killed.
	RefuseWrites, LastFault bool
	// ServerLimits adds backend servers that limit their requests or leave to the plan.
	ServerLimits bool
	// StrayResponses adds backend servers that reject requests and send responses that nobody
	// asked for to the plan.
	StrayResponses bool
	// PlannedStops replaces the plan by planned work alone: stops in series while servers are late.
	PlannedStops bool
	// Nodes is the number of nodes, at least 6.
	Nodes int
	// RequestRate is the number of requests per second; 0 selects the default.
	RequestRate int
}

const (
	minNodes           = 6
	defaultRequestRate = 120
)

// Violation is a violated promise.
type Violation struct {
	// Promise is the name of the promise.
	Promise string
	Detail  string
}

// Report holds the results of a run.
type Report struct {
	Seed  uint64
	Steps []Step
	// Played counts the executed steps by kind. Disk losses are skipped while the
	// replicas do not tolerate them.
	Played map[StepKind]int
	Broken []Violation
	// Stated counts the arrivals at backend servers after their first response that named a
	// limit or said that they are leaving, and Judged those from entry nodes that were told in
	// time and are not excused.
	Stated, Judged int
	// Repeats counts the requests without a key that servers of the front service got again.
	Repeats int
	// Attempts, Served and Refused count the attempts of callers, the successful ones,
	// and those reported as not executed.
	Attempts, Served, Refused int
	// Servable counts the attempts sent while their node was running and before the outage
	// of all replicas, and ServableServed the successful ones among them.
	Servable, ServableServed int
	// Outcomes counts the attempts by outcome, see attempt.outcome.
	Outcomes map[string]int
	// Changes is the number of accepted settings changes.
	Changes int
	// Recovered is the time from the end of the last step until all requests were
	// served.
	Recovered time.Duration
	// Missed describes the last requests during the recovery that failed or were slow.
	Missed []string
	// Repaired is the additional time until the replica groups were complete.
	Repaired time.Duration
	// InForce is the time from the acceptance of a settings change to its activation
	// on every node, for a change made after a restart of all replicas.
	InForce time.Duration
	// FirstChange is the time from the last start after Options.LastFault until a settings
	// change was accepted, 0 if none was.
	FirstChange time.Duration
	// Folder holds the logs; it is removed, and the field empty, without violations.
	Folder string
}

// soakRun is the state of a run.
type soakRun struct {
	options   Options
	fleet     *fleet
	callers   *callers
	operators *operators

	// diskMu guards lastDiskLoss, the time of the last permitted disk loss.
	diskMu       sync.Mutex
	lastDiskLoss time.Time

	// outageStart is the start of the outage of all replicas.
	outageStart time.Time

	mu            sync.Mutex
	executedSteps []*executedStep
	violations    []Violation
	statements    []serverStatement
	stated        int
	judged        int
	// repeats is the number of repeats that servers of the front service got.
	repeats int
}

// Run executes the plan of one seed. It returns an error if the soak itself fails;
// violated promises are in the report.
func Run(o Options) (*Report, error) {
	o.Nodes = max(o.Nodes, minNodes)
	if o.RequestRate <= 0 {
		o.RequestRate = defaultRequestRate
	}
	f, err := startFleet(o.Bin, o.Nodes, o.ServerLimits)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return nil, err
	}
	r := &soakRun{options: o, fleet: f, callers: newCallers(f.HTTPAddrs()), operators: &operators{adminAddresses: f.AdminAddrs()}}
	if _, _, err := r.awaitService(recoveryTimeout); err != nil {
		return nil, err
	}
	rep := r.execute()
	if len(rep.Broken) == 0 {
		rep.Folder = ""
		if err := os.RemoveAll(f.Dir); err != nil {
			return rep, fault.Wrap(fault.Internal, err, "cannot remove the folder")
		}
	}
	return rep, nil
}

// execute executes the plan under load and checks the promises.
func (r *soakRun) execute() *Report {
	steps := Plan(r.options.Seed, r.options.Nodes, replicas, r.options.Duration)
	if r.options.PlannedStops {
		steps = StopsPlan(r.options.Seed, r.options.Nodes, r.options.Duration)
	}
	if r.options.DiskStalls {
		steps = mergeSteps(steps, StallPlan(r.options.Seed, replicas, r.options.Duration))
	}
	if r.options.RefuseWrites {
		steps = mergeSteps(steps, RefusalPlan(r.options.Seed, replicas, r.options.Duration))
	}
	if r.options.ServerLimits {
		steps = mergeSteps(steps, LimitPlan(r.options.Seed, r.options.Nodes, r.options.Duration))
	}
	if r.options.StrayResponses {
		steps = mergeSteps(steps, StrayPlan(r.options.Seed, r.options.Nodes, r.options.Duration))
	}
	ctx, stop := context.WithCancel(context.Background())
	var load, acts sync.WaitGroup
	load.Add(2)
	go func() { defer load.Done(); r.callers.sendAtRate(ctx, r.options.RequestRate) }()
	go func() { defer load.Done(); r.watchVersions(ctx) }()
	start := time.Now()
	for _, s := range steps {
		time.Sleep(s.At - time.Since(start))
		acts.Add(1)
		go func() { defer acts.Done(); r.executeStep(s) }()
	}
	acts.Wait()
	played := r.executedByKind()
	recovered, missed, err := r.awaitService(recoveryTimeout)
	if err != nil {
		r.reportViolation("recovery", "requests still fail %s after the last step: %v", recoveryTimeout, err)
	}
	repaired := r.awaitRepair()
	if r.options.DiskStalls {
		r.stallDisksSequentially()
	}
	if r.options.PoisonRequest {
		r.checkPoisonRequest()
	}
	inForce := r.restartAllReplicas()
	if _, _, err := r.awaitService(recoveryTimeout); err != nil {
		r.reportViolation("recovery", "requests still fail %s after the restart of all replicas: %v", recoveryTimeout, err)
	}
	firstChange := r.playEndings()
	stop()
	load.Wait()
	r.checkPromises()
	if r.options.PlannedStops {
		r.checkAbandoned()
	}
	rep := &Report{Seed: r.options.Seed, Steps: steps, Played: played, Recovered: recovered, Missed: missed, Repaired: repaired, InForce: inForce, FirstChange: firstChange, Folder: r.fleet.Dir, Broken: r.violations, Stated: r.stated, Judged: r.judged, Repeats: r.repeats, Changes: len(r.operators.acceptedChanges()), Outcomes: map[string]int{}}
	for _, a := range r.callers.recordedAttempts() {
		rep.count(a, r.isServable(a))
	}
	return rep
}

// playEndings plays the losses of disks that the options add to the end of the run, and
// returns Report.FirstChange.
func (r *soakRun) playEndings() time.Duration {
	if r.options.RefuseWrites {
		r.loseDiskAfterRefusal()
	}
	if !r.options.LastFault {
		return 0
	}
	return r.loseDiskWhileAllAreDown()
}

// count adds an attempt to the counts.
func (rep *Report) count(a attempt, servable bool) {
	rep.Attempts++
	rep.Outcomes[a.outcome()]++
	if servable {
		rep.Servable++
	}
	switch {
	case a.status == http.StatusOK:
		rep.Served++
		if servable {
			rep.ServableServed++
		}
	case a.notExecuted:
		rep.Refused++
	}
}

// isServable reports whether the node of an attempt was running when it was sent. From the
// outage of all replicas on no attempt counts, as their nodes have the slots of all front
// servers.
func (r *soakRun) isServable(a attempt) bool {
	if !a.sentAt.Before(r.outageStart) {
		return false
	}
	for _, sp := range r.executedSteps {
		if sp.Kind.stopsProcess() && sp.Target == a.entryNode && a.sentAt.After(sp.startedAt) && a.sentAt.Before(sp.endedAt) {
			return false
		}
	}
	return true
}

const (
	// recoveryTimeout bounds the time until all requests are served.
	recoveryTimeout = 15 * time.Second
	// consecutiveProbes is the number of requests of each type that every node must
	// serve.
	consecutiveProbes = 5
)

const (
	// maxMissed bounds Report.Missed.
	maxMissed = 12
	// slowThreshold is the duration above which a request counts as slow; the service
	// time is about 20 ms.
	slowThreshold = 400 * time.Millisecond
)

// awaitService waits until every node serves consecutiveProbes requests of each type.
// It returns the time taken and descriptions of the failed and slow requests.
func (r *soakRun) awaitService(within time.Duration) (time.Duration, []string, error) {
	start := time.Now()
	var missed []string
	probe := newCallers(r.fleet.HTTPAddrs())
	err := harness.Await(within, func() error {
		for kind := range requestTypes {
			for entry := range r.fleet.members {
				for range consecutiveProbes {
					probe.sendRequest(kind, entry)
				}
			}
		}
		taken := probe.recordedAttempts()
		probe.attempts = nil
		for _, a := range taken {
			if took := a.endedAt.Sub(a.sentAt); a.status != http.StatusOK || took > slowThreshold {
				missed = append(missed, fmt.Sprintf("%s after %s at node %d: status %d, took %s, id %s", requestTypes[a.requestType].target,
					a.sentAt.Sub(start).Round(time.Millisecond), a.entryNode+1, a.status, took.Round(time.Millisecond), a.id))
				missed = missed[max(0, len(missed)-maxMissed):]
			}
		}
		for _, a := range taken {
			if a.status != http.StatusOK {
				return fault.Newf(fault.NotFound, "%s at node %d: status %d", requestTypes[a.requestType].target, a.entryNode+1, a.status)
			}
		}
		return nil
	})
	return time.Since(start), missed, err
}

// executedByKind returns the number of steps executed so far, by kind.
func (r *soakRun) executedByKind() map[StepKind]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[StepKind]int{}
	for _, sp := range r.executedSteps {
		out[sp.Kind]++
	}
	return out
}

// recordStep adds a step to the executed ones.
func (r *soakRun) recordStep(sp *executedStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executedSteps = append(r.executedSteps, sp)
}

// reportViolation records a violated promise.
func (r *soakRun) reportViolation(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}
