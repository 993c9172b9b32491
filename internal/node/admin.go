package node

import (
	"bytes"
	"encoding/json"
	"expvar"
	"io"
	"maps"
	"net/http"
	"net/http/pprof"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/burn"
	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/inbound"
	"github.com/umberthread/umberthread/settings"
)

const (
	// maxChangeBytes bounds the body of a proposed change.
	maxChangeBytes = 8 << 20
	// changeTimeout bounds an operator's change of the settings or read of the current ones.
	changeTimeout = 5 * time.Second
	// historyLength is how many changes the history shows.
	historyLength = 20
)

// callerRoutes returns the handler for callers and for the node's backend server.
func (n *Node) callerRoutes() http.Handler {
	if n.opt.HTTPAdapter != nil {
		return http.HandlerFunc(n.serveCallerRequest)
	}
	r := mux.NewRouter()
	r.HandleFunc(announcePath, n.serveAnnounce).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, "", fault.New(fault.NotFound, "requests go to /call/fleet/service/kind"))
	})
	// Requests bypass the router, which would copy each one.
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if len(req.URL.Path) > len(callPrefix) && req.URL.Path[:len(callPrefix)] == callPrefix {
			n.serveCallerRequest(w, req)
			return
		}
		r.ServeHTTP(w, req)
	})
}

// adminRoutes returns the handler for operators.
func (n *Node) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", n.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/members", n.serveMembers).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests", n.serveRequests).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", n.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/burn", n.serveBurn).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", n.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", n.serveChange).Methods(http.MethodPost)
	r.HandleFunc("/v1/config/explain", n.serveExplain).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/history", n.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/workspaces", n.serveWorkspaces).Methods(http.MethodGet)
	r.HandleFunc("/v1/replicas/form", n.serveForm).Methods(http.MethodPost)
	r.HandleFunc("/v1/drain", n.serveDrain).Methods(http.MethodPost)
	r.HandleFunc("/debug/vars", n.serveVars).Methods(http.MethodGet)
	r.PathPrefix("/debug/pprof/cmdline").HandlerFunc(pprof.Cmdline)
	r.PathPrefix("/debug/pprof/profile").HandlerFunc(pprof.Profile)
	r.PathPrefix("/debug/pprof/trace").HandlerFunc(pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return r
}

