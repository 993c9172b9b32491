package node

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/links"
	"github.com/umberthread/umberthread/member"
)

const (
	// linkMemberCount is how many members exchange with other failure domains on
	// behalf of their own.
	linkMemberCount = 3
	// linkInterval is the time between two exchanges with each other domain.
	linkInterval = time.Second
	// startupLinkInterval is the same in a recently started process.
	startupLinkInterval = 250 * time.Millisecond
	// linkTimeout bounds one exchange. It allows many round trips between domains,
	// yet detects an unreachable domain within seconds.
	linkTimeout = 600 * time.Millisecond
)

// linkLoop exchanges with the other failure domains. Every node runs it, but only
// the current link members of the domain exchange anything.
func (n *Node) linkLoop() {
	// handoverRounds counts the rounds in which this node had an address to hand over.
	handoverRounds := 0
	for {
		period := linkInterval
		if n.gossip.recentlyStarted() {
			period = startupLinkInterval
		}
		select {
		case <-n.stop:
			return
		case <-n.gossip.linkWake:
		case <-time.After(period):
		}
		ids, addrs := n.linkMembers()
		if slices.Contains(ids, n.id) {
			handoverRounds = 0
			n.exchangeWithAll(addrs)
			continue
		}
		if n.handOverAddrs(addrs, handoverRounds) {
			handoverRounds++
		} else {
			handoverRounds = 0
		}
		if !n.gossip.recentlyStarted() {
			n.withdrawLinks()
		}
	}
}

// handOverAddrs tells a link member, one of addrs, what this node has met in domains of which its
// own one knows no address, with links.HandoverChance. It reports whether there are any.
func (n *Node) handOverAddrs(addrs []string, previousRounds int) bool {
	v, l := n.view.Load(), n.control.links
	met := l.Unlocated(v.domains)
	if len(met) == 0 {
		return false
	}
	if (runtimeRand{}).Float64() >= links.HandoverChance(previousRounds, len(v.members)+1) || !l.BeginExchange(n.opt.Domain) {
		return true
	}
	req := &control.ExchangeRequest{Domain: n.opt.Domain, Addr: n.opt.AdvertiseControl, ID: n.id, Domains: met}
	addr := addrs[rand.IntN(len(addrs))]
	go func() {
		// Handovers requested meanwhile, and one that fails, are left to the next round.
		defer func() {
			for l.EndExchange(n.opt.Domain) {
			}
		}()
		_ = n.control.pool.Call(addr, "Exchange", req, &control.ExchangeReply{}, linkTimeout)
	}()
	return true
}

// linkMembers returns the IDs and control addresses of the members that exchange
// with other failure domains, according to this node's view.
func (n *Node) linkMembers() (ids, addrs []string) {
	byID := map[string]string{n.id: n.opt.AdvertiseControl}
	all := []string{n.id}
	for _, m := range n.view.Load().members {
		if m.Status == gossip.Alive {
			byID[m.ID] = m.Addr
			all = append(all, m.ID)
		}
	}
	ids = member.SelectLinkMembers(all, linkMemberCount)
	for _, id := range ids {
		addrs = append(addrs, byID[id])
	}
	return ids, addrs
}

// exchangeWithAll starts an exchange with each other domain and does not wait, so an
// unreachable domain delays neither the others nor the next round.
func (n *Node) exchangeWithAll(own []string) {
	for domain, addr := range n.domainAddrs() {
		if domain != n.opt.Domain && n.control.links.BeginExchange(domain) {
			go n.exchangeUntilCurrent(domain, addr, own)
		}
	}
}

// exchangeUntilCurrent exchanges with a domain, first at addr, until no further
// exchange has been requested meanwhile.
func (n *Node) exchangeUntilCurrent(domain, addr string, own []string) {
	n.exchangeWith(domain, addr, own)
	for n.control.links.EndExchange(domain) {
		n.exchangeWith(domain, n.domainAddrs()[domain], own)
	}
}

// domainAddrs returns one control address for each known domain, its own included.
func (n *Node) domainAddrs() map[string]string {
	out := n.control.links.PickTargets(n.view.Load().domains)
	out[n.opt.Domain] = n.opt.AdvertiseControl
	return out
}

// domainsFor returns how many failure domains this node knows and, if that is more
// than the peer knows, an address in each of them.
func (n *Node) domainsFor(known int) (own int, tell map[string]string) {
	all := n.domainAddrs()
	if known < len(all) {
		tell = all
	}
	return len(all), tell
}

// adoptAddrs records addresses in other failure domains that a node of this domain has met.
func (n *Node) adoptAddrs(met map[string]string) {
	v := n.view.Load()
	for domain, addr := range met {
		if domain != n.opt.Domain && !v.domains[domain].InContact() {
			n.control.links.RecordContact(domain, addr)
		}
	}
	n.gossip.wakeLinks()
}

// learnDomains records the failure domains that another node knows.
func (n *Node) learnDomains(domains map[string]string) {
	for domain, addr := range domains {
		if domain != n.opt.Domain {
			n.control.links.LearnAddr(domain, addr)
		}
	}
}

// exchangeWith exchanges service summaries with the node at addr in another domain.
// own are the control addresses of this domain's link members.
func (n *Node) exchangeWith(domain, addr string, own []string) {
	l := n.control.links
	id := l.ProcessAt(addr)
	req := &control.ExchangeRequest{Domain: n.opt.Domain, Control: own, Config: n.conf.Load().version, Addr: n.opt.AdvertiseControl, ID: n.id}
	req.Records, req.UpTo = l.UnackedSummaries(id, n.serviceSummaries())
	req.HaveOf, req.Have = id, l.ReceivedStamp(id)
	req.Known, req.Domains = n.domainsFor(l.DomainsKnownBy(id))
	var reply control.ExchangeReply
	err := n.control.pool.Call(addr, "Exchange", req, &reply, linkTimeout)
	if err != nil || reply.Domain != domain {
		n.recordLinkFailure(domain)
		return
	}
	l.RecordReply(domain, addr, &reply)
	n.learnDomains(reply.Domains)
	n.mergeExchange(domain, reply.Control, reply.Records)
	n.gossip.observeVersion(viaExchange, addr, reply.Config)
}

