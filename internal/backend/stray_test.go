package backend

import (
	"bufio"
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

// startStrayServer starts a faulty server that sends stray before each answer but the first of a
// connection, and returns its address.
func startStrayServer(t *testing.T, stray string) string {
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
			go serveStray(c, stray)
		}
	}()
	return ln.Addr().String()
}

func serveStray(c net.Conn, stray string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !first {
			_, _ = io.WriteString(c, stray)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Id"))
	}
}

// TestStrayResponses guards against a stray response that is taken for the answer, or that makes its
// caller wait until the deadline because its body swallows the answer.
func TestStrayResponses(t *testing.T) {
	for _, c := range []struct {
		form, stray string
		// answered is set if the answer can still be read.
		answered bool
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", true},
		{"of another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray", true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n", true},
		{"with two ids", "HTTP/1.1 200 OK\r\nId: r2\r\nId: other\r\nContent-Length: 0\r\n\r\n", true},
		{"with too great a length", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nstray", false},
		{"in chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\nstray", false},
		{"that ends with its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nstray", false},
		{"no response", "stray bytes\r\n\r\n", false},
	} {
		t.Run(c.form, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client := New(startStrayServer(t, c.stray), options())
			defer client.CloseIdleConnections()
			g.Expect(send(g, client, "r1")).To(gomega.Equal(200))
			req := request("/x", nil)
			req.Header.Set("Id", "r2")
			matches := func(r *http.Response) bool { return len(r.Header["Id"]) == 1 && r.Header.Get("Id") == "r2" }
			started := time.Now()
			resp, err := client.Do(scope.New(started.Add(10*time.Second)), RequestTraits{ID: "r2", Kind: 1}, req, matches)
			g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 3*time.Second))
			if !c.answered {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(fault.From(err).Execution).To(gomega.Equal(fault.ExecutionUnknown))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Close()
			b, err := io.ReadAll(resp)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(b)).To(gomega.Equal("ok"))
		})
	}
}