// Status is the state of one node as umberctl status shows it.
type Status struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Domain   string `json:"failure_domain"`
	UptimeMs int64  `json:"uptime_ms"`
	Config   uint64 `json:"config_version"`
	// HeardVersion is the highest version of the settings that the node knows to exist.
	// ActivationDelayMs is how long the latest one took to become active after the node learned
	// of it, in milliseconds.
	HeardVersion      uint64 `json:"config_heard_version"`
	ActivationDelayMs int64  `json:"config_late_ms"`
	// ConfigFetches counts the fetches of settings from other nodes, and FailedConfigFetches
	// those that failed.
	ConfigFetches       int64 `json:"config_fetches"`
	FailedConfigFetches int64 `json:"config_fetches_failed"`
	// ConfigConfirmedMs is how long ago a quorum of replicas confirmed that the version in
	// force, or an older one, was the newest, in milliseconds, -1 for never.
	ConfigConfirmedMs int64 `json:"config_confirmed_ms"`
	// ConfigDoubtMs is for how long the version in force may have been outdated, in
	// milliseconds, and ConfigDoubt why; 0 and "" if it is current as far as the node knows.
	ConfigDoubtMs int64  `json:"config_doubt_ms"`
	ConfigDoubt   string `json:"config_doubt,omitempty"`
	// Replicas is the number of replicas that the node knows.
	Replicas int `json:"replicas_known"`
	// UnresponsiveAddresses is the number of unresponsive addresses that the node still probes.
	UnresponsiveAddresses int           `json:"addresses_lost"`
	Backend               BackendStatus `json:"backend"`
	State                 string        `json:"state"`
	Members               int           `json:"members"`
	InFlight              int64         `json:"in_flight"`
	// Served counts the requests of callers and of the node's backend server that received
	// a complete response.
	Served int64 `json:"served"`
	// Calls counts the calls for which an attempt was made, nested ones included, and
	// Retries their further attempts.
	Calls   int64 `json:"calls"`
	Retries int64 `json:"retries"`
	// UnchargedRetries counts the retries after attempts that reached no backend server, and
	// DeniedRetries those not made because the ratio of the called service was used up.
	UnchargedRetries int64 `json:"retries_uncharged"`
	DeniedRetries    int64 `json:"retries_denied"`
	// Refusals counts the refusals by reason.
	Refusals map[string]int64 `json:"refusals"`
	// BrokenResponses counts responses that could not be sent completely.
	BrokenResponses int64 `json:"cut_off_answers"`
	// Unanswered counts the sent requests that may have been executed and ended without a response, by
	// hop (server or peer) and reason.
	Unanswered map[string]int64 `json:"unanswered"`
	// DoubtedAttempts counts the attempts that had no response for far longer than usual. They went on.
	DoubtedAttempts int64 `json:"doubted_attempts"`
	// SilentConnections counts connections to other nodes that were found unresponsive.
	SilentConnections int64        `json:"silent_connections"`
	Control           ControlBytes `json:"control_bytes"`
	// Inbound is what the process holds for those that connect to it.
	Inbound InboundStatus `json:"inbound"`
	// Dropped counts the items dropped by full queues, by queue.
	Dropped map[string]int64 `json:"dropped"`
	Replica *ReplicaStatus   `json:"replica,omitempty"`
	// Quarantined are the fingerprints of requests that are refused because similar ones
	// terminated backend servers.
	Quarantined []QuarantineStatus `json:"quarantined,omitempty"`
	// Domains reports for each other failure domain whether it is reachable.
	Domains map[string]bool `json:"domains_reachable"`
}

