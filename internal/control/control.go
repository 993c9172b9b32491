// Package control defines the messages that nodes exchange over net/rpc, and a
// pool of connections for them. net/rpc and gob use the names of methods and
// message fields on the wire.
package control

import (
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// ServiceName is the name under which a node registers its RPC methods.
const ServiceName = "Control"

// SyncRequest synchronises the gossip records of two nodes of one failure
// domain.
type SyncRequest struct {
	// Addr is the control address of the sender.
	Addr    string
	Domain  string
	Digest  gossip.Digest
	Records []gossip.Record
	// Config is the sender's version of the settings.
	Config uint64
}

// SyncReply returns the records that the sender of the request lacks.
type SyncReply struct {
	Domain string
	// Seeds holds control addresses in the requester's failure domain, if the
	// responder belongs to another.
	Seeds   []string
	Digest  gossip.Digest
	Records []gossip.Record
	// Config is the responder's version of the settings.
	Config uint64
	// Held lists the requests that the responder refuses, for a node that has
	// just started.
	Held []quarantine.QuarantinedRequest
}

// FetchRequest asks for the changes of the settings after version Since.
type FetchRequest struct{ Since uint64 }

// FetchReply returns the changes, or the full document if not all of them are
// kept.
type FetchReply struct {
	Version uint64
	Changes []confstore.Change
	Full    settings.Entries
}

// ExchangeRequest exchanges service summaries between link members of two
// failure domains.
type ExchangeRequest struct {
	Domain string
	// Control holds the control addresses of the domain's link members.
	Control []string
	// Records holds the summaries that changed since the last exchange.
	Records []gossip.Record
	// Config is the sender's version of the settings.
	Config uint64
	// Addr is the sender's control address. ID identifies its process: one that
	// was restarted at the same address has no summaries yet.
	Addr, ID string
	// UpTo is the newest stamp of the sender's summaries that the receiver has
	// after applying Records.
	UpTo uint64
	// Have is the newest stamp that the sender has of the summaries of process
	// HaveOf. It acknowledges them; the others are sent again.
	Have   uint64
	HaveOf string
	// Known is the number of failure domains that the sender knows.
	Known int
	// Domains holds control addresses by failure domain, sent only to a node
	// that knows fewer domains, and from a node of the same domain to a link member.
	Domains map[string]string
}

// ExchangeReply is the receiver's side of the exchange. Its fields are those of
// ExchangeRequest.
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

// StepRequest carries Raft messages from one replica to another.
type StepRequest struct {
	Group    int
	Messages []raft.Message
}

// Empty is a message without content.
type Empty struct{}

// SubmitRequest asks a replica to replicate and apply a command.
type SubmitRequest struct {
	Group   int
	Command []byte
	WaitMs  int64
}

// SubmitReply returns the result of the command, or the error.
type SubmitReply struct {
	Result []byte
	Code   fault.Code
	// Run says, on an error, whether the command may still be applied.
	Run    fault.Execution
	Detail string
	// Leader is the control address of the leader, empty if unknown.
	Leader string
}

// ReadRequest asks the leader for the active settings, confirmed by a quorum.
type ReadRequest struct {
	WaitMs int64
	// Have is the requester's version of the settings.
	Have uint64
}

// ReadReply returns the active settings, without entries if the requester has
// that version.
type ReadReply struct {
	Version uint64
	// Revision is the operators' number of the document.
	Revision uint64
	Entries  settings.Entries
	Code     fault.Code
	Detail   string
	Leader   string
}

// DemandRequest reports the demand for workspaces at a node to the ledger of its
// failure domain. Demand has the requests per second, and Held the share that the node
// has, of the workspace at the same index.
type DemandRequest struct {
	Node, Domain string
	Workspaces   []string
	Demand       []float64
	Held         []quota.Share
}

// DemandReply returns the node's shares of the workspaces in the report. There are none if
// the receiver does not hold the ledger.
type DemandReply struct {
	Shares []quota.Share
	// ConfirmedAgo is how long ago a quorum of replicas confirmed that no settings are newer
	// than ConfirmedVersion, if Confirmed is set. An earlier release leaves the version out.
	Confirmed        bool
	ConfirmedAgo     time.Duration
	ConfirmedVersion uint64
}

// AskRequest asks the ledger of a failure domain for tokens of a workspace.
type AskRequest struct {
	Domain, Workspace string
	Tokens            int
}

// AskReply returns tokens, or how long to wait for one. IsLedger is false if the receiver
// does not hold the ledger.
type AskReply struct {
	IsLedger bool
	Tokens   int
	Wait     time.Duration
}

// ClaimsRequest tells the ledger of another failure domain the claims of the sender's.
type ClaimsRequest struct {
	Domain string
	Claims []quota.Claim
}

// ClaimsReply returns the claims of the responder's failure domain if its ledger is at
// the responder, and the ledger's control address.
type ClaimsReply struct {
	Domain, Ledger string
	IsLedger       bool
	Claims         []quota.Claim
}

// IdentityReply identifies the node at an address.
type IdentityReply struct {
	ID     string
	Domain string
	// Addr is the control address that the node advertises, which may differ
	// from the one the request was sent to; "" from an earlier release.
	Addr string
	// Formed reports whether the node belongs to a replication group.
	Formed bool
}

// ByteCounter counts the bytes read and written on all control connections of a
// process. It is safe for concurrent use.
type ByteCounter struct{ In, Out atomic.Int64 }

// CountingConn is a connection that adds its traffic to a ByteCounter.
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

// maxConns is the number of connections at which a Pool evicts idle ones. Most
// calls go to random members of a large failure domain, so more are rarely reused.
const maxConns = 48

// dialTimeout bounds the attempt to open a connection. It goes on for the next calls if the one
// that began it cannot wait.
const dialTimeout = 500 * time.Millisecond

// minSilence is how long nothing must arrive on a connection before it counts as dead: a
// busy peer may answer later than a call with a short timeout can wait.
const minSilence = 80 * time.Millisecond

// Pool makes RPC calls over one connection for each of the most recently called
// addresses. It is safe for concurrent use.
type Pool struct {
	counter *ByteCounter
	dial    Dialer

	mu    sync.Mutex
	conns map[string]*pooledConn
	dials map[string]*pendingDial
}

// pendingDial is an attempt to open a connection, shared by the calls that need it. done is
// closed at its end, after err is set.
type pendingDial struct {
	done chan struct{}
	err  error
}

// pooledConn is a connection with its usage, by which idle ones are evicted.
type pooledConn struct {
	client      *rpc.Client
	received    *receiptConn
	lastUse     time.Time
	activeCalls int
}

// receiptConn is a connection that counts the reads that received data.
type receiptConn struct {
	net.Conn
	receipts atomic.Int64
}

// Read implements net.Conn.
func (c *receiptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receipts.Add(1)
	}
	return n, err
}

