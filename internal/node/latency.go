package node

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// latencyBounds are the upper bounds of the histograms' buckets. The known
// objectives lie between 300 ms and 2 s, deadlines at 8 s.
var latencyBounds = [...]time.Duration{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

// histogram counts durations; the last bucket has no bound.
type histogram struct {
	buckets [len(latencyBounds) + 1]atomic.Int64
	sumUs   atomic.Int64
}

func (h *histogram) observe(d time.Duration) {
	i := sort.Search(len(latencyBounds), func(i int) bool { return d <= latencyBounds[i] })
	h.buckets[i].Add(1)
	h.sumUs.Add(d.Microseconds())
}

// latencies holds a histogram for each class and whether the request was
// served, a bounded set whatever the settings name.
type latencies struct{ m sync.Map }

type latencyKey struct{ class, outcome string }

func (l *latencies) observe(c *call, code fault.Code, took time.Duration) {
	k := latencyKey{c.rank.Class().String(), code.String()}
	v, ok := l.m.Load(k)
	if !ok {
		v, _ = l.m.LoadOrStore(k, &histogram{})
	}
	v.(*histogram).observe(took)
}

// WriteLatencies writes the histograms of the requests of callers as text.
func (n *Node) WriteLatencies(w io.Writer) {
	n.latencies.m.Range(func(k, v any) bool {
		key, h := k.(latencyKey), v.(*histogram)
		labels := fmt.Sprintf("class=%q,outcome=%q", key.class, key.outcome)
		sum := int64(0)
		for i := range h.buckets {
			sum += h.buckets[i].Load()
			bound := "+Inf"
			if i < len(latencyBounds) {
				bound = fmt.Sprint(latencyBounds[i].Seconds())
			}
			fmt.Fprintf(w, "umberthread_request_seconds_bucket{%s,le=%q} %d\n", labels, bound, sum)
		}
		fmt.Fprintf(w, "umberthread_request_seconds_count{%s} %d\n", labels, sum)
		fmt.Fprintf(w, "umberthread_request_seconds_sum{%s} %g\n", labels, float64(h.sumUs.Load())/1e6)
		return true
	})
}
