package node

import (
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/links"
)

// controlServer serves the control requests of other nodes over net/rpc and holds
// the connections and state for this node's own.
type controlServer struct {
	node *Node
	// pool holds the connections to other nodes. counter counts the bytes of these and of
	// the accepted ones.
	pool    *control.Pool
	counter control.ByteCounter
	// links is the state of the exchanges with other failure domains.
	links    *links.State
	contacts recentContacts
	rpc      *rpc.Server

	// mu guards the listener and the accepted connections.
	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

// newControlServer returns a server that does not accept connections yet.
func newControlServer(n *Node) *controlServer {
	s := &controlServer{node: n, links: links.New(), rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	s.pool = control.NewPool(&s.counter, func(addr string, timeout time.Duration) (net.Conn, error) { return n.dial(addr, timeout) })
	if err := s.rpc.RegisterName(control.ServiceName, &controlAPI{n}); err != nil {
		// The methods are fixed at compile time.
		panic(err)
	}
	return s
}

// serve accepts control connections until the listener is closed.
func (s *controlServer) serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.rpc.ServeCodec(control.NewServerCodec(c, &s.counter))
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// close closes the listener and all connections, incoming and outgoing.
func (s *controlServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.pool.Close()
}

// recentContacts remembers the nodes of other failure domains that recently
// contacted this one, so that nodes that start together find each other through any
// node. It is safe for concurrent use.
type recentContacts struct {
	mu       sync.Mutex
	byDomain map[string][]string // failure domain -> control addresses, oldest first
}

// maxContactsPerDomain bounds the nodes remembered for each domain.
const maxContactsPerDomain = 6

// recordAndList records the node at addr, of another failure domain, and returns
// nodes of its domain: the known link members and the recent contacts.
func (a *recentContacts) recordAndList(domain, addr string, known []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byDomain == nil {
		a.byDomain = map[string][]string{}
	}
	out := slices.Concat(known, a.byDomain[domain])
	if addr != "" {
		kept := slices.DeleteFunc(slices.Clone(a.byDomain[domain]), func(v string) bool { return v == addr })
		kept = append(kept, addr)
		a.byDomain[domain] = kept[max(0, len(kept)-maxContactsPerDomain):]
	}
	return out
}

// controlAPI has the methods that net/rpc serves; their names are part of the
// protocol.
type controlAPI struct{ node *Node }

// Sync merges the gossip records of the requesting node and returns those that it may
// lack. A node of another failure domain gets addresses in its own domain instead.
func (a *controlAPI) Sync(req *control.SyncRequest, reply *control.SyncReply) error {
	n := a.node
	reply.Domain = n.opt.Domain
	reply.Config = n.conf.Load().version
	reply.Held = n.quarantine.activeQuarantines()
	n.gossip.observeVersion(viaSync, req.Addr, req.Config)
	if req.Domain != n.opt.Domain {
		reply.Seeds = n.control.contacts.recordAndList(req.Domain, req.Addr, n.view.Load().domains[req.Domain].ControlAddrs)
		return nil
	}
	n.gossip.runOnCore(func() {
		n.gossip.core.MergeRecords(n.clock(), req.Records)
		reply.Records = n.gossip.core.DifferingRecords(req.Digest)
		reply.Digest = n.gossip.core.Digest()
	})
	return nil
}

// Fetch returns the changes of the settings after a version.
func (a *controlAPI) Fetch(req *control.FetchRequest, reply *control.FetchReply) error {
	*reply = a.node.configChangesSince(req.Since)
	return nil
}

// Exchange merges the summaries of another failure domain and returns those of this
// one. From a node of this domain it takes addresses in others.
func (a *controlAPI) Exchange(req *control.ExchangeRequest, reply *control.ExchangeReply) error {
	n := a.node
	l := n.control.links
	_, addrs := n.linkMembers()
	*reply = control.ExchangeReply{Domain: n.opt.Domain, Control: addrs, Config: n.conf.Load().version, ID: n.id}
	if req.Domain == n.opt.Domain {
		// A node that is no link member hands over addresses that it has met.
		n.adoptAddrs(req.Domains)
		return nil
	}
	if req.HaveOf == n.id {
		// Otherwise the records are relative to what another process had.
		reply.Have = req.UpTo
	}
	l.RecordRequest(req, n.id)
	reply.Records, reply.UpTo = l.UnackedSummaries(req.ID, n.serviceSummaries())
	reply.Known, reply.Domains = n.domainsFor(req.Known)
	n.learnDomains(req.Domains)
	n.mergeExchange(req.Domain, req.Control, req.Records)
	n.gossip.observeVersion(viaExchange, req.Addr, req.Config)
	return nil
}

// Step passes raft messages of another replica to a group.
func (a *controlAPI) Step(req *control.StepRequest, _ *control.Empty) error {
	a.node.replicas.stepGroup(req.Group, req.Messages)
	return nil
}

// Submit commits a command in a group that this node leads and returns its result.
func (a *controlAPI) Submit(req *control.SubmitRequest, reply *control.SubmitReply) error {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	result, err := a.node.replicas.propose(req.Group, req.Command, wait)
	if err != nil {
		e := fault.From(err)
		reply.Code, reply.Run, reply.Detail = e.Code, e.Execution, e.Detail
		reply.Leader = a.node.replicas.leaderAddr(req.Group)
		return nil
	}
	reply.Result = result
	return nil
}

// Read returns the current settings, confirmed by a quorum. It omits the entries if
// the requesting node has that version.
func (a *controlAPI) Read(req *control.ReadRequest, reply *control.ReadReply) error {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	version, entries, err := a.node.replicas.readConfig(wait)
	if err != nil {
		e := fault.From(err)
		reply.Code, reply.Detail = e.Code, e.Detail
		reply.Leader = a.node.replicas.leaderAddr(configGroup)
		return nil
	}
	reply.Version = version
	if version != req.Have {
		reply.Entries = entries
	}
	return nil
}

// Identity returns the identity and address of this node's replica.
func (a *controlAPI) Identity(_ *control.Empty, reply *control.IdentityReply) error {
	r, o := a.node.replicas, &a.node.opt
	*reply = control.IdentityReply{ID: r.identity(), Domain: o.Domain, Addr: o.AdvertiseControl, Formed: r.belongsToGroup()}
	return nil
}
