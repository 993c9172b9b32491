package node

import (
	"errors"
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
	gossipTickInterval = 25 * time.Millisecond
	gossipPeriod       = 500 * time.Millisecond
	ackTimeout         = 150 * time.Millisecond
	suspicionTimeout   = 2 * time.Second
	// departedRetention is how long a leaving or dead member is kept.
	departedRetention = 30 * time.Second
	// indirectProbes is how many members are asked to probe one that does not respond.
	indirectProbes = 3
	// maxPacketBytes bounds the records in one sent gossip packet, and maxDatagramBytes a
	// received datagram.
	maxPacketBytes   = 1100
	maxDatagramBytes = 16 << 10
	// nudgeFanout is how many random members receive urgent records at once.
	nudgeFanout         = 3
	packetQueueSize     = 1024
	commandQueueSize    = 256
	configHintQueueSize = 64
	// maxLinkFailures is how many exchanges in a row must fail before a failure domain
	// is reported as unreachable.
	maxLinkFailures = 2
)

// datagram is a received gossip packet and its sender's UDP address.
type datagram struct {
	addr   string
	packet gossip.Packet
}

// gossiper runs the gossip core. One goroutine owns the core; others read
// datagrams, sync records with other nodes and fetch settings.
type gossiper struct {
	node        *Node
	core        *gossip.Core
	views       *viewBuilder
	udp         *net.UDPConn
	packets     *ring.Queue[datagram]
	configHints *ring.Queue[configHint]
	// commands run on the core's goroutine. Senders block while the queue is full;
	// commands are rare and never on the request path.
	commands chan func()
	// linkWake wakes the task that exchanges with other failure domains.
	linkWake chan struct{}
	// syncWake wakes the task that syncs records with other nodes.
	syncWake chan struct{}
	// routesStale is set while the routing table does not reflect all events.
	routesStale bool
	// nextPublish is the earliest time of the next build of the routing table.
	nextPublish time.Duration

	// joined is set once the node has joined its failure domain.
	joined atomic.Bool
	// highestVersion is the highest version of the settings known to exist.
	highestVersion atomic.Uint64
	// contactAt is when a message of another node last arrived, on the node's clock, 0 for
	// never.
	contactAt atomic.Int64
	// sender is the address of the node whose message arrived last, nil for none.
	sender atomic.Pointer[string]
	// mu guards syncScheduler, which selects the nodes to sync records with.
	mu            sync.Mutex
	syncScheduler *discovery.Scheduler
}

// newGossiper returns a gossiper for the node, which run starts.
func newGossiper(n *Node) *gossiper {
	self := gossip.Member{ID: n.id, Addr: n.opt.AdvertiseControl}
	core := gossip.New(self, gossip.Options{
		ProbeInterval: gossipPeriod, AckTimeout: ackTimeout, SuspicionTimeout: suspicionTimeout, DepartedRetention: departedRetention,
		IndirectProbes: indirectProbes, MaxPiggybackBytes: maxPacketBytes, IsUrgent: member.IsTerminationSummary, Rand: newRand(),
	})
	return &gossiper{
		node: n, core: core, views: newViewBuilder(n), packets: ring.New[datagram](packetQueueSize), configHints: ring.New[configHint](configHintQueueSize),
		commands: make(chan func(), commandQueueSize), linkWake: make(chan struct{}, 1), syncWake: make(chan struct{}, 1),
		syncScheduler: discovery.New(discovery.Options{Self: n.opt.AdvertiseControl, Domain: n.opt.Domain, Rand: newRand()}),
	}
}

// newRand returns a randomly seeded random generator.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run owns the core. It handles packets, commands and ticks until the node stops.
func (g *gossiper) run() {
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
			g.core.HandlePacket(g.node.clock(), d.addr, d.packet)
		case f := <-g.commands:
			f()
		case <-t.C:
			g.core.Tick(g.node.clock())
		}
		g.handleOutput()
	}
}

// handleOutput sends the core's packets, applies its events and publishes the
// routing table if it is due.
func (g *gossiper) handleOutput() {
	outs, events := g.core.TakeOutput()
	for _, o := range outs {
		g.sendPacket(o)
	}
	for _, a := range g.core.TakeAnswers() {
		g.handleAnswer(a)
	}
	for _, e := range events {
		g.views.handleEvent(e)
	}
	g.routesStale = g.routesStale || len(events) > 0
	if now := g.node.clock(); g.routesStale && now >= g.nextPublish {
		g.publish(now)
	}
}

// publishCostDivisor limits the time spent on building routing tables to about
// 1/publishCostDivisor while the membership keeps changing.
const publishCostDivisor = 40

