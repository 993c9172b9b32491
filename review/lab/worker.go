package lab

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	healthPath        = "/health"
)

// Run is a request that a backend server began to work on.
type Run struct {
	ID, Worker, Method, Path string
	At                       time.Duration
	// Bytes and Digest are those of the body that it read.
	Bytes  int
	Digest string
}

// Ledger holds what all backend servers have run, by request id.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]Run{}} }

func (g *Ledger) add(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r.ID] = append(g.runs[r.ID], r)
}

// Of returns the runs of a request.
func (g *Ledger) Of(id string) []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs[id]...)
}

// Worker is a stand-in backend server.
type Worker struct {
	// ID is the identity of its incarnation.
	ID    string
	Slots int
	// Work is how long a request takes.
	Work time.Duration
	// Sheds reports whether the next request is rejected though a slot is free; nil for never.
	Sheds func() bool
	// Repeats reports whether the response just sent, which rejected the request or not, is sent
	// once more when the next request has arrived on its connection; nil for never.
	Repeats func(rejected bool) bool
	// Stray reports whether a response to a status check is sent when the next request has arrived on
	// a connection; nil for never.
	Stray  func() bool
	Ledger *Ledger

	machine  *Machine
	ln       net.Listener
	busy     atomic.Int64
	leaving  atomic.Bool
	stopped  chan struct{}
	sequence atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// Answers and Repeated count responses and those sent once more.
	Answers, Repeated atomic.Int64
}

// StartWorker starts the backend server of a machine. It announces itself until it leaves or ends.
func (m *Machine) StartWorker(w *Worker) error {
	w.machine, w.stopped, w.conns = m, make(chan struct{}), map[net.Conn]struct{}{}
	ln, err := net.Listen("tcp", m.addr(m.lab.Ports.Worker))
	if err != nil {
		return err
	}
	w.ln = ln
	m.lab.mu.Lock()
	m.lab.cleanups = append(m.lab.cleanups, w.Exit)
	m.lab.mu.Unlock()
	go w.accept()
	go w.announceLoop()
	return nil
}

// Exit ends the backend server: its connections are closed, and it announces nothing more.
func (w *Worker) Exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return
	default:
	}
	close(w.stopped)
	_ = w.ln.Close()
	for c := range w.conns {
		_ = c.Close()
	}
}

// announceLoop announces the backend server at its interval until it leaves.
func (w *Worker) announceLoop() {
	for {
		if !w.leaving.Load() {
			status := w.Send(w.Announcement("ready"))
			if status != http.StatusOK {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// Announcement returns the next announcement, not sent yet.
func (w *Worker) Announcement(state string) *http.Request {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d}`,
		w.machine.Service, w.machine.addr(w.machine.lab.Ports.Worker), w.machine.Zone, w.Slots, state, w.sequence.Add(1))
	return w.controlRequest(http.MethodPut, body)
}

// Withdrawal returns the message that the backend server is gone for its node.
func (w *Worker) Withdrawal() *http.Request { return w.controlRequest(http.MethodDelete, "") }

func (w *Worker) controlRequest(method, body string) *http.Request {
	url := "http://" + w.machine.addr(w.machine.lab.Ports.Control) + "/instances/" + w.ID
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

// Send sends a message to the node and returns the status, 0 without a response.
func (w *Worker) Send(req *http.Request) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Leave makes the backend server say in health responses that it is leaving. It announces nothing
// more and goes on serving.
func (w *Worker) Leave() { w.leaving.Store(true) }

func (w *Worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

// serve handles the requests of a connection one after the other.
func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			// The request is not complete and does not run.
			return
		}
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			w.Repeated.Add(1)
			extra = nil
		}
		response, rejected := w.respond(req, body)
		if _, err := c.Write(response); err != nil {
			return
		}
		if req.URL.Path != healthPath {
			w.Answers.Add(1)
		}
		if w.Repeats != nil && req.URL.Path != healthPath && w.Repeats(rejected) {
			w.machine.lab.Note("%s: id=%s is answered twice, rejected=%v", w.machine.Name, req.Header.Get(names.ID), rejected)
			extra = response
		}
		if w.Stray != nil && req.URL.Path != healthPath && w.Stray() {
			w.machine.lab.Note("%s: a response to a status check follows that to id=%s", w.machine.Name, req.Header.Get(names.ID))
			extra = w.healthResponse()
		}
	}
}

// healthResponse returns the bytes of the response to a status check.
func (w *Worker) healthResponse() []byte {
	status := http.StatusOK
	if w.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	return render(status, "", names.Instance+": "+w.ID, w.loadLine())
}

// loadLine returns the header line that tells the load.
func (w *Worker) loadLine() string {
	return fmt.Sprintf("%s: %d,0,%d", names.Load, w.busy.Load(), w.Slots)
}

// respond runs or rejects a request and returns the bytes of the response.
func (w *Worker) respond(req *http.Request, body []byte) (response []byte, rejected bool) {
	id := req.Header.Get(names.ID)
	load := w.loadLine()
	switch {
	case req.URL.Path == healthPath:
		return w.healthResponse(), w.leaving.Load()
	case req.Header.Get(names.Expect) != "" && req.Header.Get(names.Expect) != w.ID:
		return render(http.StatusMisdirectedRequest, "", names.ID+": "+id, names.Instance+": "+w.ID), true
	}
	if w.busy.Add(1) > int64(w.Slots) || w.Sheds != nil && w.Sheds() {
		w.busy.Add(-1)
		w.machine.lab.Note("%s: rejects id=%s", w.machine.Name, id)
		return render(http.StatusServiceUnavailable, "", names.ID+": "+id, names.NotRun+": 1", load), true
	}
	defer w.busy.Add(-1)
	sum := sha256.Sum256(body)
	r := Run{ID: id, Worker: w.machine.Name, Method: req.Method, Path: req.URL.Path, At: w.machine.lab.Now(), Bytes: len(body), Digest: hex.EncodeToString(sum[:8])}
	w.Ledger.add(r)
	w.machine.lab.Note("%s: runs id=%s %s %s bytes=%d digest=%s", r.Worker, r.ID, r.Method, r.Path, r.Bytes, r.Digest)
	time.Sleep(w.Work)
	text := fmt.Sprintf("run by %s, %d bytes, digest %s", w.ID, r.Bytes, r.Digest)
	return render(http.StatusOK, text, names.ID+": "+id, names.Seal+": "+w.ID+"."+id, load), false
}

// render returns the bytes of a response with the given header lines.
func render(status int, body string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
