package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"bytes"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/claims"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// startReplicas starts a node with a data folder in each failure domain, forms the
// groups on the first node and waits until all are voters.
func startReplicas(t testing.TB, domains ...string) []*testNode {
	t.Helper()
	return startReplicasWith(t, func(int, *Options) {}, domains...)
}

// startReplicasWith does the same as startReplicas after change has modified each node's
// options.
func startReplicasWith(t testing.TB, change func(i int, o *Options), domains ...string) []*testNode {
	t.Helper()
	var nodes []*testNode
	var bootstrap []string
	for i, d := range domains {
		dir := t.TempDir()
		n := startNode(t, d, bootstrap, func(o *Options) {
			o.DataFolder = dir
			o.Replicas = len(domains)
			o.SuspectAfter = Duration{600 * time.Millisecond}
			o.ReplaceAfter = Duration{2 * time.Second}
			change(i, o)
		})
		nodes = append(nodes, n)
		bootstrap = []string{nodes[0].opt.Control}
	}
	if err := nodes[0].replicas.formGroups(); err != nil {
		t.Fatal(err)
	}
	awaitVoters(t, nodes, len(domains))
	return nodes
}

// awaitVoters waits until the groups on all nodes have n voters and no learners.
func awaitVoters(t testing.TB, nodes []*testNode, n int) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() bool {
		for _, nd := range nodes {
			for _, g := range nd.replicas.groups {
				conf := g.conf.Load()
				if conf == nil || len(conf.Voters) != n || len(conf.Learners) != 0 {
					return false
				}
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond).Should(gomega.BeTrue())
}

// proposeChange posts a change of the settings to a node. It returns the HTTP status,
// 0 if there was no response, and the result.
func (n *testNode) proposeChange(id string, base uint64, set settings.Entries) (int, ChangeResult) {
	body, err := json.Marshal(ChangeRequest{ID: id, Base: base, Set: set})
	if err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.Post("http://"+n.opt.Admin+"/v1/config", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, ChangeResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	var r ChangeResult
	_ = json.NewDecoder(resp.Body).Decode(&r)
	return resp.StatusCode, r
}

// awaitConfigVersion waits until a version of the settings is active on the node.
func (n *testNode) awaitConfigVersion(v uint64) {
	n.t.Helper()
	gomega.NewWithT(n.t).Eventually(func() uint64 { return n.conf.Load().version }, 10*time.Second, 5*time.Millisecond).
		Should(gomega.BeNumerically(">=", v))
}

// Of concurrent changes on the same base exactly one may succeed; the others must
// report the conflict and its winner.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	plain := startNode(t, "b", []string{nodes[0].opt.Control}, nil)
	all := append(nodes, plain)
	g.Eventually(func() int { return len(plain.view.Load().replicas) }, 10*time.Second).Should(gomega.Equal(3))

	var wg sync.WaitGroup
	results := make([]ChangeResult, len(all))
	ids := make([]string, len(all))
	for i, n := range all {
		ids[i] = uuid.NewString()
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, results[i] = n.proposeChange(ids[i], 0, settings.Entries{"#deadline": formatUint(uint64(i+1)) + "s"})
		}()
	}
	wg.Wait()
	winner := ""
	for i, r := range results {
		if r.Reason == "none" {
			g.Expect(winner).To(gomega.BeEmpty())
			winner = ids[i]
		}
	}
	g.Expect(winner).NotTo(gomega.BeEmpty())
	for i, r := range results {
		if ids[i] != winner {
			g.Expect(r.Reason).To(gomega.Equal("conflict"))
			g.Expect(r.Winner).To(gomega.Equal(winner))
		}
	}
	for i, n := range all {
		n.awaitConfigVersion(1)
		// A resend to another node returns the original result.
		_, again := n.proposeChange(ids[(i+1)%len(all)], 0, settings.Entries{"#deadline": "9s"})
		g.Expect(again).To(gomega.Equal(results[(i+1)%len(all)]))
	}
}