// publish builds the routing table and delays the next build in proportion to the
// time that this one took. Meanwhile refusals steer requests away from instances
// that have changed.
func (g *gossiper) publish(now time.Duration) {
	g.views.publish()
	g.routesStale = false
	g.nextPublish = now + publishCostDivisor*(g.node.clock()-now)
}

// sendPacket sends a packet with this node's version of the settings and its age attached.
func (g *gossiper) sendPacket(o gossip.OutgoingPacket) {
	// The age comes first, as it holds for a version that is activated meanwhile, too.
	o.Packet.ConfigAge = g.node.packetAge()
	o.Packet.Config = g.node.conf.Load().version
	b := gossip.EncodePacket(o.Packet)
	addr, err := net.ResolveUDPAddr("udp", o.Addr)
	if err != nil {
		return
	}
	if !g.node.allowDatagram(o.Addr) {
		return
	}
	g.node.stats.controlBytesOut.Add(int64(len(b)))
	// The protocol tolerates lost datagrams.
	_, _ = g.udp.WriteToUDP(b, addr)
}

// readRetryDelay is the pause after a failed read of the UDP socket.
const readRetryDelay = 20 * time.Millisecond

// readLoop receives gossip packets until the socket is closed. Other errors of the socket,
// such as exhausted memory, are temporary; without packets, the other members would declare
// this node dead.
func (g *gossiper) readLoop() {
	buf := make([]byte, maxDatagramBytes)
	failing := false
	for {
		n, addr, err := g.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			g.logReads(err)
		}
		if failing {
			time.Sleep(readRetryDelay)
			continue
		}
		g.node.stats.controlBytesIn.Add(int64(n))
		p, err := gossip.DecodePacket(buf[:n])
		if err != nil {
			continue
		}
		g.observeVersion(viaPacket, g.memberAddr(p.From), p.Config)
		// A full queue drops the packet; the protocol tolerates loss.
		g.packets.Offer(datagram{addr.String(), p})
	}
}

// logReads logs that reads of the UDP socket fail, or succeed again if err is nil.
func (g *gossiper) logReads(err error) {
	if err != nil {
		g.node.warn("gossip", "Cannot receive packets; retrying.", "err", err)
		return
	}
	g.node.info("gossip", "Receives packets again.")
}

