package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/quota"
)

const (
	// quotaInterval is the time between two reports of demand to the domain's ledger.
	quotaInterval = 250 * time.Millisecond
	// minQuotaInterval is the shortest time until a report of demand that the ledger does not
	// know.
	minQuotaInterval = 50 * time.Millisecond
	// quotaTimeout bounds one report or exchange of claims.
	quotaTimeout = 300 * time.Millisecond
	// reportTimePerWorkspace stretches the interval of a node with many workspaces in use, up
	// to maxQuotaInterval: a report then costs about 3 kB a second.
	reportTimePerWorkspace = 20 * time.Millisecond
	maxQuotaInterval       = quota.ShareLifetime / 4
	// minReportedDemand is the demand below which a workspace is not reported, in requests
	// per second: its requests ask the pool.
	minReportedDemand = 0.02
)

// quotas keeps the accounts of this node's workspaces, reports their demand and, on the node
// that holds it, runs the ledger of the failure domain.
type quotas struct {
	node *Node
	// wake asks for an early report.
	wake chan struct{}
	// ledgerAt is the node with the ledger, nil if not known yet, and ledgerLost is set while
	// that node does not answer.
	ledgerAt   atomic.Pointer[ledgerNode]
	ledgerLost atomic.Bool
	// asking counts the requests that wait for the ledger.
	asking atomic.Int64
	// confirmedAt is when a quorum of replicas last confirmed the settings in force, on the
	// node's clock, and confirmedVersion is their version or a later one. They are kept only
	// if keys expire without that.
	confirmedAt      atomic.Int64
	confirmedVersion atomic.Uint64
	confirming       atomic.Bool

	// mu guards everything below. Requests use only the accounts' atomic methods.
	mu       sync.Mutex
	accounts map[string]*quota.Account
	inForce  []*quota.Account
	ledger   *quota.Ledger
	// ledgerAddrs caches the control address of the ledger of other domains, and
	// exchanging marks the domains with an exchange in progress.
	ledgerAddrs map[string]string
	exchanging  map[string]bool
}

// newQuotas returns a keeper without accounts.
func newQuotas(n *Node) *quotas {
	q := &quotas{
		node: n, wake: make(chan struct{}, 1), accounts: map[string]*quota.Account{},
		ledgerAddrs: map[string]string{}, exchanging: map[string]bool{},
	}
	q.ledger = quota.NewLedger(n.opt.Domain, n.opt.FailureDomains, q.tolerance())
	return q
}

// bind returns the accounts of a version of the settings, by the index of their workspace, and
// puts its limits in force. Accounts live on through versions, as does what they have admitted.
func (q *quotas) bind(c *config) []*quota.Account {
	q.mu.Lock()
	defer q.mu.Unlock()
	workspaces := c.tree.Workspaces().All()
	q.inForce = make([]*quota.Account, len(workspaces))
	now := q.node.clock()
	kept := make(map[string]*quota.Account, len(workspaces))
	for i, w := range workspaces {
		a := q.accounts[w.Name]
		if a == nil {
			a = quota.NewAccount(w.Name)
		}
		a.SetLimit(now, w.Limit, q.tolerance())
		kept[w.Name], q.inForce[i] = a, a
	}
	q.accounts = kept
	return q.inForce
}

// tolerance returns by how much the operators allow limits to be exceeded.
func (q *quotas) tolerance() quota.Tolerance {
	o := &q.node.opt
	return quota.Tolerance{Window: o.QuotaWindow.Duration, Overshoot: o.QuotaOvershoot, Slack: o.QuotaSlack}
}

// floor returns the part of a limit that this node may use without a share: none while the
// ledger answers.
func (q *quotas) floor() float64 {
	if !q.ledgerLost.Load() {
		return 0
	}
	members := 1
	v := q.node.view.Load()
	for i := range v.members {
		if v.members[i].alive() {
			members++
		}
	}
	return quota.Floor(members * q.domainCount())
}

// domainCount returns the number of failure domains that share the limits.
func (q *quotas) domainCount() int {
	known := len(q.node.view.Load().domains) + 1
	return max(known, q.node.opt.FailureDomains, 1)
}

