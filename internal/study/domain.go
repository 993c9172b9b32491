package study

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberthread/umberthread/gossip"
)

const (
	// step is the grain of the virtual time.
	step = time.Millisecond
	// The times of a node: its clock's tick, its probes and its comparisons of
	// records, as the daemon has them.
	tick       = 25 * time.Millisecond
	period     = 500 * time.Millisecond
	ackTimeout = 150 * time.Millisecond
	suspicion  = 2 * time.Second
	forget     = 30 * time.Second
	compare    = 2 * time.Second
	indirect   = 3
	packetSize = 1100
	nudges     = 3
	// metaSize is what a node says of itself, in bytes.
	metaSize = 120
	// delayMost bounds the way of a datagram, one way, within a failure domain.
	delayMost = 3
)

// node is one process.
type node struct {
	id, addr string
	core     *gossip.Core
	version  uint64
	fetching bool
	// dead are the processes that this one holds dead.
	dead map[string]bool
}

// domain is the processes of a failure domain, by their addresses.
type domain struct {
	opt   Options
	rng   *rand.Rand
	now   time.Duration
	nodes map[string]*node
	addrs []string
	// due is what happens in the next steps; it is a ring, indexed by time.
	due    [64][]func()
	starts int
	// bytes and suspected count since they were last set to zero; suspected are
	// suspicions of processes that run, and killed those that were held dead.
	bytes, suspected, killed int
}

func newDomain(o Options) *domain {
	d := &domain{opt: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Members))), nodes: map[string]*node{}}
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

// start runs a new process at an address.
func (d *domain) start(addr string) *node {
	d.starts++
	n := &node{id: fmt.Sprintf("%016x", d.starts), addr: addr, dead: map[string]bool{}}
	n.core = gossip.New(gossip.Member{ID: n.id, Addr: addr, Meta: make([]byte, metaSize)}, gossip.Options{
		ProbeInterval: period, AckTimeout: ackTimeout, SuspicionTimeout: suspicion, DepartedRetention: forget,
		IndirectProbes: indirect, MaxPiggybackBytes: packetSize, Rand: d.rng,
	})
	d.nodes[addr] = n
	return n
}

// after plans what happens later, by less than the length of the ring.
func (d *domain) after(wait time.Duration, run func()) {
	at := (d.now + max(step, wait)) / step % time.Duration(len(d.due))
	d.due[at] = append(d.due[at], run)
}

func (d *domain) run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += step
		d.step()
	}
}

func (d *domain) step() {
	at := d.now / step % time.Duration(len(d.due))
	for _, run := range d.due[at] {
		run()
	}
	d.due[at] = d.due[at][:0]
	// The clocks of the processes tick one after the other.
	phases := int(tick / step)
	for i := int(d.now/step) % phases; i < len(d.addrs); i += phases {
		n := d.nodes[d.addrs[i]]
		if n == nil {
			continue
		}
		n.core.Tick(d.now)
		d.work(n)
		if d.rng.Int64N(int64(compare/tick)) == 0 {
			d.compare(n)
		}
	}
}

// delay draws the way of a datagram.
func (d *domain) delay() time.Duration { return time.Duration(1+d.rng.IntN(delayMost)) * step }

// work sends what a core wants sent and takes in its events.
func (d *domain) work(n *node) {
	outs, events := n.core.TakeOutput()
	for _, o := range outs {
		o.Packet.Config = n.version
		d.bytes += len(gossip.EncodePacket(o.Packet))
		if d.rng.Float64() < d.opt.Loss {
			continue
		}
		d.after(d.delay(), func() { d.receive(o.Addr, n.addr, o.Packet) })
	}
	for _, e := range events {
		if e.Member != nil {
			d.note(n, *e.Member)
		}
	}
}

// note keeps whom a process suspects or holds dead.
func (d *domain) note(n *node, m gossip.Member) {
	q := d.nodes[m.Addr]
	runs := q != nil && q.id == m.ID
	switch m.Status {
	case gossip.Suspect:
		if runs {
			d.suspected++
		}
	case gossip.Dead:
		n.dead[m.ID] = true
		if runs {
			d.killed++
		}
	default:
		delete(n.dead, m.ID)
	}
}

func (d *domain) receive(addr, from string, p gossip.Packet) {
	n := d.nodes[addr]
	if n == nil {
		return
	}
	n.core.HandlePacket(d.now, from, p)
	if p.Config > n.version {
		d.fetch(n, from)
	}
	d.work(n)
}

// fetch brings a process up to the settings of another, over a connection.
func (d *domain) fetch(n *node, from string) {
	if n.fetching {
		return
	}
	n.fetching = true
	d.after(2*d.delay(), func() {
		n.fetching = false
		if q := d.nodes[from]; q != nil && q.version > n.version {
			d.force(n, q.version)
		}
	})
}

func (d *domain) force(n *node, version uint64) {
	n.version = version
	n.core.PingRandom(nudges)
	d.work(n)
}

// compare has a process compare its records with a random other one's.
func (d *domain) compare(n *node) {
	q := d.nodes[d.addrs[d.rng.IntN(len(d.addrs))]]
	if q == nil || q == n {
		return
	}
	mine, theirs := n.core.Digest(), q.core.Digest()
	give, take := n.core.DifferingRecords(theirs), q.core.DifferingRecords(mine)
	n.core.MergeRecords(d.now, sorted(take))
	q.core.MergeRecords(d.now, sorted(give))
	d.work(n)
	d.work(q)
}

// sorted puts records into one order for each seed.
func sorted(rs []gossip.Record) []gossip.Record {
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
