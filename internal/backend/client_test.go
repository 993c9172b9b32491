package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/scope"
)

func options() Options {
	return Options{MaxConns: 4, IdleMax: 10 * time.Second, DialTimeout: 200 * time.Millisecond, ProbeInterval: 100 * time.Millisecond}
}

func request(path string, body []byte) *http.Request {
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: path}, Host: "backend", Header: http.Header{}, ContentLength: int64(len(body))}
	if body != nil {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return r
}

// fetch sends an idempotent request and returns the body of the response.
func fetch(c *Client, path string, limit time.Duration) (string, *fault.Error) {
	resp, err := c.Do(scope.New(time.Now().Add(limit)), RequestTraits{Kind: 1, Idempotent: true}, request(path, []byte("in")), nil)
	if err != nil {
		return "", fault.From(err)
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	if err != nil {
		return "", fault.From(err)
	}
	return string(b), nil
}

// startServer starts an HTTP server behind a relay and returns both addresses.
func startServer(t *testing.T, h http.HandlerFunc) (direct, addr string, r *relay.Relay) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	direct = strings.TrimPrefix(s.URL, "http://")
	r, err := relay.Start("127.0.0.1:0", direct)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return direct, r.Addr(), r
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte(r.URL.Path+" "), b...))
}

// awaitDoubt sends an idempotent request and waits until it is answered or comes into doubt, in
// which case it returns it.
func awaitDoubt(t *testing.T, c *Client, path string, limit time.Duration) *Pending {
	t.Helper()
	p, err := c.Send(scope.New(time.Now().Add(limit)), RequestTraits{Kind: 1, Idempotent: true}, request(path, []byte("in")), nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	resp, state, err := p.Await(time.Time{})
	if state == progress.Doubted {
		return p
	}
	if err != nil {
		t.Error(err)
		return nil
	}
	defer resp.Close()
	if _, err := io.ReadAll(resp); err != nil {
		t.Error(err)
	}
	return nil
}

// TestSilentConnectionBringsRequestIntoDoubt guards against a silent connection of which nobody
// learns before the deadline of its request, or that is reused.
func TestSilentConnectionBringsRequestIntoDoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr, r := startServer(t, echo)
	c := New(addr, options())
	for range minSamples + 1 {
		body, ferr := fetch(c, "/a", time.Second)
		g.Expect(ferr).To(gomega.BeNil())
		g.Expect(body).To(gomega.Equal("/a in"))
	}
	g.Expect(r.SilenceConnections()).To(gomega.Equal(1))
	started := time.Now()
	p := awaitDoubt(t, c, "/b", 10*time.Second)
	g.Expect(p).NotTo(gomega.BeNil())
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(p.IsUnreachable()).To(gomega.BeFalse())
	_, state, _ := p.Await(time.Now().Add(10 * time.Millisecond))
	g.Expect(state).To(gomega.Equal(progress.Waiting), "a doubt is told once and does not end the request")
	p.Abandon()
	body, ferr := fetch(c, "/c", time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("/c in"))
}

// TestRequestInDoubtIsStillAnswered guards against a doubt that ends a request that is only slow.
func TestRequestInDoubtIsStillAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(600 * time.Millisecond)
		}
		echo(w, r)
	})
	c := New(addr, options())
	for range minSamples + 1 {
		_, ferr := fetch(c, "/fast", time.Second)
		g.Expect(ferr).To(gomega.BeNil())
	}
	p := awaitDoubt(t, c, "/slow", 5*time.Second)
	g.Expect(p).NotTo(gomega.BeNil())
	resp, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Ended))
	defer resp.Close()
	b, err := io.ReadAll(resp)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(b)).To(gomega.Equal("/slow in"))
}

func TestSlowFirstRequestIsNotSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	c := New(addr, options())
	body, ferr := fetch(c, "/a", 5*time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("/a in"))
}

// TestSlowNonIdempotentRequestIsNotAborted checks that a request that can't be
// sent again is waited for, however slow it is for its kind.
func TestSlowNonIdempotentRequestIsNotAborted(t *testing.T) {
	g := gomega.NewWithT(t)
	const slow = 600 * time.Millisecond
	_, addr, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		echo(w, r)
	})
	c := New(addr, options())
	once := RequestTraits{Kind: 1}
	send := func(path string) *fault.Error {
		resp, err := c.Do(scope.New(time.Now().Add(5*time.Second)), once, request(path, []byte("in")), nil)
		if err != nil {
			return fault.From(err)
		}
		defer resp.Close()
		_, err = io.ReadAll(resp)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return nil
	}
	for range minSamples + 1 {
		g.Expect(send("/fast")).To(gomega.BeNil())
	}
	g.Expect(send("/slow")).To(gomega.BeNil())
}

