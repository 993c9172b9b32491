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

// inFlightRequest is a request that an incarnation of the backend server was executing.
// brokenAt is when its connection broke, on the node's clock, 0 if it has not.
type inFlightRequest struct {
	incarnation  uint32
	fingerprints quarantine.Fingerprints
	startedAt    time.Time
	brokenAt     time.Duration
	target       string
	path         string
}

// recordBroken records a request whose connection to an incarnation of the backend server
// broke.
func (q *quarantineManager) recordBroken(incarnation uint32, c *call) {
	request := newInFlightRequest(incarnation, c)
	q.mu.Lock()
	defer q.mu.Unlock()
	request.brokenAt = q.n.clock()
	if len(q.brokenRequests) < maxBrokenRequests {
		q.brokenRequests = append(q.brokenRequests, request)
		return
	}
	q.brokenRequests[q.nextBroken] = request
	q.nextBroken = (q.nextBroken + 1) % maxBrokenRequests
}

// newInFlightRequest returns the in-flight request of a call.
func newInFlightRequest(incarnation uint32, c *call) inFlightRequest {
	return inFlightRequest{incarnation: incarnation, fingerprints: c.fingerprints, startedAt: c.started, target: c.target, path: c.path}
}

// scheduleTerminationReport reports a termination of the local backend server after a delay,
// in which its requests can notice their broken connections.
func (q *quarantineManager) scheduleTerminationReport(be *localBackend) {
	time.AfterFunc(terminationReportDelay+q.randomDelay(terminationReportSpreadPerMember), func() { q.reportTermination(be) })
}

// randomDelay draws a delay of up to each times the number of members.
func (q *quarantineManager) randomDelay(each time.Duration) time.Duration {
	members := len(q.n.view.Load().members) + 1
	return time.Duration(rand.Int64N(int64(members) * int64(each)))
}

// isMassTermination reports whether massTerminationCount terminations were reported within
// massTerminationWindow. The lock is held.
func (q *quarantineManager) isMassTermination() bool {
	return len(q.domainTerminationTimes) == massTerminationCount && q.n.clock()-q.domainTerminationTimes[0] < massTerminationWindow
}

// reportTermination gossips a termination with the suspect fingerprints of the requests that
// were executing. It does nothing if there were none or the termination was reported before.
func (q *quarantineManager) reportTermination(be *localBackend) {
	q.mu.Lock()
	if slices.Contains(q.reportedIncarnations[:], be.incarnation) {
		q.mu.Unlock()
		return
	}
	q.reportedIncarnations[q.nextReported] = be.incarnation
	q.nextReported = (q.nextReported + 1) % maxPendingReports
	requests := q.requestsInFlight(be.incarnation)
	if len(requests) == 0 {
		q.mu.Unlock()
		return
	}
	var fingerprints []uint64
	if !q.isMassTermination() {
		fingerprints = q.suspectFingerprints(requests)
	}
	q.ownTermination = &member.Termination{Start: be.incarnation, Service: be.service, AtMs: time.Now().UnixMilli(), Marks: fingerprints}
	termination := q.ownTermination
	q.mu.Unlock()
	q.n.info("quarantine", "A backend server terminated with requests in flight.", "service", be.service, "in_work", len(requests), "marks", len(fingerprints),
		"newest", requests[0].target+truncate(requests[0].path, maxShownPath))
	q.n.publishMeta()
	q.applyDomainTermination(q.n.id, termination)
}

// ownReports returns the termination and the clearances that this node gossips.
func (q *quarantineManager) ownReports() (*member.Termination, []member.AnsweredRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ownClearances = trimClearances(q.ownClearances)
	if q.ownTermination != nil && !isRecent(q.ownTermination.AtMs) {
		q.ownTermination = nil
	}
	return q.ownTermination, slices.Clone(q.ownClearances)
}

