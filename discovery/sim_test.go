package discovery

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/umberthread/umberthread/confirm"
	"github.com/umberthread/umberthread/fetch"
	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/member"
)

// These tests run gossip cores and schedulers, connected as in a node, in virtual time
// over a simulated network with delays, packet loss and partitions.
const (
	simTickInterval     = 25 * time.Millisecond
	simPacketDelay      = time.Millisecond
	simPacketLoss       = 0.005
	simUrgentPings      = 3
	simLinkMembers      = 3
	simExchangeInterval = time.Second
	simMaxRequesters    = 6
	// simExchangeTimeout bounds an exchange between failure domains.
	simExchangeTimeout = 600 * time.Millisecond
)

// simEvent is a function to run at a virtual time. seq orders events of the same time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []simEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(v any)   { *e = append(*e, v.(simEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simCluster is a set of processes on a simulated network in virtual time.
type simCluster struct {
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	seq            int
	processes      map[string]*simProcess
	bootstrapAddrs []string
	// unreachable are the addresses cut off from all others, and isolatedDomains the
	// failure domains cut off from the others.
	unreachable, isolatedDomains map[string]bool
	// frozen are the addresses of suspended processes.
	frozen map[string]bool
	// replicaAddrs are the addresses of the replicas that ever started.
	replicaAddrs []string
	// syncsStarted counts the syncs started by schedulers.
	syncsStarted int
	// queriesSent counts the queries for a confirmation.
	queriesSent int
}

// simProcess is one incarnation of a node.
type simProcess struct {
	cluster          *simCluster
	id, addr, domain string
	started          time.Duration
	gossip           *gossip.Core
	scheduler        *Scheduler
	settingsVersion  int
	fetcher          *fetch.Scheduler
	asker            *confirm.Asker
	confirmations    confirm.Tracker
	// activated is called when the process activates a version of the settings.
	activated func(version int)
	// suspended are the events that wait until the process is resumed.
	suspended   []func()
	members     map[string]gossip.Member
	links       map[string]member.Link
	domainAddrs map[string]string
	requesters  map[string][]string
	nextSyncAt  time.Duration
}

func newSimCluster(seed uint64) *simCluster {
	return &simCluster{rng: rand.New(rand.NewPCG(seed, 11)), processes: map[string]*simProcess{}, unreachable: map[string]bool{}, isolatedDomains: map[string]bool{}, frozen: map[string]bool{}}
}

// after schedules a function to run after a delay.
func (f *simCluster) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now + d, f.seq, run})
}

