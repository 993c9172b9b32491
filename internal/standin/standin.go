// Package standin is a backend server for tests and measurements. It has slots,
// service times, nested calls and injectable faults, and counts its executions by
// request.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// KindBehavior is the behavior of the server for one request kind.
type KindBehavior struct {
	// MeanServiceTime is the mean service time without nested calls.
	MeanServiceTime time.Duration
	// Calls are the targets of sequential nested calls, as fleet/service/kind.
	Calls []string
	// ResponseBytes is the size of the response body.
	ResponseBytes int
}

// ParseKind parses name=time[:target[*count],...][@response bytes].
func ParseKind(s string) (string, KindBehavior, error) {
	bad := fault.Newf(fault.BadRequest, "kind %q; allowed is name=time[:target[*count],...][@bytes]", s)
	name, rest, ok := strings.Cut(s, "=")
	if !ok {
		return "", KindBehavior{}, bad
	}
	k := KindBehavior{ResponseBytes: 256}
	rest, size, ok := strings.Cut(rest, "@")
	if ok {
		n, err := strconv.Atoi(size)
		if err != nil {
			return "", KindBehavior{}, bad
		}
		k.ResponseBytes = n
	}
	span, calls, _ := strings.Cut(rest, ":")
	var err error
	if k.MeanServiceTime, err = time.ParseDuration(span); err != nil {
		return "", KindBehavior{}, bad
	}
	for c := range strings.SplitSeq(calls, ",") {
		target, count, _ := strings.Cut(c, "*")
		n := 1
		if count != "" {
			if n, err = strconv.Atoi(count); err != nil {
				return "", KindBehavior{}, bad
			}
		}
		for range n {
			if target != "" {
				k.Calls = append(k.Calls, target)
			}
		}
	}
	return name, k, nil
}

// Options configures a Server.
type Options struct {
	Service     string
	ListenAddr  string
	NodeAddr    string
	Slots       int
	Connections int
	Kinds       map[string]KindBehavior
	// Instance is the announced identity, empty for none. With one, start time and sequence
	// are announced, too.
	Instance string
	// AnnounceInterval is the time between announcements; 0 selects a second.
	AnnounceInterval time.Duration
	// ColdStart is how long after its start the server is slower by coldStartFactor.
	ColdStart time.Duration
	// CrashOn reports whether the execution of a request stops the server, by path
	// and body; nil for none.
	CrashOn func(path string, body []byte) bool
	// OnHeader is called with the header of each request; nil for none.
	OnHeader func(http.Header)
}

// Faults are the injected faults of a running server.
type Faults struct {
	// SlowdownFactor multiplies the service times; 0 means 1.
	SlowdownFactor float64 `json:"slow"`
	// FailureRate is the fraction of requests that fail immediately with status 500.
	FailureRate float64 `json:"fail"`
	// Hang blocks every request until it is canceled.
	Hang bool `json:"hang"`
	// AnnouncedState overrides the announced state, if not empty.
	AnnouncedState string `json:"state"`
	// RateLimit is named in all responses as the requests per second that the server
	// accepts, if not empty.
	RateLimit string `json:"rate_limit"`
	// Leaving makes all responses say that the server is about to shut down.
	Leaving bool `json:"leaving"`
	// RejectionRate is the fraction of requests that are rejected before they are executed, and
	// StrayRate the fraction of responses that another one follows, which nobody asked for.
	RejectionRate float64 `json:"reject"`
	StrayRate     float64 `json:"stray"`
}

// RequestStats counts the executions of one request id.
type RequestStats struct {
	// Executions counts the executions started.
	Executions int `json:"runs"`
	// Responses counts the complete successful responses.
	Responses int `json:"done"`
	// Abandoned counts the executions whose connection was closed before they ended.
	Abandoned int `json:"abandoned"`
	// ServiceMicroseconds is the total service time without nested calls.
	ServiceMicroseconds int64 `json:"us"`
}

// Arrival is the arrival of a request.
type Arrival struct {
	At time.Time
	// RequestID is that of the caller's request, also for nested calls.
	RequestID string
}

// Server is a running stand-in.
type Server struct {
	options    Options
	httpServer *http.Server
	ln         net.Listener
	slots      chan struct{}
	client     *http.Client
	faults     atomic.Pointer[Faults]
	started    time.Time
	done       chan struct{}
	// stopOnce allows concurrent calls of Stop.
	stopOnce sync.Once

	mu              sync.Mutex
	saidAt          time.Time
	arrivals        []Arrival
	statsByID       map[string]*RequestStats
	executionsByKey map[string]int

	announcements atomic.Uint64

	served   atomic.Int64
	peak     atomic.Int64
	inFlight atomic.Int64
}

