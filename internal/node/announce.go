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
	// Instance is the backend server's identity, new at each of its starts;
	// empty if it has none. Sequence grows with each announcement under it.
	Instance string `json:"instance,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// Announced answers an Announcement.
type Announced struct {
	// LeaseMs is how long the announcement holds, in milliseconds.
	LeaseMs int64 `json:"lease_ms"`
	// Call is the URL prefix for the calls that the backend server makes.
	Call string `json:"call"`
}

const (
	maxAnnouncement = 4 << 10
	maxSlots        = 1 << 14
)

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
	if a.Slots < 1 || a.Slots > maxSlots || a.Connections < a.Slots {
		return fault.Newf(fault.BadRequest, "slots = %d, connections = %d; allowed are 1 to %d slots and at least as many connections", a.Slots, a.Connections, maxSlots)
	}
	if a.Weight < 0 || a.Weight > 100 {
		return fault.Newf(fault.BadRequest, "weight = %v; allowed is 0 to 100", a.Weight)
	}
	if a.Weight == 0 {
		a.Weight = 1
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
	if old != nil && old.instance != a.Instance {
		n.retire(old.instance)
		old.client.Close()
		old = nil
	}
	next := &local{
		service: a.Service, slots: a.Slots, weight: a.Weight, life: chart.Start,
		instance: a.Instance, sequence: a.Sequence,
		expires: time.Now().Add(n.opt.Lease.Duration),
	}
	if old != nil {
		next.life = old.life
	}
	if to, ok := backendChart.Next(next.life, backendSays[state]); ok {
		next.life = to
	}
	next.state = backendState(next.life)
	if old != nil && old.client.Addr() == a.Address {
		next.client = old.client
	} else {
		next.client = backend.New(a.Address, backend.Options{
			MaxConns: a.Connections, IdleMax: backendIdleMax, DialTimeout: backendDialTimeout, Quiet: backendQuiet,
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

// outdated tells whether an announcement came late: a newer one of the same
// identity was taken in, or another identity has taken its place. The lock is
// held.
func (n *Node) outdated(a *Announcement, old *local) bool {
	if a.Instance == "" {
		return false
	}
	if n.retired[a.Instance] {
		return true
	}
	return old != nil && old.instance == a.Instance && a.Sequence <= old.sequence
}

// maxRetired bounds the identities remembered; they are forgotten together.
const maxRetired = 256

// retire remembers an identity that is gone for good. The lock is held.
func (n *Node) retire(instance string) {
	if instance == "" {
		return
	}
	if len(n.retired) >= maxRetired {
		clear(n.retired)
	}
	n.retired[instance] = true
}

// Withdraw takes in that the backend server with an identity leaves for good.
// What it has in hand goes on.
func (n *Node) Withdraw(instance string) {
	n.localMu.Lock()
	n.retire(instance)
	be := n.local.Load()
	n.localMu.Unlock()
	if be != nil && be.instance == instance {
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
	old.client.Close()
	n.publishMeta()
	n.event("backend", old.service+" is gone: "+why)
}

// checkLease ends a lease that was not renewed.
func (n *Node) checkLease(now time.Time) {
	be := n.local.Load()
	if be != nil && now.After(be.expires) {
		n.setLocal(nil, "its lease ran out")
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
