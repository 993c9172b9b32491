package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	// describedMax bounds the marks whose requests this node can name, and pathShown
	// the bytes of a path that are shown.
	// manyInWork requests that are alike, begun over longSpan, do not end a server.
	manyInWork = 3
	longSpan   = 250 * time.Millisecond
	// tellSpread is the time, for each member, over which those that could tell the
	// same are spread.
	tellSpread   = 2 * time.Millisecond
	describedMax = 256
	pathShown    = 128
	// namesSaid bounds the marks that one line names.
	namesSaid = 4
	// tidyEvery is the time between two looks for what is to be forgotten.
	tidyEvery = time.Minute
)

// inWork is a request that a backend server had in work.
type inWork struct {
	start  uint32
	marks  quarantine.Marks
	began  time.Time
	broke  time.Duration
	target string
	path   string
}

// quarantiner is the shell of package quarantine: it learns which requests were in
// work when backend servers ended, here and elsewhere, and refuses those that end them.
// The way of a request reads the view and the answers only.
type quarantiner struct {
	n       *Node
	view    atomic.Pointer[quarantine.View]
	answers quarantine.Answers

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
	// recent and answers are the last ends, and answers to suspected requests, in this
	// failure domain, told to the others.
	recent   [member.EndSlots]*member.RemoteEnd
	recentOK []member.Answer
	// lastEnds is when the last ends in this failure domain were heard of.
	lastEnds  []time.Duration
	described map[quarantine.Mark]string
	tidied    time.Duration
}

func newQuarantiner(n *Node) *quarantiner {
	q := &quarantiner{n: n, table: quarantine.New(newRand()), described: map[quarantine.Mark]string{}}
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
	c.marks.Content = quarantine.Mark(d.Sum64())
	if c.caller != "" {
		_, _ = d.WriteString(c.caller)
		c.marks.Caller = quarantine.Mark(d.Sum64())
	}
}

// refusal returns why a call is refused, nil if it is not.
func (q *quarantiner) refusal(c *call) *fault.Error {
	v := q.view.Load()
	if v.Empty() || !c.policy.Quarantine || c.policy.Mode != admission.ModeFull {
		return nil
	}
	left := v.Left(q.n.clock(), c.marks)
	if left == 0 {
		return nil
	}
	return fault.Newf(fault.Quarantined, "%d backend servers ended while they ran requests like this one", v.Ends(c.marks)).After(left)
}

// ends returns how many backend servers ended under requests like the call, 0 for fewer
// than two.
func (q *quarantiner) ends(c *call) int { return q.view.Load().Ends(c.marks) }

// answered takes in that a backend server answered the call to the end.
func (q *quarantiner) answered(c *call) {
	q.answers.Note(q.n.clock(), c.marks)
	if v := q.view.Load(); !v.Empty() && v.Knows(c.marks) {
		q.release(c.marks)
	}
}

func (q *quarantiner) release(m quarantine.Marks) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, mark := range []quarantine.Mark{m.Content, m.Caller} {
		if q.table.Ends(mark) > 0 {
			q.clear(mark)
			q.tellLater(mark)
		}
	}
	q.rebuild()
}

// clear ends the suspicion against a mark. The lock is held.
func (q *quarantiner) clear(m quarantine.Mark) {
	if q.table.Answered(m) {
		q.n.event("quarantine", "Requests like "+q.name(m)+" are served again: one was answered.")
	}
}

// tellLater tells others that a suspected request was answered, unless another node has
// told it by then: many nodes see answers to what many callers ask. The lock is held.
func (q *quarantiner) tellLater(m quarantine.Mark) {
	time.AfterFunc(q.share(tellSpread), func() {
		if !q.noteOK(member.Answer{Mark: uint64(m), AtMs: time.Now().UnixMilli()}) {
			return
		}
		q.n.publishMeta()
		q.n.gossip.nudgeLinks()
	})
}

// noteOK keeps an answer to tell others of; false if it was told lately.
func (q *quarantiner) noteOK(a member.Answer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.rememberOK(a) {
		return false
	}
	q.cleared = lastAnswers(append(q.cleared, a))
	return true
}

// rememberOK notes an answer to tell other failure domains of; false if one like it was
// told lately. The lock is held.
func (q *quarantiner) rememberOK(a member.Answer) bool {
	q.recentOK = lastAnswers(q.recentOK)
	if slices.ContainsFunc(q.recentOK, func(b member.Answer) bool { return a.Mark == b.Mark }) {
		return false
	}
	q.recentOK = lastAnswers(append(q.recentOK, a))
	return true
}

