package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Result is what became of the requests that were sent after the lead.
type Result struct {
	Kinds map[string]*KindResult
	// Seconds is the share of what was owed that was earned, by the second in which
	// requests were first sent.
	Seconds []float64
	// Calls counts the calls of servers by kind, and Nested those that failed, by kind
	// and reason.
	Calls  map[string]int
	Nested map[string]map[fault.Code]int
	lead   time.Duration
	owed   []float64
}

// KindResult is what became of the requests of a kind.
type KindResult struct {
	// Sent is how many callers sent, InTime and Late how many were answered, Refused
	// how many were told that they did not run, and Failed the rest.
	Sent, InTime, Late, Refused, Failed int
	// Owed and Earned are in the unit of Kind.Worth.
	Owed, Earned float64
	// Reasons counts why those that were not answered ended.
	Reasons map[fault.Code]int
}

func newResult(f Scenario) *Result {
	seconds := int(f.Length/time.Second) + 1
	r := &Result{
		Kinds: map[string]*KindResult{}, Calls: map[string]int{}, Nested: map[string]map[fault.Code]int{},
		Seconds: make([]float64, seconds), owed: make([]float64, seconds), lead: f.Lead,
	}
	for _, k := range f.Kinds {
		if k.PerSecond > 0 {
			r.Kinds[k.Name] = &KindResult{Reasons: map[fault.Code]int{}}
		}
	}
	return r
}

// Worth is the share of what was owed that was earned.
func (r *Result) ValueFraction() float64 {
	owed, earned := 0.0, 0.0
	for _, k := range r.Kinds {
		owed += k.Owed
		earned += k.Earned
	}
	return earned / max(owed, 1)
}

// Share is the share of the worth of a kind that was earned.
func (k *KindResult) ValueFraction() float64 { return k.Earned / max(k.Owed, 1) }

// LostCalls is the share of the calls of a kind that failed.
func (r *Result) LostCalls(kind string) float64 {
	lost := 0
	for _, n := range r.Nested[kind] {
		lost += n
	}
	return float64(lost) / max(float64(r.Calls[kind]), 1)
}

// Second is the share that was earned of what was owed for the requests of a second.
func (r *Result) Second(i int) float64 { return r.Seconds[i] / max(r.owed[i], 1) }

func (r *Result) counts(q *request) bool { return q.first >= r.lead }

func (r *Result) sent(q *request) {
	if !r.counts(q) {
		return
	}
	k := r.Kinds[q.kind.Name]
	k.Sent++
	k.Owed += q.kind.Worth
	r.owed[q.first/time.Second] += q.kind.Worth
}

func (r *Result) ended(q *request, a answer, now time.Duration) {
	if !r.counts(q) {
		return
	}
	k := r.Kinds[q.kind.Name]
	worth := 0.0
	switch {
	case a.ok() && now-q.first <= q.kind.Objective:
		k.InTime++
		worth = q.kind.Worth
	case a.ok():
		k.Late++
		worth = q.kind.Late
	case a.code != fault.None && a.run == fault.RunNo:
		k.Refused++
		k.Reasons[a.code]++
	default:
		k.Failed++
		k.Reasons[a.code]++
	}
	k.Earned += worth
	r.Seconds[q.first/time.Second] += worth
}

// nested notes what became of a call of a server.
func (r *Result) nested(k *kind, a answer) {
	r.Calls[k.Name]++
	if a.ok() {
		return
	}
	if r.Nested[k.Name] == nil {
		r.Nested[k.Name] = map[fault.Code]int{}
	}
	r.Nested[k.Name][a.code]++
}
