package fleetmodel

import (
	"slices"
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
	NestedCalls    map[string]int
	NestedFailures map[string]map[fault.Code]int
	// RateLimits describes what each server that named a limit received.
	RateLimits []RateLimitResult
	// Calls and Repeats are the times, by service and in ascending order, at which calls
	// began that were no repeats and at which servers got repeats.
	Calls, Repeats   map[string][]time.Duration
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
		Calls: map[string][]time.Duration{}, Repeats: map[string][]time.Duration{},
		EarnedBySecond: make([]float64, seconds), possibleBySecond: make([]float64, seconds), warmup: f.Warmup,
	}
	for _, k := range f.Kinds {
		if k.RatePerSecond > 0 {
			r.Kinds[k.Name] = &KindResult{FailuresByCode: map[fault.Code]int{}}
		}
	}
	return r
}

// recordCall records a call of a service that is no repeat.
func (r *Result) recordCall(service string, now time.Duration) {
	r.Calls[service] = append(r.Calls[service], now)
}

// recordRepeat records a repeat that a server of a service got.
func (r *Result) recordRepeat(service string, now time.Duration) {
	r.Repeats[service] = append(r.Repeats[service], now)
}

// RepeatExcess returns by how much, in any window, the repeats that the servers of a service
// got exceed the ratio of its calls, of those in the window, in the one before or in the one
// half a window earlier, whichever has most.
func (r *Result) RepeatExcess(service string, ratio float64, window time.Duration) float64 {
	count := func(times []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+window)
		return end - first
	}
	calls, repeats, worst := r.Calls[service], r.Repeats[service], 0.0
	for _, from := range repeats {
		funded := max(count(calls, from), count(calls, from-window/2), count(calls, from-window))
		worst = max(worst, float64(count(repeats, from))-ratio*float64(funded))
	}
	return worst
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

const (
	// rateLimitKnown is the time from the first naming of a limit from which requests count,
	// rateLimitSettles that until the limit binds, and rateLimitWindow the span in which
	// requests are compared with it.
	rateLimitKnown   = 500 * time.Millisecond
	rateLimitSettles = 3 * time.Second
	rateLimitWindow  = 4 * time.Second
)

// RateLimitResult describes the requests that a server received while it named a limit.
type RateLimitResult struct {
	// Limit is in requests per second.
	Limit float64
	// MostInWindow is the highest number of requests in rateLimitWindow once the limit binds,
	// and Used the mean rate from then on as a fraction of the limit.
	MostInWindow int
	Used         float64
}

// recordRateLimits records what servers received that named a limit from began to ended.
func (r *Result) recordRateLimits(nodes []*node, limit float64, began, ended time.Duration) {
	binds := began + rateLimitSettles
	for _, n := range nodes {
		l := RateLimitResult{Limit: limit}
		first, total := 0, 0
		for i, at := range n.server.arrivals {
			for at-n.server.arrivals[first] > rateLimitWindow || n.server.arrivals[first] < began+rateLimitKnown && first < i {
				first++
			}
			if at >= binds && at < ended {
				total++
				l.MostInWindow = max(l.MostInWindow, i-first+1)
			}
		}
		l.Used = float64(total) / (limit * (ended - binds).Seconds())
		r.RateLimits = append(r.RateLimits, l)
	}
}
