package node

import (
	"bytes"
	"slices"
	"sort"
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
		if ids, addrs := n.linkMembers(); slices.Contains(ids, n.id) {
			n.exchangeAll(addrs)
		}
	}
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

// exchangeAll talks to each other domain, without waiting: one that is cut off must
// not hold up the others, nor what the next change has to tell them.
func (n *Node) exchangeAll(own []string) {
	for domain, addr := range n.linkTargets() {
		if domain != n.opt.Domain && n.control.links.BeginExchange(domain) {
			go n.exchangeWhileNews(domain, addr, own)
		}
	}
}

// exchangeWhileNews exchanges with a domain until there is no news for it, first
// at addr.
func (n *Node) exchangeWhileNews(domain, addr string, own []string) {
	n.exchange(domain, addr, own)
	for n.control.links.EndExchange(domain) {
		n.exchange(domain, n.linkTargets()[domain], own)
	}
}

// linkTargets returns an address in each domain that is known.
func (n *Node) linkTargets() map[string]string {
	out := n.control.links.PickTargets(n.view.Load().domains)
	out[n.opt.Domain] = n.opt.AdvertiseControl
	return out
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
			n.control.links.LearnAddr(domain, addr)
		}
	}
}

func (n *Node) exchange(domain, addr string, own []string) {
	l := n.control.links
	id := l.ProcessAt(addr)
	req := &control.ExchangeRequest{Domain: n.opt.Domain, Control: own, Config: n.conf.Load().version, Addr: n.opt.AdvertiseControl, ID: n.id}
	req.Records, req.UpTo = l.UnackedSummaries(id, n.summaries())
	req.HaveOf, req.Have = id, l.ReceivedStamp(id)
	req.Known, req.Domains = n.domainsFor(l.DomainsKnownBy(id))
	var reply control.ExchangeReply
	err := n.control.pool.Call(addr, "Exchange", req, &reply, linkTimeout)
	if err != nil || reply.Domain != domain {
		n.linkFailed(domain)
		return
	}
	l.RecordReply(domain, addr, &reply)
	n.learnDomains(reply.Domains)
	n.takeExchange(domain, reply.Control, reply.Records)
	n.gossip.heard(byExchange, addr, reply.Config)
}

// takeExchange spreads within this domain what another told of itself.
func (n *Node) takeExchange(domain string, controls []string, records []gossip.Record) {
	prefix := member.SummaryKey(domain, "")
	n.gossip.post(func() {
		for _, r := range records {
			if len(r.Key) <= len(prefix) || r.Key[:len(prefix)] != prefix {
				continue
			}
			if n.gossip.core.Publish(r) && member.IsEnded(r.Key) {
				// A request that ends servers must not wait for the next probe.
				n.gossip.core.PingRandom(nudges)
			}
		}
	})
	n.publishLink(member.Link{Domain: domain, By: n.id, Reachable: true, Control: controls})
}

func (n *Node) linkFailed(domain string) {
	if n.control.links.RecordFailure(domain) >= maxFailedInARow {
		d := n.view.Load().domains[domain]
		n.publishLink(member.Link{Domain: domain, By: n.id, Control: dedup(d.ControlAddrs)})
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
		n.gossip.core.Publish(gossip.Record{Key: key, Stamp: max(old.Stamp+1, uint64(time.Now().UnixMilli())), Payload: payload})
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
	out := n.quarantine.summaries()
	for name, ins := range byService {
		sort.Slice(ins, func(i, j int) bool { return ins[i].ID < ins[j].ID })
		out = append(out, member.Summary{Domain: n.opt.Domain, Service: name, Instances: ins[:min(len(ins), member.SummaryInstances)]})
	}
	return out
}
