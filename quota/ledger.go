package quota

import (
	"math"
	"time"
)

const (
	// ShareLifetime is how long a share is valid after a grant. It covers the
	// replacement of a lost ledger.
	ShareLifetime = 4 * time.Second
	// reportLifetime is how long a node's report counts. A node that stopped
	// reporting may use its share until that has expired.
	reportLifetime = ShareLifetime
	// warmUp is how long a new ledger listens before it grants: the first node to
	// report would otherwise get the share of all.
	warmUp = 300 * time.Millisecond
	// idleAfter is how long a ledger may be unused until it starts afresh, as another
	// node has had its role.
	idleAfter = 1500 * time.Millisecond
	// nodeFloor is a demand, in requests per second, that is added to each report in the
	// division of what is left over.
	nodeFloor = 0.1
	// minShareTokens is the least size of a bucket that is granted.
	minShareTokens = 3
	// burstToRate is the part of the burst that goes into the rate of a workspace that is
	// saturated, and saturationEnds the part of the rate below which its demand must fall
	// until it no longer is.
	burstToRate    = 0.7
	saturationEnds = 0.9
)

// Ledger divides the limits of workspaces among the nodes of a failure domain, and with
// the ledgers of other domains among the domains. What it does not grant as shares it
// keeps in a pool for nodes that ask for single tokens. It is not safe for concurrent
// use.
type Ledger struct {
	domain string
	// domains is the number of failure domains that share the limits.
	domains   int
	tolerance Tolerance
	started   time.Duration
	lastUse   time.Duration
	used      bool
	accounts  map[string]*ledgerAccount
	// round numbers the claims made by Rebalance. heard is when each other domain last
	// sent its claims, and confirmed the round of the last claims to which it replied.
	round     uint64
	heard     map[string]time.Duration
	confirmed map[string]uint64
}

// ledgerAccount is what a ledger knows of one workspace.
type ledgerAccount struct {
	reports map[string]report
	// demand, weights and granted are sums over the reports: the requests per second that
	// are asked for, the weights in the division of what is left over, and the shares.
	demand, weights float64
	granted         Share
	// fraction is the domain's part of the limit. claimed is the part that the others have
	// been told of, since round claimedIn: the domain raises its part after they replied.
	fraction, claimed float64
	claimedIn         uint64
	// saturatedSince is when the demand of all domains rose above the rate, 0 if it is below.
	saturatedSince time.Duration
	peers          map[string]Claim
	pool           pool
}

// report is the demand at one node and the share that it was granted.
type report struct {
	demand  float64
	granted Share
	at      time.Duration
}

// NewLedger returns a ledger of a failure domain, one of the given number of domains.
func NewLedger(domain string, domains int, t Tolerance) *Ledger {
	l := &Ledger{domain: domain, domains: max(1, domains), tolerance: t}
	l.Reset(0)
	return l
}

// Reset forgets everything.
func (l *Ledger) Reset(now time.Duration) {
	l.started = now
	l.accounts, l.heard, l.confirmed = map[string]*ledgerAccount{}, map[string]time.Duration{}, map[string]uint64{}
}

// SetDomains sets the number of failure domains.
func (l *Ledger) SetDomains(n int) { l.domains = max(1, n) }

// touch starts afresh if the ledger was not in use.
func (l *Ledger) touch(now time.Duration) {
	if !l.used || now-l.lastUse > idleAfter {
		l.Reset(now)
	}
	l.used, l.lastUse = true, now
}

// account returns the account of a workspace.
func (l *Ledger) account(now time.Duration, name string) *ledgerAccount {
	a := l.accounts[name]
	if a == nil {
		f := l.initialFraction(now)
		a = &ledgerAccount{reports: map[string]report{}, peers: map[string]Claim{}, fraction: f, claimed: f}
		// The nodes may still hold the shares of the previous ledger, whose sum is not known
		// before they have reported.
		a.pool.at = l.started + warmUp
		l.accounts[name] = a
	}
	return a
}