// BackendStatus is the state of a node's backend server and its admission gate.
type BackendStatus struct {
	Service  string `json:"service,omitempty"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Level    int    `json:"level"`
	// FirstArrivals counts the requests that were sent to backend servers beside this node for
	// the first time, and RepeatedArrivals those that may have reached a backend server before
	// or were made by an execution that was a repeat.
	FirstArrivals    int64 `json:"first_arrivals"`
	RepeatedArrivals int64 `json:"repeated_arrivals"`
	// RefusedRepeats counts the repeats that were not sent because the ratio of the service
	// was used up.
	RefusedRepeats int64 `json:"refused_repeats"`
	// RateLimit is the limit that the backend server names, in requests per second, 0 for
	// none, and RateLimitAgeMs the time since a response last named it.
	RateLimit      float64 `json:"rate_limit,omitempty"`
	RateLimitAgeMs int64   `json:"rate_limit_age_ms,omitempty"`
	// Leaving is set once the backend server has said that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// ControlBytes counts the bytes of gossip packets and control connections since the
// start of the node.
type ControlBytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// ReplicaStatus is the state of a node's replica.
type ReplicaStatus struct {
	ID     string        `json:"id"`
	Groups []GroupStatus `json:"groups"`
}

// GroupStatus is the state of one replica group as seen by one replica.
type GroupStatus struct {
	Group int  `json:"group"`
	Leads bool `json:"leads"`
	// Leader is the address of the known leader and LeaderID its identity. Term grows with
	// each election.
	Leader   string `json:"leader,omitempty"`
	LeaderID string `json:"leader_id,omitempty"`
	Term     uint64 `json:"term"`
	// LeaderlessMs is how long this replica, a member of the group, has known no leader, in
	// milliseconds. SilentVoters are the voters from which it has not heard for
	// SuspectAfter as the leader, or since it knows none.
	LeaderlessMs int64         `json:"leaderless_ms,omitempty"`
	SilentVoters []SilentVoter `json:"silent_voters,omitempty"`
	Applied      uint64        `json:"applied"`
	// ToleratesFailure reports, on the leader, whether the group can still commit if
	// one more replica fails. RepairMs is how long it last could not, in milliseconds.
	ToleratesFailure bool  `json:"bears_loss"`
	RepairMs         int64 `json:"repair_ms,omitempty"`
	// SavingMs is how long the save in progress on this replica has taken, in
	// milliseconds. Stalled reports, on the leader, whether too few disks respond for
	// a change to be accepted.
	SavingMs int64 `json:"saving_ms,omitempty"`
	Stalled  bool  `json:"stalled,omitempty"`
	// WriteRefusedMs is how long this replica's disk has refused writes, in
	// milliseconds, and 0 while it accepts them.
	WriteRefusedMs int64    `json:"write_refused_ms,omitempty"`
	Voters         []string `json:"voters"`
	Learners       []string `json:"learners,omitempty"`
}

// Status returns the node's state.
func (n *Node) Status() Status {
	v := n.view.Load()
	s := Status{
		ID: n.id, Name: n.opt.Name, Domain: n.opt.Domain, UptimeMs: n.clock().Milliseconds(),
		Config: n.conf.Load().version, HeardVersion: n.gossip.highestVersion.Load(), ActivationDelayMs: n.versions.activationDelay().Milliseconds(),
		ConfigFetches: n.versions.fetches.Load(), FailedConfigFetches: n.versions.failedFetches.Load(), Replicas: len(v.replicas), UnresponsiveAddresses: n.gossip.lostAddresses(), Backend: n.backendStatus(), State: nodeChart.StateName(n.state.load()),
		Members: len(v.members) + 1, InFlight: n.stats.inflight.Load(), Served: n.stats.servedRequests.Load(), Calls: n.stats.firstAttempts.Load(),
		Retries: n.stats.retries.Load(), Refusals: n.stats.refusalsByReason(), BrokenResponses: n.stats.brokenResponses.Load(), Unanswered: n.unanswered.byReason(), DoubtedAttempts: n.stats.doubtedAttempts.Load(),
		SilentConnections: n.peers.silentConnections(), Inbound: n.inboundStatus(), Domains: map[string]bool{}, Replica: n.replicas.status(), Dropped: n.droppedCounts(),
		Quarantined: n.quarantine.status(), UnchargedRetries: n.stats.unchargedRetries.Load(), DeniedRetries: n.stats.deniedRetries.Load(),
	}
	s.ConfigConfirmedMs = -1
	if age, ok := n.confirmationAge(); ok {
		s.ConfigConfirmedMs = age.Milliseconds()
	}
	doubt, reason := n.settingsDoubtStatus()
	s.ConfigDoubtMs, s.ConfigDoubt = doubt.Milliseconds(), reason
	c := &n.control.counter
	s.Control = ControlBytes{n.stats.controlBytesIn.Load() + c.In.Load(), n.stats.controlBytesOut.Load() + c.Out.Load()}
	for name, d := range v.domains {
		s.Domains[name] = d.Reachable
	}
	return s
}

// droppedCounts returns the number of items that full queues dropped, by queue.
func (n *Node) droppedCounts() map[string]int64 {
	d := map[string]int64{"packets": n.gossip.packets.Dropped(), "fetches": n.gossip.configHints.Dropped()}
	for _, g := range n.replicas.groups {
		d["replica_inbox"] += g.inbox.Dropped()
	}
	for category, v := range n.requestLog.skippedLines() {
		d["log_"+category] = v
	}
	n.replicas.mu.Lock()
	defer n.replicas.mu.Unlock()
	for _, s := range n.replicas.senders {
		d["replica_sender"] += s.dropped()
	}
	return d
}

// backendStatus returns the state of the node's backend server and admission gate.
func (n *Node) backendStatus() BackendStatus {
	l := n.gate.load()
	s := BackendStatus{
		State: "absent", Limit: l.limit, InFlight: l.inflight, Queued: l.queued, Level: int(l.level),
		FirstArrivals: n.stats.firstArrivals.Load(), RepeatedArrivals: n.stats.repeatedArrivals.Load(), RefusedRepeats: n.stats.refusedRepeats.Load(),
	}
	if be := n.local.Load(); be != nil {
		s.Service, s.State, s.Slots = be.service, be.memberState.String(), be.slots
		s.Leaving = be.leaving
	}
	limit := n.gate.rateLimitStatus()
	s.RateLimit, s.RateLimitAgeMs = limit.rate, limit.age.Milliseconds()
	return s
}

// status returns the state of this node's replica, or nil if it has none.
func (r *replicas) status() *ReplicaStatus {
	if len(r.groups) == 0 {
		return nil
	}
	s := &ReplicaStatus{ID: r.id}
	for _, g := range r.groups {
		gs := GroupStatus{Group: g.id, Leads: g.leads.Load(), Leader: r.leaderAddr(g.id), Applied: g.applied.Load()}
		gs.ToleratesFailure = gs.Leads && g.toleratesFailure.Load()
		gs.SavingMs = time.Duration(g.saveTime.Load()).Milliseconds()
		gs.Stalled = g.stalled.Load()
		gs.WriteRefusedMs = g.writeRefusedFor().Milliseconds()
		gs.Term, gs.LeaderlessMs = g.term.Load(), time.Duration(g.leaderlessFor.Load()).Milliseconds()
		if id := g.leaderID.Load(); id != nil {
			gs.LeaderID = *id
		}
		if silent := g.silentVoters.Load(); silent != nil {
			gs.SilentVoters = *silent
		}
		gs.RepairMs = time.Duration(g.lastRepairTime.Load()).Milliseconds()
		if conf := g.conf.Load(); conf != nil {
			for _, p := range conf.Voters {
				gs.Voters = append(gs.Voters, p.ID+"@"+p.Addr)
			}
			for _, p := range conf.Learners {
				gs.Learners = append(gs.Learners, p.ID+"@"+p.Addr)
			}
		}
		s.Groups = append(s.Groups, gs)
	}
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) }

// MemberStatus is the state of a member of a node's failure domain.
type MemberStatus struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Domain  string `json:"failure_domain"`
	Status  string `json:"status"`
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
	HTTP    string `json:"http"`
	Admin   string `json:"admin"`
	Replica string `json:"replica,omitempty"`
}

// serveMembers returns the members of this failure domain, this node first.
func (n *Node) serveMembers(w http.ResponseWriter, _ *http.Request) {
	m := n.meta()
	out := []MemberStatus{{n.id, m.Name, n.opt.Domain, "alive", m.Service, m.State.String(), m.HTTP, m.Admin, m.Replica}}
	for _, v := range n.view.Load().members {
		out = append(out, MemberStatus{v.ID, v.meta.Name, n.opt.Domain, v.Status.String(), v.meta.Service, v.meta.State.String(), v.meta.HTTP, v.meta.Admin, v.meta.Replica})
	}
	writeJSON(w, out)
}

// serveRequests returns the kept traces, filtered by request id and reason if given.
func (n *Node) serveRequests(w http.ResponseWriter, r *http.Request) {
	id, reason := r.URL.Query().Get("id"), r.URL.Query().Get("reason")
	out := []Trace{}
	for _, t := range n.traces.all() {
		if (id == "" || t.RequestID == id) && (reason == "" || t.Reason == reason) {
			out = append(out, t)
		}
	}
	writeJSON(w, out)
}

func (n *Node) serveEvents(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.events.all()) }

// BurnReport is one node's part of the error-budget burn report.
type BurnReport struct {
	Node     string           `json:"node"`
	Domain   string           `json:"failure_domain"`
	Kinds    []BurnKind       `json:"kinds"`
	Retries  int64            `json:"retries"`
	Domains  map[string]bool  `json:"domains_reachable"`
	Refusals map[string]int64 `json:"refusals"`
	// Service is the service of the node's backend server, and Overload its latest
	// overload.
	Service  string          `json:"service,omitempty"`
	Overload *overloadPeriod `json:"overload,omitempty"`
}

// BurnKind is the burn record of one request kind with its class and objective.
type BurnKind struct {
	burn.KindReport
	Class     string  `json:"class"`
	Objective float64 `json:"objective"`
}

// serveBurn returns this node's part of the error-budget burn report.
func (n *Node) serveBurn(w http.ResponseWriter, _ *http.Request) {
	out := BurnReport{Node: n.opt.Name, Domain: n.opt.Domain, Retries: n.stats.retries.Load(), Domains: map[string]bool{}, Refusals: n.stats.refusalsByReason(), Service: n.meta().Service, Overload: n.lastOverload.Load()}
	tree := n.conf.Load().tree
	for _, k := range n.burn.Report(time.Now()) {
		p := tree.Policy(k.Scope)
		out.Kinds = append(out.Kinds, BurnKind{k, p.Class.String(), p.Objective})
	}
	for name, d := range n.view.Load().domains {
		out.Domains[name] = d.Reachable
	}
	writeJSON(w, out)
}

// ConfigDocument is one version of the operators' settings.
type ConfigDocument struct {
	Version uint64           `json:"version"`
	Entries settings.Entries `json:"entries"`
}

// serveConfig returns the settings active on this node or, with current=true, the
// current settings as confirmed by a quorum of replicas.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("current") != "true" {
		c := n.conf.Load()
		writeJSON(w, ConfigDocument{c.version, c.entries.Redacted()})
		return
	}
	reply, ferr := n.readCurrentConfig(changeTimeout)
	if ferr != nil {
		writeProblem(w, "", ferr)
		return
	}
	writeJSON(w, ConfigDocument{reply.Version, reply.Entries.Redacted()})
}

// ChangeRequest is a proposed change of the settings.
type ChangeRequest struct {
	// ID identifies the change; a resend carries the same ID.
	ID string `json:"id"`
	// Base is the version that the change is based on.
	Base   uint64           `json:"base"`
	Set    settings.Entries `json:"set,omitempty"`
	Remove []string         `json:"remove,omitempty"`
	Author string           `json:"author,omitempty"`
	Note   string           `json:"note,omitempty"`
}

// ChangeResult is the outcome of a proposed change.
type ChangeResult struct {
	ID      string `json:"id"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason"`
	// Winner is the ID of the change that was accepted on the same base, if this one
	// conflicts, and Current the version after this change was decided.
	Winner  string `json:"winner,omitempty"`
	Current uint64 `json:"current"`
}

