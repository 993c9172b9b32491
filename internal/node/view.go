package node

import (
	"sort"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/links"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/route"
)

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }

// view is what the gossip says, read by the other duties. It is immutable and
// swapped whole.
type view struct {
	members  []memberView
	domains  map[string]links.RemoteDomain
	replicas []raft.Peer
}

// memberView is a member of the own failure domain.
type memberView struct {
	gossip.Member
	meta *member.Meta
}

// alive tells whether the member takes part.
func (m *memberView) alive() bool { return m.Status == gossip.Alive || m.Status == gossip.Suspect }

// tables turns gossip records into the view and the routing table. Only the
// gossip duty uses it.
type tables struct {
	n         *Node
	metas     map[string]*memberView
	summaries map[string]member.Summary
	links     map[string]member.Link
	domains   map[string]links.RemoteDomain
	seen      map[string]*known
}

// known is what this node keeps of one start of an instance.
type known struct {
	start uint32
	// since is when it was first seen, on this node's clock.
	since    time.Duration
	observed *route.Observed
}

func newTables(n *Node) *tables {
	return &tables{
		n: n, metas: map[string]*memberView{}, summaries: map[string]member.Summary{}, links: map[string]member.Link{},
		domains: map[string]links.RemoteDomain{}, seen: map[string]*known{},
	}
}

// take takes in one event of the gossip core.
func (t *tables) take(e gossip.Event) {
	switch {
	case e.Member != nil:
		t.takeMember(*e.Member)
	case member.IsSummary(e.Record.Key):
		s, err := member.DecodeSummary(e.Record.Payload)
		if err != nil || s.Domain == t.n.opt.Domain {
			return
		}
		if member.IsEnded(e.Record.Key) {
			t.n.quarantine.heardRemote(s)
			return
		}
		t.summaries[e.Record.Key] = *s
	case member.IsLink(e.Record.Key):
		l, err := member.DecodeLink(e.Record.Payload)
		if err == nil && l.Domain != t.n.opt.Domain {
			t.links[e.Record.Key] = *l
		}
	}
}

func (t *tables) takeMember(m gossip.Member) {
	old := t.metas[m.ID]
	meta, err := member.DecodeMeta(m.Meta)
	if err != nil {
		return
	}
	t.metas[m.ID] = &memberView{m, meta}
	t.n.quarantine.heardMember(m.ID, meta)
	if old != nil && old.Status != m.Status || old == nil && m.Status != gossip.Dead {
		t.n.event("member", meta.Name+" is "+m.Status.String()+".")
	}
	if m.Status == gossip.Dead {
		delete(t.metas, m.ID)
	}
}

// refreshDomains works out which failure domains are cut off: those that none
// of the linking members alive reaches.
func (t *tables) refreshDomains() {
	next := map[string]links.RemoteDomain{}
	for key, l := range t.links {
		if l.By != t.n.id && t.metas[l.By] == nil {
			delete(t.links, key)
			continue
		}
		d := next[l.Domain]
		d.Reachable = d.Reachable || l.Reachable
		d.ControlAddrs = append(d.ControlAddrs, l.Control...)
		next[l.Domain] = d
	}
	for name, d := range next {
		old, known := t.domains[name]
		switch {
		case known && old.Reachable && !d.Reachable:
			t.n.event("links", "Failure domain "+name+" is cut off.")
		case known && !old.Reachable && d.Reachable:
			t.n.event("links", "Failure domain "+name+" is reachable again.")
		}
	}
	t.domains = next
}

// publish builds the view and the routing table and swaps them in.
func (t *tables) publish() {
	t.refreshDomains()
	v := &view{domains: t.domains}
	for _, m := range t.metas {
		v.members = append(v.members, *m)
	}
	sort.Slice(v.members, func(i, j int) bool { return v.members[i].ID < v.members[j].ID })
	v.replicas = t.replicas()
	t.n.watchReplicas(v.replicas)
	t.n.view.Store(v)
	t.n.gossip.see(v)
	next := t.routes()
	next.Follow(t.n.routes.Load(), t.n.clock())
	t.n.routes.Store(next)
}

