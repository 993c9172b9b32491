package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/quarantine"
)

// inWork is a request that a backend server had in work.
type inWork struct {
	start  uint32
	marks  quarantine.Fingerprints
	began  time.Time
	broke  time.Duration
	target string
	path   string
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
		return cmp.Or(cmp.Compare(v.Terminations(b.marks), v.Terminations(a.marks)), b.began.Compare(a.began))
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
		for _, m := range []quarantine.Fingerprint{w.marks.Content, w.marks.Caller} {
			if seen[m] || q.answers.AnsweredRecently(now, m) {
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
func longInWork(requests []inWork) map[quarantine.Fingerprint]bool {
	oldest, newest := map[quarantine.Fingerprint]time.Time{}, map[quarantine.Fingerprint]time.Time{}
	count := map[quarantine.Fingerprint]int{}
	for _, w := range requests {
		for _, m := range []quarantine.Fingerprint{w.marks.Content, w.marks.Caller} {
			if count[m] == 0 || w.began.Before(oldest[m]) {
				oldest[m] = w.began
			}
			if count[m] == 0 || w.began.After(newest[m]) {
				newest[m] = w.began
			}
			count[m]++
		}
	}
	long := map[quarantine.Fingerprint]bool{}
	for m, n := range count {
		if n >= manyInWork && newest[m].Sub(oldest[m]) > longSpan {
			long[m] = true
		}
	}
	return long
}

func (q *quarantiner) describe(m quarantine.Fingerprint, w inWork) {
	if len(q.described) >= describedMax {
		clear(q.described)
	}
	q.described[m] = w.target + cut(w.path, pathShown)
}

// name tells which requests a mark is of, as far as this node knows. The lock is held.
func (q *quarantiner) name(m quarantine.Fingerprint) string {
	text := strconv.FormatUint(uint64(m), 16)
	if d := q.described[m]; d != "" {
		text += " (" + d + ")"
	}
	return text
}

func cut(s string, n int) string { return s[:min(len(s), n)] }
