package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
)

// startStatusServer starts a server whose responses have the given status, whole, and whose
// connections stay open.
func startStatusServer(t *testing.T, status string) string {
	t.Helper()
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
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				if _, err := c.Read(make([]byte, 4<<10)); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Text\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", status)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A status that HTTP does not have is no answer, and is told at once: the caller gets neither the
// response nor to wait until its deadline.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "20", "+20", "-20", "2000", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := New(startStatusServer(t, status), Options{MaxConns: 4, IdleMax: time.Minute, DialTimeout: time.Second, ProbeInterval: time.Minute})
			req, err := http.NewRequest(http.MethodPost, "http://x/", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = c.Do(scope.New(time.Now().Add(2*time.Second)), RequestTraits{ID: "1"}, req, nil)
			g.Expect(err).To(gomega.HaveOccurred(), "the response is delivered")
			g.Expect(fault.CodeOf(err)).NotTo(gomega.Equal(fault.Deadline), "the caller waits until its deadline")
			g.Expect(fault.From(err).Execution).To(gomega.Equal(fault.ExecutionUnknown))
		})
	}
	for _, status := range []string{"200", "299", "304", "404", "599"} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := New(startStatusServer(t, status), Options{MaxConns: 4, IdleMax: time.Minute, DialTimeout: time.Second, ProbeInterval: time.Minute})
			req, err := http.NewRequest(http.MethodPost, "http://x/", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := c.Do(scope.New(time.Now().Add(time.Minute)), RequestTraits{ID: "1"}, req, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Close()
			_, err = io.Copy(io.Discard, resp)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}
