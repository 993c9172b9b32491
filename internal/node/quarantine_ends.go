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
type runningRequest struct {
	incarnation  uint32
	fingerprints quarantine.Marks
	startedAt    time.Time
	brokenAt     time.Duration
	target       string
	path         string
}

// broke remembers a request whose connection to a start of the backend server broke.
func (q *quarantiner) recordBroken(start uint32, c *call) {
	w := newRunningRequest(start, c)
	q.mu.Lock()
	defer q.mu.Unlock()
	w.brokenAt = q.n.clock()
	if len(q.brokenRequests) < maxBrokenRequests {
		q.brokenRequests = append(q.brokenRequests, w)
		return
	}
	q.brokenRequests[q.nextBroken] = w
	q.nextBroken = (q.nextBroken + 1) % maxBrokenRequests
}

func newRunningRequest(start uint32, c *call) runningRequest {
	return runningRequest{incarnation: start, fingerprints: c.fingerprints, startedAt: c.started, target: c.target, path: c.path}
}

// ended takes in that a start of the backend server beside this node has ended.
func (q *quarantiner) scheduleTerminationReport(be *localBackend) {
	time.AfterFunc(terminationReportDelay+q.randomDelay(terminationReportSpreadPerMember), func() { q.reportTermination(be) })
}

// share draws a wait of up to so much for each member.
func (q *quarantiner) randomDelay(each time.Duration) time.Duration {
	members := len(q.n.view.Load().members) + 1
	return time.Duration(rand.Int64N(int64(members) * int64(each)))
}

// isMass tells whether many backend servers have ended just now. The lock is held.
func (q *quarantiner) isMassTermination() bool {
	return len(q.domainTerminationTimes) == massTerminationCount && q.n.clock()-q.domainTerminationTimes[0] < massTerminationWindow
}

// collect tells of an end, and of the requests that were in work.
func (q *quarantiner) reportTermination(be *localBackend) {
	q.mu.Lock()
	if be.incarnation <= q.lastReportedIncarnation {
		q.mu.Unlock()
		return
	}
	q.lastReportedIncarnation = be.incarnation
	requests := q.requestsInTermination(be.incarnation)
	if len(requests) == 0 {
		q.mu.Unlock()
		return
	}
	var marks []uint64
	if !q.isMassTermination() {
		marks = q.suspectFingerprints(requests)
	}
	q.ownTermination = &member.End{Start: be.incarnation, Service: be.service, AtMs: time.Now().UnixMilli(), Marks: marks}
	end := q.ownTermination
	q.mu.Unlock()
	q.n.info("quarantine", "A backend server ended with requests in work.", "service", be.service, "in_work", len(requests), "marks", len(marks),
		"newest", requests[0].target+truncate(requests[0].path, maxShownPath))
	q.n.publishMeta()
	q.applyDomainTermination(q.n.id, end)
}

// own returns what this node tells of itself.
func (q *quarantiner) ownReports() (*member.End, []member.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ownClearances = trimClearances(q.ownClearances)
	if q.ownTermination != nil && !isRecent(q.ownTermination.AtMs) {
		q.ownTermination = nil
	}
	return q.ownTermination, slices.Clone(q.ownClearances)
}

// requestsOf returns what a start of the backend server had in work when it ended: first
// what others have ended under, then what it began last. The lock is held.
func (q *quarantiner) requestsInTermination(start uint32) []runningRequest {
	var out []runningRequest
	since := q.n.clock() - brokenConnectionWindow
	for _, w := range q.brokenRequests {
		if w.incarnation == start && w.brokenAt >= since {
			out = append(out, w)
		}
	}
	q.n.works.Range(func(_, v any) bool {
		if w := v.(*execution); w.incarnation == start {
			out = append(out, newRunningRequest(start, w.call))
		}
		return true
	})
	v := q.view.Load()
	slices.SortFunc(out, func(a, b runningRequest) int {
		return cmp.Or(cmp.Compare(v.Ends(b.fingerprints), v.Ends(a.fingerprints)), b.startedAt.Compare(a.startedAt))
	})
	return out
}

// marksOf returns the marks of the requests that are not known to be harmless.
func (q *quarantiner) suspectFingerprints(requests []runningRequest) []uint64 {
	now := q.n.clock()
	var out []uint64
	seen := longRunningFingerprints(requests)
	seen[0] = true
	for _, w := range requests[:min(len(requests), maxTerminationRequests)] {
		for _, m := range []quarantine.Mark{w.fingerprints.Content, w.fingerprints.Caller} {
			if seen[m] || q.responses.Lately(now, m) {
				continue
			}
			seen[m] = true
			out = append(out, uint64(m))
			q.describeFingerprint(m, w)
		}
	}
	return out
}

// longInWork returns the marks that had been in work for long as others of them were
// taken in: what ends a server does so before.
func longRunningFingerprints(requests []runningRequest) map[quarantine.Mark]bool {
	oldest, newest := map[quarantine.Mark]time.Time{}, map[quarantine.Mark]time.Time{}
	count := map[quarantine.Mark]int{}
	for _, w := range requests {
		for _, m := range []quarantine.Mark{w.fingerprints.Content, w.fingerprints.Caller} {
			if count[m] == 0 || w.startedAt.Before(oldest[m]) {
				oldest[m] = w.startedAt
			}
			if count[m] == 0 || w.startedAt.After(newest[m]) {
				newest[m] = w.startedAt
			}
			count[m]++
		}
	}
	long := map[quarantine.Mark]bool{}
	for m, n := range count {
		if n >= harmlessRequestCount && newest[m].Sub(oldest[m]) > harmlessRequestSpan {
			long[m] = true
		}
	}
	return long
}

func (q *quarantiner) describeFingerprint(m quarantine.Mark, w runningRequest) {
	if len(q.fingerprintDescriptions) >= maxDescribedFingerprints {
		clear(q.fingerprintDescriptions)
	}
	q.fingerprintDescriptions[m] = w.target + truncate(w.path, maxShownPath)
}

// name tells which requests a mark is of, as far as this node knows. The lock is held.
func (q *quarantiner) fingerprintLabel(m quarantine.Mark) string {
	text := strconv.FormatUint(uint64(m), 16)
	if d := q.fingerprintDescriptions[m]; d != "" {
		text += " (" + d + ")"
	}
	return text
}

func truncate(s string, n int) string { return s[:min(len(s), n)] }
