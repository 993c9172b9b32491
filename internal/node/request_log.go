package node

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

const (
	// notableLinesPerSecond limits the log lines about requests that failed, were refused,
	// were retried or exceeded their objective. Lines beyond the limit are counted.
	notableLinesPerSecond = 60
	// routineLinesPerSecond limits the lines about other requests, which are sampled.
	routineLinesPerSecond = 5
)

// lineLimiter limits the log lines of one category per second.
type lineLimiter struct {
	second  atomic.Int64
	used    atomic.Int64
	skipped atomic.Int64
}

// allow reports whether another line may be logged in this second, and counts it as skipped if
// not.
func (l *lineLimiter) allow(now time.Duration, limit int64) bool {
	second := int64(now / time.Second)
	if old := l.second.Load(); old != second && l.second.CompareAndSwap(old, second) {
		l.used.Store(0)
	}
	if l.used.Add(1) <= limit {
		return true
	}
	l.skipped.Add(1)
	return false
}

// requestLogLimiter limits the log lines about requests by category.
type requestLogLimiter struct{ notable, routine lineLimiter }

// skippedLines returns the number of skipped lines by category.
func (l *requestLogLimiter) skippedLines() map[string]int64 {
	return map[string]int64{"notable": l.notable.skipped.Load(), "plain": l.routine.skipped.Load()}
}

// recordFailedAttempt adds a failed attempt to the call's log line.
func (c *call) recordFailedAttempt(addr string, e *fault.Error, status int) {
	if c.failedAttempts.Len() > 0 {
		c.failedAttempts.WriteByte(',')
	}
	c.failedAttempts.WriteString(addr)
	c.failedAttempts.WriteByte('=')
	if e != nil {
		c.failedAttempts.WriteString(e.Code.String())
		c.failedAttempts.WriteByte('/')
		c.failedAttempts.WriteString(e.Execution.String())
		return
	}
	c.failedAttempts.WriteString(formatUint(uint64(status)))
}

// logRequest logs a completed request with its outcome and the state that decided it, within
// the line limits.
func (n *Node) logRequest(c *call, code fault.Code, run fault.Execution, took time.Duration, sampled bool) {
	late := took > c.latencyObjective()
	notable := code != fault.None || c.attempts > 1 || late || c.failedAttempts.Len() > 0 || c.hasOutdatedConfig()
	limiter, limit := &n.requestLog.routine, int64(routineLinesPerSecond)
	if notable {
		limiter, limit = &n.requestLog.notable, notableLinesPerSecond
	}
	if !notable && !sampled || !limiter.allow(n.clock(), limit) {
		return
	}
	kv := []any{
		"id", c.id, "kind", c.target, "outcome", code.String(), "run", run.String(), "took_ms", took.Milliseconds(),
		"attempts", c.attempts, "tried", c.failedAttempts.String(), "rank", uint16(c.rank), "depth", c.depth,
		"path_level", uint16(n.entryLevels.Level(c.rootTarget, n.clock())), "config_version", c.configVersion(),
	}
	if c.parent != nil {
		kv = append(kv, "parent", c.parent.call.id, "parent_kind", c.parent.call.target)
	}
	if c.hasOutdatedConfig() {
		kv = append(kv, "heard_version", c.heardVersion)
	}
	if age := n.unconfirmedFor(c); age > 0 {
		kv = append(kv, "config_age_ms", age.Milliseconds())
	}
	if c.retryDenied {
		kv = append(kv, "retry_denied", "ratio")
	}
	if c.failureDetail != "" {
		kv = append(kv, "detail", c.failureDetail)
	}
	n.info("request", outcomeMessage(code, late), kv...)
}

// latencyObjective returns the time within which the call should be completed, or an hour if
// its request kind is unknown.
func (c *call) latencyObjective() time.Duration {
	if c.policy == nil {
		return time.Hour
	}
	return c.policy.ObjectiveWithin
}

// outcomeMessage returns the log message for an outcome.
func outcomeMessage(code fault.Code, late bool) string {
	switch {
	case code == fault.None && late:
		return "Answered late."
	case code == fault.None:
		return "Answered."
	default:
		return "Not answered by a backend server."
	}
}

// logFailedPeerRequest logs a request of another node that failed here or was not executed.
func (n *Node) logFailedPeerRequest(c *call, e *fault.Error) {
	if !n.requestLog.notable.allow(n.clock(), notableLinesPerSecond) {
		return
	}
	load := n.gate.load()
	n.info("serve", "Request of another node not completed.", "id", c.id, "kind", c.target, "config_version", c.configVersion(), "reason", e.Code.String(), "run", e.Execution.String(),
		"in_flight", load.inflight, "queued", load.queued, "limit", load.limit, "admission_level", uint16(load.level), "rank", uint16(c.rank),
		"remaining_ms", c.scope.Remaining().Milliseconds(), "detail", strings.TrimSpace(e.Detail))
}

// logOutdatedPeerRequest logs a completed request of another node that was judged by settings
// older than this node has heard of.
func (n *Node) logOutdatedPeerRequest(c *call) {
	if !c.hasOutdatedConfig() || !n.requestLog.notable.allow(n.clock(), notableLinesPerSecond) {
		return
	}
	n.info("serve", "Request of another node completed by older settings.", "id", c.id, "kind", c.target,
		"config_version", c.configVersion(), "heard_version", c.heardVersion, "config_age_ms", n.unconfirmedFor(c).Milliseconds())
}
