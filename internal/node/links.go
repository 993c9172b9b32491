package node

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/member"
)

const (
	// linking is how many members link a failure domain to the others.
	linking = 3
	// linkPeriod is the time between two exchanges with each other domain.
	linkPeriod = time.Second
	// youngLinkPeriod is the same in a young process.
	youngLinkPeriod = 250 * time.Millisecond
	// linkTimeout bounds one exchange: many round trips between domains, and
	// short, as a domain that is cut off must be noticed within seconds.
	linkTimeout = 600 * time.Millisecond
)

// links is the state of the exchanges with other failure domains.
type links struct {
	mu sync.Mutex
	// own are the summaries of this domain as this node sees them.
	own map[string]gossip.Record
	// acked is, per process, the newest stamp of own that it confirmed, and
	// have the newest stamp of its summaries that this node has.
	acked, have map[string]uint64
	// process is the process last met at an address.
	process map[string]string
	// learned are addresses in other domains, by domain.
	learned map[string]string
	failed  map[string]int
	// known is how many failure domains the node at an address knows.
	known map[string]int
	stamp uint64
}

func newLinks() *links {
	return &links{own: map[string]gossip.Record{}, acked: map[string]uint64{}, have: map[string]uint64{}, process: map[string]string{}, learned: map[string]string{}, failed: map[string]int{}, known: map[string]int{}}
}

// linkLoop is the duty of the exchanges. Every node runs it; only those that
// link the domain at the moment have anything to do.
func (n *Node) linkLoop() {
	for {
		period := linkPeriod
		if n.gossip.young() {
			period = youngLinkPeriod
		}
		select {
		case <-n.stop:
			return
		case <-n.gossip.linkNow:
		case <-time.After(period):
		}
		if ids, addrs := n.linkMembers(); contains(ids, n.id) {
			n.exchangeAll(addrs)
		}
	}
}

func contains(ids []string, id string) bool {
	for _, v := range ids {
		if v == id {
			return true
		}
	}
	return false
}

// linkMembers returns the ids and control addresses of the members that link
// this failure domain, as this node sees it.
func (n *Node) linkMembers() (ids, addrs []string) {
	byID := map[string]string{n.id: n.opt.AdvertiseControl}
	all := []string{n.id}
	for _, m := range n.view.Load().members {
		if m.Status == gossip.Alive {
			byID[m.ID] = m.Addr
			all = append(all, m.ID)
		}
	}
	ids = member.Linking(all, linking)
	for _, id := range ids {
		addrs = append(addrs, byID[id])
	}
	return ids, addrs
}

// exchangeAll talks to each other domain, all at once: one that is cut off
// must not hold up the others.
func (n *Node) exchangeAll(own []string) {
	var wg sync.WaitGroup
	for domain, addr := range n.linkTargets() {
		if domain == n.opt.Domain {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.exchange(domain, addr, own)
		}()
	}
	wg.Wait()
}

// linkTargets returns an address in each domain that is known.
func (n *Node) linkTargets() map[string]string {
	out := n.control.links.targets(n.view.Load().domains)
	out[n.opt.Domain] = n.opt.AdvertiseControl
	return out
}

// targets returns an address in each other domain that is known: of one of its
// linking members, or, where it is cut off, now and then the last at which it was
// met otherwise, as all its linking members may have been replaced meanwhile.
func (l *links) targets(domains map[string]domainView) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := maps.Clone(l.learned)
	for domain, d := range domains {
		addrs := slices.Clone(d.control)
		if met, ok := l.learned[domain]; ok && !d.reachable {
			addrs = append(addrs, met)
		}
		if len(addrs) > 0 {
			out[domain] = addrs[rand.IntN(len(addrs))]
		}
	}
	return out
}

// learn remembers an address in another failure domain that somebody told of, if
// none is known.
func (l *links) learn(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned[domain] == "" {
		l.learned[domain] = addr
	}
}

// meet remembers the address at which another failure domain was met last.
func (l *links) meet(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned[domain] = addr
}

// domainsFor returns the failure domains to tell a node that knows so many.
func (n *Node) domainsFor(known int) (own int, tell map[string]string) {
	all := n.linkTargets()
	if known < len(all) {
		tell = all
	}
	return len(all), tell
}

// learnDomains takes in the failure domains that another node knows.
func (n *Node) learnDomains(domains map[string]string) {
	for domain, addr := range domains {
		if domain != n.opt.Domain {
			n.control.links.learn(domain, addr)
		}
	}
}

func (n *Node) exchange(domain, addr string, own []string) {
	l := n.control.links
	id := l.at(addr)
	req := &control.ExchangeRequest{Domain: n.opt.Domain, Control: own, Config: n.conf.Load().version, Addr: n.opt.AdvertiseControl, ID: n.id}
	req.Records, req.UpTo = l.unsent(id, n.summaries())
	req.HaveOf, req.Have = id, l.haveOf(id)
	req.Known, req.Domains = n.domainsFor(l.knownBy(id))
	var reply control.ExchangeReply
	err := n.control.pool.Call(addr, "Exchange", req, &reply, linkTimeout)
	if err != nil || reply.Domain != domain {
		n.linkFailed(domain)
		return
	}
	l.met(domain, addr, &reply)
	n.learnDomains(reply.Domains)
	n.takeExchange(domain, reply.Control, reply.Records)
	n.gossip.heard(byExchange, addr, reply.Config)
}

