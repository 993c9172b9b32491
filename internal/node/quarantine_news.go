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
func (q *quarantiner) heardMember(id string, m *member.Meta) {
	if m.Ended != nil {
		q.heardEnd(id, m.Ended)
	}
	for _, a := range m.Answered {
		if q.heardAnswer(a) {
			q.n.gossip.nudgeLinks()
		}
	}
}

// heardAnswer takes in that a suspected request was answered elsewhere; false if it is no
// news.
func (q *quarantiner) heardAnswer(a member.Answer) bool {
	if !lately(a.AtMs) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.rememberAnswer(a) {
		return false
	}
	mark := quarantine.Fingerprint(a.Mark)
	q.answers.Note(q.n.clock(), quarantine.Fingerprints{Content: mark})
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
		q.heardAnswer(a)
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
	end := quarantine.Termination{Incarnation: id + "/" + strconv.FormatUint(uint64(e.Start), 10), Service: e.Service}
	for _, m := range e.Marks {
		end.Fingerprints = append(end.Fingerprints, quarantine.Fingerprint(m))
	}
	held, news := q.table.RecordTermination(now, end)
	if !news {
		return false
	}
	for _, m := range end.Fingerprints {
		if q.table.Terminations(m) > 0 && q.answers.AnsweredRecently(now, m) {
			q.clear(m)
			q.tellLater(m)
		}
	}
	q.sayHeld(held)
	q.rebuild()
	return true
}

// sayHeld tells which requests are refused from now on. The lock is held.
func (q *quarantiner) sayHeld(held []quarantine.QuarantinedRequest) {
	held = slices.DeleteFunc(held, func(h quarantine.QuarantinedRequest) bool { return q.table.Terminations(h.Mark) == 0 })
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
	q.recentAnswers = lastAnswers(q.recentAnswers)
	var out []member.Summary
	for slot, e := range q.recent {
		s := member.Summary{Domain: q.n.opt.Domain, Service: member.EndedService(slot)}
		if e != nil && lately(e.AtMs) {
			s.End = e
		}
		if slot == 0 {
			s.Answered = slices.Clone(q.recentAnswers)
		}
		if !s.Blank() {
			out = append(out, s)
		}
	}
	return out
}

// heldNow returns what this node refuses.
func (q *quarantiner) heldNow() []quarantine.QuarantinedRequest {
	if q.view.Load().Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Held(q.n.clock())
}

// adopt takes over what another node refuses.
func (q *quarantiner) adopt(held []quarantine.QuarantinedRequest) {
	if len(held) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Adopt(q.n.clock(), held)
	q.rebuild()
}

// tellLater tells others that a suspected request was answered, unless another node has
// told it by then: many nodes see answers to what many callers ask. The lock is held.
func (q *quarantiner) tellLater(m quarantine.Fingerprint) {
	time.AfterFunc(q.share(tellSpread), func() {
		if !q.tellAnswer(member.Answer{Mark: uint64(m), AtMs: time.Now().UnixMilli()}) {
			return
		}
		q.n.publishMeta()
		q.n.gossip.nudgeLinks()
	})
}

// tellAnswer keeps an answer to tell others of; false if one like it was told just now.
func (q *quarantiner) tellAnswer(a member.Answer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if told := q.toldAt(a.Mark); a.AtMs-told < answerAgain.Milliseconds() || !q.rememberAnswer(a) {
		return false
	}
	q.cleared = lastAnswers(append(q.cleared, a))
	return true
}

// toldAt returns when an answer to a request with the mark was told last, 0 if none was
// lately. The lock is held.
func (q *quarantiner) toldAt(mark uint64) int64 {
	var at int64
	for _, a := range q.recentAnswers {
		if a.Mark == mark {
			at = max(at, a.AtMs)
		}
	}
	return at
}

// rememberAnswer notes an answer to tell other failure domains of; false if it is no news.
// The lock is held.
func (q *quarantiner) rememberAnswer(a member.Answer) bool {
	if a.AtMs <= q.toldAt(a.Mark) {
		return false
	}
	q.recentAnswers = slices.DeleteFunc(q.recentAnswers, func(b member.Answer) bool { return a.Mark == b.Mark })
	q.recentAnswers = lastAnswers(append(q.recentAnswers, a))
	return true
}

// lastAnswers returns the last ones that are not old.
func lastAnswers(as []member.Answer) []member.Answer {
	as = slices.DeleteFunc(as, func(a member.Answer) bool { return !lately(a.AtMs) })
	return as[max(0, len(as)-member.MaxAnswers):]
}
