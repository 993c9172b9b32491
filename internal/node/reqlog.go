package node

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

const (
	// notableLines is how many lines a second tell of requests that failed,
	// were refused, sent again or came late; under a surge the first ones of
	// each second are told and the others counted.
	notableLines = 60
	// plainLines is the same for requests that went well, a sample.
	plainLines = 5
)

// lineBudget bounds the lines of one sort in a second.
type lineBudget struct {
	second  atomic.Int64
	used    atomic.Int64
	skipped atomic.Int64
}

// take pays for a line; false if the second's lines are spent.
func (b *lineBudget) take(now time.Duration, most int64) bool {
	second := int64(now / time.Second)
	if old := b.second.Load(); old != second && b.second.CompareAndSwap(old, second) {
		b.used.Store(0)
	}
	if b.used.Add(1) <= most {
		return true
	}
	b.skipped.Add(1)
	return false
}

// requestLog bounds the lines about requests, by sort.
type requestLog struct{ notable, plain lineBudget }

// skipped returns how many lines were left out, by reason.
func (l *requestLog) skipped() map[string]int64 {
	return map[string]int64{"notable": l.notable.skipped.Load(), "plain": l.plain.skipped.Load()}
}

// tried notes a failed attempt for the request's line.
func (c *call) tried(addr string, e *fault.Error, status int) {
	if c.trail.Len() > 0 {
		c.trail.WriteByte(',')
	}
	c.trail.WriteString(addr)
	c.trail.WriteByte('=')
	if e != nil {
		c.trail.WriteString(e.Code.String())
		c.trail.WriteByte('/')
		c.trail.WriteString(e.Run.String())
		return
	}
	c.trail.WriteString(formatUint(uint64(status)))
}

// logRequest tells of a request that has its answer: the decision, what it
// rested on, and the outcome.
func (n *Node) logRequest(c *call, code fault.Code, run fault.Execution, took time.Duration, sampled bool) {
	late := took > c.policyWithin()
	notable := code != fault.None || c.attempts > 1 || late || c.trail.Len() > 0
	budget, most := &n.requestLog.plain, int64(plainLines)
	if notable {
		budget, most = &n.requestLog.notable, notableLines
	}
	if !notable && !sampled || !budget.take(n.clock(), most) {
		return
	}
	kv := []any{
		"id", c.id, "kind", c.target, "outcome", code.String(), "run", run.String(), "took_ms", took.Milliseconds(),
		"attempts", c.attempts, "tried", c.trail.String(), "rank", uint16(c.rank), "depth", c.depth,
		"path_level", uint16(n.entered.Level(c.root, n.clock())), "config_version", n.conf.Load().version,
	}
	if c.parent != nil {
		kv = append(kv, "parent", c.parent.call.id, "parent_kind", c.parent.call.target)
	}
	if c.detail != "" {
		kv = append(kv, "detail", c.detail)
	}
	n.info("request", outcomeText(code, late), kv...)
}

// policyWithin is the time within which the call is wanted, or a long time
// where its kind is not known.
func (c *call) policyWithin() time.Duration {
	if c.policy == nil {
		return time.Hour
	}
	return c.policy.ObjectiveWithin
}

func outcomeText(code fault.Code, late bool) string {
	switch {
	case code == fault.None && late:
		return "Answered late."
	case code == fault.None:
		return "Answered."
	default:
		return "Not answered by a backend server."
	}
}

// logServed tells of a request of another node that was not run well on the
// backend server beside this one.
func (n *Node) logServed(c *call, e *fault.Error) {
	if !n.requestLog.notable.take(n.clock(), notableLines) {
		return
	}
	load := n.gate.load()
	n.info("serve", "Not run, or not to an end.", "id", c.id, "kind", c.target, "reason", e.Code.String(), "run", e.Run.String(),
		"in_flight", load.inflight, "queued", load.queued, "limit", load.limit, "admission_level", uint16(load.level), "rank", uint16(c.rank),
		"remaining_ms", c.scope.Remaining().Milliseconds(), "detail", strings.TrimSpace(e.Detail))
}
