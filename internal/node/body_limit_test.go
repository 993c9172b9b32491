package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// uploadLimit returns settings that allow bodies of a size.
func uploadLimit(size int) string {
	return fmt.Sprintf(`
[fleet.suva.service.doc-vault.kind.upload]
body_max = %d
replay_max = 1000
deadline = "5s"
`, size)
}

// startUploadPair starts an entry and a node beside a backend server. Their settings are of the same
// version, so that neither fetches them, and allow bodies of the given sizes.
func startUploadPair(t *testing.T, entryMax, besideMax int) (entry, beside *testNode) {
	t.Helper()
	beside = startNode(t, "suva-a", nil, nil)
	useSettings(t, uploadLimit(besideMax), beside)
	startStandin(t, beside, "suva/doc-vault", 4, map[string]standin.KindBehavior{"upload": {ResponseBytes: 64}})
	beside.awaitInstances("suva/doc-vault", 1)
	entry = startNode(t, "suva-a", []string{beside.opt.Control}, nil)
	entry.awaitConfigVersion(1)
	tree, err := settings.ParseTOML([]byte(uploadLimit(entryMax)))
	if err != nil {
		t.Fatal(err)
	}
	entry.conf.Store(&config{version: 1, entries: tree.Entries(), tree: tree})
	entry.awaitInstances("suva/doc-vault", 1)
	return entry, beside
}

// slowBody is a body of unknown length that arrives in two halves.
type slowBody struct {
	io.Reader
	half  int
	read  int
	pause func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.read < b.half {
		p = p[:min(len(p), b.half-b.read)]
	} else if b.pause != nil {
		b.pause()
		b.pause = nil
	}
	n, err := b.Reader.Read(p)
	b.read += n
	return n, err
}

// upload sends a body in chunks, and calls pause after its first half.
func (n *testNode) upload(id string, size int, pause func()) (status int, answer string) {
	body := &slowBody{Reader: strings.NewReader(strings.Repeat("x", size)), half: size / 2, pause: pause}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.opt.HTTP+"/call/suva/doc-vault/upload", body)
	if err != nil {
		n.t.Fatal(err)
	}
	req.Header.Set(HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// TestUploadIsNotCutAtAnotherLimit guards against a body that ends at the limit of a node on the
// way as if it were complete. The limit by which the entry let the request in is the one that binds.
func TestUploadIsNotCutAtAnotherLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 3 << 20
	whole := gomega.HavePrefix(fmt.Sprintf("up %d\n", size))
	entry, _ := startUploadPair(t, 8<<20, size/2)
	status, answer := entry.upload("up", size, nil)
	g.Expect(status).To(gomega.Equal(http.StatusOK), answer)
	g.Expect(answer).To(whole)
	// The same with a length.
	r := entry.call("suva/doc-vault/upload", "up", make([]byte, size), nil)
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	g.Expect(r.body).To(whole)
}

// TestUploadBeyondItsLimitIsNotExecuted guards against a body beyond the entry's limit that the
// backend server takes for complete.
func TestUploadBeyondItsLimitIsNotExecuted(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 3 << 20
	entry, beside := startUploadPair(t, size/2, 8<<20)
	status, answer := entry.upload("up", size, func() { time.Sleep(50 * time.Millisecond) })
	g.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge), answer)
	g.Consistently(func() int64 { return beside.Status().Served }, "300ms").Should(gomega.BeZero())
}

// TestUploadBeyondItsLimitAtItsOwnNode guards against an upload beyond the limit that the entry's own
// backend server takes for complete, or that is answered as if that server were lost.
func TestUploadBeyondItsLimitAtItsOwnNode(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 3 << 20
	n := startNode(t, "suva-a", nil, nil)
	useSettings(t, uploadLimit(size/2), n)
	startStandin(t, n, "suva/doc-vault", 4, map[string]standin.KindBehavior{"upload": {ResponseBytes: 64}})
	n.awaitInstances("suva/doc-vault", 1)
	status, answer := n.upload("up", size, func() { time.Sleep(50 * time.Millisecond) })
	g.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge), answer)
	g.Expect(n.Status().Served).To(gomega.BeZero())
	g.Expect(n.brokenRequests()).To(gomega.BeZero())
}

// TestBrokenOffUploadIsNoFailureOfTheBackendServer guards against a backend server that is ejected, or
// a request that counts as one that ends servers, as callers break off their uploads.
func TestBrokenOffUploadIsNoFailureOfTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 3 << 20
	entry, beside := startUploadPair(t, 8<<20, 8<<20)
	for i := range 10 {
		body := fmt.Sprintf("POST /call/suva/doc-vault/upload HTTP/1.1\r\nHost: x\r\nUmber-Request-Id: cut%d\r\nContent-Length: %d\r\n\r\n%s",
			i, size, strings.Repeat("x", size/2))
		conn, err := net.Dial("tcp", entry.opt.HTTP)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(conn, body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = conn.Close()
	}
	g.Eventually(func() int64 { return entry.stats.inflight.Load() }, "5s").Should(gomega.BeZero())
	g.Eventually(func() int { return beside.gate.load().inflight }, "5s").Should(gomega.BeZero())
	g.Expect(beside.brokenRequests()).To(gomega.BeZero())
	g.Expect(beside.Status().Served).To(gomega.BeZero())
	status, answer := entry.upload("whole", size, nil)
	g.Expect(status).To(gomega.Equal(http.StatusOK), answer)
}

// TestUploadThatIsTooSlowIsNoBadRequest guards against a caller that is told that its request is wrong, as
// the request's time ended before its body had arrived.
func TestUploadThatIsTooSlowIsNoBadRequest(t *testing.T) {
	for name, size := range map[string]int{"small": 500, "streamed": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "suva-a", nil, nil)
			useSettings(t, strings.Replace(uploadLimit(8<<20), "5s", "200ms", 1), n)
			startStandin(t, n, "suva/doc-vault", 4, map[string]standin.KindBehavior{"upload": {ResponseBytes: 64}})
			n.awaitInstances("suva/doc-vault", 1)
			status, answer := n.upload("slow", size, func() { time.Sleep(400 * time.Millisecond) })
			g.Expect(status).To(gomega.Equal(http.StatusGatewayTimeout), answer)
		})
	}
}

// brokenRequests returns how many requests the node counts as broken by its backend server.
func (n *testNode) brokenRequests() int {
	n.quarantine.mu.Lock()
	defer n.quarantine.mu.Unlock()
	return len(n.quarantine.brokenRequests)
}