// ask asks the ledger for a token beyond this node's share, on the goroutine of the request.
// If there is none, it returns how long the caller should wait.
func (q *quotas) ask(a *quota.Account, remaining time.Duration) (wait time.Duration, ok bool) {
	want, ok := a.MayAsk(q.node.clock())
	if !ok {
		return 0, false
	}
	if q.asking.Add(1) > maxAsking {
		q.asking.Add(-1)
		return 0, false
	}
	defer q.asking.Add(-1)
	reply, ok := q.askLedger(&control.AskRequest{Domain: q.node.opt.Domain, Workspace: a.Name(), Tokens: want}, min(askTimeout, remaining/askTimeDivisor))
	now := q.node.clock()
	if !ok {
		a.Close(now + quotaInterval)
		return 0, false
	}
	if reply.Tokens <= 0 {
		a.Close(now + min(reply.Wait, quotaInterval))
		return reply.Wait, false
	}
	a.Deposit(now, min(reply.Tokens, want))
	if _, granted := a.CurrentShare(now); !granted {
		// The ledger does not know the demand of this node yet.
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return 0, true
}

const (
	// maxAsking bounds the requests that wait for the ledger at the same time on this node.
	maxAsking = 64
	// askTimeout bounds the wait of a request for the ledger; askTimeDivisor bounds it to a
	// fraction of the time that the request has left.
	askTimeout     = 100 * time.Millisecond
	askTimeDivisor = 4
)

// askLedger asks the ledger, on this node or another one; false if it did not answer.
func (q *quotas) askLedger(req *control.AskRequest, timeout time.Duration) (reply control.AskReply, ok bool) {
	ledger := q.ledgerAt.Load()
	if ledger == nil {
		return reply, false
	}
	if ledger.id == q.node.id {
		return q.takeFromPool(req), true
	}
	err := q.node.control.pool.Call(ledger.addr, "Ask", req, &reply, timeout)
	return reply, err == nil && reply.IsLedger
}

// takeFromPool takes tokens from the pool of the ledger on this node.
func (q *quotas) takeFromPool(req *control.AskRequest) control.AskReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[req.Workspace]
	if a == nil || req.Tokens < 1 {
		// Its settings are older or newer than those of the node that asks.
		return control.AskReply{IsLedger: true}
	}
	tokens, wait := q.ledger.Ask(q.node.clock(), req.Workspace, min(req.Tokens, maxAskedTokens), a.Limit())
	return control.AskReply{IsLedger: true, Tokens: tokens, Wait: wait}
}

// maxAskedTokens bounds the tokens of one answer.
const maxAskedTokens = 256

// loop reports demand until the node stops.
func (q *quotas) loop() {
	t := time.NewTimer(quotaInterval)
	defer t.Stop()
	for {
		select {
		case <-q.node.stop:
			return
		case <-t.C:
		case <-q.wake:
			time.Sleep(minQuotaInterval)
		}
		t.Reset(reportInterval(q.round()))
	}
}

// reportInterval returns the time until the report after one with a number of workspaces.
func reportInterval(workspaces int) time.Duration {
	return min(max(quotaInterval, time.Duration(workspaces)*reportTimePerWorkspace), maxQuotaInterval)
}

// ledgerNode is the node that holds the ledger of this failure domain.
type ledgerNode struct{ id, addr string }

// inUse reports whether any workspace has a limit, or keys expire without confirmation. The
// ledgers are silent otherwise.
func (q *quotas) inUse() bool {
	if q.node.opt.KeyTrust.Duration > 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.inForce, func(a *quota.Account) bool { return !a.Unlimited() })
}

