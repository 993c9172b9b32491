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
	endCollect = 20 * time.Millisecond
	endSpread  = 200 * time.Microsecond
	// massEnds ends in a failure domain within massSpan have another cause than a
	// request: those that follow are told without what was in work, as long marks would
	// hold up what the members tell each other.
	massEnds = 32
	massSpan = 5 * time.Second
	// brokenFor is how long before an end a connection may have broken to count as
	// broken by it: a server that falls silent is found out within a second.
	brokenFor  = 1500 * time.Millisecond
	brokenKept = 512
	// endRequests is how many requests an end names.
	endRequests = member.MaxEndMarks / 2
	// endHeard is how old an end may be to be counted by a node that hears of it. A
	// node that joins is told of the quarantines, not of what led to them.
	endHeard = 30 * time.Second
	// manyInWork requests that are alike, begun over longSpan, do not end a server.
	manyInWork = 3
	longSpan   = 250 * time.Millisecond
	// tellSpread is the time, for each member, over which those that could tell the
	// same are spread.
	tellSpread = 2 * time.Millisecond
	// answerAgain is the least time between two answers that are told of the same mark.
	answerAgain = 2 * time.Second
	// describedMax bounds the marks whose requests this node can name, and pathShown
	// the bytes of a path that are shown.
	describedMax = 256
	pathShown    = 128
	// namesSaid bounds the marks that one line names.
	namesSaid = 4
	// tidyEvery is the time between two looks for what is to be forgotten.
	tidyEvery = time.Minute
)

// quarantiner is the shell of package quarantine: it learns which requests were in
// work when backend servers ended, here and elsewhere, and refuses those that end them.
// The way of a request reads the view and the answers only.
type quarantiner struct {
	n       *Node
	view    atomic.Pointer[quarantine.View]
	answers quarantine.RecentAnswers

	mu    sync.Mutex
	table *quarantine.Table
	// lastEnd and cleared are what this node tells others: the last end of the backend
	// server beside it, and the suspected marks of which it saw an answer.
	lastEnd *member.End
	cleared []member.Answer
	// broken are the requests whose connections broke last.
	broken []inWork
	next   int
	// collected is the last start whose end was taken in.
	collected uint32
	// recent and recentAnswers are the last ends, and answers to suspected requests, in this
	// failure domain, told to the others.
	recent        [member.EndSlots]*member.RemoteEnd
	recentAnswers []member.Answer
	// lastEnds is when the last ends in this failure domain were heard of.
	lastEnds []time.Duration
	// described names a request for the marks of which this node has seen one.
	described map[quarantine.Fingerprint]string
	// tidied is when the view was built last.
	tidied time.Duration
}

func newQuarantiner(n *Node) *quarantiner {
	q := &quarantiner{n: n, table: quarantine.New(newRand()), described: map[quarantine.Fingerprint]string{}}
	q.view.Store(q.table.View(0))
	return q
}

// mark works out by what the call is recognised.
func (c *call) mark() {
	var d xxhash.Digest
	d.Reset()
	address := fieldValue(c.header, hostField)
	if address == "" {
		address = c.target
	}
	for _, s := range []string{address, c.method, c.path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.bodyStart)
	_, _ = d.Write(c.body)
	_, _ = d.WriteString(strconv.FormatInt(c.bodyLen, 10))
	c.marks.Content = quarantine.Fingerprint(d.Sum64())
	if c.caller != "" {
		_, _ = d.WriteString(c.caller)
		c.marks.Caller = quarantine.Fingerprint(d.Sum64())
	}
}

// refusal returns why a call is refused, nil if it is not.
func (q *quarantiner) refusal(c *call) *fault.Error {
	v := q.view.Load()
	if v.Empty() || !c.policy.Quarantine || c.policy.Mode != admission.ModeFull {
		return nil
	}
	left := v.Remaining(q.n.clock(), c.marks)
	if left == 0 {
		return nil
	}
	return fault.Newf(fault.Quarantined, "%d backend servers ended while they ran requests like this one", v.Terminations(c.marks)).WithRetryAfter(left)
}

// ends returns how many backend servers ended under requests like the call, 0 for fewer
// than two.
func (q *quarantiner) ends(c *call) int { return q.view.Load().Terminations(c.marks) }

// answered takes in that a backend server answered the call to the end.
func (q *quarantiner) answered(c *call) {
	q.answers.Note(q.n.clock(), c.marks)
	if v := q.view.Load(); !v.Empty() && v.IsSuspect(c.marks) {
		q.release(c.marks)
	}
}

func (q *quarantiner) release(m quarantine.Fingerprints) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, mark := range []quarantine.Fingerprint{m.Content, m.Caller} {
		if q.table.Terminations(mark) > 0 {
			q.clear(mark)
			q.tellLater(mark)
		}
	}
	q.rebuild()
}

// clear ends the suspicion against a mark. The lock is held.
func (q *quarantiner) clear(m quarantine.Fingerprint) {
	if q.table.RecordAnswer(m) {
		q.n.event("quarantine", "Requests like "+q.name(m)+" are served again: one was answered.")
	}
}

// rebuild swaps the view in. The lock is held.
func (q *quarantiner) rebuild() {
	now := q.n.clock()
	q.tidied = now
	q.view.Store(q.table.View(now))
}

// tidy forgets what is long past.
func (q *quarantiner) tidy() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.n.clock(); now-q.tidied >= tidyEvery {
		q.rebuild()
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
	held := q.heldNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]QuarantineStatus, 0, len(held))
	for _, h := range held {
		out = append(out, QuarantineStatus{
			Mark: strconv.FormatUint(uint64(h.Mark), 16), Request: q.described[h.Mark],
			Ends: h.Ends, Round: h.Round, LeftMs: h.Left.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b QuarantineStatus) int { return cmp.Compare(a.Mark, b.Mark) })
	return out
}
