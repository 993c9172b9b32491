// Package burn measures burn rates against service-level objectives: for each
// request kind, how many requests met the objective and how fast the error
// budget is spent over several windows (Google, The Site Reliability Workbook,
// chapter 5). Memory per kind is fixed: a ring of one-minute counters and a ring
// of ten-second counters.
package burn

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Window is a period over which burn rates are reported.
type Window struct {
	// Name is the label of the window in reports.
	Name string
	Span time.Duration
}

// Windows lists the windows of a report, shortest first. The first two are for
// the fast-burn alert, the last two for the slow-burn alert.
var Windows = [...]Window{
	{"1m", time.Minute},
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
}

// StepDuration is the duration of each entry of KindReport.Steps.
const StepDuration = fineStep

// The fine ring covers five minutes and the coarse ring six hours, each with one
// more counter for the current step.
const (
	fineStep   = 10 * time.Second
	fineSize   = 31
	coarseStep = time.Minute
	coarseSize = 361
)

// counter counts requests within one step of time.
type counter struct {
	step  int64 // number of the step since the Unix epoch
	good  uint32
	total uint32
}

// kindCounters holds the counters of one request kind.
type kindCounters struct {
	mu       sync.Mutex
	fine     [fineSize]counter
	coarse   [coarseSize]counter
	failures [fault.CodeCount]atomic.Int64
}

// Tracker counts the outcomes of requests by kind. It is safe for concurrent use.
type Tracker struct {
	kinds sync.Map // scope of the request kind -> *kindCounters
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{} }

// Record counts one request of the kind scope that ended at now. good reports whether
// it met the objective; code is its failure, or fault.None.
func (t *Tracker) Record(scope string, now time.Time, good bool, code fault.Code) {
	v, ok := t.kinds.Load(scope)
	if !ok {
		v, _ = t.kinds.LoadOrStore(scope, &kindCounters{})
	}
	k := v.(*kindCounters)
	if code != fault.None {
		k.failures[code].Add(1)
	}
	k.mu.Lock()
	increment(k.fine[:], now, fineStep, good)
	increment(k.coarse[:], now, coarseStep, good)
	k.mu.Unlock()
}

// increment counts a request in the ring's counter for now, which is reset first
// if it holds an earlier step.
func increment(ring []counter, now time.Time, step time.Duration, good bool) {
	current := now.UnixNano() / int64(step)
	c := &ring[current%int64(len(ring))]
	if c.step != current {
		*c = counter{step: current}
	}
	c.total++
	if good {
		c.good++
	}
}

// Count holds the number of requests and how many of them met the objective.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// BurnRate returns the burn rate against an objective, the required fraction of
// good requests: the fraction of failed requests divided by the allowed one. It
// is 0 without requests.
func (c Count) BurnRate(objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	allowed := max(1-objective, 1e-6)
	return bad / allowed
}

// KindReport holds the counts of one request kind.
type KindReport struct {
	// Scope is the scope of the request kind.
	Scope string `json:"kind"`
	// Counts has one entry for each of Windows.
	Counts [len(Windows)]Count `json:"counts"`
	// Steps holds the counts of the last five minutes, oldest first, one for
	// each StepDuration; the last step is still in progress.
	Steps []Count `json:"steps"`
	// FailuresByCode counts the failures since the tracker was created.
	FailuresByCode map[string]int64 `json:"sheds,omitempty"`
}

// Report returns the counts of all request kinds as of now, sorted by scope.
func (t *Tracker) Report(now time.Time) []KindReport {
	var out []KindReport
	t.kinds.Range(func(key, v any) bool {
		out = append(out, v.(*kindCounters).report(key.(string), now))
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Scope < out[j].Scope })
	return out
}

// report returns the counts of one kind as of now.
func (k *kindCounters) report(scope string, now time.Time) KindReport {
	r := KindReport{Scope: scope, FailuresByCode: map[string]int64{}}
	for c := range k.failures {
		if v := k.failures[c].Load(); v > 0 {
			r.FailuresByCode[fault.Code(c).String()] = v
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, w := range Windows {
		if w.Span <= (fineSize-1)*fineStep {
			r.Counts[i] = sum(k.fine[:], now, fineStep, w.Span)
		} else {
			r.Counts[i] = sum(k.coarse[:], now, coarseStep, w.Span)
		}
	}
	r.Steps = stepCounts(k.fine[:], now)
	return r
}

// stepCounts returns the counters of the fine ring, oldest first.
func stepCounts(ring []counter, now time.Time) []Count {
	last := now.UnixNano() / int64(fineStep)
	out := make([]Count, fineSize-1)
	for _, c := range ring {
		if i := len(out) - 1 - int(last-c.step); c.total > 0 && i >= 0 && i < len(out) {
			out[i] = Count{uint64(c.good), uint64(c.total)}
		}
	}
	return out
}

// sum adds up the counters of the last span, including the current step.
func sum(ring []counter, now time.Time, step, span time.Duration) Count {
	last := now.UnixNano() / int64(step)
	first := last - int64(span/step)
	var c Count
	for i := range ring {
		if ring[i].step > first && ring[i].step <= last {
			c.Good += uint64(ring[i].good)
			c.Total += uint64(ring[i].total)
		}
	}
	return c
}