// round reports this node's demand to the ledger, and balances the ledger if it is here. It
// returns the number of workspaces that weigh on the next interval: none where the ledger is.
func (q *quotas) round() (workspaces int) {
	if !q.inUse() {
		return 0
	}
	ids, addrs := q.node.linkMembers()
	if len(ids) == 0 {
		return 0
	}
	q.ledgerAt.Store(&ledgerNode{ids[0], addrs[0]})
	req := q.collectDemand()
	sent := q.node.clock()
	if ids[0] == q.node.id {
		q.ledgerLost.Store(false)
		q.confirmSettings()
		q.grant(req, q.recordDemand(req), sent)
		q.exchangeClaims()
		return 0
	}
	if len(req.Workspaces) == 0 && q.node.opt.KeyTrust.Duration == 0 {
		return 0
	}
	var reply control.DemandReply
	err := q.node.control.pool.Call(addrs[0], "Demand", req, &reply, quotaTimeout)
	q.ledgerLost.Store(err != nil)
	if err == nil {
		q.grant(req, &reply, sent)
		q.adoptConfirmation(&reply, sent)
	}
	return len(req.Workspaces)
}

// adoptConfirmation records the confirmation that the ledger returned for a report, unless it is
// of newer settings than this node has.
func (q *quotas) adoptConfirmation(reply *control.DemandReply, sent time.Duration) {
	if reply.Confirmed && reply.ConfirmedVersion <= q.node.conf.Load().version {
		q.recordConfirmation(sent-reply.ConfirmedAgo, reply.ConfirmedVersion)
	}
}

// recordConfirmation records when a version of the settings was confirmed.
func (q *quotas) recordConfirmation(at time.Duration, version uint64) {
	// The version comes first, so that none is told with the time of a later one.
	for {
		old := q.confirmedVersion.Load()
		if version <= old || q.confirmedVersion.CompareAndSwap(old, version) {
			break
		}
	}
	for {
		old := q.confirmedAt.Load()
		if int64(at) <= old || q.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// confirmSettings has a quorum of replicas confirm the settings in force, for all nodes of
// this failure domain, if keys expire without that. It does not wait.
func (q *quotas) confirmSettings() {
	if q.node.opt.KeyTrust.Duration == 0 || !q.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer q.confirming.Store(false)
		sent := q.node.clock()
		version := q.node.conf.Load().version
		if reply, ferr := q.node.readCurrentConfig(confirmTimeout); ferr == nil && reply.Version == version {
			q.recordConfirmation(sent, version)
		}
	}()
}

// confirmTimeout bounds one confirmation of the settings.
const confirmTimeout = time.Second

// keysTrusted reports whether keys may be judged by the settings in force.
func (q *quotas) keysTrusted(now time.Duration) bool {
	trust, at := q.node.opt.KeyTrust.Duration, time.Duration(q.confirmedAt.Load())
	return trust == 0 || at > 0 && now-at < trust
}

// collectDemand returns the report of this node. It also adapts the floors.
func (q *quotas) collectDemand() *control.DemandRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, floor := q.node.clock(), q.floor()
	req := &control.DemandRequest{Node: q.node.id, Domain: q.node.opt.Domain}
	for _, a := range q.inForce {
		if a.Unlimited() {
			continue
		}
		a.SetFloor(now, floor)
		demand := a.Demand(now)
		if demand < minReportedDemand {
			continue
		}
		held, _ := a.CurrentShare(now)
		req.Workspaces = append(req.Workspaces, a.Name())
		req.Demand = append(req.Demand, demand)
		req.Held = append(req.Held, held)
	}
	return req
}

// grant puts the shares that a ledger returned for a report in force. A share's lifetime
// counts from when the report was sent, so that it ends before the ledger forgets the report.
func (q *quotas) grant(req *control.DemandRequest, reply *control.DemandReply, sent time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.clock()
	for i, s := range reply.Shares {
		if a := q.accounts[req.Workspaces[min(i, len(req.Workspaces)-1)]]; a != nil && s.Valid() {
			a.Grant(now, s, sent+quota.ShareLifetime)
		}
	}
}

// recordDemand enters a node's report in the ledger and returns the node's shares: those that it
// holds while the ledger has just started, none for a malformed report.
func (q *quotas) recordDemand(req *control.DemandRequest) *control.DemandReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.clock()
	q.prepareLedger(now)
	reply := &control.DemandReply{}
	if len(req.Demand) != len(req.Workspaces) || len(req.Held) != len(req.Workspaces) {
		return reply
	}
	for i, name := range req.Workspaces {
		a := q.accounts[name]
		if a == nil || !(req.Demand[i] >= 0) || !req.Held[i].Valid() {
			reply.Shares = append(reply.Shares, quota.Share{})
			continue
		}
		s, ok := q.ledger.Report(now, req.Node, name, req.Demand[i], req.Held[i], a.Limit())
		if !ok {
			s = req.Held[i]
		}
		reply.Shares = append(reply.Shares, s)
	}
	return reply
}

