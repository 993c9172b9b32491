// Package backend speaks HTTP/1.1 to the backend server beside a node.
//
// Like package wire it keeps a request on its own goroutine: net/http's
// message codecs are used, but not its Transport, whose connections read and
// write on goroutines of their own.
package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/sock"
)

// Options are the settings of a Client.
type Options struct {
	// MaxConns bounds the open connections, as the backend server declares.
	MaxConns int
	// IdleMax is how long an idle connection is trusted.
	IdleMax time.Duration
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// Quiet is how long a backend server may take to answer before the
	// connection is checked, by asking the server for its health on a new
	// connection: see Client.Do.
	Quiet time.Duration
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	addr string
	opt  Options

	mu   sync.Mutex
	idle []*conn
	open int
	// made are the open connections, in use or idle.
	made map[*conn]struct{}
	// abandoned is set once no connection may be made or used any more.
	abandoned bool

	lost  atomic.Int64
	times [MaxKinds]firstByte
}

type conn struct {
	net.Conn
	br      *bufio.Reader
	bw      *bufio.Writer
	lastUse time.Time
	// keep is how long the server said that it keeps the connection idle, less
	// a margin; 0 if it did not say.
	keep time.Duration
}

// New returns a client of the backend server at addr.
func New(addr string, o Options) *Client {
	return &Client{addr: addr, opt: o, made: map[*conn]struct{}{}}
}

// Addr returns the backend server's address.
func (c *Client) Addr() string { return c.addr }

// Lost returns how many connections broke or went silent in use.
func (c *Client) Lost() int64 { return c.lost.Load() }

// Response is an answer of the backend server. Close must be called.
type Response struct {
	*http.Response
	c    *Client
	conn *conn
	s    *scope.Scope
	eof  bool
}

// Read reads the body and remembers whether it ended whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.eof = true
	}
	return n, err
}

// Whole tells whether the answer was read to its end.
func (r *Response) Whole() bool { return r.eof || r.ContentLength == 0 }

// Close frees the connection, or discards it if the body was not read whole.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	r.s.Unbind()
	if r.Whole() && !r.Response.Close && r.s.Err() == fault.None {
		_ = r.conn.SetDeadline(time.Time{})
		r.conn.keep = keepAlive(r.Header.Get("Keep-Alive"))
		r.c.put(r.conn)
	} else {
		r.c.discard(r.conn)
	}
	r.conn = nil
}

// Traits are what Do needs to know of a request beside what it sends.
type Traits struct {
	// Kind tells which requests take alike long, below MaxKinds.
	Kind uint8
	// Idempotent tells whether the request may run more than once.
	Idempotent bool
}

// Do sends a request and reads the head of the answer. The error's Run is
// RunNo only if the request cannot have reached the server whole.
//
// mine tells whether an answer belongs to the request, nil if all do; one that does not is read and passed over,
// as a server may send an answer too many on a connection that is used again.
func (c *Client) Do(s *scope.Scope, t Traits, req *http.Request, mine func(*http.Response) bool) (*Response, error) {
	cn, err := c.get(s)
	if err != nil {
		return nil, err
	}
	if !s.Bind(cn.Conn) {
		c.put(cn)
		return nil, fault.New(s.Err(), "given up before it was sent")
	}
	resp, err := c.exchange(s, cn, t, req, mine)
	if err != nil {
		s.Unbind()
		c.lost.Add(1)
		c.discard(cn)
		return nil, err
	}
	return &Response{Response: resp, c: c, conn: cn, s: s}, nil
}

func (c *Client) exchange(s *scope.Scope, cn *conn, t Traits, req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	_ = cn.SetDeadline(s.Deadline())
	if err := req.Write(cn.bw); err != nil {
		return nil, c.explain(s, err, "sending to")
	}
	if err := cn.bw.Flush(); err != nil {
		return nil, c.explain(s, err, "sending to")
	}
	if s.Err() != fault.None {
		return nil, fault.New(s.Err(), "given up while waiting").Unknown()
	}
	sent := time.Now()
	times := &c.times[t.Kind%MaxKinds]
	if err := c.awaitFirstByte(s, cn, times, t.Idempotent); err != nil {
		return nil, err
	}
	times.observe(time.Since(sent))
	for foreign := 0; ; {
		resp, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, c.explain(s, err, "reading from")
		}
		if resp.StatusCode < http.StatusOK {
			// Interim answers (1xx) come before the answer.
			continue
		}
		if mine == nil || mine(resp) {
			return resp, nil
		}
		if foreign++; foreign > maxForeign || !passOver(resp) {
			return nil, fault.New(fault.Protocol, "the answer belongs to another request").Unknown()
		}
	}
}

const (
	// maxForeign is how many answers that belong to other requests are passed
	// over: a server that sends one too many does so once a request.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer, in bytes.
	maxForeignBody = 1 << 20
)

