package quota

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// domainSilentAfter is how long another domain may be silent, several exchanges, until
	// this one no longer waits for its reply.
	domainSilentAfter = 1200 * time.Millisecond
	// domainLostAfter is how long another domain keeps its share without being heard.
	domainLostAfter = 20 * time.Second
	// fallBackAfter is earlier than domainLostAfter, so that a domain that is cut off
	// gives up what it has beyond an equal share before the others take that over.
	fallBackAfter = 15 * time.Second
	// domainFloor is a demand, in requests per second, that gives a domain without demand
	// a share for its first requests.
	domainFloor = 0.2
	// initialDivisor divides the equal share of a domain until the others were heard.
	initialDivisor = 4
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

// maxDemand bounds the demand of a claim, in requests per second.
const maxDemand = 1e12

// valid reports whether the numbers of a claim are in their range.
func (c *Claim) valid() bool {
	return c.Demand >= 0 && c.Demand <= maxDemand && c.Fraction >= 0 && c.Fraction <= 1
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
		if !c.valid() {
			continue
		}
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

// Claims returns the claims for the other domains, sorted by workspace.
func (l *Ledger) Claims() []Claim {
	claims := make([]Claim, 0, len(l.accounts))
	for name, a := range l.accounts {
		claims = append(claims, Claim{name, a.demand, a.claimed})
	}
	slices.SortFunc(claims, func(x, y Claim) int { return strings.Compare(x.Workspace, y.Workspace) })
	return claims
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