// Dialer opens a connection to a control address.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

// NewPool returns an empty pool whose traffic is counted in c.
func NewPool(c *ByteCounter, dial Dialer) *Pool {
	return &Pool{counter: c, dial: dial, conns: map[string]*pooledConn{}, dials: map[string]*pendingDial{}}
}

// Call calls a method of the node at addr. A connection on which nothing arrives while
// a call waits for its reply is closed, as it may be dead while a new one works; other calls
// on it go on if only one reply is late. If a reused connection turns out to be closed, its
// process may have been restarted, so the call is sent once more on a new connection; all
// methods are idempotent. The reply is not written after Call has returned.
func (p *Pool) Call(addr, method string, args, reply any, timeout time.Duration) error {
	return p.CallWhileArriving(addr, method, args, reply, timeout, timeout)
}

// CallWhileArriving is Call for a reply that may be large: it ends once nothing has arrived on the
// connection for silence, or after timeout.
func (p *Pool) CallWhileArriving(addr, method string, args, reply any, silence, timeout time.Duration) error {
	began := time.Now()
	for first := true; ; first = false {
		c, reused, err := p.acquire(addr, time.Until(began.Add(silence)))
		if err != nil {
			return fault.Wrap(fault.PeerLost, err, "cannot connect to "+addr)
		}
		limits := callLimits{firstSilence: time.Until(began.Add(silence)), silence: silence, deadline: began.Add(timeout)}
		closed, err := p.callOn(c, addr, method, args, reply, limits)
		if !closed || !reused || !first {
			return err
		}
	}
}

// callLimits bound the wait for a reply: nothing may arrive for firstSilence at the beginning and
// for silence afterwards, and the reply must be complete by the deadline.
type callLimits struct {
	firstSilence, silence time.Duration
	deadline              time.Time
}

