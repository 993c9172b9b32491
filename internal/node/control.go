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

// controlServer serves the control messages of other nodes, over net/rpc.
type controlServer struct {
	n       *Node
	pool    *control.Pool
	counter control.Counter
	links   *links.State
	askers  askers
	rpc     *rpc.Server

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

func newControlServer(n *Node) *controlServer {
	s := &controlServer{n: n, links: links.New(), rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	s.pool = control.NewPool(&s.counter, func(addr string, timeout time.Duration) (net.Conn, error) { return n.dial(addr, timeout) })
	if err := s.rpc.RegisterName(control.Service, &controlAPI{n}); err != nil {
		// The methods are fixed at compile time.
		panic(err)
	}
	return s
}

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
			s.rpc.ServeConn(control.Counted{Conn: c, C: &s.counter})
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

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

// askers remembers who asked lately from other failure domains, so that
// processes that start together find each other through any node.
type askers struct {
	mu     sync.Mutex
	latest map[string][]string // by failure domain
}

// askersKept is how many are remembered for each domain.
const askersKept = 6

// others notes who asks, and returns other nodes of its failure domain: those
// that are known to link it and those that asked lately.
func (a *askers) others(domain, self string, known []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest == nil {
		a.latest = map[string][]string{}
	}
	out := slices.Concat(known, a.latest[domain])
	if self != "" {
		kept := slices.DeleteFunc(slices.Clone(a.latest[domain]), func(v string) bool { return v == self })
		kept = append(kept, self)
		a.latest[domain] = kept[max(0, len(kept)-askersKept):]
	}
	return out
}

// controlAPI are the methods that net/rpc serves.
type controlAPI struct{ n *Node }

// Sync compares the records of two nodes.
func (a *controlAPI) Sync(req *control.SyncRequest, reply *control.SyncReply) error {
	n := a.n
	reply.Domain = n.opt.Domain
	reply.Config = n.conf.Load().version
	reply.Held = n.quarantine.heldNow()
	n.gossip.heard(bySync, req.Addr, req.Config)
	if req.Domain != n.opt.Domain {
		reply.Seeds = n.control.askers.others(req.Domain, req.Addr, n.view.Load().domains[req.Domain].ControlAddrs)
		return nil
	}
	n.gossip.do(func() {
		n.gossip.core.MergeRecords(n.clock(), req.Records)
		reply.Records = n.gossip.core.DifferingRecords(req.Digest)
		reply.Digest = n.gossip.core.Digest()
	})
	return nil
}

// Fetch brings the settings after a version.
func (a *controlAPI) Fetch(req *control.FetchRequest, reply *control.FetchReply) error {
	*reply = a.n.configSince(req.Since)
	return nil
}

// Exchange takes in what another failure domain tells, and answers in kind.
func (a *controlAPI) Exchange(req *control.ExchangeRequest, reply *control.ExchangeReply) error {
	n := a.n
	l := n.control.links
	_, addrs := n.linkMembers()
	*reply = control.ExchangeReply{Domain: n.opt.Domain, Control: addrs, Config: n.conf.Load().version, ID: n.id}
	if req.Domain == n.opt.Domain {
		return nil
	}
	if req.HaveOf == n.id {
		// Else the records assume what another process had.
		reply.Have = req.UpTo
	}
	l.RecordRequest(req, n.id)
	reply.Records, reply.UpTo = l.UnackedSummaries(req.ID, n.summaries())
	reply.Known, reply.Domains = n.domainsFor(req.Known)
	n.learnDomains(req.Domains)
	n.takeExchange(req.Domain, req.Control, req.Records)
	n.gossip.heard(byExchange, req.Addr, req.Config)
	return nil
}

// Step takes in messages of another replica.
func (a *controlAPI) Step(req *control.StepRequest, _ *control.Empty) error {
	a.n.replicas.step(req.Group, req.Messages)
	return nil
}

// Submit has a command applied by the group that this replica leads.
func (a *controlAPI) Submit(req *control.SubmitRequest, reply *control.SubmitReply) error {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	result, err := a.n.replicas.propose(req.Group, req.Command, wait)
	if err != nil {
		e := fault.From(err)
		reply.Code, reply.Run, reply.Detail = e.Code, e.Run, e.Detail
		reply.Leader = a.n.replicas.leaderAddr(req.Group)
		return nil
	}
	reply.Result = result
	return nil
}

// Read brings the settings in force, confirmed by a quorum.
func (a *controlAPI) Read(req *control.ReadRequest, reply *control.ReadReply) error {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	version, entries, err := a.n.replicas.readConfig(wait)
	if err != nil {
		reply.Code = fault.CodeOf(err)
		reply.Leader = a.n.replicas.leaderAddr(configGroup)
		return nil
	}
	reply.Version = version
	if version != req.Have {
		reply.Entries = entries
	}
	return nil
}

// Identity tells what replica stands at this node.
func (a *controlAPI) Identity(_ *control.Empty, reply *control.IdentityReply) error {
	r, o := a.n.replicas, &a.n.opt
	*reply = control.IdentityReply{ID: r.identity(), Domain: o.Domain, Addr: o.AdvertiseControl, Formed: r.formed()}
	return nil
}
