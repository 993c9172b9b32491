package node

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/quarantine"
)

const (
	// terminationReportDelay is the time for the requests of a terminated backend server to
	// notice their broken connections. terminationReportSpreadPerMember, times the number of
	// members, is the span over which simultaneous reports are spread.
	terminationReportDelay           = 20 * time.Millisecond
	terminationReportSpreadPerMember = 200 * time.Microsecond
	// massTerminationCount terminations in a failure domain within massTerminationWindow have
	// a cause other than a request. Later ones are reported without fingerprints, since long
	// reports would slow down gossip.
	massTerminationCount  = 32
	massTerminationWindow = 5 * time.Second
	// brokenConnectionWindow is how long before a termination a connection may have broken to
	// be attributed to it: an unresponsive server is detected within a second.
	brokenConnectionWindow = 1500 * time.Millisecond
	// maxPendingReports is how many incarnations may end before the first of them is
	// reported, whose report may be delayed most.
	maxPendingReports = 16
	maxBrokenRequests = 512
	// maxTerminationRequests is the number of requests that a termination report covers.
	maxTerminationRequests = member.MaxFingerprints / 2
	// maxTerminationAge is the age up to which reports of terminations and clearances are
	// accepted. A node that joins receives the active quarantines, not the terminations that
	// caused them.
	maxTerminationAge = 30 * time.Second
	// harmlessRequestCount similar requests, started over more than harmlessRequestSpan and
	// all still running, are not suspected.
	harmlessRequestCount = 3
	harmlessRequestSpan  = 250 * time.Millisecond
	// clearanceSpreadPerMember, times the number of members, is the span over which reports of
	// the same clearance are spread.
	clearanceSpreadPerMember = 2 * time.Millisecond
	// minClearanceInterval is the minimum time between reports of the clearance of a
	// fingerprint.
	minClearanceInterval = 2 * time.Second
	// maxDescribedFingerprints bounds the fingerprints for which this node keeps a request's
	// description, and maxShownPath the bytes of a path that are shown.
	maxDescribedFingerprints = 256
	maxShownPath             = 128
	// maxNamedFingerprints bounds the fingerprints named in one event.
	maxNamedFingerprints = 4
	// viewRebuildInterval is the interval at which expired entries are removed from the view.
	viewRebuildInterval = time.Minute
)

// quarantineManager connects package quarantine to the node: it collects which requests were
// executing when backend servers terminated, here and on other nodes, and refuses requests
// that terminate them. It is safe for concurrent use. Requests normally use only view and
// responses, without taking the lock.
type quarantineManager struct {
	n         *Node
	view      atomic.Pointer[quarantine.View]
	responses quarantine.RecentAnswers

	mu    sync.Mutex
	table *quarantine.Table
	// ownTermination and ownClearances are what this node gossips: the last termination of its
	// backend server, and the clearances of fingerprints for which it saw a response.
	ownTermination *member.Termination
	ownClearances  []member.AnsweredRequest
	// brokenRequests are the last requests whose connections broke, a ring buffer with its
	// next position in nextBroken.
	brokenRequests []inFlightRequest
	nextBroken     int
	// reportedIncarnations are the last incarnations whose termination was handled, a ring
	// buffer with its next position in nextReported.
	reportedIncarnations [maxPendingReports]uint32
	nextReported         int
	// domainTerminations and domainClearances are the last terminations and clearances in this
	// failure domain, reported to the other failure domains.
	domainTerminations [member.TerminationSlots]*member.RemoteTermination
	domainClearances   []member.AnsweredRequest
	// domainTerminationTimes holds the times, on the node's clock, at which the last
	// terminations in this failure domain were reported.
	domainTerminationTimes []time.Duration
	// fingerprintDescriptions describes a request for each fingerprint that this node
	// reported.
	fingerprintDescriptions map[quarantine.Fingerprint]string
	// viewBuiltAt is when the view was last built.
	viewBuiltAt time.Duration
}

// newQuarantineManager returns a quarantineManager without suspected requests.
func newQuarantineManager(n *Node) *quarantineManager {
	q := &quarantineManager{n: n, table: quarantine.New(newRand()), fingerprintDescriptions: map[quarantine.Fingerprint]string{}}
	q.view.Store(q.table.View(0))
	return q
}

