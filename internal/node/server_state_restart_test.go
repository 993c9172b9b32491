package node

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/route"
)

// startIdentifiedServer starts a stand-in with an identity beside a node. Its requests take
// long, so that a node that has just started hears from it late.
func startIdentifiedServer(t *testing.T, n *testNode, f standin.Faults) *standin.Server {
	t.Helper()
	s, err := standin.Start(standin.Options{
		Service: "f/s", ListenAddr: "127.0.0.1:0", NodeAddr: n.opt.HTTP, Slots: 128, Connections: 256, Instance: "server-1",
		Kinds: map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Second, ResponseBytes: 64}}, AnnounceInterval: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	s.SetFaults(f)
	return s
}

// restartEmpty restarts a node without its settings, which the test applies again.
func (n *testNode) restartEmpty(bootstrap string) *testNode {
	n.t.Helper()
	n.Close()
	n.opt.Bootstrap = []string{bootstrap}
	next := n.restart()
	useSettings(n.t, slowKindSettings, next)
	return next
}

const slowKindSettings = "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\nidempotent = true\ndeadline = \"4s\"\nobjective_within = \"4s\"\n"

// startServerNodeAndEntry starts a node for a backend server and another one at which requests
// enter.
func startServerNodeAndEntry(t *testing.T) (beside, entry *testNode) {
	t.Helper()
	beside = startNode(t, "a", nil, nil)
	entry = startNode(t, "a", []string{beside.opt.Control}, nil)
	useSettings(t, slowKindSettings, beside, entry)
	return beside, entry
}

// A node that has just started must hold its backend server to the limit that other nodes have
// heard of, before it has read a response itself, and without a full bucket.
func TestRestartedNodeHoldsLimitThatOthersKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 4
	beside, entry := startServerNodeAndEntry(t)
	s := startIdentifiedServer(t, beside, standin.Faults{RateLimit: "4"})
	entry.awaitInstances("f/s", 1)
	traffic := startLoad("f/s/k", 100, entry)
	time.Sleep(2 * time.Second)
	beside.restartEmpty(entry.opt.Control)
	started := time.Now()
	entry.awaitInstances("f/s", 1)
	time.Sleep(3 * time.Second)
	traffic.stop()
	after := countArrivals(s.Arrivals(), started, started.Add(limitWindow))
	g.Expect(after).To(gomega.BeNumerically(">", 0))
	g.Expect(after).To(gomega.BeNumerically("<=", int(limitFactor*limitWindow.Seconds()*limit)+limitRequests))
}

// awaitInstanceOf waits until a node can route to the instance of another one of its failure
// domain. Before that it may still know an instance of a process that ran at the same address.
func (n *testNode) awaitInstanceOf(service string, other *testNode) {
	n.t.Helper()
	gomega.NewWithT(n.t).Eventually(func() bool {
		s := n.routes.Load().Services[service]
		return s != nil && slices.ContainsFunc(s.LocalInstances, func(in *route.Instance) bool { return in.ID == other.id })
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
}

// maxLeavingServerStarts bounds the attempts of startLeavingServer.
const maxLeavingServerStarts = 5

// startLeavingServer starts a node for a backend server and an entry node, and has the server say
// that it is leaving in the response to a request at the entry. It starts over if the process was
// paused, as it may be on a busy machine, and a request failed.
func startLeavingServer(t *testing.T) (beside, entry *testNode, s *standin.Server) {
	t.Helper()
	g := gomega.NewWithT(t)
	for range maxLeavingServerStarts {
		beside, entry = startServerNodeAndEntry(t)
		s = startIdentifiedServer(t, beside, standin.Faults{})
		entry.awaitInstances("f/s", 1)
		request := func() bool {
			r := entry.call("f/s/k", "", nil, nil)
			if r.status != 200 {
				g.Expect(entry.pauses.recent(entry.clock())).To(gomega.BeTrue(), "%+v", r)
			}
			return r.status == 200
		}
		if request() {
			s.SetFaults(standin.Faults{Leaving: true})
			if request() {
				return beside, entry, s
			}
		}
		s.Stop()
		beside.Close()
		entry.Close()
	}
	t.Fatal("the process is paused again and again")
	return nil, nil, nil
}

// A node that has just started must not send requests to a backend server of which other nodes
// have heard that it is leaving.
func TestRestartedNodeKnowsLeavingServerFromOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	beside, entry, s := startLeavingServer(t)
	before := len(s.Arrivals())
	beside = beside.restartEmpty(entry.opt.Control)
	entry.awaitInstanceOf("f/s", beside)
	for range 20 {
		g.Expect(entry.call("f/s/k", "", nil, nil).status).To(gomega.Equal(503))
	}
	g.Expect(s.Arrivals()).To(gomega.HaveLen(before))
	g.Expect(beside.Status().Backend.Leaving).To(gomega.BeTrue())
}
