package node

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/links"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/route"
)

// formatUint formats a number in base 10.
func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }

// membershipView is a snapshot of the gossip state for other goroutines. It is
// immutable and replaced as a whole.
type membershipView struct {
	members  []memberView
	domains  map[string]links.RemoteDomain
	replicas []raft.Peer
	// formerReporters is the number of members that are not link members and still report on
	// other failure domains.
	formerReporters int
}

// memberView is a member of this node's failure domain with its decoded metadata.
type memberView struct {
	gossip.Member
	meta *member.Meta
}

// alive reports whether the member is considered alive, suspected or not.
func (m *memberView) alive() bool { return m.Status == gossip.Alive || m.Status == gossip.Suspect }

// viewBuilder builds the membership view and the routing table from gossip events.
// Only the gossip goroutine uses it.
type viewBuilder struct {
	node      *Node
	members   map[string]*memberView
	summaries map[string]member.Summary
	links     map[string]member.Link
	domains   map[string]links.RemoteDomain
	instances map[string]*instanceState
	// formerReporters is as in membershipView.
	formerReporters int
	// isLinkMember is set while this node is a link member.
	isLinkMember bool
}

// instanceState is what this node tracks about one incarnation of an instance's
// backend server.
type instanceState struct {
	// incarnation is the number of the incarnation among those beside its node.
	incarnation uint32
	// since is when the incarnation was first seen, on this node's clock.
	since    time.Duration
	observed *route.Observations
}

// newViewBuilder returns a viewBuilder without members.
func newViewBuilder(n *Node) *viewBuilder {
	return &viewBuilder{
		node: n, members: map[string]*memberView{}, summaries: map[string]member.Summary{}, links: map[string]member.Link{},
		domains: map[string]links.RemoteDomain{}, instances: map[string]*instanceState{}, isLinkMember: true,
	}
}

// handleEvent applies one event of the gossip core.
func (b *viewBuilder) handleEvent(e gossip.Event) {
	switch {
	case e.Member != nil:
		b.handleMember(*e.Member)
	case member.IsSummary(e.Record.Key):
		s, err := member.DecodeSummary(e.Record.Payload)
		if err != nil || s.Domain == b.node.opt.Domain {
			return
		}
		if member.IsTerminationSummary(e.Record.Key) {
			b.node.quarantine.applySummary(s)
			return
		}
		b.summaries[e.Record.Key] = *s
	case member.IsLink(e.Record.Key):
		l, err := member.DecodeLink(e.Record.Payload)
		if err == nil && l.Domain != b.node.opt.Domain {
			b.links[e.Record.Key] = *l
		}
	}
}

// handleMember applies the change of a member and logs changes of its status.
func (b *viewBuilder) handleMember(m gossip.Member) {
	old := b.members[m.ID]
	meta, err := member.DecodeMeta(m.Meta)
	if err != nil {
		return
	}
	b.members[m.ID] = &memberView{m, meta}
	b.node.quarantine.applyMemberMeta(m.ID, meta)
	if old != nil && old.Status != m.Status || old == nil && m.Status != gossip.Dead {
		b.node.logEvent("member", meta.Name+" is "+m.Status.String()+".")
	}
	if m.Status == gossip.Dead {
		delete(b.members, m.ID)
	}
}

// refreshDomains recomputes which failure domains are reachable, and logs changes. If this node
// becomes a link member, it exchanges with the other domains at once.
func (b *viewBuilder) refreshDomains() {
	alive := []string{b.node.id}
	for id, m := range b.members {
		if m.Status == gossip.Alive {
			alive = append(alive, id)
		}
	}
	m := links.Membership{
		IsKnown:     func(id string) bool { return id == b.node.id || b.members[id] != nil },
		LinkMembers: member.SelectLinkMembers(alive, linkMemberCount),
	}
	// Reports of unknown members are kept: the member may only be heard of later, and one that
	// was taken for dead does not repeat its report.
	next, formerReporters := links.UpdateDomains(b.domains, b.links, m)
	wasLinkMember := b.isLinkMember
	b.formerReporters, b.isLinkMember = formerReporters, slices.Contains(m.LinkMembers, b.node.id)
	if b.isLinkMember && !wasLinkMember {
		b.node.gossip.wakeLinks()
	}
	for name, d := range next {
		old, known := b.domains[name]
		switch {
		case known && old.Reachable && !d.Reachable:
			b.node.logEvent("links", "Failure domain "+name+" is cut off.")
		case known && !old.Reachable && d.Reachable:
			b.node.logEvent("links", "Failure domain "+name+" is reachable again.")
		}
	}
	b.domains = next
}