func TestMaxConnsIsNotExceeded(t *testing.T) {
	g := gomega.NewWithT(t)
	hold := make(chan struct{})
	direct, _, _ := startServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	c := New(direct, options())
	defer close(hold)
	for range 4 {
		go func() { _, _ = fetch(c, "/held", 5*time.Second) }()
	}
	g.Eventually(func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.openCount }).Should(gomega.Equal(4))
	_, ferr := fetch(c, "/more", time.Second)
	g.Expect(ferr.Code).To(gomega.Equal(fault.Overload))
	g.Expect(ferr.Execution).To(gomega.Equal(fault.NotExecuted))
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	direct, _, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("only a part"))
		panic(http.ErrAbortHandler)
	})
	_, ferr := fetch(New(direct, options()), "/a", time.Second)
	g.Expect(ferr).NotTo(gomega.BeNil())
}

// TestInterimResponsesAreSkipped covers a 1xx response before the final one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	direct, _, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		echo(w, r)
	})
	body, ferr := fetch(New(direct, options()), "/a", time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("/a in"))
}

func TestHeadResponseHasNoBody(t *testing.T) {
	g := gomega.NewWithT(t)
	direct, _, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "10") })
	c := New(direct, options())
	for range 3 {
		req := request("/a", nil)
		req.Method = http.MethodHead
		resp, err := c.Do(scope.New(time.Now().Add(time.Second)), RequestTraits{Kind: 1, Idempotent: true}, req, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b, err := io.ReadAll(resp)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b).To(gomega.BeEmpty())
		resp.Close()
	}
}

// TestServerThatHangsOnRequestsBeyondItsQueue covers a server that executes two
// requests, queues two and never responds to others. Those must come into doubt early, and
// release their connections when they are abandoned.
func TestServerThatHangsOnRequestsBeyondItsQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, queue, sent = 2, 2, 8
	const work = 40 * time.Millisecond
	hang := make(chan struct{})
	var held atomic.Int32
	running := make(chan struct{}, slots)
	_, addr, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if held.Add(1) > slots+queue {
			held.Add(-1)
			<-hang
			return
		}
		defer held.Add(-1)
		running <- struct{}{}
		time.Sleep(work)
		<-running
		echo(w, r)
	})
	defer close(hang)
	o := options()
	o.MaxConns = sent
	c := New(addr, o)
	for range minSamples + 1 {
		_, ferr := fetch(c, "/a", time.Second)
		g.Expect(ferr).To(gomega.BeNil())
	}
	started := time.Now()
	doubted := make(chan bool, sent)
	for range sent {
		go func() {
			p := awaitDoubt(t, c, "/b", 20*time.Second)
			if p != nil {
				p.Abandon()
			}
			doubted <- p != nil
		}()
	}
	answered := 0
	for range sent {
		if !<-doubted {
			answered++
		}
	}
	g.Expect(answered).To(gomega.BeNumerically(">=", slots+queue))
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 5*time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	g.Expect(c.openCount).To(gomega.Equal(len(c.idle)), "connections without a response are closed")
	g.Expect(c.conns).To(gomega.HaveLen(c.openCount))
}

// TestNoRequestIsSentAfterAbort guards against a request that dials after Abort
// and reaches a newer run of the backend server at the same address.
func TestNoRequestIsSentAfterAbort(t *testing.T) {
	g := gomega.NewWithT(t)
	var served atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		echo(w, r)
	}))
	t.Cleanup(s.Close)
	c := New(strings.TrimPrefix(s.URL, "http://"), options())
	_, err := fetch(c, "/", time.Second)
	g.Expect(err).To(gomega.BeNil())
	c.Abort()
	_, err = fetch(c, "/", time.Second)
	g.Expect(err).NotTo(gomega.BeNil())
	g.Expect(err.Code).To(gomega.Equal(fault.BackendLost))
	g.Expect(err.Execution).To(gomega.Equal(fault.NotExecuted))
	g.Expect(served.Load()).To(gomega.BeEquivalentTo(1))
}

// TestAbortEndsRequestsThatAreDialling guards against a connection that is opened
// during Abort and survives it.
func TestAbortEndsRequestsThatAreDialling(t *testing.T) {
	g := gomega.NewWithT(t)
	const requests = 16
	hang := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(hang) })
	for round := range 50 {
		o := options()
		o.MaxConns = requests
		c := New(strings.TrimPrefix(s.URL, "http://"), o)
		ended := make(chan struct{}, requests)
		for range requests {
			go func() {
				_, _ = fetch(c, "/", 5*time.Second)
				ended <- struct{}{}
			}()
		}
		time.Sleep(time.Duration(round*20) * time.Microsecond)
		c.Abort()
		for range requests {
			g.Eventually(ended, time.Second).Should(gomega.Receive())
		}
	}
}
