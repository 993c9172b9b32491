package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// testLimits let an address have eight connections.
var testLimits = Limits{HeadBytes: 4 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}

// serve starts a server on a gate with the given memory for connections and returns its address.
func serve(t *testing.T, gate *Gate, l Limits, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := HTTPServer(h, l)
	go func() { _ = server.Serve(gate.Listen(ln, l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// newGate returns a gate that holds at most n bytes.
func newGate(n int64) *Gate { return NewGate(Options{MemoryBytes: n * 4, Descriptors: 64}) }

func dial(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readBody is a handler that reads a body within the memory of its connection.
func readBody(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	body, more, err := conn.ReadAll(r.Body, r.ContentLength, 1<<20)
	switch {
	case fault.CodeOf(err) == fault.Overload:
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil || more:
		w.WriteHeader(http.StatusBadRequest)
	default:
		conn.Protect()
		_, _ = w.Write(body)
	}
}

const (
	unfinished = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\nbegin"
	proper     = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
)

// The oldest unfinished body is evicted and is told so, and a proper request is served.
func TestUnfinishedBodiesAreEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(1 << 20)
	addr := serve(t, gate, testLimits, readBody)
	first := dial(t, addr, unfinished)
	g.Eventually(gate.heldBytes.Load, "5s").Should(gomega.BeNumerically(">", 400000))
	second := dial(t, addr, unfinished)
	g.Eventually(gate.heldBytes.Load, "5s").Should(gomega.BeNumerically(">", 800000))
	dial(t, addr, unfinished)
	answer, _ := io.ReadAll(first)
	g.Expect(string(answer)).To(gomega.HavePrefix("HTTP/1.1 503 "))
	g.Expect(string(answer)).To(gomega.ContainSubstring("Connection: close"))
	buf := make([]byte, 512)
	n, err := dial(t, addr, proper).Read(buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf[:n])).To(gomega.HavePrefix("HTTP/1.1 200 "))
	_ = second.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = second.Read(buf)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("timeout")), "no more connections are evicted than are needed")
	g.Expect(gate.Status().Evicted).To(gomega.BeNumerically("==", 1))
}

// All that was reserved is released when the connections have ended, however they end.
func TestMemoryIsReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(1 << 20)
	addr := serve(t, gate, testLimits, readBody)
	kept := dial(t, addr, strings.Repeat(proper, 20))
	for range 20 {
		_ = dial(t, addr, unfinished).Close()
		dial(t, addr, "GET / HTTP/1.1\r\nX: ")
	}
	_, _ = io.ReadAll(io.LimitReader(kept, 20*100))
	_ = kept.Close()
	for range 30 {
		c := dial(t, addr, proper)
		_, _ = c.Read(make([]byte, 512))
		_ = c.Close()
	}
	g.Eventually(func() int64 {
		gate.mu.Lock()
		defer gate.mu.Unlock()
		sum := int64(0)
		for c := range gate.conns {
			sum += c.held.Load()
		}
		return gate.heldBytes.Load() - sum
	}, "5s").Should(gomega.BeZero())
	g.Eventually(gate.heldBytes.Load, "5s").Should(gomega.BeNumerically("<=", 9*(connBytes+30*headFactor)))
}

// An address has no more connections than it may take, and the silent ones are evicted.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(1 << 20)
	addr := serve(t, gate, testLimits, readBody)
	for range 40 {
		dial(t, addr, "")
	}
	c := dial(t, addr, proper)
	n, err := c.Read(make([]byte, 512))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">", 0))
	gate.mu.Lock()
	defer gate.mu.Unlock()
	g.Expect(len(gate.conns)).To(gomega.BeNumerically("<=", 2*minConns))
}

// A request that is executed is not evicted, whatever comes.
func TestExecutedRequestsAreNotEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(1 << 20)
	release, started := make(chan struct{}), make(chan struct{})
	addr := serve(t, gate, testLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/executed" {
			FromContext(r.Context()).Protect()
			close(started)
			<-release
			_, _ = io.WriteString(w, "executed")
			return
		}
		readBody(w, r)
	})
	executed := dial(t, addr, "GET /executed HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	for range 40 {
		dial(t, addr, unfinished)
	}
	close(release)
	buf := make([]byte, 512)
	n, err := executed.Read(buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf[:n])).To(gomega.HaveSuffix("executed"))
}

// Bodies are read whole at each length, known or not, and one beyond the limit is told.
func TestReadAll(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 100_000
	for _, n := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, firstPieceBytes + 1, 65536, limit - 1, limit, limit + 1, 2 * limit} {
		want := bytes.Repeat([]byte("b"), n)
		var none *Conn
		got, more, err := none.ReadAll(bytes.NewReader(want), -1, limit)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(more).To(gomega.Equal(n > limit))
		g.Expect(bytes.HasPrefix(want, got)).To(gomega.BeTrue())
		g.Expect(len(got)).To(gomega.BeNumerically(">=", min(n, limit)))
		if n <= limit {
			got, _, err = none.ReadAll(bytes.NewReader(want), int64(n), limit)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.HaveLen(n))
		}
	}
}

// A connection that is evicted while its head is read is closed. An answer would tell its client that
// the request is at fault.
func TestEvictedHeadGetsNoAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(2*connBytes + headFactor<<10)
	addr := serve(t, gate, testLimits, readBody)
	c := dial(t, addr, "GET / HTTP/1.1\r\nHost: x\r\nX-Field: "+strings.Repeat("v", 3<<10))
	answer, _ := io.ReadAll(c)
	g.Expect(string(answer)).To(gomega.BeEmpty())
	g.Expect(gate.Status().Evicted).To(gomega.BeNumerically("==", 1))
}
