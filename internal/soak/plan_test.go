package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestPlanFollowsFromItsSeed, loses one disk at a time, and needs a disk only
// where there is one.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		span := time.Duration(rapid.IntRange(5, 60).Draw(t, "span")) * time.Second
		steps := Plan(seed, 6, replicas, span)
		again := Plan(seed, 6, replicas, span)
		if len(steps) != len(again) {
			t.Fatalf("%d steps, then %d", len(steps), len(again))
		}
		last, lost := time.Duration(0), -repairTime
		for i, s := range steps {
			if s != again[i] || s.At < last || s.Target < 0 || s.Target >= 6 {
				t.Fatalf("step %d: %v, then %v", i, s, again[i])
			}
			last = s.At
			takesDisk := s.Kind == Wipe || s.Kind == Replace
			if (takesDisk || s.Kind == Torn) && s.Target >= replicas {
				t.Fatalf("%v needs a disk", s)
			}
			if takesDisk && s.At-lost < repairTime {
				t.Fatalf("%v comes too soon after another", s)
			}
			if takesDisk {
				lost = s.At
			}
		}
	})
}

// TestStallPlanFollowsFromItsSeed, names replicas alone, and leaves the other plan as it
// is without stalls.
func TestStallPlanFollowsFromItsSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		const span = 20 * time.Second
		stalls := StallPlan(seed, replicas, span)
		if !slices.Equal(stalls, StallPlan(seed, replicas, span)) {
			t.Fatal("another plan for the same seed")
		}
		for _, s := range stalls {
			if s.Kind != Stall || s.Target >= replicas || s.For < stallLeast || s.For > stallMost || s.At > span {
				t.Fatalf("%v", s)
			}
		}
		steps := Plan(seed, 6, replicas, span)
		others := slices.DeleteFunc(together(steps, stalls), func(s Step) bool { return s.Kind == Stall })
		if !slices.Equal(others, steps) {
			t.Fatal("the stalls change the other steps")
		}
	})
}

// TestChecksFindWhatIsBroken gives the checks what a broken fleet would show.
func TestChecksFindWhatIsBroken(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &run{callers: newCallers(nil)}
	note := 1
	stop := time.Now()
	r.spells = []*spell{
		{Step: Step{Kind: Term, Target: 2}, began: stop, ended: stop.Add(5 * time.Second)},
		{Step: Step{Kind: ServerDrain, Target: 0}, began: stop.Add(time.Minute), ended: stop.Add(2 * time.Minute), drained: true, startedAfter: 3},
	}
	r.callers.attempts = []attempt{
		{id: "twice", sort: note, status: 200},
		{id: "lie", sort: note, status: 503, notRun: true},
		{id: "wrong", sort: note, status: 200, wrong: "another's answer"},
		{id: "made up", sort: note, status: 200},
		{id: "cut", sort: note, entry: 2, sent: stop.Add(time.Second), ended: stop.Add(2 * time.Second)},
	}
	runs := map[string]int{"twice": 2, "lie": 1, "wrong": 1, "cut": 1}
	for _, a := range r.callers.taken() {
		r.checkAttempt(a, runs[a.id])
	}
	r.checkOnce(runs)
	r.checkStops(runs)
	r.checkDrains()
	found := map[string]int{}
	for _, b := range r.broken {
		found[b.Promise]++
	}
	g.Expect(found).To(gomega.Equal(map[string]int{"at most once": 1, "honest refusal": 1, "whole answer": 2, "planned stop": 1, "drain": 1}))
}

// A request with a key that fails while a disk stalls is found; the resend of one that was
// cut before is not held against the stall.
func TestKeyedRequestsAreJudgedByTheirFirstAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	const book = 2
	r := &run{callers: newCallers(nil)}
	began := time.Now()
	r.callers.attempts = []attempt{
		{id: "cut before", sort: book, sent: began.Add(-time.Second)},
		{id: "cut before", sort: book, status: 409, sent: began.Add(time.Second)},
		{id: "served", sort: book, status: 200, sent: began.Add(time.Second)},
		{id: "later", sort: book, status: 503, sent: began.Add(time.Hour)},
	}
	r.checkKeyed(began, began.Add(time.Minute))
	g.Expect(r.broken).To(gomega.BeEmpty())
	r.callers.attempts = append(r.callers.attempts, attempt{id: "refused", sort: book, status: 503, sent: began.Add(time.Second)})
	r.checkKeyed(began, began.Add(time.Minute))
	g.Expect(r.broken).To(gomega.HaveLen(1))
}
