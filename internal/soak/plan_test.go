package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against plans that differ for the same seed, lose disks in too short a
// succession, or require a disk on a node without one.
func TestPlanIsDeterministicAndSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		span := time.Duration(rapid.IntRange(5, 60).Draw(t, "span")) * time.Second
		steps := Plan(seed, 6, replicas, span)
		again := Plan(seed, 6, replicas, span)
		if len(steps) != len(again) {
			t.Fatalf("%d steps, then %d", len(steps), len(again))
		}
		last, lost := time.Duration(0), -minDiskLossInterval
		for i, s := range steps {
			if s != again[i] || s.At < last || s.Target < 0 || s.Target >= 6 {
				t.Fatalf("step %d: %v, then %v", i, s, again[i])
			}
			last = s.At
			takesDisk := s.Kind == WipeDisk || s.Kind == ReplaceNode
			if (takesDisk || s.Kind == TearLog) && s.Target >= replicas {
				t.Fatalf("%v needs a disk", s)
			}
			if takesDisk && s.At-lost < minDiskLossInterval {
				t.Fatalf("%v follows the previous disk loss too soon", s)
			}
			if takesDisk {
				lost = s.At
			}
		}
	})
}

// Guards against stall plans that differ for the same seed, stall nodes without a disk
// or alter the other steps.
func TestStallPlanIsDeterministicAndSeparate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		const span = 20 * time.Second
		stalls := StallPlan(seed, replicas, span)
		if !slices.Equal(stalls, StallPlan(seed, replicas, span)) {
			t.Fatal("stall plans for the same seed differ")
		}
		for _, s := range stalls {
			if s.Kind != StallDisk || s.Target >= replicas || s.For < minStall || s.For > maxStall || s.At > span {
				t.Fatalf("invalid stall: %v", s)
			}
		}
		steps := Plan(seed, 6, replicas, span)
		others := slices.DeleteFunc(mergeSteps(steps, stalls), func(s Step) bool { return s.Kind == StallDisk })
		if !slices.Equal(others, steps) {
			t.Fatal("the stalls change the other steps")
		}
	})
}

// Guards against refusal plans that differ for the same seed, or refuse writes of nodes without a
// disk.
func TestRefusalPlanIsDeterministicAndSeparate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		const span = 20 * time.Second
		refusals := RefusalPlan(seed, replicas, span)
		if !slices.Equal(refusals, RefusalPlan(seed, replicas, span)) {
			t.Fatal("refusal plans for the same seed differ")
		}
		for _, s := range refusals {
			if s.Kind != RefuseWrites || s.Target >= replicas || s.For < minRefusal || s.For > maxRefusal || s.At > span {
				t.Fatalf("invalid refusal: %v", s)
			}
		}
		stalls := StallPlan(seed, replicas, span)
		others := slices.DeleteFunc(mergeSteps(stalls, refusals), func(s Step) bool { return s.Kind == RefuseWrites })
		if !slices.Equal(others, stalls) {
			t.Fatal("the refusals change the other steps")
		}
	})
}

// Guards against checks that miss violations in a recorded run.
func TestChecksReportViolations(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &soakRun{callers: newCallers(nil)}
	note := 1
	stop := time.Now()
	r.executedSteps = []*executedStep{
		{Step: Step{Kind: StopProcess, Target: 2}, startedAt: stop, endedAt: stop.Add(5 * time.Second)},
		{Step: Step{Kind: ServerDrain, Target: 0}, startedAt: stop.Add(time.Minute), endedAt: stop.Add(2 * time.Minute), drainEffective: true, executionsAfterDrain: 3},
	}
	r.callers.attempts = []attempt{
		{id: "twice", requestType: note, status: 200},
		{id: "lie", requestType: note, status: 503, notExecuted: true},
		{id: "wrong", requestType: note, status: 200, responseError: "another's answer"},
		{id: "made up", requestType: note, status: 200},
		{id: "cut", requestType: note, entryNode: 2, sentAt: stop.Add(time.Second), endedAt: stop.Add(2 * time.Second)},
	}
	runs := map[string]int{"twice": 2, "lie": 1, "wrong": 1, "cut": 1}
	for _, a := range r.callers.recordedAttempts() {
		r.checkAttempt(a, runs[a.id])
	}
	r.checkAtMostOnce(runs)
	r.checkPlannedStops(runs)
	r.checkDrains()
	found := map[string]int{}
	for _, b := range r.violations {
		found[b.Promise]++
	}
	g.Expect(found).To(gomega.Equal(map[string]int{"at most once": 1, "honest refusal": 1, "whole answer": 2, "planned stop": 1, "drain": 1}))
}

