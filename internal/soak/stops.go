package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/umberthread/umberthread/internal/standin"
)

// AllServersLate is a step in which all backend servers are so slow that attempts come into doubt.
const AllServersLate StepKind = "all-late"

const (
	// lateFactor multiplies the service times of late servers: reads then take a second and more.
	lateFactor = 200
	// latePeriod is the time from one AllServersLate to the next, and lateTime how long one lasts. In
	// between requests are fast enough again that the next slow ones come into doubt.
	latePeriod, lateTime = 5 * time.Second, 2500 * time.Millisecond
	// meanStopInterval is the mean time between two planned stops. They overlap.
	meanStopInterval = 500 * time.Millisecond
	// minStopped and maxStopped bound the time until a stopped process is started again.
	minStopped, maxStopped = 200 * time.Millisecond, 1500 * time.Millisecond
)

// StopsPlan returns a plan of planned work alone: stops in series that overlap, with changes of the
// settings, while servers are late now and then.
func StopsPlan(seed uint64, nodes int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(meanStopInterval)))
	steps := serverPlan(r, nodes, span, meanStopInterval, stopTimeout, func() (StepKind, time.Duration) {
		if r.IntN(6) == 0 {
			return ChangeSettings, 0
		}
		return StopProcess, drawDuration(r, minStopped, maxStopped)
	})
	var late []Step
	for at := initialDelay; at < span; at += latePeriod {
		late = append(late, Step{At: at, Kind: AllServersLate, For: lateTime})
	}
	return mergeSteps(late, steps)
}

// slowAllServers makes all backend servers late during a step.
func (r *soakRun) slowAllServers(s Step) {
	set := func(factor float64) {
		for _, m := range r.fleet.members {
			m.currentServer().UpdateFaults(func(f *standin.Faults) { f.SlowdownFactor = factor })
		}
	}
	set(lateFactor)
	time.Sleep(s.For)
	set(0)
}

// undecidedTime is the end of the callers' time in which a request may reach its deadline.
const undecidedTime = 300 * time.Millisecond

// checkAbandoned checks that no execution was broken off whose caller got no answer though there was
// time for it. It applies to plans of planned work alone: nothing else then loses an execution.
func (r *soakRun) checkAbandoned() {
	abandoned := map[string]int{}
	for _, m := range r.fleet.members {
		for _, s := range m.servers {
			if s.Service() != frontService {
				continue
			}
			for id, w := range s.RequestStats() {
				abandoned[id] += w.Abandoned
			}
		}
	}
	for _, a := range r.callers.recordedAttempts() {
		decided := a.endedAt.Sub(a.sentAt) < callerDeadline-undecidedTime && a.endedAt.Before(r.outageStart)
		if decided && a.status != http.StatusOK && abandoned[a.id] > 0 && !requestTypes[a.requestType].keyed {
			r.reportViolation("unfinished", "%s %s was broken off at its server and got %s after %s", requestTypes[a.requestType].target, a.id, a.outcome(), a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
		}
	}
}
