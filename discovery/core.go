package discovery

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// period is the time between two rounds: anti-entropy for what the gossip's
	// packets have missed.
	period = 2 * time.Second
	// youngFor is how long a process is young: it compares records often and
	// asks the addresses from the settings every other time, so that a fleet
	// that starts together has met within two or three seconds.
	youngFor    = 5 * time.Second
	youngPeriod = 150 * time.Millisecond
	// youngTimeout bounds a comparison of a young process: many of the addresses
	// that it is told may be down.
	youngTimeout = 300 * time.Millisecond
	// joinRetry is the time between two rounds of a process that knows nobody.
	joinRetry = 100 * time.Millisecond
	// timeout bounds a comparison: the records of a large failure domain.
	timeout = 2 * time.Second
	// bootstrapEvery is how often a round asks an address from the settings: one
	// in so many, so that two halves that lost each other meet again.
	bootstrapEvery = 5
	// youngBootstrapEvery is the same in a young process.
	youngBootstrapEvery = 2
	// foreignEnough is how often nodes of other domains must have answered
	// before a node takes itself for the first of its own.
	foreignEnough = 10
)

// Options are what a Core needs to know of its node.
type Options struct {
	// Self is the node's control address, and Domain its failure domain.
	Self, Domain string
	// Rand is the source of choices.
	Rand *rand.Rand
}

// Target is an address to compare records with.
type Target struct {
	Addr    string
	Timeout time.Duration
}

// Answer is what the node at an address said of itself.
type Answer struct {
	// Domain is its failure domain.
	Domain string
	// Seeds are, from a node of another domain, control addresses in this one.
	Seeds []string
}

// Core is the state of one node. It is not safe for concurrent use.
type Core struct {
	opt       Options
	bootstrap []string
	// alive are the control addresses of the members that take part.
	alive []string
	// seeds are addresses in this domain that nodes of other domains named,
	// foreign is how often one of those answered before a member did, and home
	// is an address from the settings that stands in this domain.
	seeds   []string
	foreign int
	home    string
	joined  bool
	// asked are the addresses whose answer is awaited.
	asked map[string]bool

	rounds    int
	nextRound time.Duration
}

// New returns the core of a node that knows nobody, started at time 0.
func New(o Options) *Core {
	return &Core{opt: o, asked: map[string]bool{}}
}

// SetBootstrap takes over the control addresses from the settings, of nodes of
// any failure domain.
func (c *Core) SetBootstrap(addrs []string) { c.bootstrap = slices.Clone(addrs) }

// See takes over the control addresses of the members of the failure domain that
// take part.
func (c *Core) See(alive []string) { c.alive = alive }

// Joined tells whether the node has met its failure domain, or may take itself
// for the first of it.
func (c *Core) Joined() bool { return c.joined }

// Young tells whether the process is young.
func Young(now time.Duration) bool { return now < youngFor }

// Next returns when Due has something to do.
func (c *Core) Next() time.Duration { return c.nextRound }

// Due returns the addresses to compare records with now. Each must be answered
// by Answered or Failed; until then it is not returned again.
func (c *Core) Due(now time.Duration) []Target {
	if now < c.nextRound {
		return nil
	}
	targets := map[string]time.Duration{}
	c.round(now, targets)
	c.nextRound = now + c.roundWait(now)
	c.rounds++
	return c.ask(targets)
}

func (c *Core) ask(targets map[string]time.Duration) []Target {
	var out []Target
	for _, addr := range slices.Sorted(maps.Keys(targets)) {
		if addr == "" || addr == c.opt.Self || c.asked[addr] {
			continue
		}
		c.asked[addr] = true
		out = append(out, Target{addr, targets[addr]})
	}
	return out
}

func (c *Core) roundWait(now time.Duration) time.Duration {
	switch {
	case Young(now):
		return youngPeriod
	case !c.joined:
		return joinRetry
	default:
		return period
	}
}

// round adds the addresses of one round. A young process asks a few at once, as
// many addresses from the settings may be down: a member, the address from the
// settings that stands in this failure domain, or all of them while none is known
// to, and one that another domain named.
func (c *Core) round(now time.Duration, targets map[string]time.Duration) {
	if !Young(now) {
		targets[c.partner(bootstrapEvery)] = timeout
		return
	}
	targets[c.partner(youngBootstrapEvery)] = youngTimeout
	targets[c.pick(c.seeds)] = youngTimeout
	targets[c.home] = youngTimeout
	if c.home != "" {
		return
	}
	for _, addr := range c.bootstrap {
		targets[addr] = youngTimeout
	}
}

// partner returns a random member, or, once in so many rounds and always while
// there is none, an address from the settings or one that another domain named.
func (c *Core) partner(every int) string {
	if len(c.alive) == 0 || c.rounds%every == 0 {
		if addr := c.pick(slices.Concat(c.bootstrap, c.seeds)); addr != "" {
			return addr
		}
	}
	return c.pick(c.alive)
}

// pick returns a random address that is not the node's own, or "".
func (c *Core) pick(addrs []string) string {
	var others []string
	for _, a := range addrs {
		if a != c.opt.Self {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[c.opt.Rand.IntN(len(others))]
}

// Answered takes in the answer of the node at an address.
func (c *Core) Answered(addr string, a Answer) {
	delete(c.asked, addr)
	if a.Domain == c.opt.Domain {
		c.joined = true
		if slices.Contains(c.bootstrap, addr) {
			c.home = addr
		}
		return
	}
	c.seeds = a.Seeds
	c.foreign++
	if c.pick(c.seeds) == "" || len(c.alive) > 0 || c.foreign >= foreignEnough {
		c.joined = true
	}
}

// Failed notes that the node at an address did not answer.
func (c *Core) Failed(addr string) { delete(c.asked, addr) }
