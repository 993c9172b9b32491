package node

import (
	"net/http"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/workspace"
)

// workspaceField carries the name of the workspace from node to node. No HTTP/1.1 header
// field begins with a colon, so a caller cannot set it.
const workspaceField = ":workspace"

// appendWorkspace adds the workspace to the fields of a request between nodes.
func appendWorkspace(fs []wireField, name string) []wireField {
	if name == "" {
		return fs
	}
	return append(fs, wire.Field{Name: workspaceField, Value: name})
}

// directKey returns the key in a request to the project's own HTTP interface. Several keys
// are none, as it is open which one holds.
func directKey(h http.Header) string {
	if values := h[HeaderWorkspaceKey]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// identifyWorkspace sets the workspace of a request that enters at this node, and takes the
// request from the workspace's quota. The result is nil if the request needs no workspace and
// names none.
func (n *Node) identifyWorkspace(conf *config, c *call, r *CallerRequest) (*workspace.Workspace, *fault.Error) {
	if c.policy.WorkspaceRequired && !n.quotas.keysTrusted(n.clock()) {
		return nil, outdatedRefusal()
	}
	w := conf.tree.Workspaces().ByKey(r.Key)
	if w == nil {
		if !c.policy.WorkspaceRequired {
			return nil, nil
		}
		return nil, n.unknownKey(conf, c, r)
	}
	c.workspace = w.Name
	c.header = appendWorkspace(c.header, w.Name)
	account := conf.accounts[w.Index]
	if wait, ok := n.takeFromQuota(c, account, r); !ok {
		n.logQuotaRefusal(conf, c, w)
		e := fault.New(fault.QuotaExceeded, "the workspace has reached its limit")
		e.RetryAfter = wait
		return nil, e
	}
	c.account = account
	return w, nil
}

// takeFromQuota admits the call within the limit of its workspace, or returns when its caller
// may come back.
func (n *Node) takeFromQuota(c *call, account *quota.Account, r *CallerRequest) (wait time.Duration, ok bool) {
	wait, ok = account.Take(n.clock())
	if ok {
		return 0, true
	}
	remaining := c.policy.Deadline
	if r.Remaining > 0 {
		remaining = min(remaining, r.Remaining)
	}
	fromLedger, ok := n.quotas.ask(account, remaining)
	if ok {
		return 0, true
	}
	account.Refused.Add(1)
	if fromLedger > 0 {
		wait = min(wait, fromLedger)
	}
	return min(max(wait, minQuotaWait), maxQuotaWait), false
}

// minQuotaWait and maxQuotaWait bound the Retry-After of a request beyond its quota.
const (
	minQuotaWait = 50 * time.Millisecond
	maxQuotaWait = 3 * time.Second
)

// unknownKey returns the error for a request without the key of a workspace.
func (n *Node) unknownKey(conf *config, c *call, r *CallerRequest) *fault.Error {
	if r.Key == "" && r.Parent != "" {
		// Nested calls carry no key. The request that it belongs to has ended, for example
		// with the previous process of this node.
		return fault.New(fault.Canceled, "the request that this call belongs to has ended")
	}
	detail := "the key belongs to no workspace"
	if r.Key == "" {
		detail = "the request has no key of a workspace"
	}
	e := n.unlessOutdated(conf, fault.New(fault.Unauthenticated, detail))
	if n.requestLog.notable.allow(n.clock(), notableLinesPerSecond) {
		n.info("workspace", "Refused a request without a known key.", "id", c.id, "kind", c.target, "outcome", e.Code.String(), "detail", detail, "config_version", conf.version)
	}
	return e
}

// unlessOutdated returns e, which follows from the settings in force, or a temporary refusal
// if this node may lack newer settings that would allow the request.
func (n *Node) unlessOutdated(conf *config, e *fault.Error) *fault.Error {
	if n.settingsCurrent(conf) {
		return e
	}
	return outdatedRefusal()
}

// outdatedRefusal returns the error of a request that current settings may allow.
func outdatedRefusal() *fault.Error {
	refusal := fault.New(fault.Starting, "this node may lack the current settings")
	refusal.RetryAfter = retry.RetryAfter(0, runtimeRand{}.Float64())
	return refusal
}

// contactTimeout is how long a node may hear of no other one, and how long a confirmation by a
// quorum holds, until it takes its settings for possibly outdated. It is several times the
// interval of gossip probes.
const contactTimeout = 2 * time.Second

// settingsCurrent reports whether the settings of this node are the current ones as far as it
// can know: it has some, no newer version was heard of, the process has not just been paused, and
// either a quorum confirmed them recently, or other nodes were heard recently and a current link
// member reaches each other failure domain.
func (n *Node) settingsCurrent(conf *config) bool { return n.settingsDoubt(conf).cause == noDoubt }

// settingsDoubt returns why the settings of this node may be outdated, if they may.
func (n *Node) settingsDoubt(conf *config) settingsDoubt {
	now, heard := n.clock(), n.gossip.highestVersion.Load()
	switch {
	case conf.version == 0:
		return settingsDoubt{cause: noSettings}
	case heard > conf.version:
		return settingsDoubt{cause: newerVersionHeard, heard: heard}
	case n.pauses.recent(now):
		return settingsDoubt{cause: recentlyPaused}
	case len(n.bootstrap()) == 0 && !n.replicas.hasOtherVoters():
		return settingsDoubt{}
	}
	if age, ok := n.confirmationAge(); ok && age <= contactTimeout {
		return settingsDoubt{}
	}
	contact := n.gossip.lastContact()
	if silence := now - contact; contact == 0 || silence > contactTimeout {
		return settingsDoubt{cause: noContact, silence: silence}
	}
	domains := n.view.Load().domains
	for name, d := range domains {
		switch {
		case !d.Reachable:
			return settingsDoubt{cause: domainCutOff, domain: name}
		case !d.InContact():
			return settingsDoubt{cause: domainNotReported, domain: name}
		}
	}
	// A replica knows from its group which domains there are, also after a restart.
	if name := n.replicas.unmetDomain(domains); name != "" {
		return settingsDoubt{cause: domainNotReported, domain: name}
	}
	return settingsDoubt{}
}

// logQuotaRefusal logs what decided that a request is beyond its workspace's limit.
func (n *Node) logQuotaRefusal(conf *config, c *call, w *workspace.Workspace) {
	if !n.requestLog.notable.allow(n.clock(), notableLinesPerSecond) {
		return
	}
	share, granted := conf.accounts[w.Index].CurrentShare(n.clock())
	n.info("quota", "Beyond the limit of the workspace.", "id", c.id, "kind", c.target, "workspace", w.Name, "rate", w.Limit.Rate, "burst", w.Limit.Burst,
		"share_rate", share.Rate, "share_burst", share.Burst, "granted", granted, "config_version", conf.version)
}

// WorkspaceStatus is the state of a workspace on one node.
type WorkspaceStatus struct {
	Name string `json:"name"`
	// Keys are the fingerprints of its keys.
	Keys []string `json:"keys"`
	// Class is empty if that of the request kinds holds.
	Class string `json:"class,omitempty"`
	// Rate and Burst are its limit over all nodes; 0 means none.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Admitted and Refused count the requests at this node since its start.
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	// ShareRate and ShareBurst are the fractions of the limit that this node may use without
	// asking. Granted is false if they do not come from the ledger.
	ShareRate  float64 `json:"share_rate"`
	ShareBurst float64 `json:"share_burst"`
	Granted    bool    `json:"granted"`
}

// WorkspaceStatuses returns the state of all workspaces on this node, sorted by name.
func (n *Node) WorkspaceStatuses() []WorkspaceStatus {
	conf, now := n.conf.Load(), n.clock()
	out := make([]WorkspaceStatus, 0, len(conf.accounts))
	for _, w := range conf.tree.Workspaces().All() {
		a := conf.accounts[w.Index]
		share, granted := a.CurrentShare(now)
		s := WorkspaceStatus{
			Name: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst, Admitted: a.Admitted.Load(), Refused: a.Refused.Load(),
			ShareRate: share.Rate, ShareBurst: share.Burst, Granted: granted,
		}
		if w.HasClass {
			s.Class = w.Class.String()
		}
		for _, d := range w.Keys {
			s.Keys = append(s.Keys, d.Fingerprint())
		}
		out = append(out, s)
	}
	return out
}

// serveWorkspaces returns the state of all workspaces on this node.
func (n *Node) serveWorkspaces(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.WorkspaceStatuses())
}