// publish builds the membership view and the routing table and makes them current.
func (b *viewBuilder) publish() {
	b.refreshDomains()
	v := &membershipView{domains: b.domains, formerReporters: b.formerReporters}
	for _, m := range b.members {
		v.members = append(v.members, *m)
	}
	sort.Slice(v.members, func(i, j int) bool { return v.members[i].ID < v.members[j].ID })
	v.replicas = b.replicaPeers()
	b.node.logReplicaAvailability(v.replicas)
	b.node.view.Store(v)
	b.node.gossip.updateDiscovery(v)
	next := b.routingTable()
	next.InheritUnavailable(b.node.routes.Load(), b.node.clock())
	b.node.routes.Store(next)
}

// replicaPeers returns the replicas of this domain and of the reachable others,
// sorted by ID.
func (b *viewBuilder) replicaPeers() []raft.Peer {
	var out []raft.Peer
	for _, m := range b.members {
		if m.meta.Replica != "" && m.alive() {
			out = append(out, raft.Peer{ID: m.meta.Replica, Addr: m.Addr, Domain: b.node.opt.Domain})
		}
	}
	if id := b.node.replicas.identity(); id != "" {
		out = append(out, raft.Peer{ID: id, Addr: b.node.opt.AdvertiseControl, Domain: b.node.opt.Domain})
	}
	for _, s := range b.summaries {
		if s.Service != member.ReplicaService || !b.reachable(s.Domain) {
			continue
		}
		for _, in := range s.Instances {
			out = append(out, raft.Peer{ID: in.ID, Addr: in.Addr, Domain: s.Domain})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// reachable reports whether a failure domain is reachable; unknown ones count as
// reachable.
func (b *viewBuilder) reachable(domain string) bool {
	d, known := b.domains[domain]
	return !known || d.Reachable
}

// routingTable builds the routing table from the serving instances of this domain
// and of the reachable others.
func (b *viewBuilder) routingTable() *route.Snapshot {
	s := &route.Snapshot{Services: map[string]*route.Service{}}
	used := map[string]bool{}
	addrs := map[string]bool{}
	add := func(id, addr, domain string, slots int, weight float64, incarnation uint32) *route.Instance {
		used[id] = true
		addrs[addr] = true
		state := b.stateOf(id, incarnation)
		in := &route.Instance{ID: id, Addr: addr, Domain: domain, Slots: slots, Weight: weight, ServingSince: state.since, Observed: state.observed}
		in.Observed.SetDraining(false)
		return in
	}
	if be := b.node.local.Load(); be != nil && be.memberState == member.Serving && !b.node.rejectsNewWork() {
		svc := serviceEntry(s, be.service)
		svc.LocalInstances = append(svc.LocalInstances, add(b.node.id, b.node.opt.AdvertiseData, b.node.opt.Domain, be.slots, be.weight, be.incarnation))
	}
	for _, m := range b.members {
		if m.meta.State != member.Serving || !m.alive() {
			continue
		}
		svc := serviceEntry(s, m.meta.Service)
		svc.LocalInstances = append(svc.LocalInstances, add(m.ID, m.meta.Data, b.node.opt.Domain, m.meta.Slots, m.meta.Weight, m.meta.Start))
	}
	for _, sum := range b.summaries {
		if sum.Service == member.ReplicaService || !b.reachable(sum.Domain) || len(sum.Instances) == 0 {
			continue
		}
		var ins []*route.Instance
		for _, r := range sum.Instances {
			ins = append(ins, add(r.ID, r.Addr, sum.Domain, r.Slots, r.Weight, r.Start))
		}
		svc := serviceEntry(s, sum.Service)
		svc.RemoteDomains = append(svc.RemoteDomains, ins)
	}
	b.pruneInstances(used)
	b.node.peers.closeExcept(addrs)
	return s
}

// serviceEntry returns the entry of a service in s, which it adds if missing.
func serviceEntry(s *route.Snapshot, name string) *route.Service {
	svc := s.Services[name]
	if svc == nil {
		svc = &route.Service{}
		s.Services[name] = svc
	}
	return svc
}

// newInstanceAge is the uptime of this process from which on an instance seen for
// the first time counts as newly started.
const newInstanceAge = 3 * time.Second

// establishedSince is the first-seen time of an instance that is not new.
const establishedSince = -time.Hour

// stateOf returns the state of an instance whose backend server is reported to be of an
// incarnation. A later incarnation gets new state, since it is cold and has none of the
// requests and failures of the previous one. Delayed reports of an earlier incarnation
// are ignored.
func (b *viewBuilder) stateOf(id string, incarnation uint32) *instanceState {
	state := b.instances[id]
	if state != nil && incarnation <= state.incarnation {
		return state
	}
	since := b.node.clock()
	if state == nil && since < newInstanceAge {
		since = establishedSince
	}
	state = &instanceState{incarnation: incarnation, since: since, observed: &route.Observations{}}
	b.instances[id] = state
	return state
}

// pruneInstances drops the state of instances that are no longer in the routing table.
func (b *viewBuilder) pruneInstances(used map[string]bool) {
	for id := range b.instances {
		if !used[id] {
			delete(b.instances, id)
		}
	}
}
