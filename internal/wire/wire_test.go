package wire

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/scope"
)

const silence = 400 * time.Millisecond

func serve(t testing.TB, h Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, ServerOptions{Heartbeat: silence / 4, Sweep: 10 * time.Millisecond, IdleTimeout: time.Minute})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

func client(addr string) *Client {
	return NewClient(addr, ClientOptions{SilenceTimeout: silence, DialTimeout: time.Second, MaxIdle: 16})
}

// echo replies with the request's id and body.
func echo(x *Exchange) {
	body, err := io.ReadAll(x.Body)
	if err != nil {
		return
	}
	x.MarkBodyRead()
	_ = x.Reply(&Reply{Status: 200, Execution: fault.Executed, Detail: x.Request.ID}, append([]byte{}, body...), nil)
}

func send(c *Client, id string, body []byte, limit time.Duration) (string, string, *fault.Error) {
	s := scope.New(time.Now().Add(limit))
	a, err := c.Do(s, &Request{Attempt: rand.Uint64(), ID: id, Remaining: limit, BodyLen: int64(len(body))}, body, nil)
	if err != nil {
		return "", "", fault.From(err)
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return "", "", fault.From(err)
	}
	return a.Reply.Detail, string(b), nil
}

func TestRepliesMatchTheirRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serve(t, echo))
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 50 {
				id := fmt.Sprintf("%d-%d", i, j)
				gotID, body, err := send(c, id, []byte(id), time.Second)
				if err != nil || gotID != id || body != id {
					t.Errorf("%s: got %s %s %v", id, gotID, body, err)
				}
			}
		}()
	}
	wg.Wait()
	g.Expect(c.DialCount()).To(gomega.BeNumerically("<=", 16))
}

// TestLargeBodyInBoundedMemory sends a body of 10 MB and receives one of 10 MB
// without an announced length.
func TestLargeBodyInBoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 10 << 20
	received := make(chan int64, 1)
	c := client(serve(t, func(x *Exchange) {
		n, _ := io.Copy(io.Discard, x.Body)
		received <- n
		_ = x.Reply(&Reply{Status: 200, BodyLen: Streamed}, nil, io.LimitReader(zeros{}, size))
	}))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s := scope.New(time.Now().Add(10 * time.Second))
	a, err := c.Do(s, &Request{ID: "big", Remaining: 10 * time.Second, BodyLen: size}, nil, io.LimitReader(zeros{}, size))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := io.Copy(io.Discard, a.Body)
	a.Close()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.Equal(int64(size)))
	g.Expect(<-received).To(gomega.Equal(int64(size)))
	runtime.ReadMemStats(&after)
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", 1<<20))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestHeartbeatsKeepSlowRequestsAlive checks a request that takes longer than
// the silence timeout.
func TestHeartbeatsKeepSlowRequestsAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serve(t, func(x *Exchange) {
		time.Sleep(3 * silence)
		echo(x)
	}))
	_, body, err := send(c, "slow", []byte("x"), 5*time.Second)
	g.Expect(err).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("x"))
}

// TestSilentConnectionIsDetectedAndReplaced checks that a connection that stops
// delivering frames fails its request and is not reused.
func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	addr := serve(t, func(x *Exchange) {
		if x.Request.ID == "held" {
			<-release
		}
		echo(x)
	})
	defer close(release)
	r, err := relay.Start("127.0.0.1:0", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.Close()
	c := client(r.Addr())
	_, _, ferr := send(c, "first", []byte("x"), time.Second)
	g.Expect(ferr).To(gomega.BeNil())

	const limit = 10 * time.Second
	started := time.Now()
	p, err := c.Send(scope.New(started.Add(limit)), &Request{Attempt: 2, ID: "held", Remaining: limit, BodyLen: 1}, []byte("x"), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int { return r.SilenceConnections() }).Should(gomega.BeNumerically(">=", 1))
	_, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Doubted))
	g.Expect(p.IsSilent()).To(gomega.BeTrue())
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 3*silence))
	g.Expect(c.SilentConnections()).To(gomega.BeEquivalentTo(1))
	p.Abandon()

	_, body, ferr := send(c, "next", []byte("y"), time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("y"))
}

func TestTruncatedReplyIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serve(t, func(x *Exchange) {
		_ = x.Reply(&Reply{Status: 200, BodyLen: 1000}, nil, bytes.NewReader(make([]byte, 400)))
	}))
	_, _, ferr := send(c, "cut", nil, time.Second)
	g.Expect(ferr).NotTo(gomega.BeNil())
	_, _, ferr = send(c, "cut again", nil, time.Second)
	g.Expect(ferr).NotTo(gomega.BeNil())
}

func TestCancelPropagatesToTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan fault.Code, 1)
	c := client(serve(t, func(x *Exchange) {
		_, _ = io.ReadAll(x.Body)
		x.MarkBodyRead()
		for x.Scope.Err() == fault.None {
			time.Sleep(time.Millisecond)
		}
		ended <- x.Scope.Err()
	}))
	s := scope.New(time.Now().Add(5 * time.Second))
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.Cancel(fault.Canceled)
	}()
	_, err := c.Do(s, &Request{ID: "gone", Remaining: 5 * time.Second}, nil, nil)
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Canceled))
	g.Eventually(ended, time.Second).Should(gomega.Receive(gomega.Equal(fault.Canceled)))
}

func TestMalformedFramesCloseOnlyTheirConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := serve(t, echo)
	for _, junk := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{byte(frameRequest), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
		appendFrame(nil, frameRequest, []byte("junk")),
		appendFrame(nil, frameReply, nil),
	} {
		conn, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Write(junk)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(gomega.HaveOccurred())
		_ = conn.Close()
	}
	_, body, ferr := send(client(addr), "ok", []byte("still here"), time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("still here"))
}

func TestRefusedConnectionIsNotExecuted(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, ferr := send(client("127.0.0.1:1"), "x", nil, time.Second)
	g.Expect(ferr.Execution).To(gomega.Equal(fault.NotExecuted))
}

// Guards against a head that is cut at its bound: nothing of a request may be executed, and a caller
// may not get a reply with some of its fields.
func TestHeadBeyondItsBoundIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	large := []Field{{Name: "A", Value: strings.Repeat("a", MaxHead)}}
	var executed atomic.Int64
	addr := serve(t, func(x *Exchange) {
		executed.Add(1)
		if x.Request.ID == "large reply" {
			_ = x.Reply(&Reply{Status: 200, Header: large}, []byte("body"), nil)
			return
		}
		echo(x)
	})
	c := client(addr)
	_, err := c.Do(scope.New(time.Now().Add(time.Second)), &Request{ID: "large request", Header: large}, nil, nil)
	g.Expect(fault.From(err)).To(gomega.And(gomega.HaveField("Code", fault.TooLarge), gomega.HaveField("Execution", fault.NotExecuted)))
	g.Expect(executed.Load()).To(gomega.BeZero())
	_, body, ferr := send(c, "large reply", nil, time.Second)
	g.Expect(ferr).To(gomega.HaveField("Execution", fault.ExecutionUnknown))
	g.Expect(body).To(gomega.BeEmpty())
	_, body, ferr = send(c, "small", []byte("x"), time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("x"))
}

// Guards against a reply that is believed by its place on the connection: one with the number of
// another attempt ends the connection, and says nothing of the execution.
func TestReplyToAnotherAttemptIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		late := Reply{Attempt: 7, Code: fault.Rejected, Execution: fault.NotExecuted}
		_, _ = conn.Write(appendFrame(nil, frameReply, late.append(nil)))
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	s := scope.New(time.Now().Add(time.Second))
	_, err = client(ln.Addr().String()).Do(s, &Request{Attempt: 8, ID: "mine", Remaining: time.Second}, nil, nil)
	g.Expect(fault.From(err)).To(gomega.And(gomega.HaveField("Code", fault.Protocol), gomega.HaveField("Execution", fault.ExecutionUnknown)))
	g.Eventually(ended, time.Second).Should(gomega.Receive())
}

func FuzzDecodeRequest(f *testing.F) {
	r := Request{Attempt: 1, ID: "id", Root: "f/s/k", Target: "f/s/k", Remaining: time.Second, Method: "GET", Path: "/", Header: []Field{{"A", "b"}}}
	f.Add(r.append(nil))
	f.Fuzz(func(t *testing.T, p []byte) {
		var got, again Request
		if decodeRequest(p, &got) != nil {
			return
		}
		if err := decodeRequest(got.append(nil), &again); err != nil || again.ID != got.ID || len(again.Header) != len(got.Header) {
			t.Fatalf("%+v became %+v: %v", got, again, err)
		}
	})
}

func FuzzDecodeReply(f *testing.F) {
	r := Reply{Attempt: 1, Status: 200, Detail: "d", BodyLen: 3, Header: []Field{{"A", "b"}}}
	f.Add(r.append(nil))
	f.Fuzz(func(t *testing.T, p []byte) {
		var got, again Reply
		if decodeReply(p, &got) != nil {
			return
		}
		if err := decodeReply(got.append(nil), &again); err != nil || again.Status != got.Status || len(again.Header) != len(got.Header) {
			t.Fatalf("%+v became %+v: %v", got, again, err)
		}
	})
}
