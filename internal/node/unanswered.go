package node

import (
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// unansweredLinesPerSecond limits the log lines about sent requests that ended without a response.
// They have a limit of their own, as refusals come in the same moments and in greater numbers.
const unansweredLinesPerSecond = 20

// hop is the part of a request's way on which it was sent.
type hop string

const (
	// hopServer is the connection to the local backend server.
	hopServer hop = "server"
	// hopPeer is the connection to the node beside the backend server.
	hopPeer hop = "peer"
)

// unansweredCounters counts the sent requests that ended without a response, by reason.
type unansweredCounters struct {
	server, peer [fault.CodeCount]atomic.Int64
	lines        lineLimiter
}

// byReason returns the counts by hop and name of the fault code, without zeros.
func (u *unansweredCounters) byReason() map[string]int64 {
	out := map[string]int64{}
	for c := range fault.CodeCount {
		if v := u.server[c].Load(); v > 0 {
			out[string(hopServer)+"/"+fault.Code(c).String()] = v
		}
		if v := u.peer[c].Load(); v > 0 {
			out[string(hopPeer)+"/"+fault.Code(c).String()] = v
		}
	}
	return out
}

// recordUnanswered counts and logs an attempt that may have been executed and that this node ended
// without a response of the backend server. addr is the address to which it was sent.
func (n *Node) recordUnanswered(c *call, h hop, addr string, sent time.Time, e *fault.Error) {
	if e.Execution == fault.NotExecuted {
		return
	}
	counters := &n.unanswered.server
	if h == hopPeer {
		counters = &n.unanswered.peer
	}
	counters[e.Code].Add(1)
	if e.Code == fault.Canceled || e.Code == fault.Deadline || !n.unanswered.lines.allow(n.clock(), unansweredLinesPerSecond) {
		return
	}
	n.info(string(h), "Ended an attempt without a response.", "id", c.id, "kind", c.target, "addr", addr, "reason", e.Code.String(),
		"waited_ms", time.Since(sent).Milliseconds(), "remaining_ms", c.scope.Remaining().Milliseconds(),
		"idempotent", c.policy.Idempotent, "stopping", n.stopping(), "detail", e.Error())
}
