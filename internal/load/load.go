// Package load generates requests in an open loop: they start at their scheduled times,
// independently of the outcomes of earlier ones, and latency is measured from the
// scheduled time.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	// Target is fleet/service/kind.
	Target string
	// ArrivalFraction is its fraction of the arrivals.
	ArrivalFraction float64
	// Deadline is how long the caller waits for the whole request.
	Deadline time.Duration
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Keyed requests carry an Idempotency-Key.
	Keyed bool
}

// Phase is a period with a constant arrival rate, in requests per second. OnStart, if
// not nil, is called at its start.
type Phase struct {
	Rate     float64
	Duration time.Duration
	OnStart  func()
}

// Options configures a run.
type Options struct {
	// Addrs are the HTTP addresses that requests are sent to, in rotation.
	Addrs  []string
	Kinds  []RequestKind
	Phases []Phase
	// MaxResends bounds how often a caller resends a failed request, with the same
	// id and within its deadline.
	MaxResends int
	// ResendDelay is the time before a resend, unless HonorRetryAfter applies.
	ResendDelay time.Duration
	// DirectToServers sends to backend servers instead of nodes.
	DirectToServers bool
	// WorkspaceKeys are the keys that the requests carry, in random rotation; empty for none.
	WorkspaceKeys []string
	// HonorRetryAfter makes callers wait for the time in the Retry-After header.
	HonorRetryAfter bool
}

// Outcome is the outcome of one request over all its attempts. Status and Reason are
// those of the last attempt, Detail that of the last problem document. ScheduledAt is
// relative to the start of the run.
type Outcome struct {
	ID          string
	Kind        int
	ScheduledAt time.Duration
	Latency     time.Duration
	OK          bool
	Attempts    int
	Status      int
	Reason      string
	Detail      string
	// ResponseMismatch is set if a successful response lacks the request's id and is
	// not marked as replayed.
	ResponseMismatch   bool
	LastAttemptLatency time.Duration
}

// Result holds the outcomes of a run.
type Result struct {
	Options  Options
	Outcomes []Outcome
	Elapsed  time.Duration
}

const (
	maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantFigures     = 3
)

// Run runs the phases in order and waits for all requests to complete.
func Run(o Options) *Result {
	r := &runner{options: o, start: time.Now()}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 0, DisableCompression: true}}
	for _, p := range o.Phases {
		r.runPhase(p)
	}
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return &Result{Options: o, Outcomes: r.outcomes, Elapsed: time.Since(r.start)}
}

// runner is the state of a run.
type runner struct {
	options  Options
	client   *http.Client
	start    time.Time
	nextAddr atomic.Uint64
	wg       sync.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

// runPhase starts requests at the rate of the phase, without waiting for earlier ones.
func (r *runner) runPhase(p Phase) {
	if p.OnStart != nil {
		p.OnStart()
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Duration)
	defer cancel()
	lim := rate.NewLimiter(rate.Limit(p.Rate), 1)
	for lim.Wait(ctx) == nil {
		due := time.Since(r.start)
		r.wg.Add(1)
		go r.sendRequest(r.pickKind(), due)
	}
	<-ctx.Done()
}

// pickKind draws the index of a request kind by arrival fractions.
func (r *runner) pickKind() int {
	draw := rand.Float64()
	for i, k := range r.options.Kinds {
		if draw < k.ArrivalFraction {
			return i
		}
		draw -= k.ArrivalFraction
	}
	return len(r.options.Kinds) - 1
}

// sendRequest sends a request with its resends and records the outcome.
func (r *runner) sendRequest(kind int, due time.Duration) {
	defer r.wg.Done()
	k := r.options.Kinds[kind]
	out := Outcome{ID: uuid.NewString(), Kind: kind, ScheduledAt: due}
	key := ""
	if k.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	deadline := r.start.Add(due + k.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for {
		out.Attempts++
		sent := time.Now()
		wait := r.attempt(ctx, &k, key, &out)
		out.LastAttemptLatency = time.Since(sent)
		if out.OK || out.Attempts > r.options.MaxResends || time.Now().Add(wait).After(deadline) {
			break
		}
		time.Sleep(wait)
	}
	out.Latency = time.Since(r.start) - due
	r.mu.Lock()
	r.outcomes = append(r.outcomes, out)
	r.mu.Unlock()
}

// attempt sends the request once, records the outcome and returns the time to wait
// before a resend.
func (r *runner) attempt(ctx context.Context, k *RequestKind, key string, out *Outcome) time.Duration {
	addr := r.options.Addrs[r.nextAddr.Add(1)%uint64(len(r.options.Addrs))]
	path := "/call/" + k.Target
	if r.options.DirectToServers {
		path = k.Target[strings.LastIndexByte(k.Target, '/'):]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(make([]byte, k.BodyBytes)))
	if err != nil {
		out.Reason = "malformed"
		return r.options.ResendDelay
	}
	req.Header.Set("Umber-Request-Id", out.ID)
	left, _ := ctx.Deadline()
	req.Header.Set("Umber-Remaining-Ms", strconv.FormatInt(max(1, time.Until(left).Milliseconds()), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if keys := r.options.WorkspaceKeys; len(keys) > 0 {
		req.Header.Set("Umber-Workspace-Key", keys[rand.IntN(len(keys))])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.Status, out.Reason = 0, "no-answer"
		return r.options.ResendDelay
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	out.Status = resp.StatusCode
	out.Reason = resp.Status
	if err != nil {
		out.Reason = "cut-off"
		return r.options.ResendDelay
	}
	if resp.StatusCode == http.StatusOK {
		out.OK = true
		out.Reason = ""
		out.ResponseMismatch = !bytes.HasPrefix(body, []byte(out.ID)) && resp.Header.Get("Umber-Replayed") == ""
		return 0
	}
	var problem struct {
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &problem) == nil && problem.Reason != "" {
		out.Reason = problem.Reason
		out.Detail = problem.Detail
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && r.options.HonorRetryAfter {
		return time.Duration(seconds) * time.Second
	}
	return r.options.ResendDelay
}

// LatencyHistogram returns the latencies, in microseconds, of the successful requests of
// a kind that were scheduled from one time up to another; kind -1 selects all kinds.
func (r *Result) LatencyHistogram(kind int, from, to time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatencyMicroseconds, significantFigures)
	for _, o := range r.Outcomes {
		if (kind < 0 || o.Kind == kind) && o.OK && o.ScheduledAt >= from && o.ScheduledAt < to {
			_ = h.RecordValue(max(1, o.Latency.Microseconds()))
		}
	}
	return h
}
