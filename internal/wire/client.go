package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/sock"
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Silence is how long a connection may bring no frame while a request
	// is in work on it, and how long an idle one may go unused.
	Silence time.Duration
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// MaxIdle is how many idle connections are kept.
	MaxIdle int
	// Dialer opens connections; nil means plain TCP.
	Dialer func(addr string, timeout time.Duration) (net.Conn, error)
}

// Client sends requests to one peer. It is safe for concurrent use.
type Client struct {
	addr string
	opt  ClientOptions

	mu   sync.Mutex
	idle []*clientConn

	dials  atomic.Int64
	silent atomic.Int64
}

// The chart of a connection, and its events.
var (
	connChart  = chart.MustLoad("connection")
	connTake   = connChart.Event("take")
	connStale  = connChart.Event("stale")
	connPing   = connChart.Event("ping")
	connPong   = connChart.Event("pong")
	connWhole  = connChart.Event("whole")
	connBroken = connChart.Event("broken")
	connSilent = connChart.Event("silent")
	connIdle   = connChart.State("idle")
	connClosed = connChart.State("closed")
)

type clientConn struct {
	*link
	state   chart.State
	lastUse time.Time
}

// happen takes an event in and closes the connection when its chart says so.
func (conn *clientConn) happen(e chart.Event) {
	if next, ok := connChart.Next(conn.state, e); ok {
		conn.state = next
	}
	if conn.state == connClosed {
		_ = conn.Close()
	}
}

// NewClient returns a client of the peer at addr.
func NewClient(addr string, o ClientOptions) *Client {
	if o.Dialer == nil {
		o.Dialer = func(addr string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, timeout)
		}
	}
	return &Client{addr: addr, opt: o}
}

// Silent returns how many connections were found silent.
func (c *Client) Silent() int64 { return c.silent.Load() }

// Dials returns how many connections were opened.
func (c *Client) Dials() int64 { return c.dials.Load() }

// Answer is a reply with its body. The caller must read Body to its end or
// call Close, which frees or discards the connection.
type Answer struct {
	// Reply is the head.
	Reply Reply
	// Body reads the body; io.EOF comes only after a whole one.
	Body io.Reader

	c    *Client
	conn *clientConn
	body *bodyReader
	s    *scope.Scope
}

// Close ends the answer. A connection whose answer was read whole is reused.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	a.s.StopInterrupt()
	if a.body.done && len(a.body.rest) == 0 && a.body.err == nil && a.s.Err() == fault.None {
		a.conn.happen(connWhole)
		a.c.put(a.conn)
	} else {
		a.conn.happen(connBroken)
	}
	a.conn = nil
}

// Do sends a request and waits for the head of its answer on the caller's
// goroutine. whole is a body in memory; if it is nil, stream is read for
// req.BodyLen bytes or to its end. The error is a *fault.Error; its Execution is
// RunNo only if the peer cannot have read the whole request frame.
func (c *Client) Do(s *scope.Scope, req *Request, whole []byte, stream io.Reader) (*Answer, error) {
	conn, err := c.get()
	if err != nil {
		return nil, fault.Wrap(fault.PeerLost, err, "cannot connect to "+c.addr)
	}
	conn.happen(connTake)
	if !s.InterruptOnCancel(conn.Conn) {
		conn.happen(connWhole)
		c.put(conn)
		return nil, fault.New(s.Err(), "given up before it was sent")
	}
	a, ferr := c.exchange(s, conn, req, whole, stream)
	if ferr != nil {
		s.StopInterrupt()
		conn.happen(endOf(ferr))
		return nil, ferr
	}
	return a, nil
}

func (c *Client) exchange(s *scope.Scope, conn *clientConn, req *Request, whole []byte, stream io.Reader) (*Answer, *fault.Error) {
	deadline := s.Deadline()
	_ = conn.SetWriteDeadline(deadline)
	if err := c.send(conn, req, whole, stream); err != nil {
		return nil, c.explain(s, err)
	}
	a := &Answer{c: c, conn: conn, s: s}
	before := func() { c.arm(conn, deadline) }
	if err := c.readReply(conn, before, &a.Reply); err != nil {
		return nil, c.explain(s, err)
	}
	if a.Reply.Attempt != req.Attempt {
		return nil, fault.New(fault.Protocol, "answer belongs to another request").WithUnknownExecution()
	}
	a.body = newBodyReader(conn.link, a.Reply.BodyLen, before)
	a.Body = a.body
	if err := s.Err(); err != fault.None {
		return nil, fault.New(err, "given up while waiting").WithUnknownExecution()
	}
	return a, nil
}

// arm moves the read deadline to the end of the silence allowed or of the
// request, whichever is first.
func (c *Client) arm(conn *clientConn, deadline time.Time) {
	t := time.Now().Add(c.opt.Silence)
	if deadline.Before(t) {
		t = deadline
	}
	_ = conn.SetReadDeadline(t)
}

func (c *Client) readReply(conn *clientConn, before func(), r *Reply) error {
	for {
		before()
		t, payload, err := conn.readFrame()
		if err != nil {
			return err
		}
		switch t {
		case frameHeartbeat:
		case frameReply:
			return decodeReply(payload, r)
		default:
			return fault.New(fault.Protocol, "unexpected frame before a reply")
		}
	}
}

