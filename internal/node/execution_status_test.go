package node

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/route"
)

// Guards against reporting a request as not executed when only its nested call was not
// executed.
func TestRefusedNestedCallLeavesExecutionUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	entry, servers := startChain(t)
	servers[2].SetFaults(standin.Faults{AnnouncedState: "draining"})
	g.Eventually(func() string { return entry.call("kigali/sheets/open", "", nil, nil).problem().Reason }, 5*time.Second).
		Should(gomega.Equal("no-backend"))
	r := entry.call("kigali/sheets/open", "told", nil, nil)
	g.Expect(r.problem().Execution).To(gomega.Equal("unknown"))
	g.Expect(r.header.Get(HeaderExecution)).To(gomega.Equal("unknown"))
	g.Expect(r.problem().RetryAfterMs).To(gomega.BeNumerically(">", 0))
	g.Expect(servers[0].RequestStats()["told"].Executions).To(gomega.Equal(1))
	g.Expect(servers[2].RequestStats()).NotTo(gomega.HaveKey("told"))
}

// startFakePeer starts a node that handles each request with h.
func startFakePeer(t *testing.T, h wire.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := wire.NewServer(h, wire.ServerOptions{Heartbeat: DefaultOptions().Heartbeat.Duration, Sweep: DefaultOptions().Sweep.Duration, IdleTimeout: time.Minute})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

// Guards against reporting a request as not executed when its first attempt broke off in
// execution and only the retry was refused.
func TestUnexecutedRetryKeepsExecutionUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\nretry_ratio = 1.0\n[fleet.f.service.s.kind.k]\nidempotent = true\nretry_budget = 1", n)
	var broke, refused atomic.Int32
	breaks := startFakePeer(t, func(x *wire.Exchange) {
		_, _ = io.ReadAll(x.Body)
		broke.Add(1)
	})
	refuses := startFakePeer(t, func(x *wire.Exchange) {
		_, _ = io.ReadAll(x.Body)
		refused.Add(1)
		_ = x.Reply(&wire.Reply{Code: fault.Draining, Execution: fault.NotExecuted}, nil, nil)
	})
	instance := func(id, addr string) *route.Instance {
		return &route.Instance{ID: id, Addr: addr, Slots: 4, Weight: 1, ServingSince: -time.Hour, Observed: &route.Observations{}}
	}
	for range 40 {
		n.routes.Store(&route.Snapshot{Services: map[string]*route.Service{"f/s": {LocalInstances: []*route.Instance{instance("1", breaks), instance("2", refuses)}}}})
		before := broke.Load()
		r := n.call("f/s/k", "", []byte("x"), nil)
		want := "no"
		if broke.Load() > before {
			want = "unknown"
		}
		g.Expect(r.problem().Execution).To(gomega.Equal(want), r.body)
	}
	g.Expect(broke.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(refused.Load()).To(gomega.BeNumerically(">", 0))
}