// passOver reads the body of an answer that belongs to another request; false
// if the connection cannot be read on after it.
func passOver(resp *http.Response) bool {
	if resp.Close || resp.ContentLength > maxForeignBody {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
	return err == nil && n < maxForeignBody
}

// awaitFirstByte waits for the answer to begin. HTTP/1.1 has no heartbeat, so
// a connection that something on the way has lost track of looks like a slow
// answer. It counts as silent when the answer takes several times longer than
// the slowest recent one of its kind; the server counts as lost when it no
// longer takes new connections either.
//
// Only an idempotent request is given up as silent: it can be sent again. Of another one
// the server may be at work for longer than is usual, and to end it would lose what
// can't be asked for again.
func (c *Client) awaitFirstByte(s *scope.Scope, cn *conn, t *firstByte, idempotent bool) error {
	start := time.Now()
	for {
		wait := time.Now().Add(c.opt.Quiet)
		last := !wait.Before(s.Deadline())
		if last {
			wait = s.Deadline()
		}
		_ = cn.SetReadDeadline(wait)
		if s.Err() != fault.None {
			return fault.New(s.Err(), "given up while waiting").Unknown()
		}
		_, err := cn.br.Peek(1)
		if err == nil {
			_ = cn.SetReadDeadline(s.Deadline())
			return nil
		}
		if last || s.Err() != fault.None || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.explain(s, err, "reading from")
		}
		if !c.Reachable() {
			return fault.New(fault.BackendLost, "the backend server no longer takes connections").Unknown()
		}
		if idempotent && t.silent(time.Since(start)) {
			return fault.New(fault.PeerSilent, "no answer on this connection long after others were answered").Unknown()
		}
	}
}

// Reachable tells whether the server takes a new connection.
func (c *Client) Reachable() bool {
	probe, err := net.DialTimeout("tcp", c.addr, c.opt.DialTimeout)
	if err != nil {
		return false
	}
	_ = probe.Close()
	return true
}

func (c *Client) explain(s *scope.Scope, err error, doing string) *fault.Error {
	if code := s.Err(); code != fault.None {
		return fault.New(code, "given up while waiting for the backend server").Unknown()
	}
	return fault.Wrap(fault.BackendLost, err, doing+" the backend server").Unknown()
}

// get returns an open idle connection or a new one. The declared number of
// connections is never exceeded.
func (c *Client) get(s *scope.Scope) (*conn, error) {
	now := time.Now()
	for {
		cn, dial, gone := c.pop()
		if gone {
			return nil, errAbandoned()
		}
		if cn == nil && !dial {
			return nil, fault.New(fault.Overload, "all declared connections to the backend server are in use")
		}
		if dial {
			return c.dial(s)
		}
		if now.Sub(cn.lastUse) < cn.trusted(c.opt.IdleMax) && cn.br.Buffered() == 0 && sock.IsIdle(cn.Conn) {
			return cn, nil
		}
		c.discard(cn)
	}
}

// keepShare is the part of the time that the server named for which an idle
// connection is trusted: a request must not cross the server's close.
const keepShare = 0.8

// keepAlive reads the time-out of a Keep-Alive field, in whole seconds.
func keepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(keepShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// trusted is how long the connection may have been idle to be used again.
func (cn *conn) trusted(most time.Duration) time.Duration {
	if cn.keep > 0 {
		return min(most, cn.keep)
	}
	return most
}

// pop returns an idle connection, or tells to dial one, or that the client was abandoned.
func (c *Client) pop() (cn *conn, dial, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return nil, false, true
	}
	if n := len(c.idle); n > 0 {
		cn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return cn, false, false
	}
	if c.open >= c.opt.MaxConns {
		return nil, false, false
	}
	c.open++
	return nil, true, false
}

func errAbandoned() *fault.Error {
	return fault.New(fault.BackendLost, "this start of the backend server was given up")
}

func (c *Client) dial(s *scope.Scope) (*conn, error) {
	raw, err := net.DialTimeout("tcp", c.addr, min(c.opt.DialTimeout, max(s.Remaining(), time.Millisecond)))
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, fault.Wrap(fault.BackendLost, err, "cannot connect to the backend server")
	}
	cn := &conn{Conn: raw, br: bufio.NewReader(raw), bw: bufio.NewWriter(raw)}
	c.mu.Lock()
	abandoned := c.abandoned
	c.made[cn] = struct{}{}
	c.mu.Unlock()
	if abandoned {
		c.discard(cn)
		return nil, errAbandoned()
	}
	return cn, nil
}

func (c *Client) put(cn *conn) {
	cn.lastUse = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, cn)
	c.mu.Unlock()
}

func (c *Client) discard(cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	c.open--
	delete(c.made, cn)
	c.mu.Unlock()
}

// Abandon closes all connections, those in use too: their requests end with an
// error that says that they may have run. No request is sent from then on.
func (c *Client) Abandon() {
	c.mu.Lock()
	c.abandoned = true
	made := make([]*conn, 0, len(c.made))
	for cn := range c.made {
		made = append(made, cn)
	}
	c.mu.Unlock()
	for _, cn := range made {
		_ = cn.Close()
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.open -= len(idle)
	for _, cn := range idle {
		delete(c.made, cn)
	}
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}
