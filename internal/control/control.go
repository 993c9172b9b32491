// Package control holds the messages that nodes exchange over net/rpc, and
// the connections that carry them.
package control

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// Service is the name under which a node registers its methods.
const ServiceName = "Control"

// SyncRequest compares the records of two nodes of one failure domain.
type SyncRequest struct {
	// Addr is the control address of the node that asks.
	Addr    string
	Domain  string
	Digest  gossip.Digest
	Records []gossip.Record
	Config  uint64
}

// SyncReply brings what the asking node lacked.
type SyncReply struct {
	Domain string
	// Seeds are control addresses in the asking node's failure domain, from
	// a node of another.
	Seeds   []string
	Digest  gossip.Digest
	Records []gossip.Record
	Config  uint64
	// Held are the requests that the answering node refuses, for a node that has
	// just started.
	Held []quarantine.Held
}

// FetchRequest asks for the settings after a version.
type FetchRequest struct{ Since uint64 }

// FetchReply brings changes, or all entries where too many are missing.
type FetchReply struct {
	Version uint64
	Changes []confstore.Change
	Full    settings.Entries
}

// ExchangeRequest is what the linking members of two failure domains tell
// each other.
type ExchangeRequest struct {
	Domain string
	// Control are the control addresses of the domain's linking members.
	Control []string
	// Records are the summaries that changed since the last exchange.
	Records []gossip.Record
	Config  uint64
	// Addr is the sender's control address, and ID its identity: a process
	// that was restarted at the same address has been sent nothing yet.
	Addr, ID string
	// UpTo is the newest stamp that the receiver has of the sender's
	// summaries once it has taken in Records.
	UpTo uint64
	// Have is the newest stamp that the sender has of the summaries of the
	// process HaveOf: what was not confirmed is sent again.
	Have   uint64
	HaveOf string
	// Known is how many failure domains the sender knows.
	Known int
	// Domains are control addresses in those domains, sent only to a node
	// that knows fewer.
	Domains map[string]string
}

// ExchangeReply answers in the same way.
type ExchangeReply struct {
	Domain  string
	Control []string
	Records []gossip.Record
	Config  uint64
	ID      string
	UpTo    uint64
	Have    uint64
	Known   int
	Domains map[string]string
}

// StepRequest brings messages of one replica to another.
type StepRequest struct {
	Group    int
	Messages []raft.Message
}

// Empty is a reply without content.
type Empty struct{}

// SubmitRequest asks a replica to have a command applied.
type SubmitRequest struct {
	Group   int
	Command []byte
	WaitMs  int64
}

// SubmitReply is the result of the command, or why there is none.
type SubmitReply struct {
	Result []byte
	Code   fault.Code
	// Run tells whether the command may be applied all the same.
	Run    fault.Run
	Detail string
	// Leader is the control address of the leader as far as known.
	Leader string
}

// ReadRequest asks the leader for the settings in force, confirmed by a
// quorum.
type ReadRequest struct {
	WaitMs int64
	// Have is the version that the asking node has in force.
	Have uint64
}

// ReadReply brings them; without entries if the asking node has the version.
type ReadReply struct {
	Version uint64
	// Revision is the operators' own number of the document.
	Revision uint64
	Entries  settings.Entries
	Code     fault.Code
	Leader   string
}

// IdentityReply tells what replica stands at an address.
type IdentityReply struct {
	ID     string
	Domain string
	// Addr is the control address that it tells others, which may differ from the
	// one that was asked; "" from an earlier release.
	Addr string
	// Formed tells whether it belongs to a group.
	Formed bool
}

// Counter counts the bytes of all control connections of a process.
type ByteCounter struct{ In, Out atomic.Int64 }

// Counted is a connection whose bytes are counted.
type CountingConn struct {
	net.Conn
	Counter *ByteCounter
}

// Read implements net.Conn.
func (c CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Counter.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Counter.Out.Add(int64(n))
	return n, err
}

