package quota

import (
	"math"
	"slices"
	"strings"
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
	// domainSilentAfter is how long another domain may be silent, several exchanges, until
	// this one no longer waits for its reply.
	domainSilentAfter = 1200 * time.Millisecond
	// domainLostAfter is how long another domain keeps its share without being heard.
	domainLostAfter = 20 * time.Second
	// fallBackAfter is earlier than domainLostAfter, so that a domain that is cut off
	// gives up what it has beyond an equal share before the others take that over.
	fallBackAfter = 15 * time.Second
	// nodeFloor and domainFloor are demands, in requests per second, that are added
	// to those reported, so that each reporting node and each domain has a share.
	nodeFloor   = 0.1
	domainFloor = 0.2

	// initialDivisor divides the equal share of a domain until the others were heard.
	initialDivisor = 4

	// poolSpare is the part of the rate beyond the demand that stays with the ledger,
	// for nodes that ask, poolMin the least part of the whole rate, and poolBurst the part
	// of the burst.
	poolSpare = 0.5
	poolMin   = 0.05
	poolBurst = 0.5
	// burstToRate is the part of the burst that goes into the rate of a workspace that is
	// saturated, and saturationEnds the part of the rate below which its demand must fall
	// until it no longer is.
	burstToRate    = 0.7
	saturationEnds = 0.9
	// minShareTokens is the least size of a bucket that is granted.
	minShareTokens = 3
	// maxWait bounds the time that a refused node is told to wait.
	maxWait = 3 * time.Second
)

// Claim is what the ledger of one failure domain tells the others of a workspace.
type Claim struct {
	Workspace string
	// Demand is in requests per second.
	Demand float64
	// Fraction is the most that the domain uses of the workspace's limit until its next
	// claim.
	Fraction float64
}

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

