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
	gossipTickInterval  = 25 * time.Millisecond
	gossipPeriod        = 500 * time.Millisecond
	ackTimeout          = 150 * time.Millisecond
	suspicionTimeout    = 2 * time.Second
	forgetAfter         = 30 * time.Second
	indirectProbes      = 3
	maxPacketBytes      = 1100
	maxDatagramBytes    = 16 << 10
	nudgeFanout         = 3
	packetQueueSize     = 1024
	commandQueueSize    = 256
	configHintQueueSize = 64
	maxLinkFailures     = 2
)

type datagram struct {
	addr   string
	packet gossip.Packet
}

type configHint struct {
	addr    string
	version uint64
}

// gossiper is the shell of the gossip core: one duty owns the core, one reads
// datagrams, one syncs and one fetches settings.
type gossiper struct {
	node        *Node
	core        *gossip.Core
	views       *viewBuilder
	udp         *net.UDPConn
	packets     *ring.Ring[datagram]
	configHints *ring.Ring[configHint]
	// commands run on the core's goroutine. A caller waits for room: commands
	// are rare and none comes from the way of a request.
	commands chan func()
	linkWake chan struct{}
	// lookNow wakes the duty that compares records.
	syncWake chan struct{}
	// stale is set while the routing table lacks what gossip said.
	routesStale bool
	nextPublish time.Duration

	joined         atomic.Bool
	highestVersion atomic.Uint64
	// finder decides whom to compare records with; mu guards it.
	mu     sync.Mutex
	finder *discovery.Core
}

func newGossiper(n *Node) *gossiper {
	self := gossip.Member{ID: n.id, Addr: n.opt.AdvertiseControl}
	core := gossip.New(self, gossip.Options{
		Period: gossipPeriod, AckTimeout: ackTimeout, Suspicion: suspicionTimeout, Forget: forgetAfter,
		Indirect: indirectProbes, PacketBytes: maxPacketBytes, Urgent: member.IsEnded, Rand: newRand(),
	})
	return &gossiper{
		node: n, core: core, views: newViewBuilder(n), packets: ring.New[datagram](packetQueueSize), configHints: ring.New[configHint](configHintQueueSize),
		commands: make(chan func(), commandQueueSize), linkWake: make(chan struct{}, 1), syncWake: make(chan struct{}, 1),
		finder: discovery.New(discovery.Options{Self: n.opt.AdvertiseControl, Domain: n.opt.Domain, Rand: newRand()}),
	}
}

// newRand returns a source of choices of its own seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run is the duty that owns the core.
func (g *gossiper) run(udp *net.UDPConn) {
	g.udp = udp
	go g.readLoop()
	g.node.startTask("sync", g.syncLoop)
	g.node.startTask("fetch", g.fetchLoop)
	g.core.SetMeta(g.node.meta().Encode())
	t := time.NewTicker(gossipTickInterval)
	defer t.Stop()
	for {
		select {
		case <-g.node.stop:
			return
		case d := <-g.packets.C():
			g.core.Receive(g.node.clock(), d.addr, d.packet)
		case f := <-g.commands:
			f()
		case <-t.C:
			g.core.Tick(g.node.clock())
		}
		g.handleOutput()
	}
}

// work sends what the core wants sent and takes in its events.
func (g *gossiper) handleOutput() {
	outs, events := g.core.Take()
	for _, o := range outs {
		g.sendPacket(o)
	}
	for _, e := range events {
		g.views.handleEvent(e)
	}
	g.routesStale = g.routesStale || len(events) > 0
	if now := g.node.clock(); g.routesStale && now >= g.nextPublish {
		g.publish(now)
	}
}

// publishShare is the part of a core that building routing tables may take
// while the membership changes all the time: one in so many.
const publishCostDivisor = 40

// publish builds the routing table. In a large fleet it waits a while before
// the next; requests are routed around what changed meanwhile by the refusals
// that they get.
func (g *gossiper) publish(now time.Duration) {
	g.views.publish()
	g.routesStale = false
	g.nextPublish = now + publishCostDivisor*(g.node.clock()-now)
}