// callOn calls a method over one connection and releases it. closed reports
// whether the connection failed before the reply.
func (p *Pool) callOn(c *pooledConn, addr, method string, args, reply any, limits callLimits) (closed bool, err error) {
	defer p.release(c)
	expired := make(chan struct{})
	var sent atomic.Bool
	receipts := c.received.receipts.Load()
	// net/rpc writes the request on this goroutine. The write blocks while the peer reads
	// nothing, until the connection is closed.
	t := time.AfterFunc(limits.firstSilence, func() {
		silent := limits.firstSilence >= minSilence && c.received.receipts.Load() == receipts
		if silent || !sent.Load() {
			p.discard(addr, c)
		}
		close(expired)
	})
	defer t.Stop()
	// A late reply is decoded after this call, while the caller reads its own value.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.client.Go(ServiceName+"."+method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	sent.Store(true)
	answered := true
	select {
	case <-call.Done:
	case <-expired:
		answered = p.awaitArriving(c, addr, call, limits, receipts)
	}
	if answered && call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		return false, nil
	}
	if !t.Stop() {
		return false, fault.New(fault.PeerSilent, "no answer to "+method+" from "+addr).WithUnknownExecution()
	}
	if _, ok := call.Error.(rpc.ServerError); !ok {
		closed = true
		p.discard(addr, c)
	}
	return closed, fault.Wrap(fault.PeerLost, call.Error, method+" at "+addr).WithUnknownExecution()
}

// awaitArriving waits for the reply to a call while data arrives on the connection, as long as
// the limits allow, and reports whether the reply came. receipts is their number before the wait.
func (p *Pool) awaitArriving(c *pooledConn, addr string, call *rpc.Call, limits callLimits, receipts int64) bool {
	for {
		now := c.received.receipts.Load()
		wait := min(limits.silence, time.Until(limits.deadline))
		if now == receipts || wait <= 0 {
			return false
		}
		receipts = now
		t := time.NewTimer(wait)
		select {
		case <-call.Done:
			t.Stop()
			return true
		case <-t.C:
			if limits.silence >= minSilence && c.received.receipts.Load() == receipts {
				p.discard(addr, c)
			}
		}
	}
}

// acquire returns a connection to addr, dialled if there is none; reused reports
// whether it was in the pool.
func (p *Pool) acquire(addr string, timeout time.Duration) (c *pooledConn, reused bool, err error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for first := true; ; first = false {
		c, dial := p.takeOrDial(addr)
		if c != nil {
			return c, first, nil
		}
		select {
		case <-dial.done:
			if dial.err != nil {
				return nil, false, dial.err
			}
		case <-t.C:
			return nil, false, fault.New(fault.PeerSilent, "no connection in time")
		}
	}
}

// takeOrDial returns the pool's connection to addr and counts a call on it or, if there is
// none, the attempt to open one.
func (p *Pool) takeOrDial(addr string) (*pooledConn, *pendingDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		c.activeCalls++
		c.lastUse = time.Now()
		return c, nil
	}
	d := p.dials[addr]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		p.dials[addr] = d
		go p.open(addr, d)
	}
	return nil, d
}

// open opens a connection to addr and adds it to the pool.
func (p *Pool) open(addr string, d *pendingDial) {
	conn, err := p.dial(addr, dialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	delete(p.dials, addr)
	if err != nil {
		d.err = err
		return
	}
	p.evictIdle()
	received := &receiptConn{Conn: CountingConn{conn, p.counter}}
	p.conns[addr] = &pooledConn{client: rpc.NewClient(received), received: received, lastUse: time.Now()}
}

// evictIdle closes the least recently used connection without calls if the pool
// is full. The caller holds the lock.
func (p *Pool) evictIdle() {
	if len(p.conns) < maxConns {
		return
	}
	oldest := ""
	for addr, c := range p.conns {
		if c.activeCalls == 0 && (oldest == "" || c.lastUse.Before(p.conns[oldest].lastUse)) {
			oldest = addr
		}
	}
	if oldest != "" {
		_ = p.conns[oldest].client.Close()
		delete(p.conns, oldest)
	}
}

// release ends a call on a connection.
func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	c.activeCalls--
	p.mu.Unlock()
}

// discard removes a connection from the pool and closes it.
func (p *Pool) discard(addr string, c *pooledConn) {
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
