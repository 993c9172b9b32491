package discovery

import (
	"maps"
	"slices"
	"time"
)

// lookSpread is the part of the time between two looks of one node by which it
// varies either way, so that the looks of the members do not fall together.
const lookSpread = 0.5

// lookPeriod is the time between two looks of this node, such that the members
// of the failure domain together look once in lookEvery.
func (c *Scheduler) lookPeriod() time.Duration {
	return lookEvery * time.Duration(1+len(c.view.Alive))
}

// looking tells whether there is an address to look at.
func (c *Scheduler) looking() bool {
	return c.LostAddrCount() > 0
}

// forget gives up on what was lost long ago.
func (c *Scheduler) forget(now time.Duration) {
	long := func(_ string, since time.Duration) bool { return now-since >= forgetLost }
	maps.DeleteFunc(c.lostMembers, long)
	maps.DeleteFunc(c.lostReplicas, long)
	maps.DeleteFunc(c.tried, func(addr string, _ time.Duration) bool { return !c.sought(addr) })
}

// Lost returns how many addresses are looked at, as nobody answers there as far as
// is known.
func (c *Scheduler) LostAddrCount() int { return len(c.memberAddrs()) + len(c.replicaAddrs()) }

// sought tells whether an address may be looked at, now or once no replica is
// known.
func (c *Scheduler) sought(addr string) bool {
	_, member := c.lostMembers[addr]
	_, replica := c.lostReplicas[addr]
	return member || replica || slices.Contains(c.bootstrap, addr)
}

// look adds the address to look at, of those that nobody answers from as far as
// is known the one that was looked at longest ago. Lost members and lost replicas
// take turns, so that a rack of lost members does not hold up the replicas.
func (c *Scheduler) look(now time.Duration, targets map[string]time.Duration) {
	c.forget(now)
	lists := [2][]string{c.memberAddrs(), c.replicaAddrs()}
	first, second := lists[c.looks%2], lists[(c.looks+1)%2]
	addr := c.longestAgo(first)
	if addr == "" {
		addr = c.longestAgo(second)
	}
	if addr == "" {
		return
	}
	c.tried[addr] = now
	targets[addr] = lookTimeout
}

// memberAddrs returns where lost members may be. One that answers, as it is still
// leaving, is left alone until the next round.
func (c *Scheduler) memberAddrs() []string {
	addrs := slices.Sorted(maps.Keys(c.lostMembers))
	return slices.DeleteFunc(addrs, func(a string) bool { return c.answered[a] })
}

// replicaAddrs returns where replicas of the settings may be, while none is
// known: where one was, and the addresses from the settings. What answers there
// and is no replica is left alone until the next round.
func (c *Scheduler) replicaAddrs() []string {
	if len(c.view.Replicas) > 0 {
		return nil
	}
	addrs := slices.Concat(c.bootstrap, slices.Collect(maps.Keys(c.lostReplicas)))
	addrs = slices.DeleteFunc(addrs, func(a string) bool {
		return a == c.opt.Self || c.answered[a] || slices.Contains(c.view.Alive, a)
	})
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// longestAgo returns the address that was looked at longest ago and is not being
// asked, a random one of those that never were; "" for none.
func (c *Scheduler) longestAgo(addrs []string) string {
	var best []string
	for _, a := range addrs {
		if c.asked[a] || a == c.opt.Self {
			continue
		}
		switch {
		case len(best) == 0 || c.tried[a] < c.tried[best[0]]:
			best = []string{a}
		case c.tried[a] == c.tried[best[0]]:
			best = append(best, a)
		}
	}
	return c.pick(best)
}