func (g *gossiper) sendPacket(o gossip.Out) {
	o.Packet.Config = g.node.conf.Load().version
	b := gossip.EncodePacket(o.Packet)
	addr, err := net.ResolveUDPAddr("udp", o.Addr)
	if err != nil {
		return
	}
	if !g.node.allowDatagram(o.Addr) {
		return
	}
	g.node.stats.controlOut.Add(int64(len(b)))
	// A lost datagram is what the protocol is made for.
	_, _ = g.udp.WriteToUDP(b, addr)
}

func (g *gossiper) readLoop() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, addr, err := g.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		g.node.stats.controlIn.Add(int64(n))
		p, err := gossip.DecodePacket(buf[:n])
		if err != nil {
			continue
		}
		g.observeVersion(viaPacket, g.memberAddr(p.From), p.Config)
		// A full ring drops the packet, like the network may.
		g.packets.Offer(datagram{addr.String(), p})
	}
}

// addrOf returns the control address of a member, or "".
func (g *gossiper) memberAddr(id string) string {
	for _, m := range g.node.view.Load().members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// noteHighest keeps the highest version of the settings that is known to exist.
func (g *gossiper) raiseHighestVersion(version uint64) {
	for {
		old := g.highestVersion.Load()
		if version <= old || g.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// heard notes that the node at addr has a version of the settings.
func (g *gossiper) observeVersion(way versionSource, addr string, version uint64) {
	g.raiseHighestVersion(version)
	inForce := g.node.conf.Load().version
	g.node.versions.observe(g.node.clock(), version, inForce, way, addr)
	if addr != "" && version > inForce {
		// A full ring drops the hint; the next packet brings it again.
		g.configHints.Offer(configHint{addr, version})
	}
}

// fetchLoop is the duty that brings the settings up to what others have.
func (g *gossiper) fetchLoop() {
	failed := 0
	for {
		select {
		case <-g.node.stop:
			return
		case b := <-g.configHints.C():
			if b.version <= g.node.conf.Load().version {
				continue
			}
			if err := g.node.fetchConfig(b.addr, fetchTimeoutAfter(failed)); err != nil {
				failed++
				g.node.warn("config", "Cannot fetch settings.", "from", b.addr, "err", err)
				continue
			}
			failed = 0
		}
	}
}

// do runs f on the core's goroutine and waits for it; false if the node stops.
func (g *gossiper) runOnCore(f func()) bool {
	done := make(chan struct{})
	select {
	case g.commands <- func() { f(); close(done) }:
	case <-g.node.stop:
		return false
	}
	select {
	case <-done:
		return true
	case <-g.node.stop:
		return false
	}
}

// post runs f on the core's goroutine without waiting for it.
func (g *gossiper) postToCore(f func()) {
	select {
	case g.commands <- f:
	case <-g.node.stop:
	}
}

func (g *gossiper) metaChanged() {
	g.postToCore(func() {
		g.core.SetMeta(g.node.meta().Encode())
		g.core.Nudge(nudgeFanout)
		g.routesStale = true
	})
}

func (g *gossiper) configChanged(version uint64) {
	g.raiseHighestVersion(version)
	go g.postToCore(func() { g.core.Nudge(nudgeFanout) })
	g.wakeLinks()
}

func (g *gossiper) wakeLinks() {
	select {
	case g.linkWake <- struct{}{}:
	default:
	}
}

func (g *gossiper) leave() {
	g.runOnCore(func() {
		g.core.Leave()
		g.core.Nudge(2 * nudgeFanout)
		g.routesStale = true
	})
	g.wakeLinks()
}

func (g *gossiper) close() {
	if g.udp != nil {
		_ = g.udp.Close()
	}
}

// syncLoop is the duty of anti-entropy, and of joining.
func (g *gossiper) syncLoop() {
	for {
		targets, next := g.dueSyncTargets()
		for _, t := range targets {
			go g.syncAndRecord(t)
		}
		select {
		case <-g.node.stop:
			return
		case <-g.syncWake:
		case <-time.After(next):
		}
	}
}

// due returns the addresses to compare records with now, and the wait to the next.
func (g *gossiper) dueSyncTargets() ([]discovery.Target, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finder.SetBootstrap(g.node.bootstrap())
	targets := g.finder.Due(g.node.clock())
	return targets, max(0, g.finder.Next()-g.node.clock())
}

// meet compares records with the node at an address.
func (g *gossiper) syncAndRecord(t discovery.Target) {
	answer, err := g.syncWith(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		// Most addresses that are looked at do not answer: no line for each. How
		// many there are is in the node's status.
		g.finder.Failed(t.Addr)
		return
	}
	g.finder.Answered(t.Addr, answer)
	g.joined.Store(g.finder.Joined())
}

// sync compares records with the node at an address. One of another failure
// domain only tells who it is and whom it knows in this one.
func (g *gossiper) syncWith(t discovery.Target) (discovery.Answer, error) {
	var digest gossip.Digest
	if !g.runOnCore(func() { digest = g.core.Digest() }) {
		return discovery.Answer{}, fault.New(fault.Draining, "this node is stopping")
	}
	req := &control.SyncRequest{Addr: g.node.opt.AdvertiseControl, Domain: g.node.opt.Domain, Digest: digest, Config: g.node.conf.Load().version}
	var reply control.SyncReply
	if err := g.node.control.pool.Call(t.Addr, "Sync", req, &reply, t.Timeout); err != nil {
		return discovery.Answer{}, err
	}
	answer := discovery.Answer{Domain: reply.Domain, Seeds: reply.Seeds}
	g.observeVersion(viaSync, t.Addr, reply.Config)
	if g.recentlyStarted() {
		g.node.quarantine.adopt(reply.Held)
	}
	if reply.Domain != g.node.opt.Domain {
		g.node.control.links.Meet(reply.Domain, t.Addr)
		return answer, nil
	}
	var mine []gossip.Record
	g.runOnCore(func() {
		g.core.Merge(g.node.clock(), reply.Records)
		mine = g.core.Differing(reply.Digest)
	})
	if len(mine) == 0 {
		return answer, nil
	}
	req.Records = mine
	return answer, g.node.control.pool.Call(t.Addr, "Sync", req, &control.SyncReply{}, t.Timeout)
}

// see tells the discovery what this node knows of others, and wakes its duty if
// there is something to do sooner.
func (g *gossiper) updateDiscovery(v *membershipView) {
	var seen discovery.View
	for i := range v.members {
		if v.members[i].alive() {
			seen.Alive = append(seen.Alive, v.members[i].Addr)
		}
	}
	for _, r := range v.replicas {
		if r.Addr != g.node.opt.AdvertiseControl {
			seen.Replicas = append(seen.Replicas, r.Addr)
		}
	}
	g.mu.Lock()
	before := g.finder.Next()
	g.finder.See(g.node.clock(), seen)
	sooner := g.finder.Next() < before
	g.mu.Unlock()
	if !sooner {
		return
	}
	select {
	case g.syncWake <- struct{}{}:
	default:
	}
}

// lost returns how many addresses are looked at.
func (g *gossiper) lostAddresses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finder.Lost()
}

func (g *gossiper) recentlyStarted() bool { return discovery.Young(g.node.clock()) }

// meta is what this node says of itself.
func (n *Node) meta() *member.Meta {
	m := &member.Meta{Name: n.opt.Name, Data: n.opt.AdvertiseData, HTTP: n.opt.HTTP, Admin: n.opt.Admin, Replica: n.replicas.identity()}
	if be := n.local.Load(); be != nil {
		m.Service, m.Slots, m.Weight, m.State, m.Start = be.service, be.slots, be.weight, be.state, be.start
	}
	m.Ended, m.Answered = n.quarantine.own()
	if n.rejectsNewWork() && m.State == member.Serving {
		m.State = member.Draining
	}
	return m
}

func (n *Node) publishMeta() { n.gossip.metaChanged() }