// coldStartFactor multiplies the service times during Options.ColdStart.
const coldStartFactor = 4

// Start starts a server, which announces itself to its node until Stop.
func Start(o Options) (*Server, error) {
	ln, err := net.Listen("tcp", o.ListenAddr)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen")
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = time.Second
	}
	s := &Server{
		options: o, ln: ln, slots: make(chan struct{}, o.Slots), started: time.Now(), done: make(chan struct{}),
		statsByID: map[string]*RequestStats{}, executionsByKey: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	s.faults.Store(&Faults{})
	mux := http.NewServeMux()
	mux.HandleFunc("/_standin/faults", s.serveFaults)
	mux.HandleFunc("/_standin/work", s.serveWork)
	mux.HandleFunc("/", s.serve)
	s.httpServer = &http.Server{Handler: mux, ConnState: trackConn, ConnContext: withConn}
	go func() { _ = s.httpServer.Serve(strayListener{ln}) }()
	go s.announceLoop()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Service returns the service that the server announces.
func (s *Server) Service() string { return s.options.Service }

// SetFaults replaces the injected faults and announces the server.
func (s *Server) SetFaults(f Faults) { s.UpdateFaults(func(current *Faults) { *current = f }) }

// UpdateFaults changes some of the injected faults and announces the server.
func (s *Server) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	before := s.faults.Load()
	f := *before
	change(&f)
	s.faults.Store(&f)
	if f.RateLimit != before.RateLimit || f.Leaving != before.Leaving {
		s.saidAt = time.Time{}
	}
	s.mu.Unlock()
	s.announce()
}

// RequestStats returns a copy of the statistics by request id.
func (s *Server) RequestStats() map[string]RequestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]RequestStats, len(s.statsByID))
	for id, w := range s.statsByID {
		out[id] = *w
	}
	return out
}

// ExecutionsByKey returns the number of executions by Idempotency-Key.
func (s *Server) ExecutionsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executionsByKey))
	for k, n := range s.executionsByKey {
		out[k] = n
	}
	return out
}

// SaidAt returns the time of the first response with the current RateLimit and Leaving faults,
// or the zero time before it.
func (s *Server) SaidAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saidAt
}

// recordSaid records a response with the faults f.
func (s *Server) recordSaid(f *Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.faults.Load()
	if f.RateLimit == current.RateLimit && f.Leaving == current.Leaving && s.saidAt.IsZero() {
		s.saidAt = time.Now()
	}
}

// Arrivals returns the times at which requests arrived, in order.
func (s *Server) Arrivals() []time.Time {
	var out []time.Time
	for _, a := range s.RequestArrivals() {
		out = append(out, a.At)
	}
	return out
}

// RequestArrivals returns the arrivals of all requests, in order.
func (s *Server) RequestArrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// MostArrivals returns the highest number of arrivals in any span that ends after a time.
// Arrivals are in order.
func MostArrivals(arrivals []time.Time, span time.Duration, after time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > span {
			first++
		}
		if at.After(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Served returns the number of successful responses.
func (s *Server) Served() int64 { return s.served.Load() }

// PeakInFlight returns the maximum number of concurrent requests, queued ones included.
func (s *Server) PeakInFlight() int64 { return s.peak.Load() }

// Done returns a channel that is closed when the server stops.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop stops the server immediately and closes its connections.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		close(s.done)
		_ = s.httpServer.Close()
	})
}

// announceLoop announces the server at each interval until Stop.
func (s *Server) announceLoop() {
	s.announce()
	t := time.NewTicker(s.options.AnnounceInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.announce()
		}
	}
}

