package lab

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"text/template"
	"time"
)

const (
	callsHost = "calls.example"
	// callDeadline is the time that a caller waits.
	callDeadline = 5 * time.Second
)

// NewID returns a new request id.
func NewID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Answer is what a caller got.
type Answer struct {
	ID string
	// Status is 0 if the connection ended without an answer.
	Status int
	Seal   string
	Body   string
	Err    error
	// SentAt and DoneAt are times of the case.
	SentAt, DoneAt time.Duration
}

// Call sends a request of a caller beside a machine with the usual time budget.
func (m *Machine) Call(method, path string, body io.Reader, length int64) Answer {
	return m.CallWithin(callDeadline, method, path, body, length)
}

// CallWithin sends a request of a caller beside a machine on a new connection, and reads the answer.
// length is that of the body in bytes, negative for a chunked one.
func (m *Machine) CallWithin(budget time.Duration, method, path string, body io.Reader, length int64) Answer {
	l := m.lab
	a := Answer{ID: NewID(), SentAt: l.Now()}
	req, err := http.NewRequest(method, "http://"+m.addr(l.Ports.Caller)+path, body)
	if err != nil {
		a.Err = err
		return a
	}
	req.ContentLength = length
	req.GetBody = nil
	req.Host = callsHost
	req.Header.Set(names.ID, a.ID)
	req.Header.Set(names.Deadline, strconv.FormatInt(budget.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: budget + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		a.Err, a.DoneAt = err, l.Now()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err, a.DoneAt = resp.StatusCode, resp.Header.Get(names.Seal), string(b), err, l.Now()
	return a
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("id=%s status=%d seal=%q err=%v", a.ID, a.Status, a.Seal, a.Err)
	}
	return fmt.Sprintf("id=%s status=%d seal=%q bytes=%d", a.ID, a.Status, a.Seal, len(a.Body))
}

// PromisesNotRun reports whether the status promises that the request has not run and never will.
func (a Answer) PromisesNotRun() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Document is a desired state.
type Document struct {
	Version, Base int
	// MaxBody is the limit of a body in bytes.
	MaxBody int64
}

// render returns the document as it is sent.
func (doc Document) render() ([]byte, error) {
	t, err := template.ParseFS(files, "document.tmpl")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, doc)
	return b.Bytes(), err
}

const (
	putTries = 60
	putPause = 100 * time.Millisecond
)

// Put sends a document until it is acknowledged, to one replica after another.
func (d *Deployment) Put(doc Document) error {
	body, err := doc.render()
	if err != nil {
		return err
	}
	last := ""
	for try := range putTries {
		m := d.Replicas[try%len(d.Replicas)]
		req, err := http.NewRequest(http.MethodPut, "http://"+m.addr(d.lab.Ports.Control)+"/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("If-Match", fmt.Sprintf("%08x", doc.Base))
		resp, err := operator.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			last = resp.Status
			if resp.StatusCode == http.StatusOK {
				d.lab.Note("operator: version %08x with %d bytes is acknowledged by %s, try %d", doc.Version, len(body), m.Name, try+1)
				return nil
			}
		}
		time.Sleep(putPause)
	}
	return fmt.Errorf("version %08x was not acknowledged: %s", doc.Version, last)
}

// operator is the operator's HTTP client.
var operator = &http.Client{Timeout: time.Second}

// AwaitReady waits until all nodes say that they are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, m := range d.Nodes {
		for {
			resp, err := client.Get("http://" + m.addr(d.lab.Ports.Ready) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Load sends requests at a fixed rate until stop is closed. Each is made by call, which runs on its
// own goroutine. It returns when all have ended.
func Load(perSecond float64, stop <-chan struct{}, call func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			call(n)
		}()
	}
}