// prepareLedger sets the number of domains, and starts the ledger afresh after a pause, in
// which another node can have had its role. mu must be held.
func (q *quotas) prepareLedger(now time.Duration) {
	q.ledger.SetDomains(q.domainCount())
	if q.node.pauses.recent(now) {
		q.ledger.Reset(now)
	}
}

// exchangeClaims balances the ledger and starts an exchange of claims with the ledger of each
// other failure domain, without waiting for them.
func (q *quotas) exchangeClaims() {
	targets := q.node.domainAddrs()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.clock()
	q.prepareLedger(now)
	req := &control.ClaimsRequest{Domain: q.node.opt.Domain, Claims: q.ledger.Rebalance(now, q.limitOf)}
	round := q.ledger.Round()
	for domain, addr := range targets {
		if domain == q.node.opt.Domain || q.exchanging[domain] {
			continue
		}
		if ledger := q.ledgerAddrs[domain]; ledger != "" {
			addr = ledger
		}
		q.exchanging[domain] = true
		go q.exchangeWith(domain, addr, req, round)
	}
}

// exchangeWith exchanges claims with another domain, whose ledger is believed to be at addr.
func (q *quotas) exchangeWith(domain, addr string, req *control.ClaimsRequest, round uint64) {
	var reply control.ClaimsReply
	err := q.node.control.pool.Call(addr, "Claims", req, &reply, quotaTimeout)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.exchanging[domain] = false
	if err != nil || reply.Domain != domain {
		delete(q.ledgerAddrs, domain)
		return
	}
	q.ledgerAddrs[domain] = reply.Ledger
	if reply.IsLedger {
		q.ledger.Merge(q.node.clock(), domain, reply.Claims)
		q.ledger.Confirm(domain, round)
	}
}

// limitOf returns the limit of a workspace. mu must be held.
func (q *quotas) limitOf(name string) quota.Limit {
	if a := q.accounts[name]; a != nil {
		return a.Limit()
	}
	return quota.Limit{}
}

// Demand records the demand of a node of this failure domain if the domain's ledger is here.
func (a *controlAPI) Demand(req *control.DemandRequest, reply *control.DemandReply) error {
	n := a.node
	if ids, _ := n.linkMembers(); req.Domain == n.opt.Domain && len(ids) > 0 && ids[0] == n.id {
		*reply = *n.quotas.recordDemand(req)
		if at := n.quotas.confirmedAt.Load(); at > 0 {
			reply.Confirmed, reply.ConfirmedAgo = true, n.clock()-time.Duration(at)
			reply.ConfirmedVersion = n.quotas.confirmedVersion.Load()
		}
	}
	return nil
}

// Ask takes tokens from the pool of this failure domain if its ledger is here.
func (a *controlAPI) Ask(req *control.AskRequest, reply *control.AskReply) error {
	n := a.node
	if l := n.quotas.ledgerAt.Load(); req.Domain == n.opt.Domain && l != nil && l.id == n.id {
		*reply = n.quotas.takeFromPool(req)
	}
	return nil
}

// Claims records the claims of another failure domain and returns those of this one, or the
// address of its ledger if that is not here.
func (a *controlAPI) Claims(req *control.ClaimsRequest, reply *control.ClaimsReply) error {
	n, q := a.node, a.node.quotas
	ids, addrs := n.linkMembers()
	reply.Domain = n.opt.Domain
	if len(ids) == 0 {
		return nil
	}
	reply.Ledger, reply.IsLedger = addrs[0], ids[0] == n.id
	if !reply.IsLedger {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := n.clock()
	q.prepareLedger(now)
	q.ledger.Merge(now, req.Domain, req.Claims)
	reply.Claims = q.ledger.Claims()
	return nil
}
