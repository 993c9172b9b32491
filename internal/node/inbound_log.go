package node

import (
	"time"

	"github.com/umberthread/umberthread/internal/inbound"
)

// inboundLogInterval is the shortest time between two log lines about evicted connections: a crowd
// must not fill the log.
const inboundLogInterval = 10 * time.Second

// InboundStatus is what a process holds for those that connect to it.
type InboundStatus struct {
	// HeldBytes is the memory reserved for connections and what they send, and MaxBytes its bound.
	HeldBytes int64 `json:"held_bytes"`
	MaxBytes  int64 `json:"max_bytes"`
	// Evicted is the number of connections that were closed for others, and Refused that of those
	// closed at once because none could be evicted.
	Evicted int64 `json:"evicted"`
	Refused int64 `json:"refused"`
}

// inboundStatus returns what the process holds for those that connect to it.
func (n *Node) inboundStatus() InboundStatus { return InboundStatus(n.inbound.Status()) }

// inboundLog logs that connections were evicted. It belongs to the maintenance task.
type inboundLog struct {
	at   time.Duration
	last inbound.Status
}

// track logs how many connections were evicted or refused since the last line, at most one line for
// each interval.
func (l *inboundLog) track(n *Node, now time.Duration) {
	s := n.inbound.Status()
	evicted, refused := s.Evicted-l.last.Evicted, s.Refused-l.last.Refused
	if evicted+refused == 0 || l.at != 0 && now-l.at < inboundLogInterval {
		return
	}
	l.at, l.last = now, s
	n.warn("inbound", "Evicted connections for others.", "count", evicted, "refused", refused, "held_bytes", s.HeldBytes, "max_bytes", s.MaxBytes)
}
