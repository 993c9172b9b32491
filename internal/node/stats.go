package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// requestCounters holds the node's counters for status and expvar.
type requestCounters struct {
	// inflight is the number of requests in progress from callers and from the local
	// backend server.
	inflight atomic.Int64
	// firstAttempts counts the first attempts of calls, and retries the others.
	firstAttempts atomic.Int64
	retries       atomic.Int64
	// unchargedRetries counts the retries that were not charged to the retry budgets, and
	// deniedRetries those that were not made because the service's ratio was used up.
	unchargedRetries atomic.Int64
	deniedRetries    atomic.Int64
	// firstArrivals counts the requests that were sent to the local backend server for the
	// first time, and repeatedArrivals those that may have reached one before, or were made
	// by an execution that was a repeat.
	firstArrivals    atomic.Int64
	repeatedArrivals atomic.Int64
	// refusedRepeats counts the repeats that were not sent to the local backend server because
	// the ratio of its service was used up.
	refusedRepeats atomic.Int64
	// doubtedAttempts counts the attempts that came into doubt before they were answered.
	doubtedAttempts atomic.Int64
	// brokenResponses counts the responses that could not be sent completely.
	brokenResponses atomic.Int64
	// servedRequests counts the requests of callers and of the local backend server that
	// received a complete response.
	servedRequests atomic.Int64
	refusals       [fault.CodeCount]atomic.Int64

	// controlBytesOut and controlBytesIn count the bytes of gossip packets.
	controlBytesOut atomic.Int64
	controlBytesIn  atomic.Int64
}

// countRefusal counts a refusal or failure with the given code.
func (s *requestCounters) countRefusal(c fault.Code) { s.refusals[c].Add(1) }

// refusalsByReason returns the refusals by name of their fault code, without zeros.
func (s *requestCounters) refusalsByReason() map[string]int64 {
	out := map[string]int64{}
	for c := range fault.CodeCount {
		if v := s.refusals[c].Load(); v > 0 {
			out[fault.Code(c).String()] = v
		}
	}
	return out
}

// Trace describes one completed request; umberctl requests shows it.
type Trace struct {
	Time      time.Time `json:"time"`
	RequestID string    `json:"request_id"`
	// Target is the target of this call, and Root that of the request that entered.
	Target   string `json:"target"`
	Root     string `json:"root"`
	Rank     uint16 `json:"rank"`
	Depth    uint8  `json:"depth"`
	Attempts int    `json:"attempts"`
	// RetriesSpent is what the request has used of its retry budget.
	RetriesSpent int `json:"retries_spent"`
	// PathLevel is the admission level of the request's path at this node.
	PathLevel uint16 `json:"path_level"`
	Reason    string `json:"reason"`
	// Execution states whether the request was executed: yes, no or unknown.
	Execution string `json:"run"`
	TookUs    int64  `json:"took_us"`
}

// Event is one notable event of a node; umberctl events shows it.
type Event struct {
	Time   time.Time `json:"time"`
	Node   string    `json:"node"`
	Domain string    `json:"failure_domain"`
	// Part is the component of the node, as in its log.
	Part string `json:"part"`
	Text string `json:"text"`
}

// recentItems keeps the last size items; the oldest are overwritten. It is safe for concurrent
// use.
type recentItems[T any] struct {
	mu    sync.Mutex
	items []T
	next  int
	size  int
}

// newRecentItems returns an empty buffer for size items.
func newRecentItems[T any](size int) *recentItems[T] { return &recentItems[T]{size: size} }

// add appends an item, in place of the oldest one if the buffer is full.
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
