package backend

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
)

// startEndlessServer starts a server that answers each request with prefix and then with piece,
// again and again until the client closes the connection.
func startEndlessServer(t *testing.T, prefix, piece string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	block := []byte(strings.Repeat(piece, 1+(32<<10)/max(1, len(piece))))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// allocatedBytes returns how many bytes f allocates, those freed meanwhile included.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A head that does not end must be given up at its limit, whatever it consists of, long before
// the deadline and before it takes memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for name, s := range map[string]struct{ prefix, piece string }{
		"status line":                  {"HTTP/1.1 200 ", "OK "},
		"no line":                      {"", "x"},
		"empty lines":                  {"", "\r\n"},
		"header lines":                 {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"header line":                  {"HTTP/1.1 200 OK\r\nX-Field: ", "value"},
		"continued line":               {"HTTP/1.1 200 OK\r\nX-Field: v\r\n", " more\r\n"},
		"interim responses":            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim responses with lines": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"head of an interim response":  {"HTTP/1.1 102 Processing\r\n", "X-Field: value\r\n"},
		"second head":                  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := New(startEndlessServer(t, s.prefix, s.piece), options())
			started := time.Now()
			var ferr *fault.Error
			used := allocatedBytes(func() {
				_, err := c.Do(scope.New(started.Add(5*time.Second)), RequestTraits{Kind: 1}, request("/a", nil), nil)
				g.Expect(err).To(gomega.HaveOccurred())
				ferr = fault.From(err)
			})
			g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 2*time.Second))
			g.Expect(ferr.Code).To(gomega.BeElementOf(fault.Protocol, fault.BackendLost))
			g.Expect(ferr.Execution).To(gomega.Equal(fault.ExecutionUnknown))
			g.Expect(used).To(gomega.BeNumerically("<", 16*maxHeadBytes))
			g.Expect(c.openCount).To(gomega.BeZero(), "the connection is closed")
		})
	}
}

// Bytes that follow a whole answer without end must neither reach the next request nor take memory.
func TestEndlessBytesAfterAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(startEndlessServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"), options())
	for range 5 {
		used := allocatedBytes(func() {
			body, ferr := fetch(c, "/a", 2*time.Second)
			g.Expect(ferr).To(gomega.BeNil())
			g.Expect(body).To(gomega.Equal("ok"))
		})
		g.Expect(used).To(gomega.BeNumerically("<", 4*maxHeadBytes))
	}
}

// A body without end reaches the caller as it comes, and a long head below the limit is no fault.
func TestLongHeadAndEndlessBodyAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	field := "X-Field: " + strings.Repeat("v", maxHeadBytes/2) + "\r\n"
	c := New(startEndlessServer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n", "body"), options())
	resp, err := c.Do(scope.New(time.Now().Add(5*time.Second)), RequestTraits{Kind: 1}, request("/a", nil), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	used := allocatedBytes(func() {
		n, err := io.CopyN(io.Discard, resp, 16*maxHeadBytes)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.BeEquivalentTo(16 * maxHeadBytes))
	})
	g.Expect(used).To(gomega.BeNumerically("<", 2*maxHeadBytes))
	resp.Close()
	g.Expect(c.openCount).To(gomega.BeZero())
}