// memberAddr returns the control address of a member, or "".
func (g *gossiper) memberAddr(id string) string {
	for _, m := range g.node.view.Load().members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// lastContact returns when a message of another node last arrived, on the node's clock, 0 for
// never.
func (g *gossiper) lastContact() time.Duration { return time.Duration(g.contactAt.Load()) }

// lastSender returns the address of the node whose message arrived last, "" for none.
func (g *gossiper) lastSender() string {
	if addr := g.sender.Load(); addr != nil {
		return *addr
	}
	return ""
}

// raiseHighestVersion records a version of the settings if it is the highest known.
func (g *gossiper) raiseHighestVersion(version uint64) {
	for {
		old := g.highestVersion.Load()
		if version <= old || g.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// observeVersion records that the node at addr has a version of the settings, and
// queues a fetch if it is newer than the active one. addr may be empty.
func (g *gossiper) observeVersion(source versionSource, addr string, version uint64) {
	g.raiseHighestVersion(version)
	g.contactAt.Store(int64(g.node.clock()))
	if addr != "" {
		g.sender.Store(&addr)
	}
	active := g.node.conf.Load().version
	g.node.versions.observe(g.node.clock(), version, active, source, addr)
	if addr != "" && version > active {
		// A full queue drops the hint; the next packet repeats it.
		g.configHints.Offer(configHint{addr, version})
	}
}

// runOnCore runs f on the core's goroutine and waits for it. It returns false if
// the node stops first.
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

// postToCore queues f for the core's goroutine and does not wait for it to run.
func (g *gossiper) postToCore(f func()) {
	select {
	case g.commands <- f:
	case <-g.node.stop:
	}
}

// metaChanged publishes this node's current metadata and sends it to random members at
// once.
func (g *gossiper) metaChanged() {
	g.postToCore(func() {
		g.core.SetMeta(g.node.meta().Encode())
		g.core.PingRandom(nudgeFanout)
		g.routesStale = true
	})
}

// configChanged tells other nodes and failure domains of a newly active version.
func (g *gossiper) configChanged(version uint64) {
	g.raiseHighestVersion(version)
	go g.postToCore(func() { g.core.PingRandom(nudgeFanout) })
	g.wakeLinks()
}

// wakeLinks triggers an exchange with the other failure domains.
func (g *gossiper) wakeLinks() {
	select {
	case g.linkWake <- struct{}{}:
	default:
	}
}

// leave announces that this node leaves, to random members and the other domains at once.
func (g *gossiper) leave() {
	g.runOnCore(func() {
		g.core.Leave()
		g.core.PingRandom(2 * nudgeFanout)
		g.routesStale = true
	})
	g.wakeLinks()
}

// close closes the UDP socket, which ends readLoop.
func (g *gossiper) close() {
	if g.udp != nil {
		_ = g.udp.Close()
	}
}

// syncLoop runs anti-entropy: it syncs records with other nodes, and thereby joins the
// failure domain.
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

// dueSyncTargets returns the addresses of the nodes to sync with now, and the time until
// the next ones are due.
func (g *gossiper) dueSyncTargets() ([]discovery.Target, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncScheduler.SetBootstrap(g.node.entryAddrs())
	targets := g.syncScheduler.DueTargets(g.node.clock())
	return targets, max(0, g.syncScheduler.NextDue()-g.node.clock())
}

// syncAndRecord syncs records with a node and tells the scheduler the result.
func (g *gossiper) syncAndRecord(t discovery.Target) {
	result, err := g.syncWith(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		// Not logged: most probed addresses do not respond. Their number is in the
		// node's status.
		g.syncScheduler.RecordFailure(t.Addr)
		return
	}
	g.syncScheduler.RecordReply(t.Addr, result)
	g.joined.Store(g.syncScheduler.Joined())
}

// syncWith syncs records with the node at an address. A node of another failure domain
// returns only its domain and the addresses in this domain that it knows.
func (g *gossiper) syncWith(t discovery.Target) (discovery.PeerInfo, error) {
	var digest gossip.Digest
	if !g.runOnCore(func() { digest = g.core.Digest() }) {
		return discovery.PeerInfo{}, fault.New(fault.Draining, "this node is stopping")
	}
	req := &control.SyncRequest{Addr: g.node.opt.AdvertiseControl, Domain: g.node.opt.Domain, Digest: digest, Config: g.node.conf.Load().version}
	var reply control.SyncReply
	if err := g.node.control.pool.Call(t.Addr, "Sync", req, &reply, t.Timeout); err != nil {
		return discovery.PeerInfo{}, err
	}
	result := discovery.PeerInfo{Domain: reply.Domain, Seeds: reply.Seeds}
	g.observeVersion(viaSync, t.Addr, reply.Config)
	if g.recentlyStarted() {
		g.node.quarantine.adoptQuarantines(reply.Held)
	}
	if reply.Domain != g.node.opt.Domain {
		g.node.control.links.RecordContact(reply.Domain, t.Addr)
		return result, nil
	}
	var missing []gossip.Record
	g.runOnCore(func() {
		g.core.MergeRecords(g.node.clock(), reply.Records)
		missing = g.core.DifferingRecords(reply.Digest)
	})
	if len(missing) == 0 {
		return result, nil
	}
	req.Records = missing
	return result, g.node.control.pool.Call(t.Addr, "Sync", req, &control.SyncReply{}, t.Timeout)
}

// updateDiscovery passes the known nodes to the scheduler and wakes syncLoop if that
// makes a sync due earlier.
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
	before := g.syncScheduler.NextDue()
	g.syncScheduler.UpdateView(g.node.clock(), seen)
	sooner := g.syncScheduler.NextDue() < before
	g.mu.Unlock()
	if !sooner {
		return
	}
	select {
	case g.syncWake <- struct{}{}:
	default:
	}
}

// lostAddresses returns the number of unresponsive addresses that are still probed.
func (g *gossiper) lostAddresses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncScheduler.LostAddrCount()
}

// recentlyStarted reports whether the node has just started and is still finding
// other nodes.
func (g *gossiper) recentlyStarted() bool { return discovery.InStartup(g.node.clock()) }

// meta returns the metadata that this node publishes about itself.
func (n *Node) meta() *member.Meta {
	m := &member.Meta{Name: n.opt.Name, Data: n.opt.AdvertiseData, HTTP: n.opt.HTTP, Admin: n.opt.Admin, Replica: n.replicas.identity()}
	if be := n.local.Load(); be != nil {
		m.Service, m.Slots, m.Weight, m.State, m.Start = be.service, be.slots, be.weight, be.memberState, be.incarnation
	}
	m.Ended, m.Answered = n.quarantine.ownReports()
	if n.rejectsNewWork() && m.State == member.Serving {
		m.State = member.Draining
	}
	return m
}

// publishMeta spreads this node's current metadata.
func (n *Node) publishMeta() { n.gossip.metaChanged() }
