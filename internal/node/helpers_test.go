package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/sock"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// freeAddr returns a local address with a free port.
func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := sock.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// testNode is a node in the test's process that uses real TCP and UDP, within a network that can
// be partitioned.
type testNode struct {
	*Node
	t testing.TB
	// connect opens its connections.
	connect control.Dialer
	// network is nil until the test sets one.
	network atomic.Pointer[network]
}

// newTestNode puts all connections and datagrams of a node that has not been started under the
// control of the network that the test may set later.
func newTestNode(t testing.TB, n *Node) *testNode {
	node := &testNode{Node: n, t: t, connect: control.DialTCP}
	n.dial = node.dialInNetwork
	n.allowDatagram = func(addr string) bool { return !node.network.Load().isCut(n.id, addr) }
	return node
}

// maxStartAttempts bounds the starts of a node, as another process may take a chosen port
// first.
const maxStartAttempts = 3

// startNode starts a node on free ports, with options that change may modify, and closes it after
// the test.
func startNode(t testing.TB, domain string, bootstrap []string, change func(*Options)) *testNode {
	t.Helper()
	return startLoggingNode(t, log.NewNopLogger(), domain, bootstrap, change)
}

// startLoggingNode is startNode with a logger.
func startLoggingNode(t testing.TB, logger log.Logger, domain string, bootstrap []string, change func(*Options)) *testNode {
	t.Helper()
	var err error
	for range maxStartAttempts {
		o := DefaultOptions()
		o.Name = domain + "-" + newID()[:4]
		o.Domain = domain
		o.HTTP, o.Data, o.Control, o.Admin = freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)
		o.Bootstrap = bootstrap
		o.StopTimeout = Duration{5 * time.Second}
		if change != nil {
			change(&o)
		}
		var n *Node
		if n, err = New(o, logger); err != nil {
			break
		}
		node := newTestNode(t, n)
		if err = n.Start(); err == nil {
			t.Cleanup(n.Close)
			return node
		}
	}
	t.Fatal(err)
	return nil
}

// startStandin starts a stand-in for a node's backend server, which announces itself to the node.
func startStandin(t testing.TB, n *testNode, service string, slots int, kinds map[string]standin.KindBehavior) *standin.Server {
	t.Helper()
	s, err := standin.Start(standin.Options{
		Service: service, ListenAddr: "127.0.0.1:0", NodeAddr: n.opt.HTTP, Slots: slots, Connections: 4 * slots,
		Kinds: kinds, AnnounceInterval: 200 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// useSettings applies a settings document to nodes without a replica group.
func useSettings(t testing.TB, toml string, nodes ...*testNode) {
	t.Helper()
	tree, err := settings.ParseTOML([]byte(toml))
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		n.applyDocument(n.conf.Load().version+1, tree.Entries())
	}
}

// httpResult is a response with its whole body, or the error of the request.
type httpResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to a node and returns the whole response.
func (n *testNode) call(target, id string, body []byte, header map[string]string) httpResult {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.opt.HTTP+"/call/"+target, bytes.NewReader(body))
	if err != nil {
		return httpResult{err: err}
	}
	if id == "" {
		id = uuid.NewString()
	}
	req.Header.Set(HeaderRequestID, id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return httpResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return httpResult{resp.StatusCode, resp.Header, string(b), err}
}

// problem decodes a refusal.
func (r httpResult) problem() Problem {
	var p Problem
	_ = json.Unmarshal([]byte(r.body), &p)
	return p
}

// awaitInstances waits until a node can route to a number of instances of a service.
func (n *testNode) awaitInstances(service string, instances int) {
	n.t.Helper()
	gomega.NewWithT(n.t).Eventually(func() int {
		s := n.routes.Load().Services[service]
		if s == nil {
			return 0
		}
		total := len(s.LocalInstances)
		for _, d := range s.RemoteDomains {
			total += len(d)
		}
		return total
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">=", instances))
}
