package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/quarantine"
)

// applyMemberMeta applies the termination and clearance reports of a member of this failure
// domain.
func (q *quarantineManager) applyMemberMeta(id string, m *member.Meta) {
	if m.Ended != nil {
		q.applyDomainTermination(id, m.Ended)
	}
	for _, a := range m.Answered {
		if q.applyClearance(a) {
			q.n.gossip.wakeLinks()
		}
	}
}

// applyClearance applies a clearance, another node's report of a response to a suspected
// request; false if it is old or already known.
func (q *quarantineManager) applyClearance(a member.AnsweredRequest) bool {
	if !isRecent(a.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.recordClearance(a) {
		return false
	}
	fingerprint := quarantine.Fingerprint(a.Mark)
	q.responses.Record(q.n.clock(), quarantine.Fingerprints{Content: fingerprint})
	q.clearFingerprint(fingerprint)
	q.rebuildView()
	return true
}

// applyDomainTermination applies a termination report of this failure domain, the node's own
// reports included, and forwards it to the other failure domains.
func (q *quarantineManager) applyDomainTermination(id string, e *member.Termination) {
	if !q.countTermination(id, e) {
		return
	}
	q.mu.Lock()
	q.domainTerminations[member.TerminationSlot(id, e.Start)] = &member.RemoteTermination{ID: id, Termination: *e}
	q.domainTerminationTimes = append(q.domainTerminationTimes, q.n.clock())
	q.domainTerminationTimes = q.domainTerminationTimes[max(0, len(q.domainTerminationTimes)-massTerminationCount):]
	q.mu.Unlock()
	q.n.gossip.wakeLinks()
}

// applySummary applies the reports of another failure domain.
func (q *quarantineManager) applySummary(s *member.Summary) {
	if s.End != nil {
		q.countTermination(s.End.ID, &s.End.Termination)
	}
	for _, a := range s.Answered {
		q.applyClearance(a)
	}
}

// countTermination adds a termination to the table; false if it is old or already known.
// Suspected fingerprints with a recent response are cleared.
func (q *quarantineManager) countTermination(id string, e *member.Termination) bool {
	if !isRecent(e.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.n.clock()
	termination := quarantine.Termination{Incarnation: id + "/" + strconv.FormatUint(uint64(e.Start), 10), Service: e.Service}
	for _, fingerprint := range e.Marks {
		termination.Fingerprints = append(termination.Fingerprints, quarantine.Fingerprint(fingerprint))
	}
	quarantined, isNew := q.table.RecordTermination(now, termination)
	if !isNew {
		return false
	}
	for _, fingerprint := range termination.Fingerprints {
		if q.table.Terminations(fingerprint) > 0 && q.responses.AnsweredRecently(now, fingerprint) {
			q.clearFingerprint(fingerprint)
			q.scheduleClearance(fingerprint)
		}
	}
	q.reportQuarantines(quarantined)
	q.rebuildView()
	return true
}

// reportQuarantines logs the fingerprints that become quarantined, without those cleared
// since. The lock is held.
func (q *quarantineManager) reportQuarantines(quarantined []quarantine.QuarantinedRequest) {
	quarantined = slices.DeleteFunc(quarantined, func(h quarantine.QuarantinedRequest) bool { return q.table.Terminations(h.Mark) == 0 })
	if len(quarantined) == 0 {
		return
	}
	names := make([]string, 0, maxNamedFingerprints)
	for _, h := range quarantined[:min(len(quarantined), maxNamedFingerprints)] {
		names = append(names, q.fingerprintLabel(h.Mark))
	}
	q.n.logEvent("quarantine", "Requests like "+strings.Join(names, ", ")+" are refused for "+quarantined[0].Left.Round(time.Second).String()+": "+
		strconv.Itoa(quarantined[0].Ends)+" backend servers terminated while executing one. Fingerprints: "+strconv.Itoa(len(quarantined))+".")
}

// isRecent reports whether a Unix time in milliseconds is within maxTerminationAge of now, in
// either direction, as the clocks of two nodes differ.
func isRecent(ms int64) bool { return time.Since(time.UnixMilli(ms)).Abs() < maxTerminationAge }

// summaries returns the termination and clearance reports for the other failure domains.
func (q *quarantineManager) summaries() []member.Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.domainClearances = trimClearances(q.domainClearances)
	var out []member.Summary
	for slot, e := range q.domainTerminations {
		s := member.Summary{Domain: q.n.opt.Domain, Service: member.TerminationService(slot)}
		if e != nil && isRecent(e.AtMs) {
			s.End = e
		}
		if slot == 0 {
			s.Answered = slices.Clone(q.domainClearances)
		}
		if !s.IsEmpty() {
			out = append(out, s)
		}
	}
	return out
}

// activeQuarantines returns the quarantined fingerprints.
func (q *quarantineManager) activeQuarantines() []quarantine.QuarantinedRequest {
	if q.view.Load().Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.ActiveQuarantines(q.n.clock())
}

// adoptQuarantines takes over the active quarantines of another node.
func (q *quarantineManager) adoptQuarantines(active []quarantine.QuarantinedRequest) {
	if len(active) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.AddQuarantines(q.n.clock(), active)
	q.rebuildView()
}

// scheduleClearance reports a clearance to other nodes after a random delay, unless another
// node has reported it by then, as many nodes may see responses to similar requests. The lock
// is held.
func (q *quarantineManager) scheduleClearance(fingerprint quarantine.Fingerprint) {
	time.AfterFunc(q.randomDelay(clearanceSpreadPerMember), func() {
		if !q.publishClearance(member.AnsweredRequest{Mark: uint64(fingerprint), AtMs: time.Now().UnixMilli()}) {
			return
		}
		q.n.publishMeta()
		q.n.gossip.wakeLinks()
	})
}

// publishClearance adds a clearance to those that this node gossips; false if one for the same
// fingerprint was reported within minClearanceInterval.
func (q *quarantineManager) publishClearance(a member.AnsweredRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if lastReported := q.lastClearanceAt(a.Mark); a.AtMs-lastReported < minClearanceInterval.Milliseconds() || !q.recordClearance(a) {
		return false
	}
	q.ownClearances = trimClearances(append(q.ownClearances, a))
	return true
}

// lastClearanceAt returns the Unix time in milliseconds of the last reported clearance of a
// fingerprint, 0 if there is no recent one. The lock is held.
func (q *quarantineManager) lastClearanceAt(fingerprint uint64) int64 {
	var at int64
	for _, a := range q.domainClearances {
		if a.Mark == fingerprint {
			at = max(at, a.AtMs)
		}
	}
	return at
}

// recordClearance records a clearance for the other failure domains; false if it is not newer
// than the last one. The lock is held.
func (q *quarantineManager) recordClearance(a member.AnsweredRequest) bool {
	if a.AtMs <= q.lastClearanceAt(a.Mark) {
		return false
	}
	q.domainClearances = slices.DeleteFunc(q.domainClearances, func(b member.AnsweredRequest) bool { return a.Mark == b.Mark })
	q.domainClearances = trimClearances(append(q.domainClearances, a))
	return true
}

// trimClearances returns the last clearances, without old ones, at most member.MaxAnswers.
func trimClearances(clearances []member.AnsweredRequest) []member.AnsweredRequest {
	clearances = slices.DeleteFunc(clearances, func(a member.AnsweredRequest) bool { return !isRecent(a.AtMs) })
	return clearances[max(0, len(clearances)-member.MaxAnswers):]
}
