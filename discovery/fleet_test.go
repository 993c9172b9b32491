package discovery

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/member"
)

// The fleet of these tests runs in virtual time: the real gossip cores and the
// real discovery, joined as a node joins them, over a network with delays, losses,
// cuts and addresses that do not answer.
const (
	simTick    = 25 * time.Millisecond
	simDelay   = time.Millisecond
	simLoss    = 0.005
	simNudges  = 3
	simLinking = 3
	simLink    = time.Second
	simAskers  = 6
	// simLinkTimeout bounds an exchange between failure domains.
	simLinkTimeout = 600 * time.Millisecond
	// simFetchTimeout bounds a fetch of settings.
	simFetchTimeout = 300 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is all processes by their addresses.
type fleet struct {
	rng   *rand.Rand
	now   time.Duration
	queue events
	seq   int
	at    map[string]*process
	seeds []string
	// cut are the addresses that nobody reaches, and apart the failure domains
	// that are cut off from the others.
	cut, apart map[string]bool
	// looks counts the comparisons that were begun.
	looks int
}

// process is one start of a node.
type process struct {
	f                *fleet
	id, addr, domain string
	started          time.Duration
	gossip           *gossip.Core
	finder           *Scheduler
	version          int
	fetching         bool
	members          map[string]gossip.Member
	links            map[string]member.Link
	learned          map[string]string
	askers           map[string][]string
	findAt           time.Duration
}

func newFleet(seed uint64) *fleet {
	return &fleet{rng: rand.New(rand.NewPCG(seed, 11)), at: map[string]*process{}, cut: map[string]bool{}, apart: map[string]bool{}}
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

// runUntil plays until a time, or until done tells that it is enough.
func (f *fleet) runUntil(end time.Duration, done func() bool) {
	for len(f.queue) > 0 && f.queue[0].at <= end && !done() {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	if !done() {
		f.now = end
	}
}

func (f *fleet) run(d time.Duration) { f.runUntil(f.now+d, func() bool { return false }) }

// start runs a new process at an address.
func (f *fleet) start(addr, domain string, version int) *process {
	f.seq++
	p := &process{
		f: f, id: fmt.Sprintf("%s#%d", addr, f.seq), addr: addr, domain: domain, started: f.now, version: version,
		members: map[string]gossip.Member{}, links: map[string]member.Link{}, learned: map[string]string{}, askers: map[string][]string{},
	}
	p.gossip = gossip.New(gossip.Member{ID: p.id, Addr: addr}, gossip.Options{
		ProbeInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 2 * time.Second, DepartedRetention: 30 * time.Second,
		IndirectProbes: 3, MaxPiggybackBytes: 1100, Rand: f.rng,
	})
	p.finder = New(Options{Self: addr, Domain: domain, Rand: f.rng})
	p.finder.SetBootstrap(f.seeds)
	f.at[addr] = p
	p.tick()
	p.find()
	p.link()
	return p
}

func (f *fleet) stop(addr string) { delete(f.at, addr) }

// up tells whether the process still runs.
func (p *process) up() bool { return p.f.at[p.addr] == p }

// clock is the time since the process started.
func (p *process) clock() time.Duration { return p.f.now - p.started }

// reaches returns the process at an address, nil if none answers there.
func (p *process) reaches(addr string) *process {
	if p.f.cut[p.addr] || p.f.cut[addr] {
		return nil
	}
	q := p.f.at[addr]
	if q != nil && q.domain != p.domain && (p.f.apart[p.domain] || p.f.apart[q.domain]) {
		return nil
	}
	return q
}

// call runs a remote call: serve at the process at addr, then reply here; lost
// if none answers within the timeout.
func (p *process) call(addr string, timeout time.Duration, serve func(q *process), reply, lost func()) {
	p.f.after(simDelay, func() {
		q := p.reaches(addr)
		if q == nil {
			p.f.after(timeout, func() { p.ifUp(lost) })
			return
		}
		serve(q)
		p.f.after(simDelay, func() { p.ifUp(reply) })
	})
}

func (p *process) ifUp(run func()) {
	if p.up() {
		run()
	}
}

// isReplica tells whether an address is that of a replica.
func isReplica(addr string) bool { return strings.HasSuffix(addr, "/replica") }

// tick drives the gossip, for as long as the process runs.
func (p *process) tick() {
	p.gossip.Tick(p.clock())
	p.work()
	p.f.after(simTick, func() { p.ifUp(p.tick) })
}

// work sends what the gossip core wants sent and takes in its events.
func (p *process) work() {
	outs, events := p.gossip.TakeOutput()
	for _, o := range outs {
		o.Packet.Config = uint64(p.version)
		if p.f.rng.Float64() < simLoss {
			continue
		}
		p.f.after(simDelay, func() {
			if q := p.reaches(o.Addr); q != nil {
				q.receive(p.addr, o.Packet)
			}
		})
	}
	for _, e := range events {
		p.take(e)
	}
	if len(events) > 0 {
		p.see()
	}
}

func (p *process) take(e gossip.Event) {
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

// see tells the discovery which members take part.
func (p *process) see() {
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
	for _, domain := range p.linked() {
		for _, addr := range p.control(domain) {
			if isReplica(addr) {
				v.Replicas = append(v.Replicas, addr)
			}
		}
	}
	slices.Sort(v.Alive)
	p.finder.UpdateView(p.clock(), v)
	if at := p.started + p.finder.NextDue(); at < p.findAt {
		p.findAt = at
		p.f.after(max(0, at-p.f.now), func() { p.ifUp(p.find) })
	}
}

func (p *process) receive(addr string, k gossip.Packet) {
	if m, ok := p.members[k.From]; ok {
		p.heard(m.Addr, int(k.Config))
	}
	p.gossip.HandlePacket(p.clock(), addr, k)
	p.work()
}

// heard fetches settings from a node that has newer ones.
func (p *process) heard(addr string, version int) {
	if version <= p.version || p.fetching {
		return
	}
	p.fetching = true
	got := 0
	p.call(addr, simFetchTimeout, func(q *process) { got = q.version }, func() {
		p.fetching = false
		p.force(got)
	}, func() { p.fetching = false })
}

func (p *process) force(version int) {
	if version <= p.version {
		return
	}
	p.version = version
	p.gossip.PingRandom(simNudges)
	p.work()
	p.exchangeAll()
}

// find compares records with whom the discovery names.
func (p *process) find() {
	if p.f.now < p.findAt {
		return
	}
	for _, t := range p.finder.DueTargets(p.clock()) {
		p.f.looks++
		p.compare(t)
	}
	p.findAt = p.started + p.finder.NextDue()
	p.f.after(max(0, p.findAt-p.f.now), func() { p.ifUp(p.find) })
}

func (p *process) compare(t Target) {
	var answer PeerInfo
	var records []gossip.Record
	var theirs gossip.Digest
	var version int
	mine := p.gossip.Digest()
	serve := func(q *process) {
		answer.Domain, version = q.domain, q.version
		if q.domain != p.domain {
			answer.Seeds = slices.Concat(q.control(p.domain), q.askers[p.domain])
			q.asks(p)
			return
		}
		records, theirs = q.differing(mine), q.gossip.Digest()
	}
	p.call(t.Addr, t.Timeout, serve, func() {
		p.heard(t.Addr, version)
		p.finder.RecordReply(t.Addr, answer)
		if answer.Domain != p.domain {
			p.learned[answer.Domain] = t.Addr
			return
		}
		p.gossip.MergeRecords(p.clock(), records)
		back := p.differing(theirs)
		p.work()
		p.call(t.Addr, t.Timeout, func(q *process) {
			q.gossip.MergeRecords(q.clock(), back)
			q.work()
		}, func() {}, func() {})
	}, func() { p.finder.RecordFailure(t.Addr) })
}

// differing returns the records that a process may lack, in one order for each
// seed.
func (p *process) differing(d gossip.Digest) []gossip.Record {
	records := p.gossip.DifferingRecords(d)
	slices.SortFunc(records, func(a, b gossip.Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// asks remembers who asked from another failure domain.
func (p *process) asks(q *process) {
	kept := slices.DeleteFunc(slices.Clone(p.askers[q.domain]), func(a string) bool { return a == q.addr })
	kept = append(kept, q.addr)
	p.askers[q.domain] = kept[max(0, len(kept)-simAskers):]
}

// linked returns the other domains that this one has a link to.
func (p *process) linked() []string {
	var out []string
	for _, l := range p.links {
		out = append(out, l.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// control returns the addresses of another domain's linking members.
func (p *process) control(domain string) []string {
	var out []string
	for _, l := range p.links {
		if _, alive := p.members[l.By]; l.Domain == domain && (alive || l.By == p.id) {
			out = append(out, l.Control...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// linking returns the ids and addresses of the members that link this domain.
func (p *process) linking() (ids, addrs []string) {
	all, byID := []string{p.id}, map[string]string{p.id: p.addr}
	for id, m := range p.members {
		if m.Status == gossip.Alive {
			all, byID[id] = append(all, id), m.Addr
		}
	}
	for _, id := range member.Linking(all, simLinking) {
		ids, addrs = append(ids, id), append(addrs, byID[id])
	}
	slices.Sort(addrs)
	return ids, addrs
}

// link exchanges with the other domains every second, while this node links.
func (p *process) link() {
	p.exchangeAll()
	p.f.after(simLink, func() { p.ifUp(p.link) })
}

func (p *process) exchangeAll() {
	ids, _ := p.linking()
	if !slices.Contains(ids, p.id) {
		return
	}
	targets := map[string]string{}
	for domain, addr := range p.learned {
		targets[domain] = addr
	}
	for _, domain := range p.linked() {
		if control := p.control(domain); len(control) > 0 {
			targets[domain] = control[p.f.rng.IntN(len(control))]
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

func (p *process) exchange(addr string) {
	var domain string
	var control []string
	var version int
	_, own := p.linking()
	sent := p.version
	p.call(addr, simLinkTimeout, func(q *process) {
		_, control = q.linking()
		domain, version = q.domain, q.version
		q.met(p.domain, own)
		q.heard(p.addr, sent)
	}, func() {
		p.met(domain, control)
		p.heard(addr, version)
	}, func() {})
}

// met spreads within the domain whom to ask in another.
func (p *process) met(domain string, control []string) {
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
	p.work()
}
