package node

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/backend"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/settings"
)

// announcePath is the HTTP path at which a backend server announces itself to its
// node.
const announcePath = "/v1/announce"

// Announcement is the registration of a backend server with its node. The backend
// server must renew it within the lease in the reply.
type Announcement struct {
	// Service is the name of the service, as fleet/service.
	Service string `json:"service"`
	// Address is the IP address and port at which the backend server accepts HTTP
	// requests.
	Address string `json:"address"`
	// Slots is the number of requests that it handles concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts, at least Slots.
	Connections int `json:"connections"`
	// Weight scales its share of the load; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// State is starting, serving or draining.
	State string `json:"state"`
	// Instance is the backend server's identity, empty if it has none.
	Instance string `json:"instance,omitempty"`
	// StartedAtMs is the start time of this incarnation of the backend server, in Unix
	// milliseconds on its own clock; 0 if unknown. A later incarnation under the same
	// identity has none of the state of the earlier one.
	StartedAtMs int64 `json:"born,omitempty"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence,omitempty"`
}

// AnnouncementReply is the response to an Announcement.
type AnnouncementReply struct {
	// LeaseMs is how long the announcement is valid, in milliseconds.
	LeaseMs int64 `json:"lease_ms"`
	// Call is the URL prefix for calls that the backend server makes to services.
	Call string `json:"call"`
}

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// serveAnnounce handles the announcements of the node's backend server.
func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeProblem(w, "", fault.Wrap(fault.BadRequest, err, "malformed announcement"))
		return
	}
	if ferr := n.Announce(&a); ferr != nil {
		writeProblem(w, "", ferr)
		return
	}
	writeJSON(w, AnnouncementReply{LeaseMs: n.opt.Lease.Milliseconds(), Call: "http://" + n.opt.HTTP + callPrefix})
}

// Announce validates and applies an announcement of this node's backend server. A
// Weight of 0 is replaced by 1. Outdated announcements are ignored, and those of an
// unknown server against which there is evidence.
func (n *Node) Announce(a *Announcement) *fault.Error {
	state, ferr := validateAnnouncement(a)
	if ferr != nil {
		return ferr
	}
	if n.contradicts(a, state) {
		if n.contradictionLog.allow(n.clock(), 1) {
			n.warn("backend", "Ignored the announcement of another server than the one at this node.", "service", a.Service, "instance", a.Instance)
		}
		return nil
	}
	n.applyAnnouncement(a, state)
	return nil
}

// AnnounceRecovered validates and applies an announcement that was made from the server's answer
// to a health request. That is evidence by itself, so none is looked for against it.
func (n *Node) AnnounceRecovered(a *Announcement) *fault.Error {
	state, ferr := validateAnnouncement(a)
	if ferr == nil {
		n.applyAnnouncement(a, state)
	}
	return ferr
}

