package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	announceInterval = 1500 * time.Millisecond
	slots            = 118
)

// server is a stand-in for a backend server beside a node. It runs one incarnation at a time;
// each announces itself until it drains or crashes.
type server struct {
	record          *record
	ip, service, id string
	// clockOffset is by how much the time of day of its instance has been stepped.
	clockOffset time.Duration
	// work is how long it works on a request.
	work time.Duration

	mu       sync.Mutex
	http     *http.Server
	state    string
	sequence int
	startMs  int64
	stop     chan struct{}
	runs     []run
}

// run is a request that the server began to work on.
type run struct {
	id, path string
	header   http.Header
	at       time.Time
}

// startIncarnation starts to listen and to announce itself under the server's identity.
func (s *server) startIncarnation() error {
	ln, err := net.Listen("tcp", address(s.ip, backendPort))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.sequence, s.stop = "ready", 0, make(chan struct{})
	s.startMs = time.Now().Add(s.clockOffset).UnixMilli()
	s.http = &http.Server{Handler: s}
	srv, stop := s.http, s.stop
	go func() { _ = srv.Serve(ln) }()
	go s.announceUntil(stop)
	s.record.add("server %s starts at %s, start time %d", s.id, s.ip, s.startMs)
	return nil
}

// announceUntil announces the server at intervals.
func (s *server) announceUntil(stop <-chan struct{}) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announce()
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

// announce sends one announcement to the node beside the server. It returns the status of the
// response, 0 for none.
func (s *server) announce() int {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": address(s.ip, backendPort), "zone": "a", "version": "v1", "slots": slots,
		"state": s.state, "coldRemainingMs": 0, "sequence": s.sequence, "born": s.startMs,
	})
	state := s.state
	s.mu.Unlock()
	status := s.tell(http.MethodPut, body)
	s.record.add("server %s announces %s: %d", s.id, state, status)
	return status
}

// tell sends a message about the server to its node and returns the status, 0 for no response.
func (s *server) tell(method string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+address(s.ip, controlPort)+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// drain announces that the server is draining, until that is acknowledged, and returns when.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for s.announce() != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// crash closes the listener and all connections, and ends the announcements.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stop)
	_ = s.http.Close()
	s.record.add("server %s ends", s.id)
}

// leave withdraws the server and ends it.
func (s *server) leave() {
	s.record.add("server %s withdraws: %d", s.id, s.tell(http.MethodDelete, nil))
	s.crash()
}

// requests returns what the server has begun to work on so far.
func (s *server) requests() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set(platform.InstanceID, s.id)
		w.Header().Set(platform.ServerLoad, fmt.Sprintf("0,0,%d", slots))
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(platform.AttemptID)
	switch expected := r.Header.Get(platform.ExpectInstance); {
	case id == "":
		w.Header().Set(platform.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		w.Header().Set(platform.AttemptID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, path: r.URL.Path, header: r.Header.Clone(), at: time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set(platform.AttemptID, id)
	w.Header().Set(platform.ServerSeal, "seal-"+s.id)
	w.Header().Set(platform.ServerLoad, fmt.Sprintf("1,0,%d", slots))
	_, _ = fmt.Fprintf(w, "%s ran %s", s.id, id)
}
