package node

import (
	"net"
	"net/http"
	"sync/atomic"
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

// TestAnnouncementAfterARestartIsChecked guards against a node that forgets by its restart that a
// backend server has withdrawn, or which process runs there, and believes a late announcement.
func TestAnnouncementAfterARestartIsChecked(t *testing.T) {
	var health atomic.Pointer[BackendHealth]
	for _, c := range []struct {
		answer   string
		health   BackendHealth
		accepted bool
	}{
		{"none", BackendHealth{}, true},
		{"serves", BackendHealth{Answered: true, Serving: true, Instance: "own"}, true},
		{"is leaving", BackendHealth{Answered: true, Instance: "own"}, false},
		{"is leaving, without its identity", BackendHealth{Answered: true}, false},
		{"is another process", BackendHealth{Answered: true, Serving: true, Instance: "next"}, false},
	} {
		t.Run(c.answer, func(t *testing.T) {
			g := gomega.NewWithT(t)
			health.Store(&c.health)
			n := startNode(t, "suva-a", nil, func(o *Options) {
				o.CheckBackend = func(string, string) BackendHealth { return *health.Load() }
				o.Restarted = true
			})
			a := &Announcement{Service: "suva/doc-vault", Address: freeAddr(t), Slots: 4, Connections: 16, State: "serving", Instance: "own", Sequence: 5}
			g.Expect(n.Announce(a)).To(gomega.BeNil())
			g.Expect(n.local.Load()).To(gomega.BeNil(), "it has no settings by which to ask")
			useSettings(t, uploadLimit(1<<20)+"[fleet.suva.service.doc-vault]\nhealth_path = \"/health\"\n", n)
			g.Expect(n.Announce(a)).To(gomega.BeNil())
			g.Expect(n.Announce(a)).To(gomega.BeNil())
			g.Expect(n.Announce(a)).To(gomega.BeNil())
			g.Expect(n.local.Load() != nil).To(gomega.Equal(c.accepted))
			health.Store(&BackendHealth{Answered: true, Serving: true, Instance: "own"})
			g.Expect(n.Announce(a)).To(gomega.BeNil())
			g.Expect(n.local.Load()).NotTo(gomega.BeNil(), "it serves now")
		})
	}
}

// TestServerThatWronglySaysItIsIllIsAccepted guards against a backend server that stays without requests
// after the restart of its node, as its health responses are wrong; and against a withdrawn one that
// several late announcements bring back.
func TestServerThatWronglySaysItIsIllIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	ill, unnamed := BackendHealth{Answered: true, Instance: "own"}, BackendHealth{Answered: true}
	for _, h := range []BackendHealth{ill, unnamed} {
		g.Expect(h.denies("own", maxAnnouncementDelay-1)).To(gomega.BeTrue())
		g.Expect(h.denies("own", maxAnnouncementDelay)).To(gomega.BeFalse())
	}
	other := BackendHealth{Answered: true, Serving: true, Instance: "next"}
	g.Expect(other.denies("own", maxAnnouncementDelay)).To(gomega.BeTrue())

	n := startNode(t, "suva-a", nil, func(o *Options) {
		o.CheckBackend = func(string, string) BackendHealth { return ill }
		o.Restarted = true
	})
	useSettings(t, uploadLimit(1<<20)+"[fleet.suva.service.doc-vault]\nhealth_path = \"/health\"\n", n)
	a := &Announcement{Service: "suva/doc-vault", Address: freeAddr(t), Slots: 4, Connections: 16, State: "serving", Instance: "own"}
	for range 8 {
		a.Sequence++
		g.Expect(n.Announce(a)).To(gomega.BeNil())
		g.Expect(n.local.Load()).To(gomega.BeNil())
	}
}