// Report records the demand for a workspace at a node, and the share that the node holds.
// It returns the share of the workspace's limit that the node may use. It is false while
// the ledger has just started: the node keeps the share that it has.
func (l *Ledger) Report(now time.Duration, node, workspace string, demand float64, held Share, limit Limit) (s Share, ok bool) {
	l.touch(now)
	a := l.account(now, workspace)
	l.refill(now, a, limit)
	a.remove(node)
	r := report{demand: demand, granted: held, at: now}
	a.demand += demand
	a.weights += weight(demand)
	ok = now-l.started >= warmUp
	if ok {
		r.granted = a.shareFor(demand, limit, l.tolerance, l.boost(now, a, limit))
	}
	a.granted.add(r.granted, 1)
	a.reports[node] = r
	return r.granted, ok
}

// remove forgets the report of a node.
func (a *ledgerAccount) remove(node string) {
	r, known := a.reports[node]
	if !known {
		return
	}
	a.demand -= r.demand
	a.weights -= weight(r.demand)
	a.granted.add(r.granted, -1)
	delete(a.reports, node)
}

// shareFor returns the share of a node with the given demand. The demand comes first.
// What is left goes in part to the nodes, by the square root of their demand, as the
// fluctuation of random arrivals does. A node whose bucket would hold only a few tokens has no
// share, as much of it would be lost between two requests: it asks the pool.
func (a *ledgerAccount) shareFor(demand float64, limit Limit, t Tolerance, b boost) Share {
	if limit.Unlimited() {
		return Share{}
	}
	rate := a.fraction * b.rate * limit.Rate
	spare := rate - a.demand
	var granted float64
	if spare <= 0 {
		granted = (1 - poolMin) * rate * demand / a.demand
	} else {
		granted = min((1-poolMin)*rate/a.demand, 1)*demand + (1-poolSpare)*spare*weight(demand)/a.weights
	}
	part := granted / rate
	burst := a.fraction * part * (1 - poolBurst)
	if burst*t.spread(limit) < minShareTokens {
		return Share{}
	}
	return Share{Rate: a.fraction * b.rate * part, Burst: b.burst * burst}
}

// weight returns the weight of a node in the division of what is left over.
func weight(demand float64) float64 { return math.Sqrt(demand + nodeFloor) }

// boost holds factors of a limit's rate and burst.
type boost struct{ rate, burst float64 }

// boost returns how a limit is divided between rate and burst. A workspace whose demand has
// been above its rate for a whole window has spent its burst, and would be held to less than
// the window allows. Most of the burst then goes into the rate.
func (l *Ledger) boost(now time.Duration, a *ledgerAccount, limit Limit) boost {
	window := l.tolerance.Window
	if a.saturatedSince == 0 || now-a.saturatedSince < window || window <= 0 {
		return boost{1, 1}
	}
	return boost{1 + burstToRate*limit.Burst/(limit.Rate*window.Seconds()), 1 - burstToRate}
}

// Rebalance forgets old reports and moves this domain's fractions towards its part of
// the demand. It returns the claims for the other domains. limit returns the limit of a
// workspace.
func (l *Ledger) Rebalance(now time.Duration, limit func(workspace string) Limit) []Claim {
	l.touch(now)
	l.round++
	for name, a := range l.accounts {
		a.expireReports(now)
		if len(a.reports) == 0 && len(a.peers) == 0 && now-a.pool.at > reportLifetime {
			delete(l.accounts, name)
			continue
		}
		l.trackSaturation(now, a, limit(name).Rate)
		l.adjust(now, a, limit(name).Rate)
	}
	return l.Claims()
}

// expireReports forgets the nodes that have stopped reporting, and sums up anew, which
// keeps rounding errors from growing.
func (a *ledgerAccount) expireReports(now time.Duration) {
	a.demand, a.weights, a.granted = 0, 0, Share{}
	for node, r := range a.reports {
		if now-r.at > reportLifetime {
			delete(a.reports, node)
			continue
		}
		a.demand += r.demand
		a.weights += weight(r.demand)
		a.granted.add(r.granted, 1)
	}
}

// trackSaturation records since when the demand of all domains is above the rate.
func (l *Ledger) trackSaturation(now time.Duration, a *ledgerAccount, rate float64) {
	total := a.demand
	for _, c := range a.peers {
		total += c.Demand
	}
	switch {
	case total < saturationEnds*rate:
		a.saturatedSince = 0
	case total > rate && a.saturatedSince == 0:
		a.saturatedSince = now
	}
}