// computeFingerprints sets the fingerprints by which similar requests are identified: Content
// hashes the address, method, path and body, and Caller adds the caller's identity if it is
// known.
func (c *call) computeFingerprints() {
	var d xxhash.Digest
	d.Reset()
	address := headerValue(c.header, originalHostField)
	if address == "" {
		address = c.target
	}
	for _, s := range []string{address, c.method, c.path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.bodyPrefix)
	_, _ = d.Write(c.body)
	_, _ = d.WriteString(strconv.FormatInt(c.bodyLen, 10))
	c.fingerprints.Content = quarantine.Fingerprint(d.Sum64())
	if c.caller != "" {
		_, _ = d.WriteString(c.caller)
		c.fingerprints.Caller = quarantine.Fingerprint(d.Sum64())
	}
}

// refusal returns the error for a call whose fingerprints are quarantined, else nil.
func (q *quarantineManager) refusal(c *call) *fault.Error {
	v := q.view.Load()
	if v.Empty() || !c.policy.Quarantine || c.policy.Mode != admission.ModeFull {
		return nil
	}
	remaining := v.Remaining(q.n.clock(), c.fingerprints)
	if remaining == 0 {
		return nil
	}
	return fault.Newf(fault.Quarantined, "%d backend servers terminated while executing similar requests", v.Terminations(c.fingerprints)).WithRetryAfter(remaining)
}

// terminationCount returns how many backend servers terminated while executing similar
// requests, 0 for fewer than two.
func (q *quarantineManager) terminationCount(c *call) int {
	return q.view.Load().Terminations(c.fingerprints)
}

// recordResponse records that a backend server responded to the call completely, which clears
// its fingerprints.
func (q *quarantineManager) recordResponse(c *call) {
	q.responses.Record(q.n.clock(), c.fingerprints)
	if v := q.view.Load(); !v.Empty() && v.IsSuspect(c.fingerprints) {
		q.clearFingerprints(c.fingerprints)
	}
}

// clearFingerprints clears the suspected ones of the fingerprints and schedules their reports
// to other nodes.
func (q *quarantineManager) clearFingerprints(fingerprints quarantine.Fingerprints) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range []quarantine.Fingerprint{fingerprints.Content, fingerprints.Caller} {
		if q.table.Terminations(fingerprint) > 0 {
			q.clearFingerprint(fingerprint)
			q.scheduleClearance(fingerprint)
		}
	}
	q.rebuildView()
}

// clearFingerprint ends the suspicion of a fingerprint, and logs it if the fingerprint was
// quarantined. The lock is held.
func (q *quarantineManager) clearFingerprint(fingerprint quarantine.Fingerprint) {
	if q.table.RecordAnswer(fingerprint) {
		q.n.logEvent("quarantine", "Requests like "+q.fingerprintLabel(fingerprint)+" are no longer quarantined: one was answered.")
	}
}

// rebuildView builds the view from the table and replaces the old one. The lock is held.
func (q *quarantineManager) rebuildView() {
	now := q.n.clock()
	q.viewBuiltAt = now
	q.view.Store(q.table.View(now))
}

// rebuildStaleView rebuilds a view older than viewRebuildInterval, without expired entries.
func (q *quarantineManager) rebuildStaleView() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.n.clock(); now-q.viewBuiltAt >= viewRebuildInterval {
		q.rebuildView()
	}
}

// QuarantineStatus describes a fingerprint that is quarantined at a node.
type QuarantineStatus struct {
	// Fingerprint is the fingerprint in hexadecimal, and Request describes one of its requests
	// if this node knows any.
	Fingerprint string `json:"mark"`
	Request     string `json:"request,omitempty"`
	// Terminations is the number of backend servers that terminated, Round the number of
	// quarantines so far, and LeftMs the time until the next trial, in milliseconds.
	Terminations int   `json:"ends"`
	Round        int   `json:"round"`
	LeftMs       int64 `json:"left_ms"`
}

// status returns the active quarantines ordered by fingerprint.
func (q *quarantineManager) status() []QuarantineStatus {
	active := q.activeQuarantines()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]QuarantineStatus, 0, len(active))
	for _, h := range active {
		out = append(out, QuarantineStatus{
			Fingerprint: strconv.FormatUint(uint64(h.Mark), 16), Request: q.fingerprintDescriptions[h.Mark],
			Terminations: h.Ends, Round: h.Round, LeftMs: h.Left.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b QuarantineStatus) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}