// partial is a failure to send of which it is certain that the peer did not
// get the whole request frame.
type partial struct{ error }

func (p partial) Unwrap() error { return p.error }

func (c *Client) send(conn *clientConn, req *Request, whole []byte, stream io.Reader) error {
	buf, at := beginFrame(conn.out[:0])
	buf = req.append(buf)
	if len(buf)-at-frameHeader > MaxHead {
		return partial{fault.New(fault.TooLarge, "the request's header fields are too large")}
	}
	endFrame(buf, at, frameRequest)
	headLen := len(buf)
	if whole != nil {
		buf = appendBody(buf, whole)
	}
	conn.out = buf
	n, err := conn.Write(buf)
	if err != nil {
		if n < headLen {
			return partial{err}
		}
		return err
	}
	if whole != nil || req.BodyLen == 0 {
		return nil
	}
	return sendStream(stream, req.BodyLen, func(frame []byte) error {
		_, err := conn.Write(frame)
		return err
	})
}

// explain turns a failure on the connection into a typed one.
func (c *Client) explain(s *scope.Scope, err error) *fault.Error {
	var p partial
	notRun := errors.As(err, &p)
	var f *fault.Error
	var src readError
	switch {
	case errors.As(err, &f):
		f = fault.Wrap(f.Code, err, "exchange with "+c.addr)
	case s.Err() != fault.None:
		f = fault.New(s.Err(), "given up while waiting for "+c.addr)
	case errors.As(err, &src):
		f = fault.Wrap(fault.BadRequest, err, "the caller's body broke off")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.silent.Add(1)
		c.dropIdle()
		f = fault.New(fault.PeerSilent, "no heartbeat from "+c.addr)
	default:
		f = fault.Wrap(fault.PeerLost, err, "connection to "+c.addr)
	}
	if !notRun {
		f.Execution = fault.ExecutionUnknown
	}
	return f
}

// get returns an idle connection that was used within Silence and has not
// been closed by the peer, or a new one. An older one is not trusted: finding
// out whether it is silent would take as long as a new connection.
func (c *Client) get() (*clientConn, error) {
	now := time.Now()
	for {
		conn := c.pop()
		if conn == nil {
			break
		}
		if now.Sub(conn.lastUse) < c.opt.Silence && conn.br.Buffered() == 0 && sock.Quiet(conn.Conn) {
			return conn, nil
		}
		conn.happen(connStale)
	}
	c.dials.Add(1)
	raw, err := c.opt.Dialer(c.addr, c.opt.DialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{link: newLink(raw)}, nil
}

func (c *Client) pop() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
}

func (c *Client) put(conn *clientConn) {
	conn.lastUse = time.Now()
	c.mu.Lock()
	room := len(c.idle) < c.opt.MaxIdle && conn.state == connIdle
	if room {
		c.idle = append(c.idle, conn)
	}
	c.mu.Unlock()
	if !room {
		conn.happen(connStale)
	}
}

// dropIdle closes all idle connections: where one went silent, the others
// are not trusted either.
func (c *Client) dropIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		conn.happen(connStale)
	}
}

// endOf tells how a failed exchange ended its connection.
func endOf(err *fault.Error) chart.Event {
	if err.Code == fault.PeerSilent {
		return connSilent
	}
	return connBroken
}

// Close closes the idle connections; requests in work go on.
func (c *Client) Close() { c.dropIdle() }

// Refresh sends a ping over the most recently used idle connections that
// have been unused for half of Silence, so that a first request after a
// pause needs no new connection. It blocks; a duty of its own calls it.
func (c *Client) Refresh() {
	now := time.Now()
	var stale, fresh []*clientConn
	c.mu.Lock()
	for _, conn := range c.idle {
		if now.Sub(conn.lastUse) > c.opt.Silence/2 {
			stale = append(stale, conn)
		} else {
			fresh = append(fresh, conn)
		}
	}
	c.idle = fresh
	c.mu.Unlock()
	for i, conn := range stale {
		if i < len(stale)-refreshed {
			conn.happen(connStale)
			continue
		}
		conn.happen(connPing)
		if !conn.ping(c.opt.Silence / 2) {
			conn.happen(connSilent)
			continue
		}
		conn.happen(connPong)
		c.put(conn)
	}
}

// Probe tells whether the peer takes a new connection and answers on it. It
// blocks; a duty of its own calls it.
func (c *Client) Probe(timeout time.Duration) bool {
	raw, err := c.opt.Dialer(c.addr, timeout)
	if err != nil {
		return false
	}
	defer func() { _ = raw.Close() }()
	conn := &clientConn{link: newLink(raw)}
	return conn.ping(timeout)
}

// refreshed is how many idle connections of a peer are kept alive by pings.
const refreshed = 2

func (conn *clientConn) ping(timeout time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(appendFrame(nil, framePing, nil)); err != nil {
		return false
	}
	t, _, err := conn.readFrame()
	return err == nil && t == framePong
}
