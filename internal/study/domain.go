package study

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberthread/umberthread/gossip"
)

const (
	// timeStep is the resolution of the virtual time.
	timeStep = time.Millisecond
	// Gossip parameters, as in the daemon.
	tickInterval      = 25 * time.Millisecond
	probePeriod       = 500 * time.Millisecond
	ackTimeout        = 150 * time.Millisecond
	suspicionTimeout  = 2 * time.Second
	departedRetention = 30 * time.Second
	syncInterval      = 2 * time.Second
	indirectProbes    = 3
	packetBytes       = 1100
	urgentPings       = 3
	// metadataBytes is the size of a member's metadata.
	metadataBytes = 120
	// maxDelaySteps bounds the one-way delay of a datagram, in time steps.
	maxDelaySteps = 3
)

// node is a simulated process.
type node struct {
	id, addr string
	core     *gossip.Core
	version  uint64
	fetching bool
	// dead holds the ids of the processes that this one considers dead.
	dead map[string]bool
}

// domain simulates the processes of a failure domain.
type domain struct {
	options Options
	rng     *rand.Rand
	now     time.Duration
	nodes   map[string]*node
	addrs   []string
	// pendingEvents is a ring of the functions to run in the next time steps.
	pendingEvents [64][]func()
	startCount    int
	// sentBytes, falseSuspicions and falseDeaths count since their last reset. The
	// latter two concern running processes that were suspected or considered dead.
	sentBytes, falseSuspicions, falseDeaths int
}

// newDomain starts all members; each knows all others.
func newDomain(o Options) *domain {
	d := &domain{options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Members))), nodes: map[string]*node{}}
	for i := range o.Members {
		addr := fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250)
		d.addrs = append(d.addrs, addr)
		d.start(addr)
	}
	var all []gossip.Record
	for _, addr := range d.addrs {
		n := d.nodes[addr]
		if r, ok := n.core.Get("m/" + n.id); ok {
			all = append(all, r)
		}
	}
	for _, addr := range d.addrs {
		d.nodes[addr].core.MergeRecords(0, all)
	}
	return d
}

// start starts a new process at an address.
func (d *domain) start(addr string) *node {
	d.startCount++
	n := &node{id: fmt.Sprintf("%016x", d.startCount), addr: addr, dead: map[string]bool{}}
	n.core = gossip.New(gossip.Member{ID: n.id, Addr: addr, Meta: make([]byte, metadataBytes)}, gossip.Options{
		ProbeInterval: probePeriod, AckTimeout: ackTimeout, SuspicionTimeout: suspicionTimeout, DepartedRetention: departedRetention,
		IndirectProbes: indirectProbes, MaxPiggybackBytes: packetBytes, Rand: d.rng,
	})
	d.nodes[addr] = n
	return n
}

// schedule runs a function after a delay, which must be shorter than the ring.
func (d *domain) schedule(wait time.Duration, run func()) {
	at := (d.now + max(timeStep, wait)) / timeStep % time.Duration(len(d.pendingEvents))
	d.pendingEvents[at] = append(d.pendingEvents[at], run)
}

// advance runs the simulation for the given virtual time.
func (d *domain) advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += timeStep
		d.runStep()
	}
}

// runStep runs the pending events of a time step and the ticks of the processes due in it.
func (d *domain) runStep() {
	at := d.now / timeStep % time.Duration(len(d.pendingEvents))
	for _, run := range d.pendingEvents[at] {
		run()
	}
	d.pendingEvents[at] = d.pendingEvents[at][:0]
	// The ticks of the processes are spread over the interval.
	phases := int(tickInterval / timeStep)
	for i := int(d.now/timeStep) % phases; i < len(d.addrs); i += phases {
		n := d.nodes[d.addrs[i]]
		if n == nil {
			continue
		}
		n.core.Tick(d.now)
		d.processOutput(n)
		if d.rng.Int64N(int64(syncInterval/tickInterval)) == 0 {
			d.syncWithRandomNode(n)
		}
	}
}

// randomDelay draws the delay of a datagram.
func (d *domain) randomDelay() time.Duration {
	return time.Duration(1+d.rng.IntN(maxDelaySteps)) * timeStep
}

// processOutput sends the packets of a core and processes its events.
func (d *domain) processOutput(n *node) {
	outs, events := n.core.TakeOutput()
	for _, o := range outs {
		o.Packet.Config = n.version
		d.sentBytes += len(gossip.EncodePacket(o.Packet))
		if d.rng.Float64() < d.options.Loss {
			continue
		}
		d.schedule(d.randomDelay(), func() { d.receive(o.Addr, n.addr, o.Packet) })
	}
	for _, e := range events {
		if e.Member != nil {
			d.recordStatus(n, *e.Member)
		}
	}
}

// recordStatus records that a process suspects another or considers it dead or alive.
func (d *domain) recordStatus(n *node, m gossip.Member) {
	q := d.nodes[m.Addr]
	runs := q != nil && q.id == m.ID
	switch m.Status {
	case gossip.Suspect:
		if runs {
			d.falseSuspicions++
		}
	case gossip.Dead:
		n.dead[m.ID] = true
		if runs {
			d.falseDeaths++
		}
	default:
		delete(n.dead, m.ID)
	}
}

// receive delivers a datagram, which is lost if no process has the address.
func (d *domain) receive(addr, from string, p gossip.Packet) {
	n := d.nodes[addr]
	if n == nil {
		return
	}
	n.core.HandlePacket(d.now, from, p)
	if p.Config > n.version {
		d.fetchSettings(n, from)
	}
	d.processOutput(n)
}

// fetchSettings fetches the settings of another process over a connection.
func (d *domain) fetchSettings(n *node, from string) {
	if n.fetching {
		return
	}
	n.fetching = true
	d.schedule(2*d.randomDelay(), func() {
		n.fetching = false
		if q := d.nodes[from]; q != nil && q.version > n.version {
			d.applyVersion(n, q.version)
		}
	})
}

// applyVersion applies a settings version at a process, which then announces it.
func (d *domain) applyVersion(n *node, version uint64) {
	n.version = version
	n.core.PingRandom(urgentPings)
	d.processOutput(n)
}

// syncWithRandomNode exchanges differing records with a random process.
func (d *domain) syncWithRandomNode(n *node) {
	q := d.nodes[d.addrs[d.rng.IntN(len(d.addrs))]]
	if q == nil || q == n {
		return
	}
	mine, theirs := n.core.Digest(), q.core.Digest()
	give, take := n.core.DifferingRecords(theirs), q.core.DifferingRecords(mine)
	n.core.MergeRecords(d.now, sortRecords(take))
	q.core.MergeRecords(d.now, sortRecords(give))
	d.processOutput(n)
	d.processOutput(q)
}

// sortRecords sorts records by key, for determinism.
func sortRecords(rs []gossip.Record) []gossip.Record {
	slices.SortFunc(rs, func(a, b gossip.Record) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	return rs
}
