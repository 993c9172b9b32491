package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/route"
)

// awaitNoInstance waits until the node knows no instance of a service.
func (n *testNode) awaitNoInstance(service string) {
	n.t.Helper()
	gomega.NewWithT(n.t).Eventually(func() bool {
		return n.routes.Load().Services[service] == nil
	}, 10*time.Second, time.Millisecond).Should(gomega.BeTrue())
}

// Guards against failing nested calls while the only instance is briefly away. A request that
// enters for that service is refused at once with a retry-after time.
func TestNestedCallWaitsForInstanceToReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, servers := startChainNodes(t)
	second, entry := nodes[1], nodes[3]
	servers[2].SetFaults(standin.Faults{AnnouncedState: "draining"})
	second.awaitNoInstance("kigali/rosters")
	entry.awaitNoInstance("kigali/rosters")
	done := make(chan httpResult, 1)
	go func() { done <- entry.call("kigali/sheets/open", "waits", nil, nil) }()
	g.Eventually(func() int { return len(servers[1].RequestStats()) }, 5*time.Second, time.Millisecond).Should(gomega.BeNumerically(">", 0))
	began := time.Now()
	refused := entry.call("kigali/rosters/day", "", nil, nil)
	g.Expect(refused.problem().Reason).To(gomega.Equal("no-backend"))
	g.Expect(refused.problem().RetryAfterMs).To(gomega.BeNumerically(">", 0))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", maxReturnWait/2))
	servers[2].SetFaults(standin.Faults{})
	r := <-done
	g.Expect(r.status).To(gomega.Equal(200), r.body)
}

// Replays the requests that arrive at a node which has just started and has not heard of any
// instance: they wait until it has, within a sixth of their latency objective.
func TestRequestWaitsWhileNodeFindsInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startNode(t, "remera", nil, nil)
	useSettings(t, chainSettings, entry)
	done := make(chan httpResult, 1)
	go func() { done <- entry.call("kigali/rosters/day", "early", nil, nil) }()
	g.Eventually(entry.startupWaiters.Load, "2s", "1ms").Should(gomega.Equal(int64(1)))
	second := startNode(t, "remera", []string{entry.opt.Control}, nil)
	useSettings(t, chainSettings, second)
	startStandin(t, second, "kigali/rosters", 16, map[string]standin.KindBehavior{"day": {MeanServiceTime: time.Millisecond}})
	r := <-done
	g.Expect(r.status).To(gomega.Equal(200), r.body)
	g.Expect(entry.startupWaiters.Load()).To(gomega.Equal(int64(0)))
	// A service that stays unknown is refused with time left to come back.
	refused := entry.call("kigali/locations/find", "", nil, nil)
	g.Expect(refused.problem().Reason).To(gomega.Equal("no-backend"))
	g.Expect(refused.problem().RetryAfterMs).To(gomega.BeNumerically(">", 0))
}

// Guards against a stop that leaves a service without instances: the node keeps serving until
// another instance is available.
func TestStoppingNodeWaitsForAnotherInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	short := func(o *Options) {
		o.StopNotice = Duration{departureGrace}
		o.StopTimeout = Duration{9 * time.Second}
	}
	first := startNode(t, "a", nil, short)
	second := startNode(t, "b", []string{first.opt.Control}, nil)
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\n", first, second)
	kinds := map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond, ResponseBytes: 64}}
	startStandin(t, first, "f/s", 4, kinds)
	second.awaitInstances("f/s", 1)
	stopped := make(chan bool, 1)
	go func() { stopped <- first.Stop() }()
	g.Eventually(first.stopping, 5*time.Second).Should(gomega.BeTrue())
	for range 20 {
		g.Expect(second.call("f/s/k", "", nil, nil).status).To(gomega.Equal(200))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(first.rejectsNewWork()).To(gomega.BeFalse())
	startStandin(t, second, "f/s", 4, kinds)
	g.Eventually(stopped, 8*time.Second).Should(gomega.Receive(gomega.BeTrue()))
	g.Expect(second.call("f/s/k", "", nil, nil).status).To(gomega.Equal(200))
}

// Guards against a stop that blocks on dialing an unresponsive node.
func TestStopDoesNotWaitForPendingDial(t *testing.T) {
	g := gomega.NewWithT(t)
	first := startNode(t, "a", nil, nil)
	n := startNode(t, "a", []string{first.opt.Control}, func(o *Options) { o.StopTimeout = Duration{time.Second} })
	dialing := make(chan struct{}, 100)
	n.connect = func(string, time.Duration) (net.Conn, error) {
		dialing <- struct{}{}
		time.Sleep(4 * time.Second)
		return nil, net.ErrClosed
	}
	n.control.pool.Close()
	g.Eventually(dialing, 5*time.Second).Should(gomega.Receive())
	began := time.Now()
	g.Expect(n.Stop()).To(gomega.BeTrue())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
}

// Guards against retrying an overloaded sole instance at once, which would add to its load.
func TestNestedCallRefusedForLoadDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\n", n)
	startStandin(t, n, "f/s", 4, map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond, ResponseBytes: 64}})
	n.awaitInstances("f/s", 1)
	c := &call{service: "f/s", depth: 1, lastFailure: fault.Overload, scope: scope.New(time.Now().Add(time.Minute))}
	q := &route.Query{Service: "f/s", Now: n.clock(), Avoid: n.routes.Load().Services["f/s"].LocalInstances[0]}
	began := time.Now()
	_, code := n.pickInstance(c, q)
	g.Expect(code).To(gomega.Equal(fault.NoBackend))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", maxReturnWait/2))
	c.lastFailure = fault.None
	_, code = n.pickInstance(c, q)
	g.Expect(code).To(gomega.Equal(fault.None), "a lost instance may have restarted")
}
