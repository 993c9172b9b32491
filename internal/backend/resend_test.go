package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/scope"
)

// rejectingServer is a faulty server that rejects the first request of each connection, and sends
// that rejection once more before its next response there.
type rejectingServer struct {
	addr     string
	executed atomic.Int64
}

// startRejectingServer starts the server, which rejects only the given number of requests.
func startRejectingServer(t *testing.T, rejections int64) *rejectingServer {
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
			pending = rejection
			continue
		}
		s.executed.Add(1)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", pending, req.Header.Get("Id"))
		pending = ""
	}
}

// send sends a request with an id and returns the status.
func send(g *gomega.WithT, c *Client, id string) int {
	req := request("/x", nil)
	req.Header.Set("Id", id)
	matches := func(r *http.Response) bool { return r.Header.Get("Id") == id }
	resp, err := c.Do(scope.New(time.Now().Add(2*time.Second)), RequestTraits{ID: id, Kind: 1}, req, matches)
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

// TestRefusedRequestsAreForgotten guards against memory that grows with each rejection.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	var cn conn
	cn.refuse(refusedRequest{"past", time.Now().Add(-time.Millisecond)})
	cn.refuse(refusedRequest{"now", time.Now().Add(time.Minute)})
	g.Expect(cn.hasRefused("past")).To(gomega.BeFalse())
	g.Expect(cn.hasRefused("now")).To(gomega.BeTrue())
	g.Expect(cn.hasRefused("")).To(gomega.BeFalse())
	g.Expect(cn.refused).To(gomega.HaveLen(1))
}
