package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Result holds the outcomes of the requests first sent after the warmup.
type Result struct {
	Kinds map[string]*KindResult
	// EarnedBySecond is the value earned, by the second in which requests were first
	// sent.
	EarnedBySecond []float64
	// NestedCalls counts the calls of servers by kind, and NestedFailures the failed
	// ones by kind and code. They include calls during the warmup.
	NestedCalls      map[string]int
	NestedFailures   map[string]map[fault.Code]int
	warmup           time.Duration
	possibleBySecond []float64
}

// KindResult holds the outcomes of the requests of one kind.
type KindResult struct {
	// Sent counts all requests, InTime and Late those answered within the objective
	// and after it, Refused those reported as not executed, and Failed the rest.
	Sent, InTime, Late, Refused, Failed int
	// PossibleValue and EarnedValue are in the unit of RequestKind.Value.
	PossibleValue, EarnedValue float64
	// FailuresByCode counts the refused and failed requests by code.
	FailuresByCode map[fault.Code]int
}

func newResult(f Scenario) *Result {
	seconds := int(f.Duration/time.Second) + 1
	r := &Result{
		Kinds: map[string]*KindResult{}, NestedCalls: map[string]int{}, NestedFailures: map[string]map[fault.Code]int{},
		EarnedBySecond: make([]float64, seconds), possibleBySecond: make([]float64, seconds), warmup: f.Warmup,
	}
	for _, k := range f.Kinds {
		if k.RatePerSecond > 0 {
			r.Kinds[k.Name] = &KindResult{FailuresByCode: map[fault.Code]int{}}
		}
	}
	return r
}

// ValueFraction returns the earned fraction of the possible value of all requests.
func (r *Result) ValueFraction() float64 {
	owed, earned := 0.0, 0.0
	for _, k := range r.Kinds {
		owed += k.PossibleValue
		earned += k.EarnedValue
	}
	return earned / max(owed, 1)
}

// ValueFraction returns the earned fraction of the possible value of the kind.
func (k *KindResult) ValueFraction() float64 { return k.EarnedValue / max(k.PossibleValue, 1) }

// NestedFailureRate returns the fraction of the nested calls of a kind that failed.
func (r *Result) NestedFailureRate(kind string) float64 {
	lost := 0
	for _, n := range r.NestedFailures[kind] {
		lost += n
	}
	return float64(lost) / max(float64(r.NestedCalls[kind]), 1)
}

// ValueFractionInSecond returns the earned fraction of the possible value of the
// requests first sent in second i.
func (r *Result) ValueFractionInSecond(i int) float64 {
	return r.EarnedBySecond[i] / max(r.possibleBySecond[i], 1)
}

func (r *Result) isCounted(q *callerRequest) bool { return q.firstSent >= r.warmup }

func (r *Result) recordSent(q *callerRequest) {
	if !r.isCounted(q) {
		return
	}
	k := r.Kinds[q.kind.Name]
	k.Sent++
	k.PossibleValue += q.kind.Value
	r.possibleBySecond[q.firstSent/time.Second] += q.kind.Value
}

func (r *Result) recordOutcome(q *callerRequest, o outcome, now time.Duration) {
	if !r.isCounted(q) {
		return
	}
	k := r.Kinds[q.kind.Name]
	value := 0.0
	switch {
	case o.succeeded() && now-q.firstSent <= q.kind.LatencyObjective:
		k.InTime++
		value = q.kind.Value
	case o.succeeded():
		k.Late++
		value = q.kind.LateValue
	case o.code != fault.None && o.execution == fault.NotExecuted:
		k.Refused++
		k.FailuresByCode[o.code]++
	default:
		k.Failed++
		k.FailuresByCode[o.code]++
	}
	k.EarnedValue += value
	r.EarnedBySecond[q.firstSent/time.Second] += value
}

// recordNestedOutcome records the outcome of a nested call.
func (r *Result) recordNestedOutcome(k *indexedKind, o outcome) {
	r.NestedCalls[k.Name]++
	if o.succeeded() {
		return
	}
	if r.NestedFailures[k.Name] == nil {
		r.NestedFailures[k.Name] = map[fault.Code]int{}
	}
	r.NestedFailures[k.Name][o.code]++
}
