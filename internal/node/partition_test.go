package node

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// network simulates partitions, one-way or both ways, between the nodes of a test
// process. What is sent across a partition is lost; connections stay open and never
// recover.
type network struct {
	mu    sync.Mutex
	owner map[string]string // address -> node id
	cuts  map[string]bool   // "from>to"
}

// newNetwork puts running nodes into a network without partitions. It holds for the connections
// that they have already, and for those that are being opened.
func newNetwork(nodes ...*testNode) *network {
	nw := &network{owner: map[string]string{}, cuts: map[string]bool{}}
	for _, n := range nodes {
		nw.owner[n.opt.Control] = n.id
		nw.owner[n.opt.Data] = n.id
	}
	for _, n := range nodes {
		n.network.Store(nw)
	}
	return nw
}

// dialInNetwork opens a connection that a partition can hit at any time.
func (n *testNode) dialInNetwork(addr string, timeout time.Duration) (net.Conn, error) {
	if nw := n.network.Load(); nw.isCut(n.id, addr) || nw.isReverseCut(n.id, addr) {
		time.Sleep(min(timeout, 200*time.Millisecond))
		return nil, net.ErrClosed
	}
	c, err := n.connect(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, node: n, addr: addr}, nil
}

// isCut reports whether what a node sends to an address is lost. Nothing is without a network.
func (nw *network) isCut(from, addr string) bool {
	if nw == nil {
		return false
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cuts[from+">"+nw.owner[addr]]
}

// isReverseCut reports whether what the node at an address sends to another is lost.
func (nw *network) isReverseCut(from, addr string) bool {
	if nw == nil {
		return false
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cuts[nw.owner[addr]+">"+from]
}

// setCut begins or ends a one-way partition.
func (nw *network) setCut(from, to *testNode, on bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cuts[from.id+">"+to.id] = on
}

// setCutBothWays begins or ends a partition in both directions.
func (nw *network) setCutBothWays(a, b *testNode, on bool) {
	nw.setCut(a, b, on)
	nw.setCut(b, a, on)
}

// cutConn discards what is sent or received during a partition, and everything after.
type cutConn struct {
	net.Conn
	node *testNode
	addr string
	mu   sync.Mutex
	lost bool
}

// isLost reports whether the connection has been hit by a partition, now or before.
func (c *cutConn) isLost(cut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || cut
	return c.lost
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.isLost(c.node.network.Load().isCut(c.node.id, c.addr)) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isLost(c.node.network.Load().isReverseCut(c.node.id, c.addr)) {
			return n, err
		}
	}
}

// SyscallConn implements syscall.Conn, by which idle connections are inspected.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// logReplicaState logs the state and events of the replicas if the test failed.
func logReplicaState(t *testing.T, nodes []*testNode) {
	if !t.Failed() {
		return
	}
	for _, n := range nodes {
		g := n.replicas.groups[configGroup]
		t.Logf("%s (%s): leads %v, leader at %q, applied %d, members %+v", n.opt.Name, n.opt.Control, g.leads.Load(), *g.leaderAddr.Load(), g.applied.Load(), *g.conf.Load())
		for _, e := range n.events.all() {
			t.Logf("  %s %s: %s", e.Time.Format("05.000"), e.Part, e.Text)
		}
	}
}

// Guards against a connection that bypasses a partition, as it was being opened when the partition
// began: a domain that is cut off then counts as reachable for good.
func TestPartitionHitsConnectionsThatAreBeingOpened(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startNode(t, "a", nil, nil)
	c := startNode(t, "c", []string{a.opt.Control}, nil)
	inContact := func() bool { return a.view.Load().domains["c"].InContact() }
	g.Eventually(inContact, "10s").Should(gomega.BeTrue())
	opened, release := make(chan struct{}, 100), make(chan struct{})
	a.connect = func(addr string, timeout time.Duration) (net.Conn, error) {
		conn, err := control.DialTCP(addr, timeout)
		opened <- struct{}{}
		<-release
		return conn, err
	}
	a.control.pool.Close()
	g.Eventually(opened, "5s").Should(gomega.Receive())
	nw := newNetwork(a, c)
	nw.setCutBothWays(a, c, true)
	close(release)
	g.Eventually(inContact, "10s").Should(gomega.BeFalse())
}

// A domain cut off from the others must keep serving requests, refuse what needs a
// quorum as not executed, and catch up on the settings once it is reconnected.
func TestPartitionedDomainServesAndCatchesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	t.Cleanup(func() { logReplicaState(t, nodes) })
	nw := newNetwork(nodes...)
	cut := nodes[2]
	_, r := nodes[0].proposeChange("", 0, settings.Entries{
		"suva/cover-desk/check#idempotent": "true", "suva/claims-hub/lodge#key_required": "true", "suva/claims-hub/lodge#deadline": "1s",
	})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	for _, n := range nodes {
		n.awaitConfigVersion(1)
		startStandin(t, n, "suva/cover-desk", 8, map[string]standin.KindBehavior{"check": {MeanServiceTime: time.Millisecond, ResponseBytes: 64}})
	}
	for _, n := range nodes {
		n.awaitInstances("suva/cover-desk", 3)
	}

	nw.setCutBothWays(cut, nodes[0], true)
	nw.setCutBothWays(cut, nodes[1], true)
	// The partitioned domain keeps serving requests that need no quorum.
	for range 40 {
		res := cut.call("suva/cover-desk/check", "", nil, nil)
		g.Expect(res.status).To(gomega.Equal(200), res.body)
		time.Sleep(50 * time.Millisecond)
	}
	g.Eventually(func() bool { return cut.view.Load().domains["a"].Reachable }, 10*time.Second).Should(gomega.BeFalse())
	// It refuses requests that need a quorum, as not executed.
	res := cut.call("suva/claims-hub/lodge", "", nil, map[string]string{HeaderIdempotencyKey: uuid.Must(uuid.NewV7()).String()})
	g.Expect(res.problem().Reason).To(gomega.Equal("no-quorum"))
	g.Expect(res.problem().Execution).To(gomega.Equal("no"))
	status, _ := cut.proposeChange("", 1, settings.Entries{"#deadline": "1s"})
	g.Expect(status).To(gomega.Equal(503))
	// The other domains still accept changes of the settings.
	g.Eventually(func() string {
		_, r = nodes[0].proposeChange("kept", 1, settings.Entries{"#deadline": "4s"})
		return r.Reason
	}, 10*time.Second).Should(gomega.Equal("none"))
	g.Expect(cut.conf.Load().version).To(gomega.Equal(uint64(1)))

	nw.setCutBothWays(cut, nodes[0], false)
	nw.setCutBothWays(cut, nodes[1], false)
	healed := time.Now()
	cut.awaitConfigVersion(2)
	t.Logf("settings caught up %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	g.Eventually(func() bool { return cut.view.Load().domains["a"].Reachable }, 10*time.Second).Should(gomega.BeTrue())
	cut.awaitInstances("suva/cover-desk", 3)
}

// awaitLeader waits until one of the nodes leads the settings group, and returns it.
func awaitLeader(t testing.TB, nodes []*testNode) *testNode {
	t.Helper()
	var leader *testNode
	gomega.NewWithT(t).Eventually(func() bool {
		i := slices.IndexFunc(nodes, func(n *testNode) bool { return n.replicas.groups[configGroup].leads.Load() })
		if i >= 0 {
			leader = nodes[i]
		}
		return i >= 0
	}, 5*time.Second).Should(gomega.BeTrue())
	return leader
}

// A new leader must not use identities verified in an earlier leadership: it could
// move a member back to an address that it has left, or count a replaced disk as lost.
func TestLosingLeadershipClearsVerifiedReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	nw := newNetwork(nodes...)
	old := awaitLeader(t, nodes)
	g.Eventually(old.replicas.verifiedReplicas, 5*time.Second).ShouldNot(gomega.BeEmpty())
	for _, n := range nodes {
		if n != old {
			nw.setCutBothWays(n, old, true)
		}
	}
	g.Eventually(func() bool { return old.replicas.leadsAny() }, 5*time.Second).Should(gomega.BeFalse())
	g.Eventually(old.replicas.verifiedReplicas, 5*time.Second).Should(gomega.BeEmpty())
}

// A leader that can send to the others but receives nothing must step down, and must
// neither block changes nor serve reads.
func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	nw := newNetwork(nodes...)
	old := awaitLeader(t, nodes)
	for _, n := range nodes {
		if n != old {
			nw.setCut(n, old, true)
		}
	}
	g.Eventually(func() bool { return old.replicas.groups[configGroup].leads.Load() }, 5*time.Second).Should(gomega.BeFalse())
	var other *testNode
	for _, n := range nodes {
		if n != old {
			other = n
		}
	}
	g.Eventually(func() string {
		_, r := other.proposeChange("one", 0, settings.Entries{"#deadline": "2s"})
		return r.Reason
	}, 10*time.Second).Should(gomega.Equal("none"))
	_, _, err := old.replicas.readConfig(time.Second)
	g.Expect(err).To(gomega.HaveOccurred())
}
