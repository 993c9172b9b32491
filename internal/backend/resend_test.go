package backend

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/scope"
)

// rejectingServer is a faulty server that rejects its first requests, and sends each rejection once
// more before the next other response on its connection.
type rejectingServer struct {
	addr     string
	accepted atomic.Int64
	executed atomic.Int64
}

// startRejectingServer starts the server, which rejects only the given number of requests.
func startRejectingServer(t testing.TB, rejections int64) *rejectingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &rejectingServer{addr: ln.Addr().String()}
	var rejected atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(c, func() bool { return rejected.Add(1) <= rejections })
		}
	}()
	return s
}

// serve serves a connection. reject reports whether to reject a request.
func (s *rejectingServer) serve(c net.Conn, reject func() bool) {
	defer func() { _ = c.Close() }()
	br, pending := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if reject() {
			rejection := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
			_, _ = io.WriteString(c, rejection)
			pending += rejection
			continue
		}
		s.executed.Add(1)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", pending, req.Header.Get("Id"))
		pending = ""
	}
}

// send sends a request with an id and returns the status.
func send(g *gomega.WithT, c *Client, id string) int { return sendWithin(g, c, id, 2*time.Second) }

// sendWithin does the same with a time until the request's deadline.
func sendWithin(g *gomega.WithT, c *Client, id string, limit time.Duration) int {
	req := request("/x", nil)
	req.Header.Set("Id", id)
	matches := func(r *http.Response) bool { return r.Header.Get("Id") == id }
	resp, err := c.Do(scope.New(time.Now().Add(limit)), RequestTraits{ID: id, Kind: 1}, req, matches)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Close()
	_, _ = io.Copy(io.Discard, resp)
	return resp.StatusCode
}

// TestLateRejectionIsNotTakenForTheNextAnswer guards against a request that is executed while it
// counts as rejected: it is sent again, and a duplicate of its rejection arrives.
func TestLateRejectionIsNotTakenForTheNextAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startRejectingServer(t, 2)
	c := New(s.addr, options())
	defer c.CloseIdleConnections()
	g.Expect(send(g, c, "r1")).To(gomega.Equal(503))
	g.Expect(send(g, c, "r1")).To(gomega.Equal(503))
	g.Expect(send(g, c, "r1")).To(gomega.Equal(200))
	g.Expect(s.executed.Load()).To(gomega.Equal(int64(1)))
	// Other requests may use the connections; what arrives for the rejected one is skipped.
	for i := range 3 {
		g.Expect(send(g, c, fmt.Sprint("other", i))).To(gomega.Equal(200))
	}
}

// TestRejectedRequestReplacesConnectionAtTheLimit guards against a request that cannot be sent
// again because all connections have rejected it.
func TestRejectedRequestReplacesConnectionAtTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startRejectingServer(t, 3)
	o := options()
	o.MaxConns = 1
	c := New(s.addr, o)
	defer c.CloseIdleConnections()
	for range 3 {
		g.Expect(send(g, c, "r1")).To(gomega.Equal(503))
	}
	g.Expect(send(g, c, "r1")).To(gomega.Equal(200))
	g.Expect(c.openCount).To(gomega.Equal(1))
}

// TestRejectionThatArrivesAfterTheDeadlineIsNotAnAnswer guards against a request that is executed
// while it counts as rejected: its caller sends it again once its first deadline has passed, and a
// duplicate of the first rejection arrives.
func TestRejectionThatArrivesAfterTheDeadlineIsNotAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startRejectingServer(t, 2)
	c := New(s.addr, options())
	defer c.CloseIdleConnections()
	const deadline = 50 * time.Millisecond
	g.Expect(sendWithin(g, c, "r1", deadline)).To(gomega.Equal(503))
	time.Sleep(2 * deadline)
	g.Expect(send(g, c, "r2")).To(gomega.Equal(503))
	g.Expect(send(g, c, "r1")).To(gomega.Equal(200))
	g.Expect(s.executed.Load()).To(gomega.Equal(int64(1)))
}

// TestRejectionsTakeBoundedMemory guards against a record of rejected requests that grows, and is
// searched for longer, the more requests a backend server rejects; and against a new connection for
// each of them.
func TestRejectionsTakeBoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const rejections = 5000
	s := startRejectingServer(t, rejections)
	c := New(s.addr, options())
	defer c.CloseIdleConnections()
	for i := range rejections {
		g.Expect(send(g, c, fmt.Sprint("r", i))).To(gomega.Equal(503))
		for _, cn := range c.idle {
			g.Expect(len(cn.refused)).To(gomega.BeNumerically("<=", maxRefused))
		}
	}
	g.Expect(s.accepted.Load()).To(gomega.BeNumerically("<=", rejections/maxRefused+1))
}

// BenchmarkRejectedRequest measures a rejected request at the end of a series of rejections, all of
// which may be sent again within a deadline of 5 s: a second of 1,000 or 10,000 of them.
func BenchmarkRejectedRequest(b *testing.B) {
	for _, perSecond := range []int{1000, 10000} {
		b.Run(fmt.Sprint(perSecond, "-per-second"), func(b *testing.B) {
			s := startRejectingServer(b, math.MaxInt64)
			c := New(s.addr, options())
			defer c.CloseIdleConnections()
			const deadline = 5 * time.Second
			g := gomega.NewWithT(b)
			for i := range perSecond * int(deadline/time.Second) {
				sendWithin(g, c, fmt.Sprint("before", i), time.Minute)
			}
			for i := 0; b.Loop(); i++ {
				sendWithin(g, c, fmt.Sprint("r", i), time.Minute)
			}
		})
	}
}
