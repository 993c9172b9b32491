package node

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/member"
)

// ServerState is what a backend server says about itself in the header of a response.
type ServerState struct {
	// RateLimit is how many requests per second it accepts from all nodes together, if
	// HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// UnreadableRateLimit is set if the header names a limit that is not a number.
	UnreadableRateLimit bool
	// Leaving is set if it is about to shut down.
	Leaving bool
}

// ReadServerState reads the state of a backend server from two fields of a header. The
// names must be in canonical form.
func ReadServerState(h http.Header, rateLimitField, leavingField string) ServerState {
	s := ServerState{Leaving: len(h[leavingField]) > 0 && strings.TrimSpace(h[leavingField][0]) == "1"}
	for _, field := range h[rateLimitField] {
		for v := range strings.SplitSeq(field, ",") {
			s.addRateLimit(strings.TrimSpace(v))
		}
	}
	return s
}

// addRateLimit adds a named limit. The lowest of several counts.
func (s *ServerState) addRateLimit(v string) {
	rate, err := strconv.ParseFloat(v, 64)
	if err != nil || !(rate >= 0 && rate <= maxRateLimit) {
		s.UnreadableRateLimit = true
		return
	}
	if !s.HasRateLimit || rate < s.RateLimit {
		s.RateLimit, s.HasRateLimit = rate, true
	}
}

// maxRateLimit is the largest rate that is read as a limit, in requests per second.
const maxRateLimit = 1e12

// observeServerState applies what a response of the local backend server says about it.
func (n *Node) observeServerState(be *localBackend, s ServerState) {
	if !be.heard.Load() {
		be.heard.Store(true)
	}
	if s == (ServerState{}) && !n.gate.rateLimited.Load() {
		return
	}
	if current := n.local.Load(); current == nil || current.incarnation != be.incarnation {
		// An answer of an earlier incarnation says nothing about this one. One whose lease ran
		// out may announce itself again.
		if s.Leaving {
			n.expectLeaving(be.instance, be.startedAtMs)
		}
		return
	}
	if s.UnreadableRateLimit && n.rateLimitLog.allow(n.clock(), 1) {
		n.warn("backend", "Ignored a rate limit that is not a number of requests per second.", "service", be.service)
	}
	n.logRateLimit(be, n.gate.observeRateLimit(s))
	if s.Leaving {
		n.markLeaving(be)
	}
}

// RecordServerState applies what a backend server said of itself in a response that this package
// has not received, such as that to a health check after the start of this process.
func (n *Node) RecordServerState(instance string, s ServerState) {
	if s.Leaving {
		n.localMu.Lock()
		n.leavingIncarnations.add(instance, 0)
		n.localMu.Unlock()
	}
	be := n.local.Load()
	if be == nil || be.instance != instance {
		return
	}
	if s.HasRateLimit {
		n.logRateLimit(be, n.gate.adoptRateLimit(s.RateLimit))
	}
	if s.Leaving {
		n.markLeaving(be)
	}
}

// expectLeaving records that an incarnation, which is not known here or no longer, is leaving, for
// when it announces itself. Without a start time it could be taken for a later incarnation.
func (n *Node) expectLeaving(instance string, startedAtMs int64) {
	if startedAtMs <= 0 {
		return
	}
	n.localMu.Lock()
	defer n.localMu.Unlock()
	if record, ok := n.leavingIncarnations[instance]; ok && record.startedAtMs > startedAtMs {
		return
	}
	n.leavingIncarnations.add(instance, startedAtMs)
}

// markLeaving lets no new requests go to an incarnation of the local backend server, which has
// said that it is about to shut down.
func (n *Node) markLeaving(be *localBackend) {
	n.localMu.Lock()
	defer n.localMu.Unlock()
	current := n.local.Load()
	if current == nil || current.incarnation != be.incarnation || current.leaving {
		return
	}
	n.leavingIncarnations.add(current.instance, current.startedAtMs)
	next := *current
	next.leaving = true
	if to, ok := backendChart.Next(next.chartState, backendEvents[member.Draining]); ok {
		next.chartState = to
	}
	next.memberState = backendMemberState(next.chartState)
	n.local.Store(&next)
	n.publishMeta()
	n.logEvent("backend", be.service+" says that it is leaving.")
}

// logRateLimit logs that the backend server's limit began, changed or ended.
func (n *Node) logRateLimit(be *localBackend, change admission.RateLimitChange) {
	if change == admission.RateLimitUnchanged {
		return
	}
	limit := n.gate.rateLimitStatus()
	rate := strconv.FormatFloat(limit.rate, 'f', 1, 64)
	switch change {
	case admission.RateLimitBegan:
		n.logEvent("backend", be.service+" limits its requests to "+rate+" per second.")
	case admission.RateLimitEnded:
		n.logEvent("backend", be.service+" no longer limits its requests.")
	case admission.RateLimitChanged:
		if n.rateLimitLog.allow(n.clock(), 1) {
			n.info("backend", be.service+" changes its limit to "+rate+" requests per second.")
		}
	}
}