// changeReadError returns the error for a change that could not be read, or is too large if err is nil.
func changeReadError(err error) *fault.Error {
	switch {
	case err == nil:
		return fault.Newf(fault.TooLarge, "a change is limited to %d bytes", maxChangeBytes)
	case fault.CodeOf(err) == fault.Overload:
		return fault.Wrap(fault.Overload, err, "cannot read the change")
	}
	return fault.Wrap(fault.BadRequest, err, "malformed change")
}

// serveChange submits a proposed change of the settings and returns its outcome.
func (n *Node) serveChange(w http.ResponseWriter, r *http.Request) {
	body, more, err := inbound.FromContext(r.Context()).ReadAll(r.Body, r.ContentLength, maxChangeBytes)
	if err != nil || more || r.ContentLength > maxChangeBytes {
		writeProblem(w, "", changeReadError(err))
		return
	}
	var req ChangeRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeProblem(w, "", fault.Wrap(fault.BadRequest, err, "malformed change"))
		return
	}
	if len(req.Set) == 0 && len(req.Remove) == 0 {
		writeProblem(w, req.ID, fault.New(fault.InvalidSetting, "the change sets and removes nothing"))
		return
	}
	if ferr := n.checkSettingsSize(n.settingsWith(req.Set)); ferr != nil {
		writeProblem(w, req.ID, ferr)
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	c := confstore.Change{
		ID: req.ID, Base: req.Base, Patch: settings.Patch{Set: req.Set, Remove: req.Remove},
		Author: req.Author, Note: req.Note, AtMs: time.Now().UnixMilli(),
	}
	b, ferr := n.submitCommand(configGroup, encodeMsgpack(&c), changeTimeout)
	if ferr != nil {
		writeProblem(w, req.ID, ferr)
		return
	}
	var res confstore.Result
	if err := msgpack.Unmarshal(b, &res); err != nil {
		writeProblem(w, req.ID, fault.Wrap(fault.Internal, err, "malformed result of a change").WithUnknownExecution())
		return
	}
	if res.Code != fault.None {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(res.Code.HTTPStatus())
	}
	writeJSON(w, ChangeResult{res.ID, res.Version, res.Code.String(), res.Winner, res.Current})
}