// runUntil advances virtual time to end, or until done returns true.
func (f *simCluster) runUntil(end time.Duration, done func() bool) {
	for len(f.queue) > 0 && f.queue[0].at <= end && !done() {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	if !done() {
		f.now = end
	}
}

func (f *simCluster) run(d time.Duration) { f.runUntil(f.now+d, func() bool { return false }) }

// start starts a new process at an address.
func (f *simCluster) start(addr, domain string, version int) *simProcess {
	f.seq++
	p := &simProcess{
		cluster: f, id: fmt.Sprintf("%s#%d", addr, f.seq), addr: addr, domain: domain, started: f.now, settingsVersion: version,
		fetcher: fetch.New(), asker: confirm.NewAsker(f.rng), activated: func(int) {},
		members: map[string]gossip.Member{}, links: map[string]member.Link{}, domainAddrs: map[string]string{}, requesters: map[string][]string{},
	}
	p.gossip = gossip.New(gossip.Member{ID: p.id, Addr: addr}, gossip.Options{
		ProbeInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 2 * time.Second, DepartedRetention: 30 * time.Second,
		IndirectProbes: 3, MaxPiggybackBytes: 1100, Rand: f.rng,
	})
	p.scheduler = New(Options{Self: addr, Domain: domain, Rand: f.rng})
	p.scheduler.SetBootstrap(f.bootstrapAddrs)
	f.processes[addr] = p
	if isReplica(addr) && !slices.Contains(f.replicaAddrs, addr) {
		f.replicaAddrs = append(f.replicaAddrs, addr)
	}
	p.tickGossip()
	p.runDueSyncs()
	p.runExchanges()
	p.runAsks()
	return p
}

func (f *simCluster) stop(addr string) { delete(f.processes, addr) }

// running reports whether the process has not been stopped.
func (p *simProcess) running() bool { return p.cluster.processes[p.addr] == p }

// uptime returns the time since the process started.
func (p *simProcess) uptime() time.Duration { return p.cluster.now - p.started }

// reachablePeer returns the process at an address, or nil if none can be reached there.
func (p *simProcess) reachablePeer(addr string) *simProcess {
	if p.cluster.unreachable[p.addr] || p.cluster.unreachable[addr] || p.cluster.frozen[addr] {
		return nil
	}
	q := p.cluster.processes[addr]
	if q != nil && q.domain != p.domain && (p.cluster.isolatedDomains[p.domain] || p.cluster.isolatedDomains[q.domain]) {
		return nil
	}
	return q
}

// call simulates a remote call: it runs serve on the process at addr, then reply here. If
// none is reachable, it runs lost after the timeout.
func (p *simProcess) call(addr string, timeout time.Duration, serve func(q *simProcess), reply, lost func()) {
	p.cluster.after(simPacketDelay, func() {
		q := p.reachablePeer(addr)
		if q == nil {
			p.cluster.after(timeout, func() { p.ifRunning(lost) })
			return
		}
		serve(q)
		p.cluster.after(simPacketDelay, func() { p.ifRunning(reply) })
	})
}

// ifRunning calls a function unless the process has been stopped, and once it is resumed if it
// is suspended.
func (p *simProcess) ifRunning(run func()) {
	switch {
	case !p.running():
	case p.cluster.frozen[p.addr]:
		p.suspended = append(p.suspended, run)
	default:
		run()
	}
}

// freeze suspends the process at an address for a while, and then calls resumed. Messages to it
// are lost meanwhile.
func (f *simCluster) freeze(addr string, d time.Duration, resumed func()) {
	p := f.processes[addr]
	if p == nil || f.frozen[addr] {
		return
	}
	f.frozen[addr] = true
	f.after(d, func() {
		delete(f.frozen, addr)
		resumed()
		waiting := p.suspended
		p.suspended = nil
		for _, run := range waiting {
			p.ifRunning(run)
		}
	})
}

// isReplica reports whether an address is that of a settings replica.
func isReplica(addr string) bool { return strings.HasSuffix(addr, "/replica") }

// tickGossip ticks the gossip core periodically while the process runs.
func (p *simProcess) tickGossip() {
	p.gossip.Tick(p.uptime())
	p.processGossipOutput()
	p.cluster.after(simTickInterval, func() { p.ifRunning(p.tickGossip) })
}

// processGossipOutput sends the gossip core's packets and handles its events.
func (p *simProcess) processGossipOutput() {
	for _, a := range p.gossip.TakeAnswers() {
		p.handleAnswer(a)
	}
	outs, events := p.gossip.TakeOutput()
	for _, o := range outs {
		o.Packet.Config, o.Packet.ConfigAge = uint64(p.settingsVersion), p.packetAge()
		if p.cluster.rng.Float64() < simPacketLoss {
			continue
		}
		p.cluster.after(simPacketDelay, func() {
			if q := p.reachablePeer(o.Addr); q != nil {
				q.receivePacket(p.addr, o.Packet)
			}
		})
	}
	for _, e := range events {
		p.handleEvent(e)
	}
	if len(events) > 0 {
		p.updateView()
	}
}

func (p *simProcess) handleEvent(e gossip.Event) {
	switch {
	case e.Member != nil && e.Member.Status == gossip.Dead:
		delete(p.members, e.Member.ID)
	case e.Member != nil:
		p.members[e.Member.ID] = *e.Member
	case member.IsLink(e.Record.Key):
		if l, err := member.DecodeLink(e.Record.Payload); err == nil {
			p.links[e.Record.Key] = *l
		}
	}
}

// updateView passes the addresses of active members and replicas to the scheduler.
func (p *simProcess) updateView() {
	var v View
	for _, m := range p.members {
		if m.Status == gossip.Leaving {
			continue
		}
		v.Alive = append(v.Alive, m.Addr)
		if isReplica(m.Addr) {
			v.Replicas = append(v.Replicas, m.Addr)
		}
	}
	for _, domain := range p.linkedDomains() {
		for _, addr := range p.controlAddrs(domain) {
			if isReplica(addr) {
				v.Replicas = append(v.Replicas, addr)
			}
		}
	}
	slices.Sort(v.Alive)
	p.scheduler.UpdateView(p.uptime(), v)
	if at := p.started + p.scheduler.NextDue(); at < p.nextSyncAt {
		p.nextSyncAt = at
		p.cluster.after(max(0, at-p.cluster.now), func() { p.ifRunning(p.runDueSyncs) })
	}
}

func (p *simProcess) receivePacket(addr string, k gossip.Packet) {
	if m, ok := p.members[k.From]; ok {
		p.asker.Heard(m.Addr)
		p.fetchNewerSettings(m.Addr, int(k.Config))
	}
	p.gossip.HandlePacket(p.uptime(), addr, k)
	p.processGossipOutput()
}

// fetchNewerSettings fetches the settings from a node if its version is newer.
func (p *simProcess) fetchNewerSettings(addr string, version int) {
	if version <= p.settingsVersion {
		return
	}
	p.fetcher.Observe(p.uptime(), addr, uint64(version))
	p.runFetches()
}

// packetAge returns the age of the settings as packets carry it. A replica knows at once if it has
// the newest version of the replicas that run.
func (p *simProcess) packetAge() uint32 {
	at := p.confirmations.ConfirmedAt()
	switch {
	case isReplica(p.addr) && p.settingsVersion == p.cluster.newestVersion():
		return 1
	case isReplica(p.addr) || at == 0:
		return 0
	}
	return uint32((p.uptime() - at).Milliseconds() + 1)
}

// newestVersion returns the newest version of the replicas that run.
func (f *simCluster) newestVersion() int {
	newest := 0
	for _, addr := range f.replicaAddrs {
		if p := f.processes[addr]; p != nil {
			newest = max(newest, p.settingsVersion)
		}
	}
	return newest
}

// handleAnswer takes the version and the age of the settings from an answer to a ping.
func (p *simProcess) handleAnswer(a gossip.Answer) {
	if age := time.Duration(a.Packet.ConfigAge) * time.Millisecond; age > 0 {
		p.confirmations.Record(confirm.Confirmation{At: a.SentAt - age, Version: a.Packet.Config}, uint64(p.settingsVersion))
	}
	p.fetchNewerSettings(a.Addr, int(a.Packet.Config))
}

// runAsks asks others for a confirmation of the settings whenever the last one is too old.
func (p *simProcess) runAsks() {
	if isReplica(p.addr) {
		return
	}
	addrs, wait := p.asker.Next(p.uptime(), p.confirmations.ConfirmedAt(), p.askTargets())
	for _, addr := range addrs {
		p.gossip.Query(addr)
		p.cluster.queriesSent++
	}
	p.processGossipOutput()
	p.cluster.after(wait, func() { p.ifRunning(p.runAsks) })
}

// askTargets returns the addresses that the process may ask.
func (p *simProcess) askTargets() confirm.Targets {
	t := confirm.Targets{OtherReplicas: p.scheduler.ReplicaAddrs()}
	for _, domain := range p.linkedDomains() {
		t.LinkMembers = append(t.LinkMembers, p.controlAddrs(domain)...)
	}
	for _, addr := range p.scheduler.view.Replicas {
		if strings.HasPrefix(addr, p.domain+"/") {
			t.Replicas = append(t.Replicas, addr)
		} else if !slices.Contains(t.OtherReplicas, addr) {
			t.OtherReplicas = append(t.OtherReplicas, addr)
		}
	}
	return t
}

// runFetches starts the fetches of settings that are due.
func (p *simProcess) runFetches() {
	for {
		f, ok, wait := p.fetcher.Next(p.uptime(), uint64(p.settingsVersion))
		if !ok {
			queried, queryWait := p.fetcher.Queries(p.uptime(), uint64(p.settingsVersion))
			for _, addr := range queried {
				p.gossip.Query(addr)
			}
			p.processGossipOutput()
			for _, w := range []time.Duration{wait, queryWait} {
				if w > 0 {
					p.cluster.after(w, func() { p.ifRunning(p.runFetches) })
				}
			}
			return
		}
		got := 0
		p.call(f.Addr, f.Silence, func(q *simProcess) { got = q.settingsVersion }, func() {
			p.applySettings(got)
			p.fetcher.RecordReply(p.uptime(), f.Addr, uint64(got))
			p.runFetches()
		}, func() {
			p.fetcher.RecordFailure(f.Addr)
			p.runFetches()
		})
	}
}

// applySettings activates a newer version of the settings and announces it.
func (p *simProcess) applySettings(version int) {
	if version <= p.settingsVersion {
		return
	}
	p.settingsVersion = version
	p.confirmations.Activate(uint64(version))
	p.activated(version)
	p.gossip.PingRandom(simUrgentPings)
	p.processGossipOutput()
	p.exchangeAll()
}

// runDueSyncs syncs with the targets that the scheduler returns.
func (p *simProcess) runDueSyncs() {
	if p.cluster.now < p.nextSyncAt {
		return
	}
	for _, t := range p.scheduler.DueTargets(p.uptime()) {
		p.cluster.syncsStarted++
		p.syncWith(t)
	}
	p.nextSyncAt = p.started + p.scheduler.NextDue()
	p.cluster.after(max(0, p.nextSyncAt-p.cluster.now), func() { p.ifRunning(p.runDueSyncs) })
}

// syncWith exchanges differing records with a target of the same domain, or obtains seed
// addresses from one of another domain.
func (p *simProcess) syncWith(t Target) {
	var answer PeerInfo
	var records []gossip.Record
	var theirs gossip.Digest
	var version int
	mine := p.gossip.Digest()
	sent := p.settingsVersion
	serve := func(q *simProcess) {
		answer.Domain, version = q.domain, q.settingsVersion
		q.fetchNewerSettings(p.addr, sent)
		if q.domain != p.domain {
			answer.Seeds = slices.Concat(q.controlAddrs(p.domain), q.requesters[p.domain])
			q.recordRequester(p)
			return
		}
		records, theirs = q.sortedDifferingRecords(mine), q.gossip.Digest()
	}
	p.call(t.Addr, t.Timeout, serve, func() {
		p.fetchNewerSettings(t.Addr, version)
		p.scheduler.RecordReply(t.Addr, answer)
		if answer.Domain != p.domain {
			p.domainAddrs[answer.Domain] = t.Addr
			return
		}
		p.gossip.MergeRecords(p.uptime(), records)
		back := p.sortedDifferingRecords(theirs)
		p.processGossipOutput()
		p.call(t.Addr, t.Timeout, func(q *simProcess) {
			q.gossip.MergeRecords(q.uptime(), back)
			q.processGossipOutput()
		}, func() {}, func() {})
	}, func() { p.scheduler.RecordFailure(t.Addr) })
}

// sortedDifferingRecords returns the records that a process with digest d may lack, sorted
// by key to keep the simulation deterministic.
func (p *simProcess) sortedDifferingRecords(d gossip.Digest) []gossip.Record {
	records := p.gossip.DifferingRecords(d)
	slices.SortFunc(records, func(a, b gossip.Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// recordRequester remembers the address of a requester in another failure domain.
func (p *simProcess) recordRequester(q *simProcess) {
	kept := slices.DeleteFunc(slices.Clone(p.requesters[q.domain]), func(a string) bool { return a == q.addr })
	kept = append(kept, q.addr)
	p.requesters[q.domain] = kept[max(0, len(kept)-simMaxRequesters):]
}

// linkedDomains returns the other domains that this one has links to, sorted.
func (p *simProcess) linkedDomains() []string {
	var out []string
	for _, l := range p.links {
		out = append(out, l.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// controlAddrs returns the control addresses of another domain's link members, sorted.
func (p *simProcess) controlAddrs(domain string) []string {
	var out []string
	for _, l := range p.links {
		if _, alive := p.members[l.By]; l.Domain == domain && (alive || l.By == p.id) {
			out = append(out, l.Control...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// linkMembers returns the IDs and the sorted addresses of this domain's link members.
func (p *simProcess) linkMembers() (ids, addrs []string) {
	all, byID := []string{p.id}, map[string]string{p.id: p.addr}
	for id, m := range p.members {
		if m.Status == gossip.Alive {
			all, byID[id] = append(all, id), m.Addr
		}
	}
	for _, id := range member.SelectLinkMembers(all, simLinkMembers) {
		ids, addrs = append(ids, id), append(addrs, byID[id])
	}
	slices.Sort(addrs)
	return ids, addrs
}

// runExchanges exchanges with the other domains at every simExchangeInterval.
func (p *simProcess) runExchanges() {
	p.exchangeAll()
	p.cluster.after(simExchangeInterval, func() { p.ifRunning(p.runExchanges) })
}

// exchangeAll exchanges with each known domain if this node is a link member.
func (p *simProcess) exchangeAll() {
	ids, _ := p.linkMembers()
	if !slices.Contains(ids, p.id) {
		return
	}
	targets := map[string]string{}
	for domain, addr := range p.domainAddrs {
		targets[domain] = addr
	}
	for _, domain := range p.linkedDomains() {
		if control := p.controlAddrs(domain); len(control) > 0 {
			targets[domain] = control[p.cluster.rng.IntN(len(control))]
		}
	}
	for _, domain := range sortedKeys(targets) {
		p.exchange(targets[domain])
	}
}

func sortedKeys(m map[string]string) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// exchange swaps link members and settings versions with a node of another domain.
func (p *simProcess) exchange(addr string) {
	var domain string
	var control []string
	var version int
	_, own := p.linkMembers()
	sent := p.settingsVersion
	p.call(addr, simExchangeTimeout, func(q *simProcess) {
		_, control = q.linkMembers()
		domain, version = q.domain, q.settingsVersion
		q.publishLink(p.domain, own)
		q.fetchNewerSettings(p.addr, sent)
	}, func() {
		p.publishLink(domain, control)
		p.fetchNewerSettings(addr, version)
	}, func() {})
}

// publishLink publishes the control addresses of another domain within this one.
func (p *simProcess) publishLink(domain string, control []string) {
	if domain == p.domain {
		return
	}
	l := member.Link{Domain: domain, By: p.id, Reachable: true, Control: control}
	key := member.LinkKey(domain, p.id)
	old, known := p.gossip.Get(key)
	if known && string(old.Payload) == string(l.Encode()) {
		return
	}
	p.gossip.Publish(gossip.Record{Key: key, Stamp: old.Stamp + 1, Payload: l.Encode()})
	p.processGossipOutput()
}
