package confirm

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// renewAfter is the age of a confirmation at which a node asks for another one. It leaves
	// half of the two seconds within which a change must be active to asking and fetching.
	renewAfter = time.Second
	// replicaRenewAfter is the same for a replica, which others ask.
	replicaRenewAfter = 250 * time.Millisecond
	// renewJitter is the fraction by which both are shortened at random, so that nodes that
	// were confirmed together ask apart.
	renewJitter = 0.25
	// askInterval is the time between two questions without a confirmation, and maxAskInterval
	// the same after it has doubled, as it does once the questions exceed patientQuestions.
	askInterval      = 250 * time.Millisecond
	maxAskInterval   = 500 * time.Millisecond
	patientQuestions = 8
	// maxHeard bounds the remembered nodes that were heard of last.
	maxHeard = 8
)

// Targets are the addresses that a node may ask.
type Targets struct {
	// Leader is the address of the leader that a replica knows, else "".
	Leader string
	// Replicas are the known replicas in the node's own failure domain.
	Replicas []string
	// OtherReplicas are those in other failure domains, and addresses where a replica may be.
	OtherReplicas []string
	// LinkMembers are nodes of other failure domains. They are confirmed by their own replicas,
	// of which this node may know none.
	LinkMembers []string
}

// Asker decides when a node asks for a confirmation, and whom.
type Asker struct {
	rng *rand.Rand
	// heard are the addresses of nodes heard of last, the latest one last.
	heard []string
	// askedAt is when each address was last asked.
	askedAt map[string]time.Duration
	// asked counts the questions since the last confirmation, and nextAsk is the earliest time
	// of the next one.
	asked   int
	nextAsk time.Duration
	// since is the confirmation that the questions are to replace, due is when they begin.
	since, due time.Duration
	started    bool
}

// NewAsker returns the asker of a node that has not asked anybody.
func NewAsker(rng *rand.Rand) *Asker {
	return &Asker{rng: rng, askedAt: map[string]time.Duration{}}
}

// Heard records that a message came from the node at an address.
func (a *Asker) Heard(addr string) {
	a.heard = slices.DeleteFunc(a.heard, func(h string) bool { return h == addr })
	a.heard = append(a.heard, addr)
	a.heard = a.heard[max(0, len(a.heard)-maxHeard):]
}

// Next returns the addresses to ask now, and the time after which to call Next again.
// confirmedAt is the time of the last confirmation, 0 for none.
func (a *Asker) Next(now, confirmedAt time.Duration, t Targets) (addrs []string, wait time.Duration) {
	if !a.started || confirmedAt != a.since {
		a.started, a.since, a.asked, a.nextAsk = true, confirmedAt, 0, 0
		a.due = confirmedAt
		if confirmedAt > 0 {
			a.due += a.renewalTime(t)
		}
	}
	if at := max(a.due, a.nextAsk); at > now {
		return nil, at - now
	}
	addrs = a.choose(now, t)
	a.asked++
	interval := askInterval
	if a.asked > patientQuestions {
		interval = maxAskInterval
	}
	a.nextAsk = now + a.shorten(interval)
	return addrs, a.nextAsk - now
}

// renewalTime returns the age at which the confirmation is to be replaced.
func (a *Asker) renewalTime(t Targets) time.Duration {
	if t.Leader != "" {
		return a.shorten(replicaRenewAfter)
	}
	return a.shorten(renewAfter)
}

// shorten returns d less a random part of it.
func (a *Asker) shorten(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - renewJitter*a.rng.Float64()))
}

// choose returns the addresses of one question: first the most likely one alone, then one of each
// kind, as any of them may be gone.
func (a *Asker) choose(now time.Duration, t Targets) []string {
	kinds := [][]string{{t.Leader}, t.Replicas, t.OtherReplicas, t.LinkMembers, a.heard}
	var addrs []string
	for _, kind := range kinds {
		addr := a.leastRecentlyAsked(kind, addrs)
		if addr == "" {
			continue
		}
		a.askedAt[addr] = now
		addrs = append(addrs, addr)
		if a.asked == 0 {
			break
		}
	}
	a.forget(kinds)
	return addrs
}

// leastRecentlyAsked returns the address asked longest ago, "" if there is none but those in
// except. Of several, the choice is random.
func (a *Asker) leastRecentlyAsked(addrs, except []string) string {
	var best []string
	for _, addr := range addrs {
		switch {
		case addr == "" || slices.Contains(except, addr):
		case len(best) == 0 || a.askedAt[addr] < a.askedAt[best[0]]:
			best = []string{addr}
		case a.askedAt[addr] == a.askedAt[best[0]]:
			best = append(best, addr)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[a.rng.IntN(len(best))]
}

// forget drops the times of addresses that are no targets any more.
func (a *Asker) forget(kinds [][]string) {
	for addr := range a.askedAt {
		if !slices.ContainsFunc(kinds, func(kind []string) bool { return slices.Contains(kind, addr) }) {
			delete(a.askedAt, addr)
		}
	}
}