// Guards against a missed failure of a request with a key during a stall, and against a
// reported resend of a request first sent earlier.
func TestCheckKeyedRequestsIgnoresEarlierFirstAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	const book = 2
	r := &soakRun{callers: newCallers(nil)}
	began := time.Now()
	r.callers.attempts = []attempt{
		{id: "cut before", requestType: book, sentAt: began.Add(-time.Second)},
		{id: "cut before", requestType: book, status: 409, sentAt: began.Add(time.Second)},
		{id: "served", requestType: book, status: 200, sentAt: began.Add(time.Second)},
		{id: "later", requestType: book, status: 503, sentAt: began.Add(time.Hour)},
	}
	r.checkKeyedRequests(began, began.Add(time.Minute))
	g.Expect(r.violations).To(gomega.BeEmpty())
	r.callers.attempts = append(r.callers.attempts, attempt{id: "refused", requestType: book, status: 503, sentAt: began.Add(time.Second)})
	r.checkKeyedRequests(began, began.Add(time.Minute))
	g.Expect(r.violations).To(gomega.HaveLen(1))
}

// checkServerPlan checks that a plan for backend servers is the same for the same seed, that its steps
// do not overlap on a server, and that each is valid.
func checkServerPlan(t *testing.T, plan func(seed uint64, nodes int, span time.Duration) []Step, isValid func(Step) bool) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		const nodes, span = 6, 20 * time.Second
		steps := plan(seed, nodes, span)
		if !slices.Equal(steps, plan(seed, nodes, span)) {
			t.Fatal("plans for the same seed differ")
		}
		busyUntil := map[int]time.Duration{}
		for _, s := range steps {
			if s.At < busyUntil[s.Target] {
				t.Fatalf("%v overlaps with another step on its server", s)
			}
			busyUntil[s.Target] = s.At + s.For
			if !isValid(s) || s.Target < 0 || s.Target >= nodes || s.At > span {
				t.Fatalf("invalid step: %v", s)
			}
		}
	})
}

// Guards against limit plans that differ for the same seed, or limits too short to be checked.
func TestLimitPlanIsDeterministic(t *testing.T) {
	checkServerPlan(t, LimitPlan, func(s Step) bool {
		return s.Kind == ServerLeaving && s.For > drainGracePeriod || s.Kind == ServerLimit && s.For >= limitSettles+limitWindow
	})
}

// Guards against plans of planned work that differ for the same seed, or hold anything else.
func TestStopsPlanIsDeterministic(t *testing.T) {
	g := gomega.NewWithT(t)
	steps := StopsPlan(1, minNodes, time.Minute)
	g.Expect(StopsPlan(1, minNodes, time.Minute)).To(gomega.Equal(steps))
	kinds := map[StepKind]int{}
	for _, s := range steps {
		kinds[s.Kind]++
	}
	g.Expect(kinds).To(gomega.HaveLen(3))
	g.Expect(kinds[StopProcess]).To(gomega.BeNumerically(">", 10))
	g.Expect(kinds[AllServersLate]).To(gomega.BeNumerically(">", 10))
}

// Guards against stray plans that differ for the same seed, or end a step that another one began.
func TestStrayPlanIsDeterministic(t *testing.T) {
	checkServerPlan(t, StrayPlan, func(s Step) bool {
		return s.Kind == ServerStray && s.For >= minStrayTime && s.For <= maxStrayTime
	})
}
