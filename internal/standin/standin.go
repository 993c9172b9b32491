// Package standin is a backend server for tests and measurements. It has
// slots, service times, calls to further services, and faults that can be set
// while it runs, and it counts the work that it does for each request.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Kind is what the server does for one request kind.
type KindBehavior struct {
	// Time is the mean time in a slot, calls not counted.
	MeanServiceTime time.Duration
	// Calls are the targets, fleet/service/kind, called one after another.
	Calls []string
	// Answer is the size of the answer in bytes.
	ResponseBytes int
}

// ParseKind reads name=time[:target[*count],...][@answer bytes].
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

// Options are the settings of a Server.
type Options struct {
	Service     string
	ListenAddr  string
	NodeAddr    string
	Slots       int
	Connections int
	Kinds       map[string]KindBehavior
	// Renew is the time between announcements.
	AnnounceInterval time.Duration
	// ColdStart is how long the server is several times slower at first.
	ColdStart time.Duration
	// EndsOn tells which requests end the server as soon as it runs them, by path
	// and body; nil for none.
	CrashOn func(path string, body []byte) bool
}

// Faults are what can be set while the server runs.
type Faults struct {
	// Slow multiplies the service times; 0 means 1.
	SlowdownFactor float64 `json:"slow"`
	// Fail is the share of requests answered with 500 at once.
	FailureRate float64 `json:"fail"`
	// Hang makes every request wait until it is canceled.
	Hang bool `json:"hang"`
	// State overrides the announced state.
	AnnouncedState string `json:"state"`
}

// Work is what was done for one request id.
type RequestStats struct {
	// Runs counts the executions that began.
	Executions int `json:"runs"`
	// Done counts those that were answered whole.
	Responses int `json:"done"`
	// Us is the time worked, calls not counted, in microseconds.
	Us int64 `json:"us"`
}

// Server is a running stand-in.
type Server struct {
	opt     Options
	srv     *http.Server
	ln      net.Listener
	slots   chan struct{}
	client  *http.Client
	faults  atomic.Pointer[Faults]
	started time.Time
	stop    chan struct{}
	// stopOnce lets several requests end the server.
	stopOnce sync.Once

	mu   sync.Mutex
	work map[string]*RequestStats
	keys map[string]int

	served atomic.Int64
	peak   atomic.Int64
	now    atomic.Int64
}

// coldFactor is how much slower a server is just after its start.
const coldFactor = 4

// Start listens and announces the server to its node until Stop.
func Start(o Options) (*Server, error) {
	ln, err := net.Listen("tcp", o.ListenAddr)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen")
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = time.Second
	}
	s := &Server{
		opt: o, ln: ln, slots: make(chan struct{}, o.Slots), started: time.Now(), stop: make(chan struct{}),
		work: map[string]*RequestStats{}, keys: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	s.faults.Store(&Faults{})
	mux := http.NewServeMux()
	mux.HandleFunc("/_standin/faults", s.serveFaults)
	mux.HandleFunc("/_standin/work", s.serveWork)
	mux.HandleFunc("/", s.serve)
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(ln) }()
	go s.announceLoop()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Service returns the service that the server announces.
func (s *Server) Service() string { return s.opt.Service }

// SetFaults changes the faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.Store(&f)
	s.announce()
}

// Work returns the work done by request id.
func (s *Server) RequestStats() map[string]RequestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]RequestStats, len(s.work))
	for id, w := range s.work {
		out[id] = *w
	}
	return out
}

// KeyRuns returns how often each Idempotency-Key was run.
func (s *Server) ExecutionsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.keys))
	for k, n := range s.keys {
		out[k] = n
	}
	return out
}

// Served returns how many requests were answered.
func (s *Server) Served() int64 { return s.served.Load() }

// Peak returns the most requests that were in the server at once.
func (s *Server) PeakInFlight() int64 { return s.peak.Load() }

// Ended is closed once the server has ended.
func (s *Server) Done() <-chan struct{} { return s.stop }

// Stop ends the server at once.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		close(s.stop)
		_ = s.srv.Close()
	})
}

func (s *Server) announceLoop() {
	s.announce()
	t := time.NewTicker(s.opt.AnnounceInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			s.announce()
		}
	}
}

func (s *Server) announce() {
	state := s.faults.Load().AnnouncedState
	if state == "" {
		state = "serving"
	}
	body, err := json.Marshal(map[string]any{
		"service": s.opt.Service, "address": s.Addr(), "slots": s.opt.Slots,
		"connections": max(s.opt.Connections, s.opt.Slots), "state": state,
	})
	if err != nil {
		return
	}
	resp, err := s.client.Post("http://"+s.opt.NodeAddr+"/v1/announce", "application/json", bytes.NewReader(body))
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
	now := s.now.Add(1)
	defer s.now.Add(-1)
	for p := s.peak.Load(); now > p && !s.peak.CompareAndSwap(p, now); p = s.peak.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.Load()
	if f.FailureRate > 0 && rand.Float64() < f.FailureRate {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	kind, ok := s.opt.Kinds[name]
	if !ok {
		http.Error(w, "no such kind", http.StatusNotFound)
		return
	}
	ctx, cancel := withRemaining(r)
	defer cancel()
	if status := s.run(ctx, w, r, body, kind, f); status != http.StatusOK {
		return
	}
	s.answer(w, r, kind, len(body))
}

func withRemaining(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Umber-Remaining-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// run works for a request in a slot. It writes the answer if it fails.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, k KindBehavior, f *Faults) int {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	defer func() { <-s.slots }()
	id := r.Header.Get("Umber-Request-Id")
	s.began(id, r.Header.Get("Idempotency-Key"))
	if s.opt.CrashOn != nil && s.opt.CrashOn(r.URL.Path, body) {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-ctx.Done()
		return http.StatusGatewayTimeout
	}
	start := time.Now()
	slept := sleep(ctx, s.span(k, f))
	s.worked(id, time.Since(start))
	if !slept {
		w.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	for _, target := range k.Calls {
		if status := s.call(ctx, w, r, target); status != http.StatusOK {
			return status
		}
	}
	return http.StatusOK
}

// span draws a service time: half of the mean is fixed, half exponential.
func (s *Server) span(k KindBehavior, f *Faults) time.Duration {
	d := float64(k.MeanServiceTime) * (0.5 + 0.5*rand.ExpFloat64())
	if f.SlowdownFactor > 0 {
		d *= f.SlowdownFactor
	}
	if time.Since(s.started) < s.opt.ColdStart {
		d *= coldFactor
	}
	return time.Duration(d)
}

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

// call calls a further service through the node, as part of the request.
func (s *Server) call(ctx context.Context, w http.ResponseWriter, r *http.Request, target string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.opt.NodeAddr+"/call/"+target, nil)
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

// answer writes the answer: the request's id, so that a crossed one shows,
// the size of the body received, and filling.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, k KindBehavior, received int) {
	id := r.Header.Get("Umber-Request-Id")
	head := id + " " + strconv.Itoa(received) + "\n"
	fill := strings.Repeat("x", max(0, k.ResponseBytes-len(head)))
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(fill)))
	if _, err := io.WriteString(w, head+fill); err != nil {
		return
	}
	s.served.Add(1)
	s.mu.Lock()
	s.work[id].Responses++
	s.mu.Unlock()
}

func (s *Server) began(id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work[id] == nil {
		s.work[id] = &RequestStats{}
	}
	s.work[id].Executions++
	if key != "" {
		s.keys[key]++
	}
}

func (s *Server) worked(id string, d time.Duration) {
	s.mu.Lock()
	s.work[id].Us += d.Microseconds()
	s.mu.Unlock()
}
