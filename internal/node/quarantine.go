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
	// endCollect is how long the requests of a backend server that ended have to
	// find out that their connections are broken, and endSpread the time, for each
	// member, over which many that end at once are told.
	terminationReportDelay           = 20 * time.Millisecond
	terminationReportSpreadPerMember = 200 * time.Microsecond
	// massEnds ends in a failure domain within massSpan have another cause than a
	// request: those that follow are told without what was in work, as long marks would
	// hold up what the members tell each other.
	massTerminationCount  = 32
	massTerminationWindow = 5 * time.Second
	// brokenFor is how long before an end a connection may have broken to count as
	// broken by it: a server that falls silent is found out within a second.
	brokenConnectionWindow = 1500 * time.Millisecond
	maxBrokenRequests      = 512
	// endRequests is how many requests an end names.
	maxTerminationRequests = member.MaxEndMarks / 2
	// endHeard is how old an end may be to be counted by a node that hears of it. A
	// node that joins is told of the quarantines, not of what led to them.
	maxTerminationAge = 30 * time.Second
	// manyInWork requests that are alike, begun over longSpan, do not end a server.
	harmlessRequestCount = 3
	harmlessRequestSpan  = 250 * time.Millisecond
	// tellSpread is the time, for each member, over which those that could tell the
	// same are spread.
	clearanceSpreadPerMember = 2 * time.Millisecond
	// answerAgain is the least time between two answers that are told of the same mark.
	minClearanceInterval = 2 * time.Second
	// describedMax bounds the marks whose requests this node can name, and pathShown
	// the bytes of a path that are shown.
	maxDescribedFingerprints = 256
	maxShownPath             = 128
	// namesSaid bounds the marks that one line names.
	maxNamedFingerprints = 4
	// tidyEvery is the time between two looks for what is to be forgotten.
	viewRebuildInterval = time.Minute
)

// quarantiner is the shell of package quarantine: it learns which requests were in
// work when backend servers ended, here and elsewhere, and refuses those that end them.
// The way of a request reads the view and the answers only.
type quarantiner struct {
	n         *Node
	view      atomic.Pointer[quarantine.View]
	responses quarantine.Answers

	mu    sync.Mutex
	table *quarantine.Table
	// lastEnd and cleared are what this node tells others: the last end of the backend
	// server beside it, and the suspected marks of which it saw an answer.
	ownTermination *member.End
	ownClearances  []member.Answer
	// broken are the requests whose connections broke last.
	brokenRequests []runningRequest
	nextBroken     int
	// collected is the last start whose end was taken in.
	lastReportedIncarnation uint32
	// recent and recentAnswers are the last ends, and answers to suspected requests, in this
	// failure domain, told to the others.
	domainTerminations [member.EndSlots]*member.RemoteEnd
	domainClearances   []member.Answer
	// lastEnds is when the last ends in this failure domain were heard of.
	domainTerminationTimes []time.Duration
	// described names a request for the marks of which this node has seen one.
	fingerprintDescriptions map[quarantine.Mark]string
	// tidied is when the view was built last.
	viewBuiltAt time.Duration
}

func newQuarantiner(n *Node) *quarantiner {
	q := &quarantiner{n: n, table: quarantine.New(newRand()), fingerprintDescriptions: map[quarantine.Mark]string{}}
	q.view.Store(q.table.View(0))
	return q
}

// mark works out by what the call is recognised.
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
	c.fingerprints.Content = quarantine.Mark(d.Sum64())
	if c.caller != "" {
		_, _ = d.WriteString(c.caller)
		c.fingerprints.Caller = quarantine.Mark(d.Sum64())
	}
}

// refusal returns why a call is refused, nil if it is not.
func (q *quarantiner) refusal(c *call) *fault.Error {
	v := q.view.Load()
	if v.Empty() || !c.policy.Quarantine || c.policy.Mode != admission.ModeFull {
		return nil
	}
	left := v.Left(q.n.clock(), c.fingerprints)
	if left == 0 {
		return nil
	}
	return fault.Newf(fault.Quarantined, "%d backend servers ended while they ran requests like this one", v.Ends(c.fingerprints)).After(left)
}

// ends returns how many backend servers ended under requests like the call, 0 for fewer
// than two.
func (q *quarantiner) terminationCount(c *call) int { return q.view.Load().Ends(c.fingerprints) }

// answered takes in that a backend server answered the call to the end.
func (q *quarantiner) recordResponse(c *call) {
	q.responses.Note(q.n.clock(), c.fingerprints)
	if v := q.view.Load(); !v.Empty() && v.Knows(c.fingerprints) {
		q.clearFingerprints(c.fingerprints)
	}
}

func (q *quarantiner) clearFingerprints(m quarantine.Marks) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, mark := range []quarantine.Mark{m.Content, m.Caller} {
		if q.table.Ends(mark) > 0 {
			q.clearFingerprint(mark)
			q.scheduleClearance(mark)
		}
	}
	q.rebuildView()
}

// clear ends the suspicion against a mark. The lock is held.
func (q *quarantiner) clearFingerprint(m quarantine.Mark) {
	if q.table.Answered(m) {
		q.n.event("quarantine", "Requests like "+q.fingerprintLabel(m)+" are served again: one was answered.")
	}
}

// rebuild swaps the view in. The lock is held.
func (q *quarantiner) rebuildView() {
	now := q.n.clock()
	q.viewBuiltAt = now
	q.view.Store(q.table.View(now))
}

// tidy forgets what is long past.
func (q *quarantiner) rebuildStaleView() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.n.clock(); now-q.viewBuiltAt >= viewRebuildInterval {
		q.rebuildView()
	}
}

// QuarantineStatus is a kind of request that a node refuses as it ends backend servers.
type QuarantineStatus struct {
	// Mark recognises the requests, and Request names one where this node knows it.
	Mark    string `json:"mark"`
	Request string `json:"request,omitempty"`
	// Ends is how many backend servers ended, Round counts the quarantines, and
	// LeftMs is the time until the next try, in milliseconds.
	Ends   int   `json:"ends"`
	Round  int   `json:"round"`
	LeftMs int64 `json:"left_ms"`
}

func (q *quarantiner) status() []QuarantineStatus {
	held := q.activeQuarantines()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]QuarantineStatus, 0, len(held))
	for _, h := range held {
		out = append(out, QuarantineStatus{
			Mark: strconv.FormatUint(uint64(h.Mark), 16), Request: q.fingerprintDescriptions[h.Mark],
			Ends: h.Ends, Round: h.Round, LeftMs: h.Left.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b QuarantineStatus) int { return cmp.Compare(a.Mark, b.Mark) })
	return out
}
