package node

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/backend"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/settings"
)

// announcePath is where the backend server beside a node announces itself.
const announcePath = "/v1/announce"

// Announcement is what a backend server says of itself. It renews it well
// within the lease that the answer names.
type Announcement struct {
	// Service is fleet/service.
	Service string `json:"service"`
	// Address is where the backend server takes HTTP requests.
	Address string `json:"address"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// Connections is how many connections it takes.
	Connections int `json:"connections"`
	// Weight scales its share of the load; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// State is starting, serving or draining.
	State string `json:"state"`
	// Instance is the backend server's identity, empty if it has none.
	Instance string `json:"instance,omitempty"`
	// Born is when this start of it began, in milliseconds of the Unix time by
	// its own clock; 0 if it does not say. A later start under the same identity
	// knows nothing of the earlier one.
	Born int64 `json:"born,omitempty"`
	// Sequence grows with each announcement of one start.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Announced answers an Announcement.
type Announced struct {
	// LeaseMs is how long the announcement holds, in milliseconds.
	LeaseMs int64 `json:"lease_ms"`
	// Call is the URL prefix for the calls that the backend server makes.
	Call string `json:"call"`
}

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 4 << 10

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeRefusal(w, "", fault.Wrap(fault.BadRequest, err, "malformed announcement"))
		return
	}
	if ferr := n.Announce(&a); ferr != nil {
		writeRefusal(w, "", ferr)
		return
	}
	writeJSON(w, Announced{LeaseMs: n.opt.Lease.Milliseconds(), Call: "http://" + n.opt.HTTP + callPrefix})
}

// Announce takes in what the backend server beside the node says of itself.
func (n *Node) Announce(a *Announcement) *fault.Error {
	state, ok := member.ParseState(a.State)
	if !ok || state == member.Absent {
		return fault.Newf(fault.BadRequest, "state = %q; allowed are starting, serving and draining", a.State)
	}
	if !validService(a.Service) {
		return fault.Newf(fault.BadRequest, "service = %q; allowed is fleet/service", a.Service)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fault.Newf(fault.BadRequest, "address = %q; allowed is an IP number and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > member.MaxSlots || a.Connections < a.Slots {
		return fault.Newf(fault.BadRequest, "slots = %d, connections = %d; allowed are 1 to %d slots and at least as many connections", a.Slots, a.Connections, member.MaxSlots)
	}
	if a.Weight < 0 || a.Weight > member.MaxWeight {
		return fault.Newf(fault.BadRequest, "weight = %v; allowed is 0 to %d", a.Weight, member.MaxWeight)
	}
	if a.Weight == 0 {
		a.Weight = 1
	}
	if a.Born < 0 {
		return fault.Newf(fault.BadRequest, "born = %d; allowed are milliseconds of the Unix time", a.Born)
	}
	n.renew(a, state)
	return nil
}

func validService(s string) bool {
	target, rest, ok := splitTarget(s + "/k")
	return ok && rest == "/" && target == s+"/k" && settings.ValidName("k")
}

// renew takes over an announcement. Connections survive as long as the
// address does.
func (n *Node) renew(a *Announcement, state member.State) {
	n.localMu.Lock()
	defer n.localMu.Unlock()
	old := n.local.Load()
	if n.outdated(a, old) {
		return
	}
	if old != nil && old.anotherStart(a) {
		n.retire(old.instance, old.born)
		endEarlier(old, a)
		if old.client.Addr() == a.Address {
			n.quarantine.ended(old)
		}
		old = nil
	}
	next := &local{
		service: a.Service, slots: a.Slots, weight: a.Weight, life: chart.Start,
		instance: a.Instance, born: a.Born, sequence: a.Sequence,
		expires: time.Now().Add(n.opt.Lease.Duration),
	}
	if old != nil {
		next.life, next.start = old.life, old.start
	} else {
		n.backendStarts++
		next.start = n.backendStarts
	}
	if to, ok := backendChart.Next(next.life, backendSays[state]); ok {
		next.life = to
	}
	next.state = backendState(next.life)
	if old != nil && old.client.Addr() == a.Address {
		next.client = old.client
	} else {
		next.client = backend.New(a.Address, backend.Options{
			MaxConns: a.Connections, IdleMax: backendIdleMax, DialTimeout: backendDialTimeout, ProbeInterval: backendQuiet,
		})
	}
	n.local.Store(next)
	changed := old == nil || old.service != next.service || old.slots != next.slots || old.weight != next.weight || old.state != next.state
	if changed {
		n.applyGate()
		n.publishMeta()
		n.event("backend", next.service+" is "+state.String()+" at "+a.Address)
	}
}

// anotherStart tells whether an announcement is of another start than the one
// taken in: of another identity, or of the same one born later. A start whose
// birth was not known, as when a node that restarted found it, learns it now.
func (be *local) anotherStart(a *Announcement) bool {
	return be.instance != a.Instance || be.born > 0 && a.Born > be.born
}

// endEarlier ends what an earlier start had. Where the later one stands at the
// same address the earlier cannot answer any more: its requests end at once
// instead of waiting for answers.
func endEarlier(old *local, a *Announcement) {
	if old.client.Addr() == a.Address {
		old.client.Abort()
		return
	}
	old.client.CloseIdleConnections()
}

// outdated tells whether an announcement came late: a newer one of the same
// start was taken in, or a later start, or another identity has taken its
// place. The lock is held.
//
// A clock that steps back can make a later start look like an earlier one. It is
// then taken in when the earlier one is gone: at its first connection that is
// refused, or when its lease runs out.
func (n *Node) outdated(a *Announcement, old *local) bool {
	if a.Instance == "" {
		return false
	}
	if r, ok := n.retired[a.Instance]; ok && a.Born <= r.born && time.Since(r.at) < retiredLife {
		return true
	}
	if old == nil || old.instance != a.Instance || a.Born > old.born {
		return false
	}
	return a.Born < old.born || a.Sequence <= old.sequence
}

// retirement is a start of a backend server that is gone for good.
type retirement struct {
	born int64
	at   time.Time
}

const (
	// maxRetired bounds the identities remembered; they are forgotten together.
	maxRetired = 256
	// retiredLife is how long one is remembered: several times what an
	// announcement that a cut held up takes.
	retiredLife = time.Minute
)

// retire remembers that a start of an identity is gone for good, and those before
// it. Where its birth is not known, all are gone that were born until now: a
// backend server and the node beside it have the same clock. The lock is held.
func (n *Node) retire(instance string, born int64) {
	if instance == "" {
		return
	}
	if len(n.retired) >= maxRetired {
		clear(n.retired)
	}
	now := time.Now()
	if born == 0 {
		born = now.UnixMilli()
	}
	n.retired[instance] = retirement{born, now}
}

// Withdraw takes in that a start of a backend server leaves for good. What it
// has in hand goes on. born is 0 if the withdrawal does not say: then it is of
// the start that is known.
func (n *Node) Withdraw(instance string, born int64) {
	n.localMu.Lock()
	be := n.local.Load()
	known := be != nil && be.instance == instance
	late := known && born > 0 && born < be.born
	switch {
	case late:
	case known:
		n.retire(instance, be.born)
	default:
		n.retire(instance, born)
	}
	n.localMu.Unlock()
	if known && !late {
		n.setLocal(nil, "it withdrew")
	}
}

const (
	backendIdleMax     = 30 * time.Second
	backendDialTimeout = 500 * time.Millisecond
	backendQuiet       = time.Second
)

// setLocal replaces the backend server; nil means that it is gone.
func (n *Node) setLocal(next *local, why string) {
	n.localMu.Lock()
	defer n.localMu.Unlock()
	old := n.local.Swap(next)
	if old == nil {
		return
	}
	old.client.CloseIdleConnections()
	n.publishMeta()
	n.event("backend", old.service+" is gone: "+why)
}

// checkLease ends a lease that was not renewed.
func (n *Node) checkLease(now time.Time) {
	be := n.local.Load()
	if be != nil && now.After(be.expires) {
		n.setLocal(nil, "its lease ran out")
		n.quarantine.ended(be)
	}
}

// applyGate gives the gate the settings of the service beside the node.
func (n *Node) applyGate() {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