// Concurrent requests with the same idempotency key must be executed once in total.
func TestKeyedRequestRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	_, r := nodes[1].proposeChange("", 0, settings.Entries{
		"suva/claims-hub/lodge#key_required": "true", "suva/claims-hub/lodge#class": "protected",
	})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	for _, n := range nodes {
		n.awaitConfigVersion(1)
	}
	server := startStandin(t, nodes[2], "suva/claims-hub", 8, map[string]standin.KindBehavior{"lodge": {MeanServiceTime: 20 * time.Millisecond, ResponseBytes: 64}})
	for _, n := range nodes {
		n.awaitInstances("suva/claims-hub", 1)
	}
	missing := nodes[0].call("suva/claims-hub/lodge", "", nil, nil)
	g.Expect(missing.problem().Reason).To(gomega.Equal("key-required"))

	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 20 {
				res := nodes[i%3].call("suva/claims-hub/lodge", "", []byte("storm"), map[string]string{HeaderIdempotencyKey: key})
				if res.status == 200 {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Errorf("no successful response for the key")
		}()
	}
	wg.Wait()
	g.Expect(server.ExecutionsByKey()[key]).To(gomega.Equal(1))
	other := nodes[0].call("suva/claims-hub/lodge", "", []byte("other"), map[string]string{HeaderIdempotencyKey: key})
	g.Expect(other.problem().Reason).To(gomega.Equal("key-mismatch"))
}

// Guards against a resend that takes a stored answer without its body for the whole answer, and
// against one that is executed again because the answer was too large to be stored.
func TestResendOfALargeAnswerSaysThatItsBodyWasNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startReplicas(t, "a")[0]
	_, r := n.proposeChange("", 0, settings.Entries{"f/s/fits#key_required": "true", "f/s/large#key_required": "true"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	n.awaitConfigVersion(1)
	server := startStandin(t, n, "f/s", 8, map[string]standin.KindBehavior{
		"fits": {ResponseBytes: claims.MaxBodyBytes}, "large": {ResponseBytes: claims.MaxBodyBytes + 1},
	})
	n.awaitInstances("f/s", 1)
	for _, c := range []struct {
		kind, mark string
		resent     int
	}{{"fits", "", claims.MaxBodyBytes}, {"large", "not-kept", 0}} {
		key := uuid.Must(uuid.NewV7()).String()
		header := map[string]string{HeaderIdempotencyKey: key}
		first := n.call("f/s/"+c.kind, "", nil, header)
		g.Expect(first.status).To(gomega.Equal(200), first.body)
		g.Expect(first.header.Get("Umber-Body")).To(gomega.BeEmpty())
		g.Expect(first.body).NotTo(gomega.BeEmpty())
		again := n.call("f/s/"+c.kind, "", nil, header)
		g.Expect(again.status).To(gomega.Equal(200), again.body)
		g.Expect(again.header.Get(HeaderReplayed)).To(gomega.Equal("true"))
		g.Expect(again.header.Get("Umber-Body")).To(gomega.Equal(c.mark))
		g.Expect(again.body).To(gomega.HaveLen(c.resent))
		g.Expect(server.ExecutionsByKey()[key]).To(gomega.Equal(1))
	}
}

// A replica behind a forwarder must join its group under the address that it
// advertises, not under the bootstrap address at which it was found.
func TestReplicaIsKnownByItsAdvertisedAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	advertised := freeAddr(t)
	far := startNode(t, "b", nil, func(o *Options) {
		o.DataFolder = t.TempDir()
		o.AdvertiseControl = advertised
	})
	near := startNode(t, "a", []string{far.opt.Control}, func(o *Options) { o.DataFolder = t.TempDir() })
	g.Expect(near.replicas.identifyReplicas(nil)).To(gomega.Equal([]raft.Peer{{ID: far.replicas.id, Addr: advertised, Domain: "b"}}))
}

// Guards against a formed group that refuses changes while a lost voter has been removed and its
// replacement is not a voter yet.
func TestFormedGroupAcceptsChangesWhileAVoterIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicasWith(t, func(_ int, o *Options) { o.MinVoters = 3 }, "a", "b", "c")
	_, r := nodes[0].proposeChange("formed", 0, settings.Entries{"#deadline": "3s"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	lost := nodes[2]
	lost.Close()
	remove := func() bool {
		for _, n := range nodes[:2] {
			group := n.replicas.group(configGroup)
			proposed := make(chan bool, 1)
			group.enqueue(func() { proposed <- group.core.ProposeConf(group.core.Conf().Without(lost.replicas.id)) == nil })
			if <-proposed {
				return true
			}
		}
		return false
	}
	g.Eventually(remove, 5*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
	g.Eventually(func() int { return len(nodes[0].replicas.group(configGroup).conf.Load().Voters) }, 5*time.Second, 10*time.Millisecond).Should(gomega.Equal(2))
	_, r = nodes[0].proposeChange("replacing", 1, settings.Entries{"#deadline": "4s"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
}
