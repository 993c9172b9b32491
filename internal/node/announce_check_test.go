package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// startEchoBackend starts a backend server of suva/doc-vault at a new address, which it announces
// under an identity, and serves one request.
func startEchoBackend(t *testing.T, n *testNode, instance string) (a *Announcement, stop func()) {
	t.Helper()
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	a = &Announcement{Service: "suva/doc-vault", Address: ln.Addr().String(), Slots: 4, Connections: 16, State: "serving", Instance: instance, Sequence: 5}
	g.Expect(n.Announce(a)).To(gomega.BeNil())
	n.awaitInstances("suva/doc-vault", 1)
	g.Expect(n.call("suva/doc-vault/upload", "", nil, nil).status).To(gomega.Equal(http.StatusOK))
	return a, func() { _ = srv.Close() }
}

// TestForeignAnnouncementDoesNotReplaceALiveBackendServer guards against a minute without service after
// an announcement by, or late from, a process that is not the backend server beside the node.
func TestForeignAnnouncementDoesNotReplaceALiveBackendServer(t *testing.T) {
	for _, c := range []struct {
		evidence string
		check    func(addr, path string) BackendHealth
	}{
		{"an open connection", nil},
		{"a health request that nobody answers, and an open connection", func(string, string) BackendHealth { return BackendHealth{} }},
		{"its answer to a health request", func(string, string) BackendHealth {
			return BackendHealth{Answered: true, Serving: true, Instance: "own"}
		}},
	} {
		t.Run(c.evidence, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "suva-a", nil, func(o *Options) { o.CheckBackend = c.check })
			useSettings(t, uploadLimit(1<<20)+"[fleet.suva.service.doc-vault]\nhealth_path = \"/health\"\n", n)
			own, _ := startEchoBackend(t, n, "own")
			for _, service := range []string{"other/service", "suva/doc-vault"} {
				foreign := &Announcement{Service: service, Address: own.Address, Slots: 4, Connections: 16, State: "serving", Instance: "foreign", Sequence: 9}
				g.Expect(n.Announce(foreign)).To(gomega.BeNil())
				g.Expect(n.call("suva/doc-vault/upload", "", nil, nil).status).To(gomega.Equal(http.StatusOK))
				own.Sequence++
				g.Expect(n.Announce(own)).To(gomega.BeNil())
				g.Expect(n.local.Load().announcementSeq).To(gomega.Equal(own.Sequence))
			}
		})
	}
}

// TestNewIncarnationReplacesOneThatHasEnded guards against a new process at the address of one that has
// crashed and waits until the lease of that has expired.
func TestNewIncarnationReplacesOneThatHasEnded(t *testing.T) {
	for _, c := range []struct {
		evidence string
		check    func(addr, path string) BackendHealth
	}{
		{"its connections are closed", nil},
		{"it answers health requests", func(string, string) BackendHealth {
			return BackendHealth{Answered: true, Serving: true, Instance: "new"}
		}},
	} {
		t.Run(c.evidence, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "suva-a", nil, func(o *Options) { o.CheckBackend = c.check })
			useSettings(t, uploadLimit(1<<20)+"[fleet.suva.service.doc-vault]\nhealth_path = \"/health\"\n", n)
			own, stop := startEchoBackend(t, n, "own")
			if c.check == nil {
				stop()
			}
			next := *own
			next.Instance, next.Sequence = "new", 1
			g.Expect(n.Announce(&next)).To(gomega.BeNil())
			g.Expect(n.local.Load().instance).To(gomega.Equal("new"))
			g.Expect(n.Announce(own)).To(gomega.BeNil())
			g.Expect(n.local.Load().instance).To(gomega.Equal("new"), "the earlier one is retired")
		})
	}
}