// lastAnswers returns the last ones that are not old.
func lastAnswers(as []member.Answer) []member.Answer {
	as = slices.DeleteFunc(as, func(a member.Answer) bool { return !lately(a.AtMs) })
	return as[max(0, len(as)-member.MaxAnswers):]
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

// broke remembers a request whose connection to a start of the backend server broke.
func (q *quarantiner) broke(start uint32, c *call) {
	w := inWorkOf(start, c)
	q.mu.Lock()
	defer q.mu.Unlock()
	w.broke = q.n.clock()
	if len(q.broken) < brokenKept {
		q.broken = append(q.broken, w)
		return
	}
	q.broken[q.next] = w
	q.next = (q.next + 1) % brokenKept
}

func inWorkOf(start uint32, c *call) inWork {
	return inWork{start: start, marks: c.marks, began: c.started, target: c.target, path: c.path}
}

// ended takes in that a start of the backend server beside this node has ended.
func (q *quarantiner) ended(be *local) {
	time.AfterFunc(endCollect+q.share(endSpread), func() { q.collect(be) })
}

// share draws a wait of up to so much for each member.
func (q *quarantiner) share(each time.Duration) time.Duration {
	members := len(q.n.view.Load().members) + 1
	return time.Duration(rand.Int64N(int64(members) * int64(each)))
}

// isMass tells whether many backend servers have ended just now. The lock is held.
func (q *quarantiner) isMass() bool {
	return len(q.lastEnds) == massEnds && q.n.clock()-q.lastEnds[0] < massSpan
}

// collect tells of an end, and of the requests that were in work.
func (q *quarantiner) collect(be *local) {
	q.mu.Lock()
	if be.start <= q.collected {
		q.mu.Unlock()
		return
	}
	q.collected = be.start
	requests := q.requestsOf(be.start)
	if len(requests) == 0 {
		q.mu.Unlock()
		return
	}
	var marks []uint64
	if !q.isMass() {
		marks = q.marksOf(requests)
	}
	q.lastEnd = &member.End{Start: be.start, Service: be.service, AtMs: time.Now().UnixMilli(), Marks: marks}
	end := q.lastEnd
	q.mu.Unlock()
	q.n.info("quarantine", "A backend server ended with requests in work.", "service", be.service, "in_work", len(requests), "marks", len(marks),
		"newest", requests[0].target+cut(requests[0].path, pathShown))
	q.n.publishMeta()
	q.heardEnd(q.n.id, end)
}

// own returns what this node tells of itself.
func (q *quarantiner) own() (*member.End, []member.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cleared = lastAnswers(q.cleared)
	if q.lastEnd != nil && !lately(q.lastEnd.AtMs) {
		q.lastEnd = nil
	}
	return q.lastEnd, slices.Clone(q.cleared)
}

// requestsOf returns what a start of the backend server had in work when it ended: first
// what others have ended under, then what it began last. The lock is held.
func (q *quarantiner) requestsOf(start uint32) []inWork {
	var out []inWork
	since := q.n.clock() - brokenFor
	for _, w := range q.broken {
		if w.start == start && w.broke >= since {
			out = append(out, w)
		}
	}
	q.n.works.Range(func(_, v any) bool {
		if w := v.(*work); w.start == start {
			out = append(out, inWorkOf(start, w.call))
		}
		return true
	})
	v := q.view.Load()
	slices.SortFunc(out, func(a, b inWork) int {
		return cmp.Or(cmp.Compare(v.Ends(b.marks), v.Ends(a.marks)), b.began.Compare(a.began))
	})
	return out
}

// marksOf returns the marks of the requests that are not known to be harmless.
func (q *quarantiner) marksOf(requests []inWork) []uint64 {
	now := q.n.clock()
	var out []uint64
	seen := longInWork(requests)
	seen[0] = true
	for _, w := range requests[:min(len(requests), endRequests)] {
		for _, m := range []quarantine.Mark{w.marks.Content, w.marks.Caller} {
			if seen[m] || q.answers.Lately(now, m) {
				continue
			}
			seen[m] = true
			out = append(out, uint64(m))
			q.describe(m, w)
		}
	}
	return out
}

// longInWork returns the marks that had been in work for long as others of them were
// taken in: what ends a server does so before.
func longInWork(requests []inWork) map[quarantine.Mark]bool {
	oldest, newest := map[quarantine.Mark]time.Time{}, map[quarantine.Mark]time.Time{}
	count := map[quarantine.Mark]int{}
	for _, w := range requests {
		for _, m := range []quarantine.Mark{w.marks.Content, w.marks.Caller} {
			if count[m] == 0 || w.began.Before(oldest[m]) {
				oldest[m] = w.began
			}
			if count[m] == 0 || w.began.After(newest[m]) {
				newest[m] = w.began
			}
			count[m]++
		}
	}
	long := map[quarantine.Mark]bool{}
	for m, n := range count {
		if n >= manyInWork && newest[m].Sub(oldest[m]) > longSpan {
			long[m] = true
		}
	}
	return long
}

func (q *quarantiner) describe(m quarantine.Mark, w inWork) {
	if len(q.described) >= describedMax {
		clear(q.described)
	}
	q.described[m] = w.target + cut(w.path, pathShown)
}

// name tells which requests a mark is of, as far as this node knows. The lock is held.
func (q *quarantiner) name(m quarantine.Mark) string {
	text := strconv.FormatUint(uint64(m), 16)
	if d := q.described[m]; d != "" {
		text += " (" + d + ")"
	}
	return text
}

func cut(s string, n int) string { return s[:min(len(s), n)] }

// heardMember takes in what a member of this failure domain tells.
func (q *quarantiner) heardMember(id string, m *member.Meta) {
	if m.Ended != nil {
		q.heardEnd(id, m.Ended)
	}
	for _, a := range m.Answered {
		if q.heardOK(a) {
			q.n.gossip.nudgeLinks()
		}
	}
}

// heardOK takes in that a suspected request was answered elsewhere; false if it is no
// news.
func (q *quarantiner) heardOK(a member.Answer) bool {
	if !lately(a.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.rememberOK(a) {
		return false
	}
	mark := quarantine.Mark(a.Mark)
	q.answers.Note(q.n.clock(), quarantine.Marks{Content: mark})
	q.clear(mark)
	q.rebuild()
	return true
}

// heardEnd takes in an end beside a member of this failure domain, this node too.
func (q *quarantiner) heardEnd(id string, e *member.End) {
	if !q.heard(id, e) {
		return
	}
	q.mu.Lock()
	q.recent[member.EndSlot(id, e.Start)] = &member.RemoteEnd{ID: id, End: *e}
	q.lastEnds = append(q.lastEnds, q.n.clock())
	q.lastEnds = q.lastEnds[max(0, len(q.lastEnds)-massEnds):]
	q.mu.Unlock()
	q.n.gossip.nudgeLinks()
}

// heardRemote takes in what another failure domain tells.
func (q *quarantiner) heardRemote(s *member.Summary) {
	if s.End != nil {
		q.heard(s.End.ID, &s.End.End)
	}
	for _, a := range s.Answered {
		q.heardOK(a)
	}
}

// heard counts an end; false if it is no news.
func (q *quarantiner) heard(id string, e *member.End) bool {
	if !lately(e.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.n.clock()
	end := quarantine.End{Start: id + "/" + strconv.FormatUint(uint64(e.Start), 10), Service: e.Service}
	for _, m := range e.Marks {
		end.Marks = append(end.Marks, quarantine.Mark(m))
	}
	held, news := q.table.Ended(now, end)
	if !news {
		return false
	}
	for _, m := range end.Marks {
		if q.table.Ends(m) > 0 && q.answers.Lately(now, m) {
			q.clear(m)
			q.tellLater(m)
		}
	}
	q.sayHeld(held)
	q.rebuild()
	return true
}

// sayHeld tells which requests are refused from now on. The lock is held.
func (q *quarantiner) sayHeld(held []quarantine.Held) {
	held = slices.DeleteFunc(held, func(h quarantine.Held) bool { return q.table.Ends(h.Mark) == 0 })
	if len(held) == 0 {
		return
	}
	names := make([]string, 0, namesSaid)
	for _, h := range held[:min(len(held), namesSaid)] {
		names = append(names, q.name(h.Mark))
	}
	q.n.event("quarantine", "Requests like "+strings.Join(names, ", ")+" are refused for "+held[0].Left.Round(time.Second).String()+": "+
		strconv.Itoa(held[0].Ends)+" backend servers ended while they ran one. Marks: "+strconv.Itoa(len(held))+".")
}

// lately tells whether a time of the Unix clock, in milliseconds, is recent. The clocks
// of two nodes may differ.
func lately(ms int64) bool { return time.Since(time.UnixMilli(ms)).Abs() < endHeard }

// summaries returns what this failure domain tells the others.
func (q *quarantiner) summaries() []member.Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recentOK = lastAnswers(q.recentOK)
	var out []member.Summary
	for slot, e := range q.recent {
		s := member.Summary{Domain: q.n.opt.Domain, Service: member.EndedService(slot)}
		if e != nil && lately(e.AtMs) {
			s.End = e
		}
		if slot == 0 {
			s.Answered = slices.Clone(q.recentOK)
		}
		if !s.Blank() {
			out = append(out, s)
		}
	}
	return out
}

// heldNow returns what this node refuses.
func (q *quarantiner) heldNow() []quarantine.Held {
	if q.view.Load().Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Held(q.n.clock())
}

// adopt takes over what another node refuses.
func (q *quarantiner) adopt(held []quarantine.Held) {
	if len(held) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Adopt(q.n.clock(), held)
	q.rebuild()
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