// takeExchange spreads within this domain what another told of itself.
func (n *Node) takeExchange(domain string, controls []string, records []gossip.Record) {
	prefix := member.SummaryKey(domain, "")
	n.gossip.post(func() {
		for _, r := range records {
			if len(r.Key) > len(prefix) && r.Key[:len(prefix)] == prefix {
				n.gossip.core.Publish(r)
			}
		}
	})
	n.publishLink(member.Link{Domain: domain, By: n.id, Reachable: true, Control: controls})
}

func (n *Node) linkFailed(domain string) {
	l := n.control.links
	l.mu.Lock()
	l.failed[domain]++
	cut := l.failed[domain] >= maxFailedInARow
	l.mu.Unlock()
	if cut {
		d := n.view.Load().domains[domain]
		n.publishLink(member.Link{Domain: domain, By: n.id, Control: dedup(d.control)})
	}
}

// publishLink spreads what this node knows of a domain, if that is news.
func (n *Node) publishLink(l member.Link) {
	key := member.LinkKey(l.Domain, n.id)
	sort.Strings(l.Control)
	payload := l.Encode()
	n.gossip.post(func() {
		old, known := n.gossip.core.Get(key)
		if known && bytes.Equal(old.Payload, payload) {
			return
		}
		n.gossip.core.Publish(gossip.Record{Key: key, Stamp: max(old.Stamp+1, stampNow()), Payload: payload})
	})
}

func dedup(in []string) []string {
	sort.Strings(in)
	var out []string
	for i, v := range in {
		if i == 0 || v != in[i-1] {
			out = append(out, v)
		}
	}
	return out
}

func stampNow() uint64 { return uint64(time.Now().UnixMilli()) }

// summaries returns what this domain tells the others about its services.
func (n *Node) summaries() []member.Summary {
	byService := map[string][]member.Remote{}
	if be := n.local.Load(); be != nil && be.state == member.Serving && !n.leaving() {
		byService[be.service] = append(byService[be.service], member.Remote{ID: n.id, Addr: n.opt.AdvertiseData, Slots: be.slots, Weight: be.weight, Start: be.start})
	}
	if id := n.replicas.identity(); id != "" {
		byService[member.ReplicaService] = append(byService[member.ReplicaService], member.Remote{ID: id, Addr: n.opt.AdvertiseControl})
	}
	for _, m := range n.view.Load().members {
		if !m.alive() {
			continue
		}
		if m.meta.State == member.Serving {
			byService[m.meta.Service] = append(byService[m.meta.Service], member.Remote{ID: m.ID, Addr: m.meta.Data, Slots: m.meta.Slots, Weight: m.meta.Weight, Start: m.meta.Start})
		}
		if m.meta.Replica != "" {
			byService[member.ReplicaService] = append(byService[member.ReplicaService], member.Remote{ID: m.meta.Replica, Addr: m.Addr})
		}
	}
	var out []member.Summary
	for name, ins := range byService {
		sort.Slice(ins, func(i, j int) bool { return ins[i].ID < ins[j].ID })
		out = append(out, member.Summary{Domain: n.opt.Domain, Service: name, Instances: ins[:min(len(ins), member.SummaryInstances)]})
	}
	return out
}

// unsent takes over the summaries and returns those that a process has not
// confirmed, with the stamp up to which it then has them. A service that
// is gone is told once, as a summary without instances.
func (l *links) unsent(id string, now []member.Summary) ([]gossip.Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[string]bool{}
	for _, s := range now {
		key := member.SummaryKey(s.Domain, s.Service)
		present[key] = true
		l.update(key, s.Encode())
	}
	for key, r := range l.own {
		if present[key] {
			continue
		}
		if s, err := member.DecodeSummary(r.Payload); err == nil && len(s.Instances) > 0 {
			s.Instances = nil
			l.update(key, s.Encode())
		}
	}
	var out []gossip.Record
	for _, r := range l.own {
		if r.Stamp > l.acked[id] {
			out = append(out, r)
		}
	}
	return out, l.stamp
}

func (l *links) update(key string, payload []byte) {
	if old, ok := l.own[key]; ok && bytes.Equal(old.Payload, payload) {
		return
	}
	l.stamp = max(l.stamp+1, stampNow())
	l.own[key] = gossip.Record{Key: key, Stamp: l.stamp, Payload: payload}
}

// maxProcesses bounds the processes that are remembered.
const maxProcesses = 1024

// met takes in what a reply says of the process at an address.
func (l *links) met(domain, addr string, reply *control.ExchangeReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.process) > maxProcesses {
		// Processes that are gone are forgotten; the others are told all again.
		clear(l.process)
		clear(l.acked)
		clear(l.have)
		clear(l.known)
	}
	l.process[addr] = reply.ID
	l.acked[reply.ID] = reply.Have
	l.have[reply.ID] = reply.UpTo
	l.known[reply.ID] = reply.Known
	l.failed[domain] = 0
}

// confirmed takes in what the process that asks has of own, and has given.
func (l *links) confirmed(req *control.ExchangeRequest, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[req.ID] = 0
	if req.HaveOf == self {
		l.acked[req.ID] = req.Have
	}
	l.have[req.ID] = req.UpTo
	l.known[req.ID] = req.Known
	l.failed[req.Domain] = 0
}

// at returns the process last met at an address, "" if none was.
func (l *links) at(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process[addr]
}

func (l *links) haveOf(id string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.have[id]
}

func (l *links) knownBy(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[id]
}
