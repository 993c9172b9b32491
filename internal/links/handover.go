package links

import "math"

// handoversPerRound is how many members of a domain are expected to hand over an address in the
// first round in which all of them have met another domain.
const handoversPerRound = 4

// maxDoublings bounds the doublings of the chance; it is beyond any number of members.
const maxDoublings = 40

// HandoverChance returns the probability with which a member that has met a domain of which its
// own one knows no address hands the address over to a link member, in a round after a number of
// previous ones. It doubles with each round until it is 1: if thousands have met the domain, as
// they started at once, a few do before all know it; the only one that has met it does after a
// few rounds. Afterwards it is that of the first round, as the addresses lead nowhere.
func HandoverChance(previousRounds, members int) float64 {
	chance := func(doublings int) float64 {
		return math.Ldexp(handoversPerRound, min(doublings, maxDoublings)) / float64(max(members, 1))
	}
	if previousRounds > 0 && chance(previousRounds-1) >= 1 {
		return min(1, chance(0))
	}
	return min(1, chance(previousRounds))
}

// Unlocated returns the addresses that this node has met in domains of which its own domain, as
// given, knows none.
func (l *State) Unlocated(domains map[string]RemoteDomain) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out map[string]string
	for domain, addr := range l.lastAddr {
		if len(domains[domain].ControlAddrs) > 0 || addr == "" {
			continue
		}
		if out == nil {
			out = map[string]string{}
		}
		out[domain] = addr
	}
	return out
}