// announce sends the state, address and capacity to the node; errors are ignored.
func (s *Server) announce() {
	state := s.faults.Load().AnnouncedState
	if state == "" {
		state = "serving"
	}
	announcement := map[string]any{
		"service": s.options.Service, "address": s.Addr(), "slots": s.options.Slots,
		"connections": max(s.options.Connections, s.options.Slots), "state": state,
	}
	if s.options.Instance != "" {
		announcement["instance"], announcement["born"], announcement["sequence"] = s.options.Instance, s.started.UnixMilli(), s.announcements.Add(1)
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	resp, err := s.client.Post("http://"+s.options.NodeAddr+"/v1/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "malformed faults", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) serveWork(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.RequestStats())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	now := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	for p := s.peak.Load(); now > p && !s.peak.CompareAndSwap(p, now); p = s.peak.Load() {
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{time.Now(), r.Header.Get("Umber-Request-Id")})
	s.mu.Unlock()
	if s.options.OnHeader != nil {
		s.options.OnHeader(r.Header)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.Load()
	f.setHeader(w.Header())
	w.Header().Set("Umber-Call", r.Header.Get("Umber-Call"))
	defer s.recordSaid(f)
	if f.StrayRate > 0 && rand.Float64() < f.StrayRate {
		connOf(r).setNext(strayResponse(r.Header.Get("Umber-Call"), r.Header.Get("Umber-Request-Id")))
	}
	if f.RejectionRate > 0 && rand.Float64() < f.RejectionRate {
		w.Header().Set("Umber-Run", "no")
		http.Error(w, "rejected", http.StatusServiceUnavailable)
		return
	}
	if f.FailureRate > 0 && rand.Float64() < f.FailureRate {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	kind, ok := s.options.Kinds[name]
	if !ok {
		http.Error(w, "no such kind", http.StatusNotFound)
		return
	}
	ctx, cancel := withRemaining(r)
	defer cancel()
	if status := s.execute(ctx, w, r, body, kind, f); status != http.StatusOK {
		return
	}
	s.writeResponse(w, r, kind, len(body))
}

// setHeader sets the fields by which the server says that it limits its rate or leaves.
func (f *Faults) setHeader(h http.Header) {
	if f.RateLimit != "" {
		h.Set("Umber-Rate-Limit", f.RateLimit)
	}
	if f.Leaving {
		h.Set("Umber-Leaving", "1")
	}
}

// withRemaining returns the request's context with the deadline of the Umber-Remaining-Ms header.
func withRemaining(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Umber-Remaining-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute executes a request in a slot and returns its status. On a failure other
// than a hang it has written the response.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, k KindBehavior, f *Faults) int {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	defer func() { <-s.slots }()
	id := r.Header.Get("Umber-Request-Id")
	s.recordExecution(id, r.Header.Get("Idempotency-Key"))
	if s.options.CrashOn != nil && s.options.CrashOn(r.URL.Path, body) {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-ctx.Done()
		return http.StatusGatewayTimeout
	}
	start := time.Now()
	slept := sleep(ctx, s.drawServiceTime(k, f))
	s.recordServiceTime(id, time.Since(start))
	if !slept {
		s.recordIfAbandoned(r, id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	for _, target := range k.Calls {
		if status := s.callNested(ctx, w, r, target); status != http.StatusOK {
			s.recordIfAbandoned(r, id)
			return status
		}
	}
	return http.StatusOK
}

// drawServiceTime draws a service time: half of the mean is constant, half is
// exponentially distributed.
func (s *Server) drawServiceTime(k KindBehavior, f *Faults) time.Duration {
	d := float64(k.MeanServiceTime) * (0.5 + 0.5*rand.ExpFloat64())
	if f.SlowdownFactor > 0 {
		d *= f.SlowdownFactor
	}
	if time.Since(s.started) < s.options.ColdStart {
		d *= coldStartFactor
	}
	return time.Duration(d)
}

// sleep waits for d and reports whether the context lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callNested makes a nested call through the node and returns its status. On a failure
// it has written the response.
func (s *Server) callNested(ctx context.Context, w http.ResponseWriter, r *http.Request, target string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.options.NodeAddr+"/call/"+target, nil)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError
	}
	for _, name := range []string{"Umber-Call", "Umber-Request-Id", "Traceparent"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return http.StatusBadGateway
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		return http.StatusOK
	}
	if err != nil || !errors.Is(ctx.Err(), nil) {
		w.WriteHeader(http.StatusBadGateway)
		return http.StatusBadGateway
	}
	for _, name := range []string{"Umber-Run", "Retry-After", "Content-Type"} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
	return resp.StatusCode
}

// writeResponse writes the request id, which reveals a mismatched response, the size of
// the request body, and padding.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, k KindBehavior, received int) {
	id := r.Header.Get("Umber-Request-Id")
	head := id + " " + strconv.Itoa(received) + "\n"
	fill := strings.Repeat("x", max(0, k.ResponseBytes-len(head)))
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(fill)))
	if _, err := io.WriteString(w, head+fill); err != nil {
		return
	}
	s.served.Add(1)
	s.mu.Lock()
	s.statsByID[id].Responses++
	s.mu.Unlock()
}

// recordExecution counts the start of an execution.
func (s *Server) recordExecution(id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statsByID[id] == nil {
		s.statsByID[id] = &RequestStats{}
	}
	s.statsByID[id].Executions++
	if key != "" {
		s.executionsByKey[key]++
	}
}

// recordIfAbandoned counts an execution that ended as its connection was closed.
func (s *Server) recordIfAbandoned(r *http.Request, id string) {
	if r.Context().Err() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statsByID[id].Abandoned++
}

// recordServiceTime adds to the service time of a request.
func (s *Server) recordServiceTime(id string, d time.Duration) {
	s.mu.Lock()
	s.statsByID[id].ServiceMicroseconds += d.Microseconds()
	s.mu.Unlock()
}
