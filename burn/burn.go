// Package burn keeps the service-level objectives of request kinds: how many
// requests ended well, and how fast the error budget is being spent over
// several windows at once (Google, The Site Reliability Workbook, chapter 5).
// A Book takes bounded memory per kind: one ring of one-minute counters and one
// ring of ten-second counters.
package burn

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Window is a span over which the burn rate is told.
type Window struct {
	// Name is how reports call it.
	Name string
	// Span is its length.
	Span time.Duration
}

// Windows are the spans of a report, shortest first: the first two make the
// fast alert, the last two the slow one.
var Windows = [...]Window{
	{"1m", time.Minute},
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
}

// StepSpan is the span of one of Kind.Steps.
const StepDuration = fineStep

const (
	fineStep  = 10 * time.Second
	fineSize  = 31
	roughStep = time.Minute
	roughSize = 361
)

// counter counts within one step of time.
type counter struct {
	step  int64
	good  uint32
	total uint32
}

// kind is the book of one request kind.
type kind struct {
	mu    sync.Mutex
	fine  [fineSize]counter
	rough [roughSize]counter
	sheds [fault.Count]atomic.Int64
}

// Book counts the outcomes of requests by kind. It is safe for concurrent use.
type Tracker struct {
	kinds sync.Map // root scope -> *kind
}

// NewBook returns an empty book.
func NewTracker() *Tracker { return &Tracker{} }

// Add books one request that ended at now.
func (b *Tracker) Record(root string, now time.Time, good bool, code fault.Code) {
	v, ok := b.kinds.Load(root)
	if !ok {
		v, _ = b.kinds.LoadOrStore(root, &kind{})
	}
	k := v.(*kind)
	if code != fault.None {
		k.sheds[code].Add(1)
	}
	k.mu.Lock()
	bump(k.fine[:], now, fineStep, good)
	bump(k.rough[:], now, roughStep, good)
	k.mu.Unlock()
}

func bump(ring []counter, now time.Time, step time.Duration, good bool) {
	at := now.UnixNano() / int64(step)
	c := &ring[at%int64(len(ring))]
	if c.step != at {
		*c = counter{step: at}
	}
	c.total++
	if good {
		c.good++
	}
}

// Count is how many of a number of requests ended well.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// Rate returns the burn rate against an objective: 1 spends the error budget
// exactly, 0 nothing. It is 0 without requests.
func (c Count) BurnRate(objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	allowed := max(1-objective, 1e-6)
	return bad / allowed
}

// Kind is what a book holds of one request kind.
type KindReport struct {
	Scope string `json:"kind"`
	// Counts has one entry for each of Windows.
	Counts [len(Windows)]Count `json:"counts"`
	// Steps are the counts of the last five minutes, oldest first, one for
	// each StepSpan; the last step is not over.
	Steps []Count `json:"steps"`
	// Sheds counts the failures by reason since the start.
	FailuresByCode map[string]int64 `json:"sheds,omitempty"`
}

// Kinds returns the book as of now, sorted by kind.
func (b *Tracker) Report(now time.Time) []KindReport {
	var out []KindReport
	b.kinds.Range(func(key, v any) bool {
		out = append(out, v.(*kind).report(key.(string), now))
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Scope < out[j].Scope })
	return out
}

func (k *kind) report(root string, now time.Time) KindReport {
	r := KindReport{Scope: root, FailuresByCode: map[string]int64{}}
	for c := range k.sheds {
		if v := k.sheds[c].Load(); v > 0 {
			r.FailuresByCode[fault.Code(c).String()] = v
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, w := range Windows {
		if w.Span <= (fineSize-1)*fineStep {
			r.Counts[i] = sum(k.fine[:], now, fineStep, w.Span)
		} else {
			r.Counts[i] = sum(k.rough[:], now, roughStep, w.Span)
		}
	}
	r.Steps = steps(k.fine[:], now)
	return r
}

// steps returns the fine counters in the order of time.
func steps(ring []counter, now time.Time) []Count {
	last := now.UnixNano() / int64(fineStep)
	out := make([]Count, fineSize-1)
	for _, c := range ring {
		if at := len(out) - 1 - int(last-c.step); c.total > 0 && at >= 0 && at < len(out) {
			out[at] = Count{uint64(c.good), uint64(c.total)}
		}
	}
	return out
}

// sum adds the steps that lie within span before now, the current one
// included.
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
