package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
)

const chainSettings = `
[default]
deadline = "3s"
[fleet.kigali.service.sheets.kind.open]
class = "protected"
idempotent = true
[fleet.kigali.service.locations.kind.find]
[fleet.kigali.service.rosters.kind.day]
`

// startChain starts three services in three failure domains, each calling the next, and
// returns a node of a fourth failure domain for callers.
func startChain(t testing.TB) (entry *testNode, servers []*standin.Server) {
	nodes, servers := startChainNodes(t)
	return nodes[3], servers
}

// startChainNodes does the same as startChain and returns all four nodes.
func startChainNodes(t testing.TB) (nodes []*testNode, servers []*standin.Server) {
	first := startNode(t, "nyarugenge", nil, nil)
	bootstrap := []string{first.opt.Control}
	second := startNode(t, "kicukiro", bootstrap, nil)
	third := startNode(t, "gasabo", bootstrap, nil)
	entry := startNode(t, "remera", bootstrap, nil)
	useSettings(t, chainSettings, first, second, third, entry)
	servers = []*standin.Server{
		startStandin(t, first, "kigali/sheets", 16, map[string]standin.KindBehavior{
			"open": {MeanServiceTime: time.Millisecond, Calls: []string{"kigali/locations/find"}, ResponseBytes: 1024}}),
		startStandin(t, second, "kigali/locations", 16, map[string]standin.KindBehavior{
			"find": {MeanServiceTime: time.Millisecond, Calls: []string{"kigali/rosters/day"}, ResponseBytes: 300}}),
		startStandin(t, third, "kigali/rosters", 16, map[string]standin.KindBehavior{
			"day": {MeanServiceTime: time.Millisecond, ResponseBytes: 300}}),
	}
	entry.awaitInstances("kigali/sheets", 1)
	first.awaitInstances("kigali/locations", 1)
	second.awaitInstances("kigali/rosters", 1)
	return []*testNode{first, second, third, entry}, servers
}

func TestRequestTraversesThreeServices(t *testing.T) {
	g := gomega.NewWithT(t)
	entry, servers := startChain(t)
	r := entry.call("kigali/sheets/open", "request-1", []byte("hello"), nil)
	g.Expect(r.err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(200), r.body)
	g.Expect(r.body).To(gomega.HavePrefix("request-1 5\n"))
	g.Expect(r.body).To(gomega.HaveLen(1024))
	for _, s := range servers {
		g.Expect(s.RequestStats()).To(gomega.HaveKey("request-1"))
	}
}

func TestConcurrentCallersReceiveTheirOwnResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	entry, _ := startChain(t)
	var wg sync.WaitGroup
	wrong := make(chan string, 400)
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 50 {
				id := fmt.Sprintf("r-%d-%d", c, i)
				r := entry.call("kigali/sheets/open", id, nil, nil)
				if r.status != 200 || !strings.HasPrefix(r.body, id+" 0\n") || len(r.body) != 1024 {
					wrong <- fmt.Sprintf("%s: %d %.60s %v", id, r.status, r.body, r.err)
				}
			}
		}()
	}
	wg.Wait()
	close(wrong)
	for w := range wrong {
		g.Expect(w).To(gomega.BeEmpty())
	}
}

// A response to HEAD has a Content-Length without a body.
func TestHeadIsForwarded(t *testing.T) {
	g := gomega.NewWithT(t)
	entry, _ := startChain(t)
	resp, err := http.Head("http://" + entry.opt.HTTP + "/call/kigali/sheets/open")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
}
