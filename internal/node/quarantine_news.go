package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/quarantine"
)

// heardMember takes in what a member of this failure domain tells.
func (q *quarantiner) applyMemberMeta(id string, m *member.Meta) {
	if m.Ended != nil {
		q.applyDomainTermination(id, m.Ended)
	}
	for _, a := range m.Answered {
		if q.applyClearance(a) {
			q.n.gossip.nudgeLinks()
		}
	}
}

// heardAnswer takes in that a suspected request was answered elsewhere; false if it is no
// news.
func (q *quarantiner) applyClearance(a member.Answer) bool {
	if !isRecent(a.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.recordClearance(a) {
		return false
	}
	mark := quarantine.Mark(a.Mark)
	q.responses.Note(q.n.clock(), quarantine.Marks{Content: mark})
	q.clearFingerprint(mark)
	q.rebuildView()
	return true
}

// heardEnd takes in an end beside a member of this failure domain, this node too.
func (q *quarantiner) applyDomainTermination(id string, e *member.End) {
	if !q.countTermination(id, e) {
		return
	}
	q.mu.Lock()
	q.domainTerminations[member.EndSlot(id, e.Start)] = &member.RemoteEnd{ID: id, End: *e}
	q.domainTerminationTimes = append(q.domainTerminationTimes, q.n.clock())
	q.domainTerminationTimes = q.domainTerminationTimes[max(0, len(q.domainTerminationTimes)-massTerminationCount):]
	q.mu.Unlock()
	q.n.gossip.nudgeLinks()
}

// heardRemote takes in what another failure domain tells.
func (q *quarantiner) applySummary(s *member.Summary) {
	if s.End != nil {
		q.countTermination(s.End.ID, &s.End.End)
	}
	for _, a := range s.Answered {
		q.applyClearance(a)
	}
}

// heard counts an end; false if it is no news.
func (q *quarantiner) countTermination(id string, e *member.End) bool {
	if !isRecent(e.AtMs) {
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
		if q.table.Ends(m) > 0 && q.responses.Lately(now, m) {
			q.clearFingerprint(m)
			q.scheduleClearance(m)
		}
	}
	q.reportQuarantines(held)
	q.rebuildView()
	return true
}

// sayHeld tells which requests are refused from now on. The lock is held.
func (q *quarantiner) reportQuarantines(held []quarantine.Held) {
	held = slices.DeleteFunc(held, func(h quarantine.Held) bool { return q.table.Ends(h.Mark) == 0 })
	if len(held) == 0 {
		return
	}
	names := make([]string, 0, maxNamedFingerprints)
	for _, h := range held[:min(len(held), maxNamedFingerprints)] {
		names = append(names, q.fingerprintLabel(h.Mark))
	}
	q.n.event("quarantine", "Requests like "+strings.Join(names, ", ")+" are refused for "+held[0].Left.Round(time.Second).String()+": "+
		strconv.Itoa(held[0].Ends)+" backend servers ended while they ran one. Marks: "+strconv.Itoa(len(held))+".")
}

// lately tells whether a time of the Unix clock, in milliseconds, is recent. The clocks
// of two nodes may differ.
func isRecent(ms int64) bool { return time.Since(time.UnixMilli(ms)).Abs() < maxTerminationAge }

// summaries returns what this failure domain tells the others.
func (q *quarantiner) summaries() []member.Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.domainClearances = trimClearances(q.domainClearances)
	var out []member.Summary
	for slot, e := range q.domainTerminations {
		s := member.Summary{Domain: q.n.opt.Domain, Service: member.EndedService(slot)}
		if e != nil && isRecent(e.AtMs) {
			s.End = e
		}
		if slot == 0 {
			s.Answered = slices.Clone(q.domainClearances)
		}
		if !s.Blank() {
			out = append(out, s)
		}
	}
	return out
}

// heldNow returns what this node refuses.
func (q *quarantiner) activeQuarantines() []quarantine.Held {
	if q.view.Load().Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Held(q.n.clock())
}

// adopt takes over what another node refuses.
func (q *quarantiner) adoptQuarantines(held []quarantine.Held) {
	if len(held) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Adopt(q.n.clock(), held)
	q.rebuildView()
}

// tellLater tells others that a suspected request was answered, unless another node has
// told it by then: many nodes see answers to what many callers ask. The lock is held.
func (q *quarantiner) scheduleClearance(m quarantine.Mark) {
	time.AfterFunc(q.randomDelay(clearanceSpreadPerMember), func() {
		if !q.publishClearance(member.Answer{Mark: uint64(m), AtMs: time.Now().UnixMilli()}) {
			return
		}
		q.n.publishMeta()
		q.n.gossip.nudgeLinks()
	})
}

// tellAnswer keeps an answer to tell others of; false if one like it was told just now.
func (q *quarantiner) publishClearance(a member.Answer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if told := q.lastClearanceAt(a.Mark); a.AtMs-told < minClearanceInterval.Milliseconds() || !q.recordClearance(a) {
		return false
	}
	q.ownClearances = trimClearances(append(q.ownClearances, a))
	return true
}

// toldAt returns when an answer to a request with the mark was told last, 0 if none was
// lately. The lock is held.
func (q *quarantiner) lastClearanceAt(mark uint64) int64 {
	var at int64
	for _, a := range q.domainClearances {
		if a.Mark == mark {
			at = max(at, a.AtMs)
		}
	}
	return at
}

// rememberAnswer notes an answer to tell other failure domains of; false if it is no news.
// The lock is held.
func (q *quarantiner) recordClearance(a member.Answer) bool {
	if a.AtMs <= q.lastClearanceAt(a.Mark) {
		return false
	}
	q.domainClearances = slices.DeleteFunc(q.domainClearances, func(b member.Answer) bool { return a.Mark == b.Mark })
	q.domainClearances = trimClearances(append(q.domainClearances, a))
	return true
}

// lastAnswers returns the last ones that are not old.
func trimClearances(as []member.Answer) []member.Answer {
	as = slices.DeleteFunc(as, func(a member.Answer) bool { return !isRecent(a.AtMs) })
	return as[max(0, len(as)-member.MaxAnswers):]
}