func (t *tables) replicas() []raft.Peer {
	var out []raft.Peer
	for _, m := range t.metas {
		if m.meta.Replica != "" && m.alive() {
			out = append(out, raft.Peer{ID: m.meta.Replica, Addr: m.Addr, Domain: t.n.opt.Domain})
		}
	}
	if id := t.n.replicas.identity(); id != "" {
		out = append(out, raft.Peer{ID: id, Addr: t.n.opt.AdvertiseControl, Domain: t.n.opt.Domain})
	}
	for _, s := range t.summaries {
		if s.Service != member.ReplicaService || !t.reachable(s.Domain) {
			continue
		}
		for _, in := range s.Instances {
			out = append(out, raft.Peer{ID: in.ID, Addr: in.Addr, Domain: s.Domain})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// reachable tells whether a failure domain is not cut off from this one.
func (t *tables) reachable(domain string) bool {
	d, known := t.domains[domain]
	return !known || d.Reachable
}

func (t *tables) routes() *route.Snapshot {
	s := &route.Snapshot{Services: map[string]*route.Service{}}
	used := map[string]bool{}
	addrs := map[string]bool{}
	add := func(id, addr, domain string, slots int, weight float64, start uint32) *route.Instance {
		used[id] = true
		addrs[addr] = true
		k := t.known(id, start)
		in := &route.Instance{ID: id, Addr: addr, Domain: domain, Slots: slots, Weight: weight, Since: k.since, Seen: k.observed}
		in.Seen.Announced(false)
		return in
	}
	if be := t.n.local.Load(); be != nil && be.state == member.Serving && !t.n.leaving() {
		svc := service(s, be.service)
		svc.Own = append(svc.Own, add(t.n.id, t.n.opt.AdvertiseData, t.n.opt.Domain, be.slots, be.weight, be.start))
	}
	for _, m := range t.metas {
		if m.meta.State != member.Serving || !m.alive() {
			continue
		}
		svc := service(s, m.meta.Service)
		svc.Own = append(svc.Own, add(m.ID, m.meta.Data, t.n.opt.Domain, m.meta.Slots, m.meta.Weight, m.meta.Start))
	}
	for _, sum := range t.summaries {
		if sum.Service == member.ReplicaService || !t.reachable(sum.Domain) || len(sum.Instances) == 0 {
			continue
		}
		var ins []*route.Instance
		for _, r := range sum.Instances {
			ins = append(ins, add(r.ID, r.Addr, sum.Domain, r.Slots, r.Weight, r.Start))
		}
		svc := service(s, sum.Service)
		svc.Others = append(svc.Others, ins)
	}
	t.prune(used)
	t.n.peers.keep(addrs)
	return s
}

func service(s *route.Snapshot, name string) *route.Service {
	svc := s.Services[name]
	if svc == nil {
		svc = &route.Service{}
		s.Services[name] = svc
	}
	return svc
}

// settled is the age of this process from when on an instance that it sees
// for the first time is held to be new.
const settled = 3 * time.Second

// longAgo is the start of an instance that is not new.
const longAgo = -time.Hour

// known returns what is kept of an instance. Another start of its backend server
// begins afresh: it is cold, and has none of the requests and failures of the
// one before. Where the older word of another failure domain comes after the
// newer one, the newer stays.
func (t *tables) known(id string, start uint32) *known {
	k := t.seen[id]
	if k != nil && start <= k.start {
		return k
	}
	since := t.n.clock()
	if k == nil && since < settled {
		since = longAgo
	}
	k = &known{start: start, since: since, observed: &route.Observed{}}
	t.seen[id] = k
	return k
}

func (t *tables) prune(used map[string]bool) {
	for id := range t.seen {
		if !used[id] {
			delete(t.seen, id)
		}
	}
}
