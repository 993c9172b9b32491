package node

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/discovery"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/member"
)

const (
	gossipTick      = 25 * time.Millisecond
	gossipPeriod    = 500 * time.Millisecond
	ackTimeout      = 150 * time.Millisecond
	suspicion       = 2 * time.Second
	forgetAfter     = 30 * time.Second
	indirectProbes  = 3
	packetBytes     = 1100
	maxDatagram     = 16 << 10
	nudges          = 3
	packetRing      = 1024
	commandRing     = 256
	fetchRing       = 64
	maxFailedInARow = 2
)

type datagram struct {
	addr   string
	packet gossip.Packet
}

type behind struct {
	addr    string
	version uint64
}

// gossiper is the shell of the gossip core: one duty owns the core, one reads
// datagrams, one syncs and one fetches settings.
type gossiper struct {
	n       *Node
	core    *gossip.Core
	tables  *tables
	udp     *net.UDPConn
	packets *ring.Ring[datagram]
	fetches *ring.Ring[behind]
	// commands run on the core's goroutine. A caller waits for room: commands
	// are rare and none comes from the way of a request.
	commands chan func()
	linkNow  chan struct{}
	// lookNow wakes the duty that compares records.
	lookNow chan struct{}
	// stale is set while the routing table lacks what gossip said.
	stale       bool
	nextPublish time.Duration

	joined  atomic.Bool
	highest atomic.Uint64
	// finder decides whom to compare records with; mu guards it.
	mu     sync.Mutex
	finder *discovery.Scheduler
}

func newGossiper(n *Node) *gossiper {
	self := gossip.Member{ID: n.id, Addr: n.opt.AdvertiseControl}
	core := gossip.New(self, gossip.Options{
		ProbeInterval: gossipPeriod, AckTimeout: ackTimeout, SuspicionTimeout: suspicion, DepartedRetention: forgetAfter,
		IndirectProbes: indirectProbes, MaxPiggybackBytes: packetBytes, IsUrgent: member.IsEnded, Rand: newRand(),
	})
	return &gossiper{
		n: n, core: core, tables: newTables(n), packets: ring.New[datagram](packetRing), fetches: ring.New[behind](fetchRing),
		commands: make(chan func(), commandRing), linkNow: make(chan struct{}, 1), lookNow: make(chan struct{}, 1),
		finder: discovery.New(discovery.Options{Self: n.opt.AdvertiseControl, Domain: n.opt.Domain, Rand: newRand()}),
	}
}

// newRand returns a source of choices of its own seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run is the duty that owns the core.
func (g *gossiper) run(udp *net.UDPConn) {
	g.udp = udp
	go g.readLoop()
	g.n.duty("sync", g.syncLoop)
	g.n.duty("fetch", g.fetchLoop)
	g.core.SetMeta(g.n.meta().Encode())
	t := time.NewTicker(gossipTick)
	defer t.Stop()
	for {
		select {
		case <-g.n.stop:
			return
		case d := <-g.packets.C():
			g.core.HandlePacket(g.n.clock(), d.addr, d.packet)
		case f := <-g.commands:
			f()
		case <-t.C:
			g.core.Tick(g.n.clock())
		}
		g.work()
	}
}

// work sends what the core wants sent and takes in its events.
func (g *gossiper) work() {
	outs, events := g.core.TakeOutput()
	for _, o := range outs {
		g.send(o)
	}
	for _, e := range events {
		g.tables.take(e)
	}
	g.stale = g.stale || len(events) > 0
	if now := g.n.clock(); g.stale && now >= g.nextPublish {
		g.publish(now)
	}
}

// publishShare is the part of a core that building routing tables may take
// while the membership changes all the time: one in so many.
const publishShare = 40

// publish builds the routing table. In a large fleet it waits a while before
// the next; requests are routed around what changed meanwhile by the refusals
// that they get.
func (g *gossiper) publish(now time.Duration) {
	g.tables.publish()
	g.stale = false
	g.nextPublish = now + publishShare*(g.n.clock()-now)
}