// pool is the token bucket of a ledger.
type pool struct {
	tokens float64
	at     time.Duration
	// promised is when the next token is free for a node that was told to wait.
	promised time.Duration
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

// initialFraction is what a domain may use of a limit before it knows of claims of the
// others. If it hears all of them none has a claim, and its part is an equal one.
// Otherwise their parts can sum up to nearly the whole.
func (l *Ledger) initialFraction(now time.Duration) float64 {
	equal := 1 / float64(l.domains)
	hears := 0
	for _, at := range l.heard {
		if now-at <= domainSilentAfter {
			hears++
		}
	}
	if hears >= l.domains-1 {
		return equal
	}
	return equal / initialDivisor
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

// poolRate returns the rate of the pool in tokens per second.
func (a *ledgerAccount) poolRate(limit Limit, b boost) float64 {
	whole := a.fraction * b.rate
	return max(poolMin*whole, whole-a.granted.Rate) * limit.Rate
}

// refill adds the tokens that have arrived in the pool.
func (l *Ledger) refill(now time.Duration, a *ledgerAccount, limit Limit) {
	b := l.boost(now, a, limit)
	size := max(0, a.fraction*b.burst-a.granted.Burst)*l.tolerance.spread(limit) + l.tolerance.reserve(l.domains)
	if now > a.pool.at {
		a.pool.tokens += (now - a.pool.at).Seconds() * a.poolRate(limit, b)
		a.pool.at = now
	}
	a.pool.tokens = min(a.pool.tokens, max(1, size))
}

// Ask takes up to want tokens from the pool, at least 1 if there is any. If there is none,
// it returns how long to wait until the next one is free for this node.
func (l *Ledger) Ask(now time.Duration, workspace string, want int, limit Limit) (tokens int, wait time.Duration) {
	l.touch(now)
	if limit.Unlimited() {
		return want, 0
	}
	a := l.account(now, workspace)
	l.refill(now, a, limit)
	if a.pool.tokens >= 1 {
		// Half of the pool stays for the others that ask.
		tokens = min(want, max(1, int(a.pool.tokens/2)))
		a.pool.tokens -= float64(tokens)
		return tokens, 0
	}
	interval := time.Duration(float64(time.Second) / max(a.poolRate(limit, l.boost(now, a, limit)), 1/maxWait.Seconds()))
	a.pool.promised = min(max(a.pool.promised, now)+interval, now+maxWait)
	return 0, a.pool.promised - now
}

// Merge records the claims of another failure domain.
func (l *Ledger) Merge(now time.Duration, domain string, claims []Claim) {
	l.touch(now)
	if domain == l.domain {
		return
	}
	l.heard[domain] = now
	equal := 1 / float64(l.domains)
	said := make(map[string]bool, len(claims))
	for _, c := range claims {
		said[c.Workspace] = true
		a := l.account(now, c.Workspace)
		if len(a.peers) == 0 && len(a.reports) == 0 {
			// Others have had the time to take more than equal parts.
			a.fraction = min(a.fraction, equal/initialDivisor)
			a.claimed = a.fraction
		}
		a.peers[domain] = c
	}
	for name, a := range l.accounts {
		if c, known := a.peers[domain]; known && !said[name] {
			// The domain has no demand and claims no more than an equal share.
			a.peers[domain] = Claim{Workspace: name, Fraction: min(c.Fraction, equal)}
		}
	}
}

// Confirm records that another domain has replied, with the claims that Merge got, to the
// claims of a round.
func (l *Ledger) Confirm(domain string, round uint64) {
	l.confirmed[domain] = max(l.confirmed[domain], round)
}

// Round returns the number of the last claims made by Rebalance.
func (l *Ledger) Round() uint64 { return l.round }

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

// Claims returns the claims for the other domains, sorted by workspace.
func (l *Ledger) Claims() []Claim {
	claims := make([]Claim, 0, len(l.accounts))
	for name, a := range l.accounts {
		claims = append(claims, Claim{name, a.demand, a.claimed})
	}
	slices.SortFunc(claims, func(x, y Claim) int { return strings.Compare(x.Workspace, y.Workspace) })
	return claims
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

// adjust moves the domain's part of a limit towards its part of the demand. It lowers the
// part at once. It raises it into what the other domains leave, once they know of it: two
// domains cannot take the same part, as the reply of one tells the other what it claims.
func (l *Ledger) adjust(now time.Duration, a *ledgerAccount, rate float64) {
	if l.domains == 1 {
		a.fraction, a.claimed = 1, 1
		return
	}
	target, room := l.target(now, a, rate)
	if target <= a.fraction {
		a.fraction, a.claimed = target, target
		return
	}
	if l.confirmedSince(now, a.claimedIn) {
		a.fraction = max(a.fraction, min(a.claimed, target, room))
	}
	claim := max(a.fraction, min(target, room))
	if claim > a.claimed {
		a.claimedIn = l.round
	}
	a.claimed = claim
}

// confirmedSince reports whether all domains that are heard have replied to the claims of a
// round or a later one.
func (l *Ledger) confirmedSince(now time.Duration, round uint64) bool {
	for domain, at := range l.heard {
		if now-at <= domainSilentAfter && l.confirmed[domain] < round {
			return false
		}
	}
	return true
}

// target returns the part of a limit that the domain's part of the demand amounts to, and
// the part that the other domains leave.
func (l *Ledger) target(now time.Duration, a *ledgerAccount, rate float64) (target, room float64) {
	equal := 1 / float64(l.domains)
	total, weights, reserved, unheard := a.demand, domainWeight(a.demand), 0.0, l.domains-1
	silent, lost := false, false
	for domain, at := range l.heard {
		unheard--
		c, known := a.peers[domain]
		age := now - at
		silent, lost = silent || age > domainSilentAfter, lost || age > fallBackAfter
		switch {
		case !known || age > domainLostAfter:
			c.Fraction = equal
		case age > domainSilentAfter:
			// It may have raised its part to an equal one since.
			c.Fraction = max(c.Fraction, equal)
		}
		total += c.Demand
		weights += domainWeight(c.Demand)
		reserved += c.Fraction
	}
	unheard = max(0, unheard)
	reserved += equal * float64(unheard)
	weights += domainWeight(0) * float64(unheard)
	target = domainWeight(a.demand) / weights
	switch {
	case total >= rate:
		target = (a.demand + domainFloor) / (total + domainFloor*float64(l.domains))
	case rate > 0:
		target = (a.demand + (rate-total)*target) / rate
	}
	switch {
	case unheard > 0 && now-l.started < domainLostAfter:
		// A domain that is cut off may hold all but what this one had before.
		target = min(target, max(a.granted.Rate, equal/initialDivisor))
	case unheard > 0 || lost:
		target = min(target, equal)
	case silent:
		target = min(target, max(a.fraction, equal))
	}
	return target, 1 - reserved
}

// domainWeight returns the weight of a domain in the division of what is left over.
func domainWeight(demand float64) float64 { return math.Sqrt(demand + domainFloor) }
