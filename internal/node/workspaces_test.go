package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/workspace"
)

const (
	crewKey  = "crew-key-7u27gxprymh2rrytapjs"
	scoutKey = "scout-key-ujqurtyiikdrbn4ryrbb"
)

// workspaceSettings has a workspace without a limit and one with a rate of 5 and a burst.
func workspaceSettings(burst int) string {
	digests := func(key string) string { return workspace.FormatDigests([]workspace.Digest{workspace.DigestOf(key)}) }
	return chainSettings + fmt.Sprintf(`
[fleet.kigali]
workspace_required = true
[fleet.kigali.service.sheets.kind.public]
workspace_required = false
idempotent = true
[workspace.crew]
keys = %q
[workspace.scouts]
keys = %q
rate = 5
burst = %d
`, digests(crewKey), digests(scoutKey), burst)
}

// workspaceFleet is a chain of three services in as many failure domains, and an entry in a
// fourth one, whose settings require keys.
type workspaceFleet struct {
	entry *testNode
	nodes []*testNode
	// output has what the nodes have logged.
	output syncBuffer
	mu     sync.Mutex
	// headers are those of all requests at backend servers, by request id.
	headers map[string][]http.Header
}

func startWorkspaceFleet(t *testing.T) *workspaceFleet {
	t.Helper()
	f := &workspaceFleet{headers: map[string][]http.Header{}}
	for i, domain := range []string{"nyarugenge", "kicukiro", "gasabo", "remera"} {
		var bootstrap []string
		if i > 0 {
			bootstrap = []string{f.nodes[0].opt.Control}
		}
		n := startNode(t, domain, bootstrap, func(o *Options) { o.FailureDomains = 4 })
		n.log = log.NewLogfmtLogger(&f.output)
		f.nodes = append(f.nodes, n)
	}
	useSettings(t, workspaceSettings(5), f.nodes...)
	f.entry = f.nodes[3]
	next := map[string][]string{"kigali/sheets": {"kigali/locations/find"}, "kigali/locations": {"kigali/rosters/day"}}
	kinds := []string{"open", "find", "day"}
	for i, service := range []string{"kigali/sheets", "kigali/locations", "kigali/rosters"} {
		s, err := standin.Start(standin.Options{
			Service: service, ListenAddr: "127.0.0.1:0", NodeAddr: f.nodes[i].opt.HTTP, Slots: 16, Connections: 64, AnnounceInterval: 200 * time.Millisecond,
			Kinds: map[string]standin.KindBehavior{kinds[i]: {MeanServiceTime: time.Millisecond, Calls: next[service]}}, OnHeader: f.recordHeader,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
	}
	f.entry.awaitInstances("kigali/sheets", 1)
	f.nodes[0].awaitInstances("kigali/locations", 1)
	f.nodes[1].awaitInstances("kigali/rosters", 1)
	return f
}

func (f *workspaceFleet) recordHeader(h http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := h.Get(HeaderRequestID)
	f.headers[id] = append(f.headers[id], h.Clone())
}

// executed returns the headers of the requests at backend servers with an id.
func (f *workspaceFleet) executed(id string) []http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headers[id]
}

// executions returns the number of requests that reached any backend server.
func (f *workspaceFleet) executions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.headers)
}

// syncBuffer is a buffer for several writers.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func withKey(key string) map[string]string { return map[string]string{HeaderWorkspaceKey: key} }

func TestRequestNeedsTheKeyOfAWorkspace(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startWorkspaceFleet(t)
	for _, header := range []map[string]string{nil, withKey(""), withKey("other"), withKey(crewKey + "x"), withKey(strings.Repeat("k", 16<<10))} {
		r := f.entry.call("kigali/sheets/open", "", nil, header)
		g.Expect(r.status).To(gomega.Equal(http.StatusUnauthorized), r.body)
		g.Expect(r.problem().Execution).To(gomega.Equal("no"))
	}
	g.Expect(f.executions()).To(gomega.Equal(0))

	forged := withKey(crewKey)
	forged[HeaderWorkspace] = "scouts"
	r := f.entry.call("kigali/sheets/open", "with-key", nil, forged)
	g.Expect(r.status).To(gomega.Equal(200), r.body)
	// Nested calls carry no key and belong to the workspace of their request.
	g.Expect(f.executed("with-key")).To(gomega.HaveLen(3))
	for _, h := range f.executed("with-key") {
		g.Expect(h[HeaderWorkspace]).To(gomega.Equal([]string{"crew"}))
		g.Expect(fmt.Sprint(h)).NotTo(gomega.ContainSubstring("crew-key"))
	}
	g.Expect(f.output.String()).To(gomega.ContainSubstring("Refused a request without a known key."))
	g.Expect(f.output.String()).NotTo(gomega.ContainSubstring("crew-key"))
}

