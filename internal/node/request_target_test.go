package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// forwardedLine returns the request line that the backend server of a platform gets for a line that a
// caller sent; ok is false if the request is refused.
func forwardedLine(line string) (forwarded string, ok bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "\r\nHost: h\r\n\r\n")))
	if err != nil {
		return "", false
	}
	u, ok := exactURL(originTarget(r))
	if !ok {
		return "", false
	}
	var out bytes.Buffer
	if err := (&http.Request{Method: r.Method, URL: u, Host: r.Host, Header: http.Header{}}).Write(&out); err != nil {
		return "", false
	}
	forwarded, _, _ = strings.Cut(out.String(), "\r\n")
	return forwarded, true
}

// targetsAsSent are targets that must reach the backend server byte for byte.
var targetsAsSent = []string{
	"/", "/a", "//", "//a", "//a/b?c=d", "///", "/a//b", "/a/../b", "/a/./b", "/..", "/%2e%2e/b", "/a%2Fb", "/a%2fb",
	"/a%20b", "/a?", "/?", "/a?b?c", "/a?b=%zz", "/a%3Fb", "/a;b", "/a+b", "/a^b", "/a|b", "/a\"b", "/é", "/a?é", "/a#b",
	"/*", "/a:b", "/http://b", "//a%2F%2f//",
}

// TestTargetsReachBackendServersUnchanged guards against a path or query that a backend server gets in
// another form than the caller wrote it, such as one that begins with two slashes.
func TestTargetsReachBackendServersUnchanged(t *testing.T) {
	for _, target := range targetsAsSent {
		line, ok := forwardedLine("GET " + target + " HTTP/1.1")
		g := gomega.NewWithT(t)
		g.Expect(ok).To(gomega.BeTrue(), target)
		g.Expect(line).To(gomega.Equal("GET "+target+" HTTP/1.1"), target)
	}
	for absolute, target := range map[string]string{"http://h/a//b?c": "/a//b?c", "http://h": "/", "http://h?c": "/?c", "http://h//a": "//a"} {
		line, _ := forwardedLine("GET " + absolute + " HTTP/1.1")
		gomega.NewWithT(t).Expect(line).To(gomega.Equal("GET "+target+" HTTP/1.1"), absolute)
	}
}

// FuzzTargetsReachBackendServersUnchanged does the same for any target: it is refused or unchanged.
func FuzzTargetsReachBackendServersUnchanged(f *testing.F) {
	for _, target := range append(targetsAsSent, "//a^b", "//é", "*", "a", "", "/a b") {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") {
			return
		}
		if line, ok := forwardedLine("GET " + target + " HTTP/1.1"); ok && line != "GET "+target+" HTTP/1.1" {
			t.Fatalf("%q was forwarded as %q", target, line)
		}
	})
}

// TestPathsOfOwnInterfaceAreNotDecoded guards against an encoded slash or question mark that the
// backend server gets as a separator.
func TestPathsOfOwnInterfaceAreNotDecoded(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "suva-a", nil, nil)
	useSettings(t, uploadLimit(1<<20), n)
	got := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.RequestURI })}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	g.Expect(n.Announce(&Announcement{Service: "suva/doc-vault", Address: ln.Addr().String(), Slots: 4, Connections: 8, State: "serving"})).To(gomega.BeNil())
	n.awaitInstances("suva/doc-vault", 1)
	for _, rest := range []string{"/a%2Fb", "/a%3Fb=c?d", "//a", "/a?", "/a^b", "/a%20b"} {
		conn, err := net.DialTimeout("tcp", n.opt.HTTP, time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fmt.Fprintf(conn, "GET /call/suva/doc-vault/upload%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", rest)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(got, "3s").Should(gomega.Receive(gomega.Equal("/upload" + rest)))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}
