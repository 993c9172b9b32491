package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// startStrayBackend announces a faulty backend server to a node. It sends a response to nobody, with
// the given extra header lines, behind each of its answers, which bear their call tokens.
func startStrayBackend(t *testing.T, n *testNode, extra string) {
	t.Helper()
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveWithStrays(c, extra)
		}
	}()
	g.Expect(n.Announce(&Announcement{Service: "suva/doc-vault", Address: ln.Addr().String(), Slots: 4, Connections: 8, State: "serving"})).To(gomega.BeNil())
	n.awaitInstances("suva/doc-vault", 1)
}

// serveWithStrays serves one connection. The stray response to a request arrives just before the
// answer to the next one.
func serveWithStrays(c net.Conn, extra string) {
	defer func() { _ = c.Close() }()
	br, stray := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(HeaderRequestID)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", stray, HeaderCallToken, r.Header.Get(HeaderCallToken), len(id), id)
		stray = "HTTP/1.1 200 OK\r\n" + extra + "Content-Length: 5\r\n\r\nstray"
	}
}

// TestResponsesWithoutTheirTokenAreNotDelivered guards against a response to nobody, or to another
// request, that a caller of the project's own interface gets as its answer.
func TestResponsesWithoutTheirTokenAreNotDelivered(t *testing.T) {
	for _, c := range []struct{ mark, extra string }{
		{"absent", ""},
		{"another", HeaderCallToken + ": other\r\n"},
		{"empty", HeaderCallToken + ": \r\n"},
		{"doubled", HeaderCallToken + ": other\r\n" + HeaderCallToken + ": other\r\n"},
	} {
		t.Run(c.mark, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "suva-a", nil, nil)
			useSettings(t, uploadLimit(1<<20), n)
			startStrayBackend(t, n, c.extra)
			for i := range 6 {
				id := fmt.Sprint("request-", i)
				r := n.call("suva/doc-vault/upload", id, nil, nil)
				g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
				g.Expect(r.body).To(gomega.Equal(id))
			}
		})
	}
}
