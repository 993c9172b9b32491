package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
)

const inputSettings = `
[fleet.suva.service.doc-vault.kind.upload]
body_max = 20000000
replay_max = 1000
deadline = "5s"
[fleet.suva.service.doc-vault.kind.small]
body_max = 100
deadline = "400ms"
`

// startDocVault starts a node with a backend server that has a request kind for large bodies and
// one for small ones.
func startDocVault(t *testing.T) (*testNode, *standin.Server) {
	n := startNode(t, "suva-a", nil, nil)
	useSettings(t, inputSettings, n)
	s := startStandin(t, n, "suva/doc-vault", 4, map[string]standin.KindBehavior{"upload": {ResponseBytes: 64}, "small": {ResponseBytes: 64}})
	n.awaitInstances("suva/doc-vault", 1)
	return n, s
}

func TestInvalidRequestsAreRefusedWithCode(t *testing.T) {
	n, _ := startDocVault(t)
	for name, c := range map[string]struct {
		path   string
		body   []byte
		header map[string]string
		want   fault.Code
	}{
		"unknown service": {path: "suva/nothing/upload", want: fault.UnknownService},
		"unknown kind":    {path: "suva/doc-vault/nothing", want: fault.UnknownKind},
		"short path":      {path: "suva/doc-vault", want: fault.BadRequest},
		"bad name":        {path: "suva/doc-vault/%20", want: fault.BadRequest},
		"large body":      {path: "suva/doc-vault/small", body: make([]byte, 101), want: fault.TooLarge},
		"bad time":        {path: "suva/doc-vault/small", header: map[string]string{HeaderRemaining: "soon"}, want: fault.BadRequest},
		"negative time":   {path: "suva/doc-vault/small", header: map[string]string{HeaderRemaining: "-5"}, want: fault.BadRequest},
		"long request id": {path: "suva/doc-vault/small", header: map[string]string{HeaderRequestID: strings.Repeat("x", 200)}, want: fault.BadRequest},
		"unknown call":    {path: "suva/doc-vault/small", header: map[string]string{HeaderCallToken: "nobody"}, want: fault.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := n.call(c.path, "", c.body, c.header)
			g.Expect(r.err).NotTo(gomega.HaveOccurred())
			g.Expect(r.header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
			g.Expect(r.problem().Reason).To(gomega.Equal(c.want.String()))
			g.Expect(r.problem().Execution).To(gomega.Equal("no"))
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(n.call("suva/doc-vault/small", "", []byte("x"), nil).status).To(gomega.Equal(200))
}

func TestLargeUploadIsStreamed(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startDocVault(t)
	r := n.call("suva/doc-vault/upload", "up", make([]byte, 10<<20), nil)
	g.Expect(r.status).To(gomega.Equal(200), r.body)
	g.Expect(r.body).To(gomega.HavePrefix(fmt.Sprintf("up %d\n", 10<<20)))
}

// Guards against accepting an oversized body sent in chunks.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startDocVault(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.opt.HTTP+"/call/suva/doc-vault/small", io.MultiReader(bytes.NewReader(make([]byte, 4096))))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(gomega.BeNumerically(">=", 400))
}

// Guards against waiting beyond the deadline for a caller that stops sending its body.
func TestStalledUploadEndsAtDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startDocVault(t)
	conn, err := net.Dial("tcp", n.opt.HTTP)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /call/suva/doc-vault/small HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	started := time.Now()
	_ = conn.SetReadDeadline(started.Add(5 * time.Second))
	b, _ := io.ReadAll(conn)
	g.Expect(string(b)).To(gomega.ContainSubstring("\"reason\":\"deadline\",\"run\":\"no\""))
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 2*time.Second))
}

func TestOversizedHeadersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startDocVault(t)
	r := n.call("suva/doc-vault/small", "", nil, map[string]string{"X-Large": strings.Repeat("x", 1<<20)})
	g.Expect(r.err != nil || r.status == http.StatusRequestHeaderFieldsTooLarge).To(gomega.BeTrue())
	g.Expect(n.call("suva/doc-vault/small", "", []byte("x"), nil).status).To(gomega.Equal(200))
}

// Guards against keeping a slot busy for a caller that has disconnected.
func TestCallerDisconnectFreesSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	n, s := startDocVault(t)
	other := startNode(t, "suva-a", []string{n.opt.Control}, nil)
	useSettings(t, inputSettings, other)
	other.awaitInstances("suva/doc-vault", 1)
	s.SetFaults(standin.Faults{Hang: true})
	client := http.Client{Timeout: 200 * time.Millisecond}
	for _, entry := range []*testNode{n, other} {
		_, err := client.Post("http://"+entry.opt.HTTP+"/call/suva/doc-vault/upload", "text/plain", strings.NewReader("x"))
		g.Expect(err).To(gomega.HaveOccurred())
	}
	g.Eventually(func() int { return n.gate.load().inflight }, 2*time.Second, 5*time.Millisecond).Should(gomega.BeZero())
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no domain":    {"", "failure_domain is not set"},
		"unknown key":  {"failure_domain = \"a\"\nwat = 1", "settings file"},
		"host name":    {"failure_domain = \"a\"\nhttp = \"localhost:1\"", "allowed is an IP number and a port"},
		"bad duration": {"failure_domain = \"a\"\nlease = \"1h30m\"", "lease = 1h30m0s; allowed is"},
		"no unit":      {"failure_domain = \"a\"\nlease = \"3\"", "settings file"},
		"replicas":     {"failure_domain = \"a\"\nreplicas = 0", "replicas = 0; allowed is 1 to 9"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := ParseOptions([]byte(c.text))
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.InvalidSetting))
			g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
		})
	}
}

func FuzzParseOptions(f *testing.F) {
	f.Add([]byte("failure_domain = \"a\"\nhttp = \"127.0.0.1:1\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := ParseOptions(data)
		if err == nil && o.Domain == "" {
			t.Fatal("accepted without a failure domain")
		}
	})
}

// Guards against creating a settings version by a change that sets and removes nothing.
func TestEmptyChangeIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	resp, err := http.Post("http://"+n.opt.Admin+"/v1/config", "application/json", strings.NewReader(`{"id":"empty","base":0}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(httpResult{body: string(b)}.problem().Reason).To(gomega.Equal(fault.InvalidSetting.String()))
	g.Expect(n.conf.Load().version).To(gomega.BeZero())
}

// Guards against an empty request id header in the refusal of a request without an id.
func TestRefusalWithoutRequestIDOmitsHeader(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n", n)
	resp, err := http.Get("http://" + n.opt.HTTP + "/call/no/such/kind")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusNotFound))
	g.Expect(resp.Header).NotTo(gomega.HaveKey(HeaderRequestID))
}
