package soak

import (
	"time"

	"github.com/umberthread/umberthread/internal/standin"
)

// serverStatement is what a backend server said in its responses for a while: that it limits
// its requests, or, without a limit, that it is leaving.
type serverStatement struct {
	// node is the index of the node beside the server.
	node int
	// limit is in requests per second.
	limit int
	// saidAt is the time of the first response that said it, zero if there was none.
	saidAt, endedAt time.Time
	// arrivals are all arrivals at the server until endedAt.
	arrivals []standin.Arrival
}

// toldDelay is the time from the response that told an entry node of a limit until its requests
// count.
const toldDelay = 500 * time.Millisecond

// recordStatement records what a server has said until now for checkStatements.
func (r *soakRun) recordStatement(server *standin.Server, node, limit int) {
	s := serverStatement{node: node, limit: limit, saidAt: server.SaidAt(), endedAt: time.Now(), arrivals: server.RequestArrivals()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, s)
}

// checkStatements checks that backend servers got no more than they said from the entry nodes
// that had passed on a response that said it. Restarts of other nodes excuse nothing.
func (r *soakRun) checkStatements() {
	byID := map[string][]attempt{}
	for _, a := range r.callers.recordedAttempts() {
		byID[a.id] = append(byID[a.id], a)
	}
	for _, s := range r.statements {
		if s.saidAt.IsZero() {
			continue
		}
		arrivals := s.entryArrivals(byID)
		r.stated += len(arrivals)
		if s.limit > 0 {
			r.checkLimit(s, arrivals)
		} else {
			r.checkLeaving(s, arrivals)
		}
	}
}

// entryArrival is an arrival at a backend server with the attempt that caused it.
type entryArrival struct {
	at      time.Time
	attempt attempt
}

// entryArrivals returns the arrivals from the first response that said it to the end. An arrival of a
// request with several attempts counts for the last one sent before it.
func (s serverStatement) entryArrivals(byID map[string][]attempt) []entryArrival {
	var out []entryArrival
	for _, arrival := range s.arrivals {
		if arrival.At.Before(s.saidAt) {
			continue
		}
		last, known := attempt{}, false
		for _, a := range byID[arrival.RequestID] {
			if a.sentAt.Before(arrival.At) && (!known || a.sentAt.After(last.sentAt)) {
				last, known = a, true
			}
		}
		if known {
			out = append(out, entryArrival{arrival.At, last})
		}
	}
	return out
}

// toldAt returns by entry node when it first passed on a response of the server.
func toldAt(arrivals []entryArrival) map[int]time.Time {
	out := map[int]time.Time{}
	for _, a := range arrivals {
		at, told := out[a.attempt.entryNode]
		if a.attempt.status != 0 && (!told || a.attempt.endedAt.Before(at)) {
			out[a.attempt.entryNode] = a.attempt.endedAt
		}
	}
	return out
}

// checkLimit checks the requests in each limitWindow. A restart, pause or partition of an entry
// node excuses its requests.
func (r *soakRun) checkLimit(s serverStatement, arrivals []entryArrival) {
	told := toldAt(arrivals)
	var counted []time.Time
	for _, a := range arrivals {
		at, ok := told[a.attempt.entryNode]
		if ok && a.at.After(at.Add(toldDelay)) && !r.disturbed(a.attempt.entryNode, s, true) {
			counted = append(counted, a.at)
		}
	}
	r.judged += len(counted)
	allowed := int(limitFactor*limitWindow.Seconds()*float64(s.limit)) + limitExcess
	if most := standin.MostArrivals(counted, limitWindow, s.saidAt.Add(limitSettles)); most > allowed {
		r.reportViolation("limit", "the backend server of node %d got %d requests in %s from nodes that had passed on its limit of %d per second, %d are allowed", s.node+1, most, limitWindow, s.limit, allowed)
	}
}

// checkLeaving checks that no request comes that was sent later than drainGracePeriod after its
// entry node was told. A restart or pause of the entry node excuses its requests.
func (r *soakRun) checkLeaving(s serverStatement, arrivals []entryArrival) {
	told := toldAt(arrivals)
	for _, a := range arrivals {
		at, ok := told[a.attempt.entryNode]
		if !ok || r.disturbed(a.attempt.entryNode, s, false) {
			continue
		}
		r.judged++
		if a.attempt.sentAt.After(at.Add(drainGracePeriod)) {
			r.reportViolation("leaving", "the backend server of node %d got a request sent %s after its entry node %d had passed on that it is leaving", s.node+1, a.attempt.sentAt.Sub(at), a.attempt.entryNode+1)
		}
	}
}

// disturbed reports whether a node was restarted or paused, or, if that counts, partitioned
// while a statement held.
func (r *soakRun) disturbed(node int, s serverStatement, partitions bool) bool {
	for _, sp := range r.executedSteps {
		counts := sp.Kind.stopsProcess() || sp.Kind == PauseProcess || partitions && (sp.Kind == CutInbound || sp.Kind == CutOutbound || sp.Kind == CutBoth)
		if counts && sp.Target == node && sp.startedAt.Before(s.endedAt) && sp.endedAt.After(s.saidAt) {
			return true
		}
	}
	return false
}
