// Package latency counts durations, above all of requests, in histograms and writes them in
// the Prometheus text format.
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

// Histogram counts durations. Its last bucket is unbounded. It is safe for concurrent use, and
// its zero value is empty.
type Histogram struct {
	buckets   [len(bucketBounds) + 1]atomic.Int64
	sumMicros atomic.Int64
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
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
		v, _ = t.m.LoadOrStore(k, &Histogram{})
	}
	v.(*Histogram).Observe(took)
}

// WriteText writes the histograms in the Prometheus text format, in seconds. It ignores
// write errors.
func (t *Table) WriteText(w io.Writer) {
	t.m.Range(func(k, v any) bool {
		series, h := k.(seriesKey), v.(*Histogram)
		labels := fmt.Sprintf("class=%q,outcome=%q", series.class, series.outcome)
		h.writeText(w, "umberthread_request_seconds", labels)
		return true
	})
}

// WriteText writes the histogram under a name in the Prometheus text format, in seconds. It
// ignores write errors.
func (h *Histogram) WriteText(w io.Writer, name string) { h.writeText(w, name, "") }

// writeText writes the histogram with labels, which may be empty.
func (h *Histogram) writeText(w io.Writer, name, labels string) {
	bucketLabels, all := "", ""
	if labels != "" {
		bucketLabels, all = labels+",", "{"+labels+"}"
	}
	sum := int64(0)
	for i := range h.buckets {
		sum += h.buckets[i].Load()
		bound := "+Inf"
		if i < len(bucketBounds) {
			bound = fmt.Sprint(bucketBounds[i].Seconds())
		}
		fmt.Fprintf(w, "%s_bucket{%sle=%q} %d\n", name, bucketLabels, bound, sum)
	}
	fmt.Fprintf(w, "%s_count%s %d\n", name, all, sum)
	fmt.Fprintf(w, "%s_sum%s %g\n", name, all, float64(h.sumMicros.Load())/1e6)
}