// settingsWith returns the settings in force with entries set.
func (n *Node) settingsWith(set settings.Entries) settings.Entries {
	merged := maps.Clone(n.conf.Load().entries)
	if merged == nil {
		merged = settings.Entries{}
	}
	maps.Copy(merged, set)
	return merged
}

// serveExplain returns the effective settings of a scope with the origin of each value.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	out, err := n.conf.Load().tree.Explain(r.URL.Query().Get("scope"))
	if err != nil {
		writeProblem(w, "", fault.From(err))
		return
	}
	writeJSON(w, out)
}

// serveHistory returns the latest changes that this node keeps, oldest first.
func (n *Node) serveHistory(w http.ResponseWriter, _ *http.Request) {
	changes := n.conf.Load().changes
	if over := len(changes) - historyLength; over > 0 {
		changes = changes[over:]
	}
	shown := slices.Clone(changes)
	for i := range shown {
		shown[i].Patch.Set = shown[i].Patch.Set.Redacted()
	}
	writeJSON(w, shown)
}

// serveForm forms the replica groups with this node's replica as their first member.
func (n *Node) serveForm(w http.ResponseWriter, _ *http.Request) {
	if err := n.replicas.formGroups(); err != nil {
		writeProblem(w, "", fault.From(err))
		return
	}
	n.logEvent("replica", "Formed the replica groups.")
	writeJSON(w, n.replicas.status())
}

// serveDrain drains this node or, with on=false, ends its drain.
func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on") != "false"
	e := nodeEventUndrain
	if on {
		e = nodeEventDrain
	}
	if !n.state.applyEvent(nodeChart, e) {
		writeProblem(w, "", fault.New(fault.Conflict, "the node is "+nodeChart.StateName(n.state.load())))
		return
	}
	n.publishMeta()
	n.gossip.wakeLinks()
	text := "An operator drains this node."
	if !on {
		text = "An operator puts this node back to work."
	}
	n.logEvent("node", text)
	writeJSON(w, n.Status())
}

// WriteLatencies writes, as text, the histograms of the latencies of callers' requests and of
// the time that settings took to become active.
func (n *Node) WriteLatencies(w io.Writer) {
	n.latencies.WriteText(w)
	n.versions.delays.WriteText(w, "umberthread_config_delay_seconds")
}

// serveVars returns the expvar variables and this node's status. The status is not
// registered with expvar, so several nodes can run in one test process.
func (n *Node) serveVars(w http.ResponseWriter, _ *http.Request) {
	vars := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	status, err := json.Marshal(n.Status())
	if err == nil {
		vars["umberthread"] = status
	}
	writeJSON(w, vars)
}