// mergeExchange spreads the records of another domain within this one, and the fact
// that the other domain is reachable. Records about other domains are ignored.
func (n *Node) mergeExchange(domain string, controls []string, records []gossip.Record) {
	prefix := member.SummaryKey(domain, "")
	n.gossip.postToCore(func() {
		for _, r := range records {
			if len(r.Key) <= len(prefix) || r.Key[:len(prefix)] != prefix {
				continue
			}
			if n.gossip.core.Publish(r) && member.IsTerminationSummary(r.Key) {
				// A request that crashes backend servers must be known everywhere
				// before the next probe.
				n.gossip.core.PingRandom(nudgeFanout)
			}
		}
	})
	n.publishLink(member.Link{Domain: domain, By: n.id, Reachable: true, Control: controls})
}

// recordLinkFailure counts a failed exchange and reports the domain as unreachable
// after maxLinkFailures in a row.
func (n *Node) recordLinkFailure(domain string) {
	if n.control.links.RecordFailure(domain) >= maxLinkFailures {
		d := n.view.Load().domains[domain]
		n.publishLink(member.Link{Domain: domain, By: n.id, Control: sortedUnique(d.ControlAddrs)})
	}
}

// publishLink publishes this node's link to a domain if it has changed. A node that is no link
// member, which another domain contacted, only passes on that domain's addresses.
func (n *Node) publishLink(l member.Link) {
	if ids, _ := n.linkMembers(); !slices.Contains(ids, n.id) {
		l.Reachable, l.AddressesOnly = false, true
	}
	n.gossip.postToCore(func() { n.gossip.publishLink(l) })
}

// publishLink publishes this node's link to a domain if it has changed. Only the gossip goroutine
// calls it.
func (g *gossiper) publishLink(l member.Link) {
	key := member.LinkKey(l.Domain, g.node.id)
	sort.Strings(l.Control)
	payload := l.Encode()
	old, known := g.core.Get(key)
	if known && bytes.Equal(old.Payload, payload) {
		return
	}
	g.core.Publish(gossip.Record{Key: key, Stamp: max(old.Stamp+1, uint64(time.Now().UnixMilli())), Payload: payload})
}

// withdrawalsPerRound is how many members of a domain withdraw their links in a round, on
// average: when thousands of nodes start at once, each of them is a link member in its own view
// for a moment, and their withdrawals must not fill the gossip.
const withdrawalsPerRound = 4

// withdrawLinks withdraws what this node reported on other domains while it was a link member:
// it would count again when the node becomes one again, before it has contacted anybody.
func (n *Node) withdrawLinks() {
	v := n.view.Load()
	if v.formerReporters == 0 || (runtimeRand{}).Float64()*float64(v.formerReporters) >= withdrawalsPerRound {
		return
	}
	n.gossip.postToCore(func() {
		for domain := range v.domains {
			r, known := n.gossip.core.Get(member.LinkKey(domain, n.id))
			if !known {
				continue
			}
			l, err := member.DecodeLink(r.Payload)
			if err != nil || l.AddressesOnly {
				continue
			}
			l.Reachable, l.AddressesOnly = false, true
			n.gossip.publishLink(*l)
		}
	})
}

// sortedUnique sorts a slice in place and returns its distinct values.
func sortedUnique(in []string) []string {
	sort.Strings(in)
	var out []string
	for i, v := range in {
		if i == 0 || v != in[i-1] {
			out = append(out, v)
		}
	}
	return out
}

// serviceSummaries returns the summaries that this domain sends to the others: its
// instances by service, its replicas, and the reports of the quarantine.
func (n *Node) serviceSummaries() []member.Summary {
	byService := map[string][]member.RemoteInstance{}
	if be := n.local.Load(); be != nil && be.memberState == member.Serving && !n.rejectsNewWork() {
		byService[be.service] = append(byService[be.service], member.RemoteInstance{ID: n.id, Addr: n.opt.AdvertiseData, Slots: be.slots, Weight: be.weight, Start: be.incarnation})
	}
	if id := n.replicas.identity(); id != "" {
		byService[member.ReplicaService] = append(byService[member.ReplicaService], member.RemoteInstance{ID: id, Addr: n.opt.AdvertiseControl})
	}
	for _, m := range n.view.Load().members {
		if !m.alive() {
			continue
		}
		if m.meta.State == member.Serving {
			byService[m.meta.Service] = append(byService[m.meta.Service], member.RemoteInstance{ID: m.ID, Addr: m.meta.Data, Slots: m.meta.Slots, Weight: m.meta.Weight, Start: m.meta.Start})
		}
		if m.meta.Replica != "" {
			byService[member.ReplicaService] = append(byService[member.ReplicaService], member.RemoteInstance{ID: m.meta.Replica, Addr: m.Addr})
		}
	}
	out := n.quarantine.summaries()
	for name, ins := range byService {
		sort.Slice(ins, func(i, j int) bool { return ins[i].ID < ins[j].ID })
		out = append(out, member.Summary{Domain: n.opt.Domain, Service: name, Instances: ins[:min(len(ins), member.SummaryInstances)]})
	}
	return out
}