// maxConns is how many connections a Pool keeps. Most calls go to a random
// member of a large failure domain, once.
const maxConns = 48

// Pool keeps a connection to each of the addresses called last. It is safe for
// concurrent use.
type Pool struct {
	counter *ByteCounter
	dial    Dialer

	mu    sync.Mutex
	conns map[string]*pooled
}

// pooled is a connection with what it takes to choose which to close.
type pooled struct {
	client  *rpc.Client
	lastUse time.Time
	calls   int
}

// Dialer opens a connection.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer of a daemon.
func DialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

// NewPool returns an empty pool that counts its bytes on c.
func NewPool(c *ByteCounter, dial Dialer) *Pool {
	return &Pool{counter: c, dial: dial, conns: map[string]*pooled{}}
}

// Call calls a method of the node at addr. A connection that does not answer
// in time is closed: it may have gone silent for good, while a new one works. One
// that was kept and turns out to be closed led to a process that has ended, which
// says nothing of the one that stands there now: the call is sent again, once, on a
// new connection. That is safe, as all methods are idempotent.
func (p *Pool) Call(addr, method string, args, reply any, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for first := true; ; first = false {
		c, kept, err := p.get(addr, time.Until(deadline))
		if err != nil {
			return fault.Wrap(fault.PeerLost, err, "cannot connect to "+addr)
		}
		closed, err := p.callOn(c, addr, method, args, reply, time.Until(deadline))
		if !closed || !kept || !first {
			return err
		}
	}
}

// callOn calls over one connection. It tells whether the connection turned out to
// be closed.
func (p *Pool) callOn(c *pooled, addr, method string, args, reply any, timeout time.Duration) (closed bool, err error) {
	defer p.release(c)
	call := c.client.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-call.Done:
		if call.Error == nil {
			return false, nil
		}
		if _, ok := call.Error.(rpc.ServerError); !ok {
			closed = true
			p.drop(addr, c)
		}
		return closed, fault.Wrap(fault.PeerLost, call.Error, method+" at "+addr).Unknown()
	case <-t.C:
		p.drop(addr, c)
		return false, fault.New(fault.PeerSilent, "no answer to "+method+" from "+addr).Unknown()
	}
}

// get returns the connection to addr; kept tells whether it was there before.
func (p *Pool) get(addr string, timeout time.Duration) (c *pooled, kept bool, err error) {
	if c := p.take(addr, nil); c != nil {
		return c, true, nil
	}
	conn, err := p.dial(addr, timeout)
	if err != nil {
		return nil, false, err
	}
	fresh := &pooled{client: rpc.NewClient(CountingConn{conn, p.counter})}
	c = p.take(addr, fresh)
	if c != fresh {
		_ = fresh.client.Close()
	}
	return c, c != fresh, nil
}

// take returns the connection to addr, counting a call on it. If there is none
// it takes fresh in, unless that is nil.
func (p *Pool) take(addr string, fresh *pooled) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		if fresh == nil {
			return nil
		}
		p.makeRoom()
		c = fresh
		p.conns[addr] = c
	}
	c.calls++
	c.lastUse = time.Now()
	return c
}

// makeRoom closes the connection that was unused for longest. The lock is held.
func (p *Pool) makeRoom() {
	if len(p.conns) < maxConns {
		return
	}
	oldest := ""
	for addr, c := range p.conns {
		if c.calls == 0 && (oldest == "" || c.lastUse.Before(p.conns[oldest].lastUse)) {
			oldest = addr
		}
	}
	if oldest != "" {
		_ = p.conns[oldest].client.Close()
		delete(p.conns, oldest)
	}
}

func (p *Pool) release(c *pooled) {
	p.mu.Lock()
	c.calls--
	p.mu.Unlock()
}

func (p *Pool) drop(addr string, c *pooled) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = c.client.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		_ = c.client.Close()
		delete(p.conns, addr)
	}
}
