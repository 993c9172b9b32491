package inbound

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/fault"
)

const (
	// connBytes is the memory of a connection: its buffers, and the stacks of the goroutines that
	// serve it.
	connBytes = 24 << 10
	// headFactor is the memory of a head that is being read, for each byte of it: one of very short
	// lines takes that much. parsedHeadFactor is that of a head whose fields are counted themselves.
	headFactor       = 24
	parsedHeadFactor = 4
)

// protected in place of a time marks a connection that is not evicted.
const protected time.Duration = -1

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// errEvicted is the error of reading from an evicted connection: a timeout, at which net/http closes a
// connection without an answer.
var errEvicted error = os.ErrDeadlineExceeded

// errNoMemory is the error of a body for which there is no memory.
var errNoMemory = fault.New(fault.Overload, "the memory for requests is used up")

// Conn is an accepted connection with the memory that is reserved for it. Between two requests and
// while one is read it may be evicted; Protect excludes that. On nil, which stands for a connection
// without a bound, all methods but those of net.Conn do nothing.
type Conn struct {
	net.Conn
	gate     *Gate
	listener *Listener

	// held is the memory held for the connection, and forRequest the part that EndRequest releases.
	held, forRequest atomic.Int64
	// headBytes is the length of the head as far as it was read.
	headBytes atomic.Int64
	// since is when the request began or the connection became idle, on the gate's clock, or
	// protected.
	since atomic.Int64
	// idle is set until the first byte of a request is read, and inHead until its head was read.
	idle, inHead atomic.Bool
	// responding is set while a response is written.
	responding atomic.Bool
	// served is set once a request was answered.
	served  atomic.Bool
	evicted atomic.Bool
}

// newConn returns the connection for one that a listener accepted.
func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, gate: l.gate, listener: l}
	c.since.Store(int64(l.gate.clock()))
	c.idle.Store(true)
	c.inHead.Store(true)
	return c
}

type contextKey struct{}

// FromContext returns the connection of an HTTP request, nil if another server accepted it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Of returns the Conn that is, or is wrapped by, a connection; nil if there is none.
func Of(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, errEvicted
	}
	n, err := c.Conn.Read(p)
	if n <= 0 || !c.inHead.Load() {
		return n, err
	}
	if c.idle.CompareAndSwap(true, false) {
		c.since.Store(int64(c.gate.clock()))
	}
	if c.listener.countHeads {
		c.headBytes.Add(int64(n))
		if !c.ReserveForRequest(int64(n) * headFactor) {
			return 0, errEvicted
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.unregister(c)
	return c.Conn.Close()
}

// ResetOnClose makes Close reset the connection, so that the client does not take its end for the end
// of a body.
func (c *Conn) ResetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fault.New(fault.Internal, "the connection is not a socket")
	}
	return sc.SyscallConn()
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// Reserve reserves n bytes, for which other connections may be evicted. It returns false if there are
// none, or if the connection itself was evicted; the bytes must then not be allocated.
func (c *Conn) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	if c.evicted.Load() {
		return false
	}
	c.held.Add(n)
	if c.gate.heldBytes.Add(n) <= c.gate.maxBytes && !c.evicted.Load() {
		return true
	}
	if c.gate.reclaim(c) {
		return true
	}
	c.Release(n)
	return false
}

// Release releases n bytes. What an evicted connection holds is no longer counted.
func (c *Conn) Release(n int64) {
	if c == nil || c.evicted.Load() {
		return
	}
	c.held.Add(-n)
	c.gate.heldBytes.Add(-n)
}

// ReserveForRequest is Reserve for memory that EndRequest releases.
func (c *Conn) ReserveForRequest(n int64) bool {
	if c == nil {
		return true
	}
	if !c.Reserve(n) {
		return false
	}
	c.forRequest.Add(n)
	return true
}

// BeginRequest records that the head of a request was read.
func (c *Conn) BeginRequest() {
	if c == nil {
		return
	}
	c.inHead.Store(false)
	n := min(c.forRequest.Load(), c.headBytes.Swap(0)*(headFactor-parsedHeadFactor))
	c.forRequest.Add(-n)
	c.Release(n)
}

// Protect keeps the connection from being evicted: its request was read and is being executed.
func (c *Conn) Protect() {
	if c != nil {
		c.since.Store(int64(protected))
	}
}

// BeginResponse records that a response is written. A client that does not read it may be evicted.
func (c *Conn) BeginResponse() {
	if c != nil {
		c.responding.Store(true)
		c.since.Store(int64(c.gate.clock()))
	}
}

// EndRequest records that a request was answered, and releases what was reserved for it.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.Release(c.forRequest.Swap(0))
	c.headBytes.Store(0)
	c.served.Store(true)
	c.responding.Store(false)
	c.since.Store(int64(c.gate.clock()))
	c.idle.Store(true)
	c.inHead.Store(true)
}

// Evicted reports whether the connection was evicted.
func (c *Conn) Evicted() bool { return c != nil && c.evicted.Load() }

// evict ends what the connection does, and counts no longer what it holds. One without a request that
// is served is closed at once. Otherwise its server sees that reading fails, answers if it can and
// closes the connection; a response that is not read is broken off. The caller holds the gate's lock.
func (c *Conn) evict() {
	c.evicted.Store(true)
	if c.inHead.Load() {
		c.gate.remove(c)
		_ = c.Conn.Close()
		return
	}
	c.listener.evicting++
	c.gate.heldBytes.Add(-c.held.Swap(0))
	if c.responding.Load() {
		_ = c.Conn.SetDeadline(past)
		return
	}
	_ = c.Conn.SetReadDeadline(past)
}