// validateAnnouncement checks an announcement and returns its state. It replaces a weight
// of 0.
func validateAnnouncement(a *Announcement) (member.State, *fault.Error) {
	state, ok := member.ParseState(a.State)
	if !ok || state == member.Absent {
		return 0, fault.Newf(fault.BadRequest, "state = %q; allowed are starting, serving and draining", a.State)
	}
	if !isServiceName(a.Service) {
		return 0, fault.Newf(fault.BadRequest, "service = %q; allowed is fleet/service", a.Service)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return 0, fault.Newf(fault.BadRequest, "address = %q; allowed is an IP number and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > member.MaxSlots || a.Connections < a.Slots {
		return 0, fault.Newf(fault.BadRequest, "slots = %d, connections = %d; allowed are 1 to %d slots and at least as many connections", a.Slots, a.Connections, member.MaxSlots)
	}
	if a.Weight < 0 || a.Weight > member.MaxWeight {
		return 0, fault.Newf(fault.BadRequest, "weight = %v; allowed is 0 to %d", a.Weight, member.MaxWeight)
	}
	if a.Weight == 0 {
		a.Weight = 1
	}
	if a.StartedAtMs < 0 {
		return 0, fault.Newf(fault.BadRequest, "born = %d; allowed are milliseconds of the Unix time", a.StartedAtMs)
	}
	return state, nil
}

// isServiceName reports whether s has the form fleet/service.
func isServiceName(s string) bool {
	target, rest, ok := splitTarget(s + "/k")
	return ok && rest == "/" && target == s+"/k" && settings.ValidName("k")
}

// applyAnnouncement applies a valid announcement and renews the lease. Connections
// are kept while the incarnation and the address stay the same.
func (n *Node) applyAnnouncement(a *Announcement, state member.State) {
	n.localMu.Lock()
	defer n.localMu.Unlock()
	old := n.local.Load()
	if n.isOutdated(a, old) {
		return
	}
	if old != nil && old.isOtherIncarnation(a) {
		n.retiredIncarnations.add(old.instance, old.startedAtMs)
		closeEarlierIncarnation(old, a)
		if old.client.Addr() == a.Address {
			n.quarantine.scheduleTerminationReport(old)
		}
		old = nil
	}
	next := &localBackend{
		service: a.Service, slots: a.Slots, weight: a.Weight, chartState: chart.InitialState,
		instance: a.Instance, startedAtMs: a.StartedAtMs, announcementSeq: a.Sequence,
		leaseExpires: time.Now().Add(n.opt.Lease.Duration),
	}
	if old != nil {
		next.chartState, next.incarnation, next.leaving = old.chartState, old.incarnation, old.leaving
		next.heard, next.marks = old.heard, old.marks
	} else {
		next.heard, next.marks = &atomic.Bool{}, &atomic.Bool{}
		n.resetRateLimitUnlessOf(incarnationID{a.Instance, a.StartedAtMs})
		n.backendIncarnations++
		next.incarnation = n.backendIncarnations
	}
	if n.leavingIncarnations.includes(a.Instance, a.StartedAtMs) {
		next.leaving = true
	}
	if next.leaving {
		// It has said so in a response, which counts more than an announcement.
		state = member.Draining
	}
	if to, ok := backendChart.Next(next.chartState, backendEvents[state]); ok {
		next.chartState = to
	}
	next.memberState = backendMemberState(next.chartState)
	if old != nil && old.client.Addr() == a.Address {
		next.client = old.client
	} else {
		next.client = backend.New(a.Address, backend.Options{
			MaxConns: a.Connections, IdleMax: backendIdleTimeout, DialTimeout: backendDialTimeout, ProbeInterval: backendSilenceTimeout,
		})
	}
	n.local.Store(next)
	changed := old == nil || old.service != next.service || old.slots != next.slots || old.weight != next.weight || old.memberState != next.memberState
	if changed {
		n.updateGateOptions()
		n.publishMeta()
		n.logEvent("backend", next.service+" is "+state.String()+" at "+a.Address)
	}
}

// isOtherIncarnation reports whether an announcement is of another identity or of a
// later incarnation of the same one. If the start time of the known incarnation is
// unknown, the announcement counts as of the same one.
func (be *localBackend) isOtherIncarnation(a *Announcement) bool {
	return be.instance != a.Instance || be.startedAtMs > 0 && a.StartedAtMs > be.startedAtMs
}

// closeEarlierIncarnation closes the connections of an earlier incarnation. If the new
// one has the same address, the earlier one cannot respond any more and its requests
// fail at once.
func closeEarlierIncarnation(old *localBackend, a *Announcement) {
	if old.client.Addr() == a.Address {
		old.client.Abort()
		return
	}
	old.client.CloseIdleConnections()
}

// isOutdated reports whether a newer announcement of the same incarnation, a later
// incarnation or another identity has superseded the announcement. localMu must be
// held.
//
// If the clock steps back, a later incarnation can look like an earlier one. It is
// then accepted once the known one is gone: when a connection to it is refused or its
// lease expires.
func (n *Node) isOutdated(a *Announcement, old *localBackend) bool {
	if a.Instance == "" {
		return false
	}
	if n.retiredIncarnations.includes(a.Instance, a.StartedAtMs) {
		return true
	}
	if old == nil || old.instance != a.Instance || a.StartedAtMs > old.startedAtMs {
		return false
	}
	return a.StartedAtMs < old.startedAtMs || a.Sequence <= old.announcementSeq
}

// incarnationID identifies an incarnation of a backend server, as announced.
type incarnationID struct {
	instance    string
	startedAtMs int64
}

// resetRateLimitUnlessOf forgets the rate limit unless it is that of the given incarnation, which
// has returned after its connection or lease was lost. localMu must be held.
func (n *Node) resetRateLimitUnlessOf(id incarnationID) {
	if id.instance == "" || n.rateLimitOwner != id {
		n.gate.resetRateLimit()
	}
	n.rateLimitOwner = id
}

// incarnationRecord is an incarnation of a backend server: its start time in Unix milliseconds,
// and when it was recorded.
type incarnationRecord struct {
	startedAtMs int64
	recordedAt  time.Time
}

// incarnationRecords maps the identity of a backend server to its latest incarnation to which
// something applies. The zero value is not usable.
type incarnationRecords map[string]incarnationRecord

const (
	// maxRecordedIdentities bounds the remembered identities; when it is reached, all
	// are forgotten.
	maxRecordedIdentities = 256
	// incarnationRecordTTL is how long an incarnation is remembered, which is far
	// longer than a partition delays an announcement.
	incarnationRecordTTL = time.Minute
)

// add records an incarnation of an identity and all earlier ones. If its start time is
// unknown, all that started until now count; a backend server and its node share a clock.
func (r incarnationRecords) add(instance string, startedAtMs int64) {
	if instance == "" {
		return
	}
	if len(r) >= maxRecordedIdentities {
		clear(r)
	}
	now := time.Now()
	if startedAtMs == 0 {
		startedAtMs = now.UnixMilli()
	}
	r[instance] = incarnationRecord{startedAtMs, now}
}

// includes reports whether an incarnation of an identity is among the recorded ones.
func (r incarnationRecords) includes(instance string, startedAtMs int64) bool {
	record, ok := r[instance]
	return ok && startedAtMs <= record.startedAtMs && time.Since(record.recordedAt) < incarnationRecordTTL
}

// WithdrawBackend removes an incarnation of a backend server for good; its requests in
// flight go on. startedAtMs is its start time in Unix milliseconds, or 0 for the known one.
func (n *Node) WithdrawBackend(instance string, startedAtMs int64) {
	n.localMu.Lock()
	be := n.local.Load()
	known := be != nil && be.instance == instance
	outdated := known && startedAtMs > 0 && startedAtMs < be.startedAtMs
	switch {
	case outdated:
	case known:
		n.retiredIncarnations.add(instance, be.startedAtMs)
	default:
		n.retiredIncarnations.add(instance, startedAtMs)
	}
	n.localMu.Unlock()
	if known && !outdated {
		n.replaceLocal(nil, "it withdrew")
	}
}

// The options of the HTTP client of a backend server.
const (
	backendIdleTimeout = 30 * time.Second
	backendDialTimeout = 500 * time.Millisecond
	// backendSilenceTimeout is the interval at which requests in flight check that the
	// backend server accepts connections.
	backendSilenceTimeout = time.Second
)

// replaceLocal replaces the backend server and logs why the previous one is gone;
// nil means that there is none now.
func (n *Node) replaceLocal(next *localBackend, why string) {
	n.localMu.Lock()
	defer n.localMu.Unlock()
	old := n.local.Swap(next)
	if old == nil {
		return
	}
	old.client.CloseIdleConnections()
	n.publishMeta()
	n.logEvent("backend", old.service+" is gone: "+why)
}

// expireLease removes the backend server if its lease has expired.
func (n *Node) expireLease(now time.Time) {
	be := n.local.Load()
	if be != nil && now.After(be.leaseExpires) {
		n.replaceLocal(nil, "its lease ran out")
		n.quarantine.scheduleTerminationReport(be)
	}
}

// updateGateOptions applies the settings of the backend server's service to the
// admission gate.
func (n *Node) updateGateOptions() {
	be := n.local.Load()
	if be == nil {
		return
	}
	p := n.conf.Load().tree.Policy(be.service)
	n.gate.setOptions(admission.Options{
		Mode: p.Mode, Slots: be.slots, QueueMax: p.QueueMax, QueueWait: p.QueueWait,
		QueueTarget: p.QueueTarget, Window: p.Window,
	})
}

// writeJSON writes v as the indented JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