// requestsInFlight returns the requests that an incarnation was executing when it
// terminated: those with the most earlier terminations first, then the newest. The lock is
// held.
func (q *quarantineManager) requestsInFlight(incarnation uint32) []inFlightRequest {
	var out []inFlightRequest
	since := q.n.clock() - brokenConnectionWindow
	for _, request := range q.brokenRequests {
		if request.incarnation == incarnation && request.brokenAt >= since {
			out = append(out, request)
		}
	}
	q.n.executionsByToken.Range(func(_, v any) bool {
		if running := v.(*execution); running.incarnation == incarnation {
			out = append(out, newInFlightRequest(incarnation, running.call))
		}
		return true
	})
	v := q.view.Load()
	slices.SortFunc(out, func(a, b inFlightRequest) int {
		return cmp.Or(cmp.Compare(v.Terminations(b.fingerprints), v.Terminations(a.fingerprints)), b.startedAt.Compare(a.startedAt))
	})
	return out
}

// suspectFingerprints returns the fingerprints of requests that are not known to be harmless.
// The lock is held.
func (q *quarantineManager) suspectFingerprints(requests []inFlightRequest) []uint64 {
	now := q.n.clock()
	var out []uint64
	seen := longInFlightFingerprints(requests)
	seen[0] = true
	for _, request := range requests[:min(len(requests), maxTerminationRequests)] {
		for _, fingerprint := range []quarantine.Fingerprint{request.fingerprints.Content, request.fingerprints.Caller} {
			if seen[fingerprint] || q.responses.AnsweredRecently(now, fingerprint) {
				continue
			}
			seen[fingerprint] = true
			out = append(out, uint64(fingerprint))
			q.describeFingerprint(fingerprint, request)
		}
	}
	return out
}

// longInFlightFingerprints returns the fingerprints of similar requests that were started over
// a longer span and all still running: a request that terminates its server does so earlier.
func longInFlightFingerprints(requests []inFlightRequest) map[quarantine.Fingerprint]bool {
	oldest, newest := map[quarantine.Fingerprint]time.Time{}, map[quarantine.Fingerprint]time.Time{}
	count := map[quarantine.Fingerprint]int{}
	for _, request := range requests {
		for _, fingerprint := range []quarantine.Fingerprint{request.fingerprints.Content, request.fingerprints.Caller} {
			if count[fingerprint] == 0 || request.startedAt.Before(oldest[fingerprint]) {
				oldest[fingerprint] = request.startedAt
			}
			if count[fingerprint] == 0 || request.startedAt.After(newest[fingerprint]) {
				newest[fingerprint] = request.startedAt
			}
			count[fingerprint]++
		}
	}
	harmless := map[quarantine.Fingerprint]bool{}
	for fingerprint, running := range count {
		if running >= harmlessRequestCount && newest[fingerprint].Sub(oldest[fingerprint]) > harmlessRequestSpan {
			harmless[fingerprint] = true
		}
	}
	return harmless
}

// describeFingerprint keeps a request's target and path to describe a fingerprint. The lock is
// held.
func (q *quarantineManager) describeFingerprint(fingerprint quarantine.Fingerprint, request inFlightRequest) {
	if len(q.fingerprintDescriptions) >= maxDescribedFingerprints {
		clear(q.fingerprintDescriptions)
	}
	q.fingerprintDescriptions[fingerprint] = request.target + truncate(request.path, maxShownPath)
}

// fingerprintLabel returns a fingerprint in hexadecimal, with a request's description if this
// node has one. The lock is held.
func (q *quarantineManager) fingerprintLabel(fingerprint quarantine.Fingerprint) string {
	text := strconv.FormatUint(uint64(fingerprint), 16)
	if d := q.fingerprintDescriptions[fingerprint]; d != "" {
		text += " (" + d + ")"
	}
	return text
}

// truncate returns at most the first n bytes of s.
func truncate(s string, n int) string { return s[:min(len(s), n)] }
