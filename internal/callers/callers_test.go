package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// serve runs a server whose requests to /wait last until the caller disconnects. It
// reports the paths of requests that arrived and of those whose caller disconnected.
func serve(t *testing.T) (addr string, arrived, disconnected chan string) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := NewListener(raw)
	arrived, disconnected = make(chan string, 64), make(chan string, 64)
	srv := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gone := make(chan struct{})
		c := FromContext(r.Context())
		c.Watch(func() { close(gone) })
		defer c.Unwatch()
		body, _ := io.ReadAll(r.Body)
		arrived <- r.URL.Path
		if strings.HasPrefix(r.URL.Path, "/wait") {
			select {
			case <-gone:
			case <-r.Context().Done():
			}
			disconnected <- r.URL.Path
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
	})}
	go func() { _ = srv.Serve(ln) }()
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				ln.CheckDisconnects()
			}
		}
	}()
	t.Cleanup(func() { close(stop); _ = srv.Close() })
	return raw.Addr().String(), arrived, disconnected
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const getRequest = "GET %s HTTP/1.1\r\nHost: x\r\n\r\n"

// A disconnect must be detected while pipelined requests wait unread; net/http alone
// misses it and the running request goes on.
func TestACallerThatLeavesWithRequestsBehind(t *testing.T) {
	for _, pipelined := range []int{0, 1, 20} {
		t.Run(fmt.Sprint(pipelined), func(t *testing.T) {
			g := gomega.NewWithT(t)
			addr, arrived, disconnected := serve(t)
			c := dial(t, addr)
			_, err := fmt.Fprintf(c, getRequest, "/wait")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(arrived, 5*time.Second).Should(gomega.Receive(gomega.Equal("/wait")))
			_, err = io.WriteString(c, strings.Repeat(fmt.Sprintf(getRequest, "/next"), pipelined))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(c.Close()).To(gomega.Succeed())
			g.Eventually(disconnected, 2*time.Second).Should(gomega.Receive())
			g.Consistently(arrived, 50*time.Millisecond).ShouldNot(gomega.Receive(), "no pipelined request may run")
		})
	}
}

// Pipelined requests with bodies, sent in pieces while checks read ahead, must be
// answered whole and in order.
func TestWhatWasReadAheadIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, _, _ := serve(t)
	c := dial(t, addr)
	const requests, size = 60, 4000
	go func() {
		for i := range requests {
			text := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", i, size, strings.Repeat("b", size))
			for len(text) > 0 {
				n := min(len(text), 1500)
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
				if i%7 == 0 {
					time.Sleep(2 * time.Millisecond)
				}
			}
		}
	}()
	br := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal(fmt.Sprintf("/%d %d", i, size)))
	}
}

// BenchmarkCheckDisconnects checks 1,000 watched connections that net/http is reading.
func BenchmarkCheckDisconnects(b *testing.B) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	ln := NewListener(raw)
	for range 1000 {
		c := &Conn{listener: ln}
		c.readMu.Lock()
		c.Watch(func() {})
		ln.conns[c] = struct{}{}
	}
	b.ReportAllocs()
	for b.Loop() {
		ln.CheckDisconnects()
	}
}
