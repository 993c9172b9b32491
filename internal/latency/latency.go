// Package latency counts request durations in histograms and writes them in the
// Prometheus text format.
package latency

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of the buckets, finest around typical objectives.
var bucketBounds = [...]time.Duration{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

// histogram counts durations. Its last bucket is unbounded.
type histogram struct {
	buckets   [len(bucketBounds) + 1]atomic.Int64
	sumMicros atomic.Int64
}

func (h *histogram) observe(d time.Duration) {
	i := sort.Search(len(bucketBounds), func(i int) bool { return d <= bucketBounds[i] })
	h.buckets[i].Add(1)
	h.sumMicros.Add(d.Microseconds())
}

// Table holds a histogram per class and outcome, both from small fixed sets. It is safe
// for concurrent use.
type Table struct{ m sync.Map }

// seriesKey identifies the histogram of a class and an outcome.
type seriesKey struct{ class, outcome string }

// Observe records the duration of an answered request.
func (t *Table) Observe(class, outcome string, took time.Duration) {
	k := seriesKey{class, outcome}
	v, ok := t.m.Load(k)
	if !ok {
		v, _ = t.m.LoadOrStore(k, &histogram{})
	}
	v.(*histogram).observe(took)
}

// WriteText writes the histograms in the Prometheus text format, in seconds. It ignores
// write errors.
func (t *Table) WriteText(w io.Writer) {
	t.m.Range(func(k, v any) bool {
		series, h := k.(seriesKey), v.(*histogram)
		labels := fmt.Sprintf("class=%q,outcome=%q", series.class, series.outcome)
		sum := int64(0)
		for i := range h.buckets {
			sum += h.buckets[i].Load()
			bound := "+Inf"
			if i < len(bucketBounds) {
				bound = fmt.Sprint(bucketBounds[i].Seconds())
			}
			fmt.Fprintf(w, "umberthread_request_seconds_bucket{%s,le=%q} %d\n", labels, bound, sum)
		}
		fmt.Fprintf(w, "umberthread_request_seconds_count{%s} %d\n", labels, sum)
		fmt.Fprintf(w, "umberthread_request_seconds_sum{%s} %g\n", labels, float64(h.sumMicros.Load())/1e6)
		return true
	})
}
