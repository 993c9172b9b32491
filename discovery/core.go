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
	// spread is the part of a round's period by which it varies either way. The
	// rounds of processes that started together would else go on falling together.
	spread = 0.25
	// foreignEnough is how often nodes of other domains must have answered
	// before a node takes itself for the first of its own.
	foreignEnough = 10
)

const (
	// lookEvery is the time between two looks at lost addresses by all members of a
	// failure domain together: each waits as many times longer as there are members.
	// Replicas that come back after all were lost are met within a few such times.
	lookEvery = 100 * time.Millisecond
	// lookTimeout bounds a look: many round trips between domains, and short, as
	// most addresses that are looked at do not answer.
	lookTimeout = 300 * time.Millisecond
	// forgetLost is how long a lost member is looked for: longer than regions
	// lose each other, which is minutes. The addresses from the settings are
	// looked at without end while no replica is known.
	forgetLost = 10 * time.Minute
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
type PeerInfo struct {
	// Domain is its failure domain.
	Domain string
	// Seeds are, from a node of another domain, control addresses in this one.
	Seeds []string
}

// View is what the node knows of the others.
type View struct {
	// Alive are the control addresses of the members of the failure domain that
	// take part.
	Alive []string
	// Replicas are those of the replicas of the settings, in any domain, that are
	// in reach as far as is known.
	Replicas []string
}

// Core is the state of one node. It is not safe for concurrent use.
type Scheduler struct {
	opt       Options
	bootstrap []string
	view      View
	// lostMembers are the addresses of members that took part and no longer do,
	// and lostReplicas those of replicas that were known and no longer are, each
	// with the time since when.
	lostMembers, lostReplicas map[string]time.Duration
	// seeds are addresses in this domain that nodes of other domains named,
	// foreign is how often one of those answered before a member did, and home
	// is an address from the settings that stands in this domain.
	seeds   []string
	foreign int
	home    string
	joined  bool
	// asked are the addresses whose answer is awaited, answered those that have
	// answered since the last round, and tried when each was looked at last.
	asked, answered map[string]bool
	tried           map[string]time.Duration

	rounds    int
	nextRound time.Duration
	looks     int
	nextLook  time.Duration
}

// New returns the core of a node that knows nobody, started at time 0.
func New(o Options) *Scheduler {
	return &Scheduler{
		opt: o, lostMembers: map[string]time.Duration{}, lostReplicas: map[string]time.Duration{},
		asked: map[string]bool{}, answered: map[string]bool{}, tried: map[string]time.Duration{},
	}
}

// SetBootstrap takes over the control addresses from the settings, of nodes of
// any failure domain.
func (c *Scheduler) SetBootstrap(addrs []string) { c.bootstrap = slices.Clone(addrs) }

// See takes over what the node knows now.
func (c *Scheduler) UpdateView(now time.Duration, v View) {
	looking := c.looking()
	lose(now, c.lostMembers, c.view.Alive, v.Alive)
	lose(now, c.lostReplicas, c.view.Replicas, v.Replicas)
	c.view = v
	if !looking {
		// The members that lose somebody together look at different times.
		c.nextLook = now + time.Duration(c.opt.Rand.Float64()*float64(c.lookPeriod()))
	}
}

// lose notes what is no longer there, and forgets what is there again.
func lose(now time.Duration, lost map[string]time.Duration, before, after []string) {
	for _, addr := range before {
		lost[addr] = now
	}
	for _, addr := range after {
		delete(lost, addr)
	}
}

// Joined tells whether the node has met its failure domain, or may take itself
// for the first of it.
func (c *Scheduler) Joined() bool { return c.joined }

// Young tells whether the process is young.
func InStartup(now time.Duration) bool { return now < youngFor }

// Next returns when Due has something to do.
func (c *Scheduler) NextDue() time.Duration {
	if c.looking() {
		return min(c.nextRound, c.nextLook)
	}
	return c.nextRound
}

// Due returns the addresses to compare records with now. Each must be answered
// by Answered or Failed; until then it is not returned again.
func (c *Scheduler) DueTargets(now time.Duration) []Target {
	targets := map[string]time.Duration{}
	if c.looking() && now >= c.nextLook {
		c.look(now, targets)
		c.nextLook = now + c.vary(c.lookPeriod(), lookSpread)
		c.looks++
	}
	if now >= c.nextRound {
		c.round(now, targets)
		c.nextRound = now + c.roundWait(now)
		c.rounds++
		clear(c.answered)
	}
	return c.ask(targets)
}

func (c *Scheduler) ask(targets map[string]time.Duration) []Target {
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

func (c *Scheduler) roundWait(now time.Duration) time.Duration {
	switch {
	case InStartup(now):
		return youngPeriod
	case !c.joined:
		return joinRetry
	default:
		return c.vary(period, spread)
	}
}

// vary returns a time that differs from d by a random part of it, at most part.
func (c *Scheduler) vary(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * (1 + part*(2*c.opt.Rand.Float64()-1)))
}

// round adds the addresses of one round. A young process asks a few at once, as
// many addresses from the settings may be down: a member, the address from the
// settings that stands in this failure domain, or all of them while none is known
// to, and one that another domain named.
func (c *Scheduler) round(now time.Duration, targets map[string]time.Duration) {
	if !InStartup(now) {
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
func (c *Scheduler) partner(every int) string {
	if len(c.view.Alive) == 0 || c.rounds%every == 0 {
		if addr := c.pick(slices.Concat(c.bootstrap, c.seeds)); addr != "" {
			return addr
		}
	}
	return c.pick(c.view.Alive)
}

// pick returns a random address that is not the node's own, or "".
func (c *Scheduler) pick(addrs []string) string {
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
func (c *Scheduler) RecordReply(addr string, a PeerInfo) {
	delete(c.asked, addr)
	c.answered[addr] = true
	if a.Domain == c.opt.Domain {
		c.joined = true
		if slices.Contains(c.bootstrap, addr) {
			c.home = addr
		}
		return
	}
	c.seeds = a.Seeds
	c.foreign++
	if c.pick(c.seeds) == "" || len(c.view.Alive) > 0 || c.foreign >= foreignEnough {
		c.joined = true
	}
}

// Failed notes that the node at an address did not answer.
func (c *Scheduler) RecordFailure(addr string) { delete(c.asked, addr) }
