package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// stats are the counters that expvar shows.
type requestCounters struct {
	inflight atomic.Int64
	// calls counts first attempts, retries the others.
	calls           atomic.Int64
	retries         atomic.Int64
	brokenResponses atomic.Int64
	servedRequests  atomic.Int64
	refusals        [fault.Count]atomic.Int64

	controlBytesOut atomic.Int64
	controlBytesIn  atomic.Int64
}

func (s *requestCounters) countRefusal(c fault.Code) { s.refusals[c].Add(1) }

// bySlug returns the refusals by reason, without zeros.
func (s *requestCounters) refusalsByReason() map[string]int64 {
	out := map[string]int64{}
	for c := range fault.Count {
		if v := s.refusals[c].Load(); v > 0 {
			out[fault.Code(c).String()] = v
		}
	}
	return out
}

// Trace is one request as umberctl requests shows it.
type Trace struct {
	Time         time.Time `json:"time"`
	RequestID    string    `json:"request_id"`
	Target       string    `json:"target"`
	Root         string    `json:"root"`
	Rank         uint16    `json:"rank"`
	Depth        uint8     `json:"depth"`
	Attempts     int       `json:"attempts"`
	RetriesSpent int       `json:"retries_spent"`
	PathLevel    uint16    `json:"path_level"`
	Reason       string    `json:"reason"`
	Run          string    `json:"run"`
	TookUs       int64     `json:"took_us"`
}

// Event is one decision of note as umberctl events shows it.
type Event struct {
	Time   time.Time `json:"time"`
	Node   string    `json:"node"`
	Domain string    `json:"failure_domain"`
	Part   string    `json:"part"`
	Text   string    `json:"text"`
}

// last keeps the last items; older ones are overwritten.
type recentItems[T any] struct {
	mu    sync.Mutex
	items []T
	next  int
	size  int
}

func newRecentItems[T any](size int) *recentItems[T] { return &recentItems[T]{size: size} }

func (l *recentItems[T]) add(v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) < l.size {
		l.items = append(l.items, v)
		return
	}
	l.items[l.next] = v
	l.next = (l.next + 1) % l.size
}

// all returns the items, oldest first.
func (l *recentItems[T]) all() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]T, 0, len(l.items))
	out = append(out, l.items[l.next:]...)
	return append(out, l.items[:l.next]...)
}
