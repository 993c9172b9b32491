package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
)

// startDuplicatingServer starts a faulty server that repeats the previous
// response before each response, and returns its address.
func startDuplicatingServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br, last := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					id := req.Header.Get("Id")
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					_, _ = io.WriteString(c, last+answer)
					last = answer
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestDuplicateResponseIsSkipped covers a response to an earlier request that
// arrives before the one to the current request.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(startDuplicatingServer(t), options())
	defer c.CloseIdleConnections()
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		req := request("/x", []byte("in"))
		req.Header.Set("Id", id)
		resp, err := c.Do(scope.New(time.Now().Add(2*time.Second)), RequestTraits{Kind: 1, Idempotent: true}, req, func(r *http.Response) bool { return r.Header.Get("Id") == id })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b, err := io.ReadAll(resp)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(b)).To(gomega.Equal(id))
		resp.Close()
	}
}

// TestMismatchedResponsesAreNotDelivered covers a server that sends only
// responses to other requests.
func TestMismatchedResponsesAreNotDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(startDuplicatingServer(t), options())
	defer c.CloseIdleConnections()
	req := request("/x", nil)
	_, err := c.Do(scope.New(time.Now().Add(300*time.Millisecond)), RequestTraits{Kind: 1, Idempotent: true}, req, func(*http.Response) bool { return false })
	e := fault.From(err)
	g.Expect(e.Execution).To(gomega.Equal(fault.ExecutionUnknown))
}

func TestKeepAliveTimeoutBoundsIdleTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for field, want := range map[string]time.Duration{
		"timeout=10": 8 * time.Second, "max=5, timeout=5": 4 * time.Second, "Timeout=1": 800 * time.Millisecond,
		"": 0, "timeout=": 0, "timeout=-3": 0, "timeout=soon": 0,
	} {
		g.Expect(parseKeepAlive(field)).To(gomega.Equal(want), field)
	}
	cn := &conn{keepAliveTimeout: 2 * time.Second}
	g.Expect(cn.idleLimit(time.Second)).To(gomega.Equal(time.Second))
	g.Expect(cn.idleLimit(time.Minute)).To(gomega.Equal(2 * time.Second))
	g.Expect((&conn{}).idleLimit(time.Minute)).To(gomega.Equal(time.Minute))
}

// TestConnectionPastKeepAliveTimeoutIsNotReused guards against a request on a
// connection that the server is about to close.
func TestConnectionPastKeepAliveTimeoutIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	remotes := map[string]bool{}
	direct, _, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes[r.RemoteAddr] = true
		mu.Unlock()
		w.Header().Set("Keep-Alive", "timeout=1")
	})
	c := New(direct, options())
	defer c.CloseIdleConnections()
	for range 2 {
		_, err := fetch(c, "/x", time.Second)
		g.Expect(err).To(gomega.BeNil())
	}
	c.mu.Lock()
	c.idle[0].lastUse = time.Now().Add(-900 * time.Millisecond)
	c.mu.Unlock()
	_, err := fetch(c, "/x", time.Second)
	g.Expect(err).To(gomega.BeNil())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(remotes).To(gomega.HaveLen(2))
}

// A connection that is dropped without a reset must be detected by its system, as a request on it
// waits otherwise until its deadline if no other server can answer.
func TestConnectionsAreProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	direct, _, _ := startServer(t, echo)
	c := New(direct, options())
	_, ferr := fetch(c, "/a", time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	raw, err := c.idle[0].Conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	options := map[int]int{syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 2}
	g.Expect(raw.Control(func(fd uintptr) {
		on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(on).To(gomega.Equal(1))
		for option, want := range options {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(want))
		}
	})).To(gomega.Succeed())
}