func (g *gossiper) send(o gossip.OutgoingPacket) {
	o.Packet.Config = g.n.conf.Load().version
	b := gossip.EncodePacket(o.Packet)
	addr, err := net.ResolveUDPAddr("udp", o.Addr)
	if err != nil {
		return
	}
	if !g.n.mayDatagram(o.Addr) {
		return
	}
	g.n.stats.controlOut.Add(int64(len(b)))
	// A lost datagram is what the protocol is made for.
	_, _ = g.udp.WriteToUDP(b, addr)
}

func (g *gossiper) readLoop() {
	buf := make([]byte, maxDatagram)
	for {
		n, addr, err := g.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		g.n.stats.controlIn.Add(int64(n))
		p, err := gossip.DecodePacket(buf[:n])
		if err != nil {
			continue
		}
		g.heard(byPacket, g.addrOf(p.From), p.Config)
		// A full ring drops the packet, like the network may.
		g.packets.Offer(datagram{addr.String(), p})
	}
}

// addrOf returns the control address of a member, or "".
func (g *gossiper) addrOf(id string) string {
	for _, m := range g.n.view.Load().members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// noteHighest keeps the highest version of the settings that is known to exist.
func (g *gossiper) noteHighest(version uint64) {
	for {
		old := g.highest.Load()
		if version <= old || g.highest.CompareAndSwap(old, version) {
			return
		}
	}
}

// heard notes that the node at addr has a version of the settings.
func (g *gossiper) heard(way newsWay, addr string, version uint64) {
	g.noteHighest(version)
	inForce := g.n.conf.Load().version
	g.n.news.heard(g.n.clock(), version, inForce, way, addr)
	if addr != "" && version > inForce {
		// A full ring drops the hint; the next packet brings it again.
		g.fetches.Offer(behind{addr, version})
	}
}

// fetchLoop is the duty that brings the settings up to what others have.
func (g *gossiper) fetchLoop() {
	failed := 0
	for {
		select {
		case <-g.n.stop:
			return
		case b := <-g.fetches.C():
			if b.version <= g.n.conf.Load().version {
				continue
			}
			if err := g.n.fetchConfig(b.addr, fetchWait(failed)); err != nil {
				failed++
				g.n.warn("config", "Cannot fetch settings.", "from", b.addr, "err", err)
				continue
			}
			failed = 0
		}
	}
}

// do runs f on the core's goroutine and waits for it; false if the node stops.
func (g *gossiper) do(f func()) bool {
	done := make(chan struct{})
	select {
	case g.commands <- func() { f(); close(done) }:
	case <-g.n.stop:
		return false
	}
	select {
	case <-done:
		return true
	case <-g.n.stop:
		return false
	}
}

// post runs f on the core's goroutine without waiting for it.
func (g *gossiper) post(f func()) {
	select {
	case g.commands <- f:
	case <-g.n.stop:
	}
}

func (g *gossiper) metaChanged() {
	g.post(func() {
		g.core.SetMeta(g.n.meta().Encode())
		g.core.PingRandom(nudges)
		g.stale = true
	})
}

func (g *gossiper) configChanged(version uint64) {
	g.noteHighest(version)
	go g.post(func() { g.core.PingRandom(nudges) })
	g.nudgeLinks()
}

func (g *gossiper) nudgeLinks() {
	select {
	case g.linkNow <- struct{}{}:
	default:
	}
}

func (g *gossiper) leave() {
	g.do(func() {
		g.core.Leave()
		g.core.PingRandom(2 * nudges)
		g.stale = true
	})
	g.nudgeLinks()
}

func (g *gossiper) close() {
	if g.udp != nil {
		_ = g.udp.Close()
	}
}

// syncLoop is the duty of anti-entropy, and of joining.
func (g *gossiper) syncLoop() {
	for {
		targets, next := g.due()
		for _, t := range targets {
			go g.meet(t)
		}
		select {
		case <-g.n.stop:
			return
		case <-g.lookNow:
		case <-time.After(next):
		}
	}
}

// due returns the addresses to compare records with now, and the wait to the next.
func (g *gossiper) due() ([]discovery.Target, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finder.SetBootstrap(g.n.bootstrap())
	targets := g.finder.DueTargets(g.n.clock())
	return targets, max(0, g.finder.NextDue()-g.n.clock())
}

// meet compares records with the node at an address.
func (g *gossiper) meet(t discovery.Target) {
	answer, err := g.sync(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		// Most addresses that are looked at do not answer: no line for each. How
		// many there are is in the node's status.
		g.finder.RecordFailure(t.Addr)
		return
	}
	g.finder.RecordReply(t.Addr, answer)
	g.joined.Store(g.finder.Joined())
}

// sync compares records with the node at an address. One of another failure
// domain only tells who it is and whom it knows in this one.
func (g *gossiper) sync(t discovery.Target) (discovery.PeerInfo, error) {
	var digest gossip.Digest
	if !g.do(func() { digest = g.core.Digest() }) {
		return discovery.PeerInfo{}, fault.New(fault.Draining, "this node is stopping")
	}
	req := &control.SyncRequest{Addr: g.n.opt.AdvertiseControl, Domain: g.n.opt.Domain, Digest: digest, Config: g.n.conf.Load().version}
	var reply control.SyncReply
	if err := g.n.control.pool.Call(t.Addr, "Sync", req, &reply, t.Timeout); err != nil {
		return discovery.PeerInfo{}, err
	}
	answer := discovery.PeerInfo{Domain: reply.Domain, Seeds: reply.Seeds}
	g.heard(bySync, t.Addr, reply.Config)
	if g.young() {
		g.n.quarantine.adopt(reply.Held)
	}
	if reply.Domain != g.n.opt.Domain {
		g.n.control.links.RecordContact(reply.Domain, t.Addr)
		return answer, nil
	}
	var mine []gossip.Record
	g.do(func() {
		g.core.MergeRecords(g.n.clock(), reply.Records)
		mine = g.core.DifferingRecords(reply.Digest)
	})
	if len(mine) == 0 {
		return answer, nil
	}
	req.Records = mine
	return answer, g.n.control.pool.Call(t.Addr, "Sync", req, &control.SyncReply{}, t.Timeout)
}

// see tells the discovery what this node knows of others, and wakes its duty if
// there is something to do sooner.
func (g *gossiper) see(v *view) {
	var seen discovery.View
	for i := range v.members {
		if v.members[i].alive() {
			seen.Alive = append(seen.Alive, v.members[i].Addr)
		}
	}
	for _, r := range v.replicas {
		if r.Addr != g.n.opt.AdvertiseControl {
			seen.Replicas = append(seen.Replicas, r.Addr)
		}
	}
	g.mu.Lock()
	before := g.finder.NextDue()
	g.finder.UpdateView(g.n.clock(), seen)
	sooner := g.finder.NextDue() < before
	g.mu.Unlock()
	if !sooner {
		return
	}
	select {
	case g.lookNow <- struct{}{}:
	default:
	}
}

// lost returns how many addresses are looked at.
func (g *gossiper) lost() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finder.LostAddrCount()
}

func (g *gossiper) young() bool { return discovery.InStartup(g.n.clock()) }

// meta is what this node says of itself.
func (n *Node) meta() *member.Meta {
	m := &member.Meta{Name: n.opt.Name, Data: n.opt.AdvertiseData, HTTP: n.opt.HTTP, Admin: n.opt.Admin, Replica: n.replicas.identity()}
	if be := n.local.Load(); be != nil {
		m.Service, m.Slots, m.Weight, m.State, m.Start = be.service, be.slots, be.weight, be.state, be.start
	}
	m.Ended, m.Answered = n.quarantine.own()
	if n.leaving() && m.State == member.Serving {
		m.State = member.Draining
	}
	return m
}

func (n *Node) publishMeta() { n.gossip.metaChanged() }