func TestKeyTakenAwayIsRefusedOnOpenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startWorkspaceFleet(t)
	g.Expect(f.entry.call("kigali/sheets/open", "", nil, withKey(crewKey)).status).To(gomega.Equal(200))
	useSettings(t, strings.ReplaceAll(workspaceSettings(5), workspace.DigestOf(crewKey).String(), ""), f.nodes...)
	paused := func() bool { return f.entry.settingsDoubt(f.entry.conf.Load()).cause == recentlyPaused }
	refusal := func() int {
		before := paused()
		r := f.entry.call("kigali/sheets/open", "", nil, withKey(crewKey))
		if r.status != http.StatusServiceUnavailable {
			g.Expect(r.status).To(gomega.Equal(http.StatusUnauthorized), r.body)
			return r.status
		}
		// A node that was paused, as it may be on a busy machine, does not judge keys for a while.
		g.Expect(r.problem().Reason).To(gomega.Equal(fault.Starting.String()))
		g.Expect(before || paused()).To(gomega.BeTrue())
		return r.status
	}
	g.Eventually(refusal, "5s", "20ms").Should(gomega.Equal(http.StatusUnauthorized))
}

func TestNodeThatMayLackSettingsDoesNotJudgeKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startWorkspaceFleet(t)
	g.Eventually(func() int { return f.entry.call("kigali/sheets/open", "", nil, withKey("unknown")).status }, "5s").Should(gomega.Equal(http.StatusUnauthorized))
	f.entry.gossip.raiseHighestVersion(f.entry.conf.Load().version + 1)
	r := f.entry.call("kigali/sheets/open", "", nil, withKey("unknown"))
	g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(f.entry.call("kigali/sheets/open", "", nil, withKey(crewKey)).status).To(gomega.Equal(200))
}

func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startWorkspaceFleet(t)
	began := time.Now()
	served := 0
	for time.Since(began) < 6*time.Second {
		r := f.entry.call("kigali/sheets/open", "", nil, withKey(scoutKey))
		if r.status == 200 {
			served++
			continue
		}
		g.Expect(r.status).To(gomega.Equal(http.StatusTooManyRequests), r.body)
		g.Expect(r.problem().Reason).To(gomega.Equal(fault.QuotaExceeded.String()))
		wait, err := strconv.Atoi(r.header.Get("Retry-After"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wait).To(gomega.BeNumerically(">=", 1))
		time.Sleep(10 * time.Millisecond)
	}
	allowed := 5*time.Since(began).Seconds() + 5
	g.Expect(served).To(gomega.And(gomega.BeNumerically("<=", allowed), gomega.BeNumerically(">=", allowed/2)))
	g.Expect(f.entry.call("kigali/sheets/open", "", nil, withKey(crewKey)).status).To(gomega.Equal(200), "others are not affected")
	g.Expect(f.output.String()).To(gomega.And(gomega.ContainSubstring("Beyond the limit of the workspace."), gomega.ContainSubstring("workspace=scouts"), gomega.ContainSubstring("share_rate=")))
	g.Expect(f.output.String()).NotTo(gomega.ContainSubstring("scout-key"))
	shown, err := json.Marshal(f.entry.WorkspaceStatuses())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(shown)).To(gomega.And(gomega.ContainSubstring(`"scouts"`), gomega.Not(gomega.ContainSubstring("scout-key"))))
}

func TestRefusedRequestIsReturnedToItsQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "nyarugenge", nil, nil)
	useSettings(t, workspaceSettings(5), n)
	// No backend server runs: every admitted request is refused as not executed.
	g.Eventually(func() int {
		return n.call("kigali/sheets/open", "", nil, withKey(scoutKey)).status
	}, "5s", "50ms").Should(gomega.Equal(http.StatusServiceUnavailable))
	for range 100 {
		g.Expect(n.call("kigali/sheets/open", "", nil, withKey(scoutKey)).status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
}

// Guards against keys that stay valid for ever at a node that is cut off from the replicas.
func TestKeysExpireWithoutConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "nyarugenge", nil, func(o *Options) { o.KeyTrust = Duration{400 * time.Millisecond} })
	useSettings(t, workspaceSettings(5), n)
	call := func() int { return n.call("kigali/sheets/open", "", nil, withKey("unknown")).status }
	g.Expect(call()).To(gomega.Equal(http.StatusServiceUnavailable), "no replica has confirmed the settings")
	n.quotas.recordConfirmation(n.clock(), 1)
	g.Expect(call()).To(gomega.Equal(http.StatusUnauthorized))
	n.quotas.recordConfirmation(time.Second, 1)
	g.Eventually(call, "2s", "20ms").Should(gomega.Equal(http.StatusServiceUnavailable))
}

func TestSettingsAreConfirmedForTheDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	strict := func(o *Options) {
		o.KeyTrust = Duration{2 * time.Second}
		o.Replicas, o.Shards = 1, 0
	}
	first := startNode(t, "nyarugenge", nil, func(o *Options) {
		strict(o)
		o.DataFolder = t.TempDir()
	})
	g.Expect(first.replicas.formGroups()).To(gomega.Succeed())
	second := startNode(t, "nyarugenge", []string{first.opt.Control}, strict)
	for _, n := range []*testNode{first, second} {
		g.Eventually(func() bool { return n.quotas.confirmedAt.Load() > 0 && n.quotas.keysTrusted(n.clock()) }, "10s", "20ms").Should(gomega.BeTrue())
	}
}

func TestReportsStretchWithTheWorkspacesInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(reportInterval(0)).To(gomega.Equal(quotaInterval))
	g.Expect(reportInterval(10)).To(gomega.Equal(quotaInterval))
	g.Expect(reportInterval(40)).To(gomega.Equal(800 * time.Millisecond))
	g.Expect(reportInterval(5000)).To(gomega.Equal(maxQuotaInterval))
	g.Expect(4*maxQuotaInterval).To(gomega.BeNumerically("<=", quota.ShareLifetime), "a share outlives three lost reports")
}

func TestLedgersAreSilentWithoutLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "nyarugenge", nil, nil)
	g.Expect(n.quotas.inUse()).To(gomega.BeFalse())
	useSettings(t, chainSettings+"[workspace.crew]\n", n)
	g.Expect(n.quotas.inUse()).To(gomega.BeFalse())
	useSettings(t, workspaceSettings(5), n)
	g.Expect(n.quotas.inUse()).To(gomega.BeTrue())
}

func TestPauseIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	var p pauseDetector
	wall := time.Unix(1000, 0)
	g.Expect(p.recent(0)).To(gomega.BeFalse())
	for now := maintenanceInterval; now < 10*time.Second; now += maintenanceInterval {
		wall = wall.Add(maintenanceInterval)
		p.tick(now, wall)
		g.Expect(p.recent(now)).To(gomega.BeFalse())
	}
	g.Expect(p.recent(10*time.Second+2*pauseThreshold)).To(gomega.BeTrue(), "before the first tick after a pause")
	p.tick(12*time.Second, wall.Add(2*time.Second))
	g.Expect(p.recent(13 * time.Second)).To(gomega.BeTrue())
	// A machine was suspended: only the wall clock has moved.
	var q pauseDetector
	q.tick(time.Second, wall)
	q.tick(time.Second+maintenanceInterval, wall.Add(5*time.Second))
	g.Expect(q.recent(time.Second + 2*maintenanceInterval)).To(gomega.BeTrue())
	g.Expect(q.recent(time.Second+2*doubtPeriod)).To(gomega.BeTrue(), "no tick since")
}
