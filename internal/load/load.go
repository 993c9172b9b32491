// Package load sends requests in an open loop: they start when they are due,
// whatever became of those before, and latency counts from that time.
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

// Kind is one kind of request in the mix.
type RequestKind struct {
	// Target is fleet/service/kind.
	Target string
	// Share is its share of the arrivals.
	ArrivalFraction float64
	// Deadline is how long the caller waits for the whole request.
	Deadline time.Duration
	// Body is the size of the request body in bytes.
	BodyBytes int
	// Keyed requests carry an Idempotency-Key.
	Keyed bool
}

// Phase is a span of time with one rate of arrivals.
type Phase struct {
	Rate     float64
	Duration time.Duration
	OnStart  func()
}

// Options describe a run.
type Options struct {
	// Entries are the HTTP addresses of the nodes that callers use.
	Addrs  []string
	Kinds  []RequestKind
	Phases []Phase
	// Resends is how often a caller sends a failed request again, with the
	// same id, within its deadline.
	MaxResends int
	// Pause is the time before a resend. Callers that retry hard ignore
	// what the refusal asks of them.
	ResendDelay time.Duration
	// Direct sends to backend servers instead of nodes.
	DirectToServers bool
	// Polite callers wait as long as the refusal asks.
	HonorRetryAfter bool
}

// Outcome is what became of one request.
type Outcome struct {
	ID                 string
	Kind               int
	ScheduledAt        time.Duration
	Latency            time.Duration
	OK                 bool
	Attempts           int
	Status             int
	Reason             string
	Detail             string
	ResponseMismatch   bool
	LastAttemptLatency time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Options  Options
	Outcomes []Outcome
	Elapsed  time.Duration
}

const (
	maxHist     = int64(10 * time.Minute / time.Microsecond)
	histFigures = 3
)

// Run sends the load and waits for all answers.
func Run(o Options) *Result {
	r := &runner{o: o, start: time.Now()}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 0, DisableCompression: true}}
	for _, p := range o.Phases {
		r.phase(p)
	}
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return &Result{Options: o, Outcomes: r.outcomes, Elapsed: time.Since(r.start)}
}

type runner struct {
	o      Options
	client *http.Client
	start  time.Time
	next   atomic.Uint64
	wg     sync.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

// phase paces the arrivals; a limiter that falls behind catches up, so that
// the load stays open.
func (r *runner) phase(p Phase) {
	if p.OnStart != nil {
		p.OnStart()
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Duration)
	defer cancel()
	lim := rate.NewLimiter(rate.Limit(p.Rate), 1)
	for lim.Wait(ctx) == nil {
		due := time.Since(r.start)
		r.wg.Add(1)
		go r.send(r.pick(), due)
	}
	<-ctx.Done()
}

func (r *runner) pick() int {
	draw := rand.Float64()
	for i, k := range r.o.Kinds {
		if draw < k.ArrivalFraction {
			return i
		}
		draw -= k.ArrivalFraction
	}
	return len(r.o.Kinds) - 1
}

func (r *runner) send(kind int, due time.Duration) {
	defer r.wg.Done()
	k := r.o.Kinds[kind]
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
		wait := r.try(ctx, &k, key, &out)
		out.LastAttemptLatency = time.Since(sent)
		if out.OK || out.Attempts > r.o.MaxResends || time.Now().Add(wait).After(deadline) {
			break
		}
		time.Sleep(wait)
	}
	out.Latency = time.Since(r.start) - due
	r.mu.Lock()
	r.outcomes = append(r.outcomes, out)
	r.mu.Unlock()
}

// try sends the request once and returns how long to wait before a resend.
func (r *runner) try(ctx context.Context, k *RequestKind, key string, out *Outcome) time.Duration {
	entry := r.o.Addrs[r.next.Add(1)%uint64(len(r.o.Addrs))]
	path := "/call/" + k.Target
	if r.o.DirectToServers {
		path = k.Target[strings.LastIndexByte(k.Target, '/'):]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(make([]byte, k.BodyBytes)))
	if err != nil {
		out.Reason = "malformed"
		return r.o.ResendDelay
	}
	req.Header.Set("Umber-Request-Id", out.ID)
	left, _ := ctx.Deadline()
	req.Header.Set("Umber-Remaining-Ms", strconv.FormatInt(max(1, time.Until(left).Milliseconds()), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.Status, out.Reason = 0, "no-answer"
		return r.o.ResendDelay
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	out.Status = resp.StatusCode
	out.Reason = resp.Status
	if err != nil {
		out.Reason = "cut-off"
		return r.o.ResendDelay
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
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && r.o.HonorRetryAfter {
		return time.Duration(seconds) * time.Second
	}
	return r.o.ResendDelay
}

// Latency returns the latencies of the served requests of a kind that were
// due within a span; kind -1 means all.
func (r *Result) LatencyHistogram(kind int, from, to time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxHist, histFigures)
	for _, o := range r.Outcomes {
		if (kind < 0 || o.Kind == kind) && o.OK && o.ScheduledAt >= from && o.ScheduledAt < to {
			_ = h.RecordValue(max(1, o.Latency.Microseconds()))
		}
	}
	return h
}
