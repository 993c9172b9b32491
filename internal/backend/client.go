// Package backend is an HTTP/1.1 client for the backend server beside a node.
//
// It uses the message codecs of net/http but not its Transport, which reads and
// writes on goroutines of its own: here, as in package wire, a request stays on
// the goroutine of its caller.
package backend

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/sock"
)

// Options configures a Client.
type Options struct {
	// MaxConns bounds the open connections. The backend server declares it.
	MaxConns int
	// IdleMax is the longest time for which an idle connection is reused.
	IdleMax time.Duration
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// ProbeInterval is the interval at which the server is probed, by opening a
	// new connection, while a request waits for its response.
	ProbeInterval time.Duration
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	addr string
	opt  Options

	mu        sync.Mutex
	idle      []*conn
	openCount int
	// conns holds the open connections, in use or idle.
	conns map[*conn]struct{}
	// aborted is set by Abort: no connection may be opened or used any more.
	aborted bool

	lostConns      atomic.Int64
	firstByteTimes [MaxKinds]latencyTracker
}

// conn is a connection to the backend server.
type conn struct {
	net.Conn
	in      headLimiter
	br      *bufio.Reader
	bw      *bufio.Writer
	lastUse time.Time
	// keepAliveTimeout is the idle timeout announced by the server, less a
	// margin; 0 if there is none.
	keepAliveTimeout time.Duration
	// refused are the requests that the server refused or failed on this connection, at most
	// maxRefused.
	refused []requestHash
}

// maxRefused is the number of refused requests after which a connection is not used again. It bounds
// the memory of a connection, the search in it, and the share of refusals that cost a new one.
const maxRefused = 64

// requestHash is a hash of a request's id, 0 for none. Equal hashes of two ids cost a connection at
// most.
type requestHash uint64

var requestHashSeed = maphash.MakeSeed()

// hashRequest returns the hash of a request's id.
func hashRequest(id string) requestHash {
	if id == "" {
		return 0
	}
	return requestHash(max(1, maphash.String(requestHashSeed, id)))
}

// hasRefused reports whether the request was refused on this connection. A duplicate of that
// response, which may arrive at any later time, would be taken for the answer if the request were
// sent again.
func (cn *conn) hasRefused(id requestHash) bool { return id != 0 && slices.Contains(cn.refused, id) }

// New returns a client of the backend server at addr.
func New(addr string, o Options) *Client {
	return &Client{addr: addr, opt: o, conns: map[*conn]struct{}{}}
}

// Addr returns the backend server's address.
func (c *Client) Addr() string { return c.addr }

// LostConnections returns the number of connections closed because of a failed
// request.
func (c *Client) LostConnections() int64 { return c.lostConns.Load() }

// Response is a response of the backend server. The caller must close it.
type Response struct {
	*http.Response
	c    *Client
	conn *conn
	s    *scope.Scope
	eof  bool
}

// Read reads from the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.eof = true
	}
	return n, err
}

// IsComplete reports whether the body was read to its end.
func (r *Response) IsComplete() bool { return r.eof || r.ContentLength == 0 }

// Close returns the connection to the idle ones, or closes it if it can't be
// reused, for example because the body was not read to its end.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	r.s.StopInterrupt()
	if r.IsComplete() && !r.Response.Close && r.s.Err() == fault.None && len(r.conn.refused) < maxRefused {
		_ = r.conn.SetDeadline(time.Time{})
		r.conn.keepAliveTimeout = parseKeepAlive(r.Header.Get("Keep-Alive"))
		r.c.putIdle(r.conn)
	} else {
		r.c.discard(r.conn)
	}
	r.conn = nil
}

// RequestTraits holds properties of a request that are not part of its message.
type RequestTraits struct {
	// ID identifies the request in its responses, "" if they bear no id. A request that is sent
	// again has the same one.
	ID string
	// Kind groups requests by expected response time. Values are taken modulo
	// MaxKinds.
	Kind uint8
	// Idempotent reports whether the request may be executed more than once.
	Idempotent bool
}

// Do sends a request and reads the head of the response. An error says that the
// request was not executed only if the server cannot have received all of it.
//
// matches reports whether a response belongs to the request; nil accepts any.
// Other responses are read and discarded, as a faulty server may send a
// duplicate response on a reused connection.
func (c *Client) Do(s *scope.Scope, t RequestTraits, req *http.Request, matches func(*http.Response) bool) (*Response, error) {
	p, err := c.Send(s, t, req, matches)
	if err != nil {
		return nil, err
	}
	for {
		if resp, state, err := p.Await(time.Time{}); state == progress.Ended {
			return resp, err
		}
	}
}

// Pending is a request that was sent and whose response has not begun. Await or
// Abandon must end it.
type Pending struct {
	c       *Client
	conn    *conn
	s       *scope.Scope
	traits  RequestTraits
	id      requestHash
	req     *http.Request
	matches func(*http.Response) bool
	// sent is when the request was sent, and nextLook when to look whether it may never be answered,
	// the zero time once that was told.
	sent, nextLook time.Time
	// mismatched counts the responses to other requests.
	mismatched int
	// unreachable is set if the server accepted no new connection at the last look.
	unreachable bool
}

// Send sends a request like Do and does not wait for its response.
func (c *Client) Send(s *scope.Scope, t RequestTraits, req *http.Request, matches func(*http.Response) bool) (*Pending, error) {
	id := hashRequest(t.ID)
	cn, err := c.acquire(s, id)
	if err != nil {
		return nil, err
	}
	if !s.InterruptOnCancel(cn.Conn) {
		c.putIdle(cn)
		return nil, fault.New(s.Err(), "given up before it was sent")
	}
	p := &Pending{c: c, conn: cn, s: s, traits: t, id: id, req: req, matches: matches}
	_ = cn.SetDeadline(s.Deadline())
	if err := c.send(s, cn, req); err != nil {
		return nil, p.fail(err)
	}
	s.StopInterrupt()
	p.sent = time.Now()
	p.nextLook = p.sent.Add(c.opt.ProbeInterval)
	return p, nil
}

// fail ends the request with an error and closes its connection.
func (p *Pending) fail(err error) error {
	p.s.StopInterrupt()
	p.c.lostConns.Add(1)
	p.c.discard(p.conn)
	return err
}

// Abandon ends the request and closes its connection.
func (p *Pending) Abandon() { _ = p.fail(nil) }

// IsUnreachable reports whether the request is in doubt because the server accepted no new
// connection. Its open ones may still be answered: a busy server may not accept any, and one that
// shuts down closes its listener first.
func (p *Pending) IsUnreachable() bool { return p.unreachable }

// Await waits for the head of the response until the given time, or without a bound if that is
// zero. After a state other than Ended it may be called again.
//
// HTTP/1.1 has no heartbeat, so a connection that was dropped without a reset looks like a slow
// response. Every ProbeInterval the request comes into doubt if the server accepts no new
// connection, or if it is idempotent and has waited several times longer than the slowest recent
// one of its kind. That is no evidence that it is lost, so it is not ended here.
func (p *Pending) Await(until time.Time) (*Response, progress.State, error) {
	if !p.s.InterruptOnCancel(p.conn.Conn) {
		return nil, progress.Ended, p.fail(p.c.wrapError(p.s, nil, "reading from"))
	}
	resp, state, err := p.await(until)
	if state != progress.Ended {
		p.s.StopInterrupt()
		return nil, state, nil
	}
	if err != nil {
		return nil, progress.Ended, p.fail(err)
	}
	if p.id != 0 && resp.StatusCode >= http.StatusBadRequest {
		p.conn.refused = append(p.conn.refused, p.id)
	}
	return &Response{Response: resp, c: p.c, conn: p.conn, s: p.s}, progress.Ended, nil
}

// await is Await without the end of the request.
func (p *Pending) await(until time.Time) (*http.Response, progress.State, error) {
	times := &p.c.firstByteTimes[p.traits.Kind%MaxKinds]
	for {
		p.conn.in.start()
		if state, err := p.awaitFirstByte(until, times); err != nil || state != progress.Ended {
			return nil, state, err
		}
		arrived := time.Now()
		resp, err := http.ReadResponse(p.conn.br, p.req)
		switch {
		case errors.Is(err, errHeadTooLong):
			return nil, progress.Ended, fault.Wrap(fault.Protocol, err, "reading from the backend server").WithUnknownExecution()
		case err != nil:
			return nil, progress.Ended, p.c.wrapError(p.s, err, "reading from")
		case !isValidStatus(resp.StatusCode):
			return nil, progress.Ended, fault.Newf(fault.Protocol, "the backend server sent the status %03d", resp.StatusCode).WithUnknownExecution()
		case resp.StatusCode < http.StatusOK:
			// Interim (1xx) responses are skipped. They count towards the limit of the head.
			continue
		}
		p.conn.in.stop()
		if p.matches == nil || p.matches(resp) {
			times.record(arrived.Sub(p.sent))
			// More may follow on a connection that brought responses to other requests.
			resp.Close = resp.Close || p.mismatched > 0
			return resp, progress.Ended, nil
		}
		if p.mismatched++; p.mismatched > maxMismatchedResponses || !discardMismatched(p.s, p.conn, resp) {
			if p.s.Err() != fault.None {
				return nil, progress.Ended, p.c.wrapError(p.s, nil, "reading from")
			}
			return nil, progress.Ended, fault.New(fault.Protocol, "the response belongs to another request").WithUnknownExecution()
		}
	}
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// isValidStatus reports whether HTTP has a status, but for 101: no request asks for another
// protocol.
func isValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// send writes a request to a connection. If its body cannot be read, the server gets an incomplete
// message, and the error is BadRequest with the cause: the server has not failed.
func (c *Client) send(s *scope.Scope, cn *conn, req *http.Request) error {
	var body *bodySource
	if req.Body != nil {
		body = &bodySource{ReadCloser: req.Body}
		req.Body = body
	}
	err := req.Write(cn.bw)
	if err == nil {
		err = cn.bw.Flush()
	}
	switch {
	case err == nil:
		return nil
	case body != nil && body.err != nil && s.Err() == fault.None:
		return fault.Wrap(fault.BadRequest, body.err, "cannot read the request body").WithUnknownExecution()
	default:
		return c.wrapError(s, err, "sending to")
	}
}

// bodySource is a request body that keeps the error with which reading it failed, to tell that from
// an error of the connection.
type bodySource struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (b *bodySource) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

const (
	// maxMismatchedResponses is the number of responses to other requests that
	// are discarded per request.
	maxMismatchedResponses = 2
	// maxMismatchedBodyBytes bounds the body of such a response.
	maxMismatchedBodyBytes = 1 << 20
	// mismatchedBodyTimeout bounds the time to read it. One that takes longer has a wrong length:
	// it waits for bytes of the next response, or already holds the answer.
	mismatchedBodyTimeout = 500 * time.Millisecond
)

// discardMismatched reads the body of a response to another request. It reports
// whether the connection can still be used.
func discardMismatched(s *scope.Scope, cn *conn, resp *http.Response) bool {
	if resp.Close || resp.ContentLength > maxMismatchedBodyBytes {
		return false
	}
	deadline := time.Now().Add(mismatchedBodyTimeout)
	if deadline.Before(s.Deadline()) {
		_ = cn.SetReadDeadline(deadline)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBodyBytes))
	return err == nil && n < maxMismatchedBodyBytes
}

// awaitFirstByte waits until a response begins, the request comes into doubt or the given time.
func (p *Pending) awaitFirstByte(until time.Time, t *latencyTracker) (progress.State, error) {
	for {
		pollDeadline := p.s.Deadline()
		for _, at := range [...]time.Time{until, p.nextLook} {
			if !at.IsZero() && at.Before(pollDeadline) {
				pollDeadline = at
			}
		}
		_ = p.conn.SetReadDeadline(pollDeadline)
		if p.s.Err() != fault.None {
			return progress.Ended, fault.New(p.s.Err(), "given up while waiting").WithUnknownExecution()
		}
		_, err := p.conn.br.Peek(1)
		if err == nil {
			_ = p.conn.SetReadDeadline(p.s.Deadline())
			return progress.Ended, nil
		}
		now := time.Now()
		switch {
		case p.s.Err() != fault.None || !errors.Is(err, os.ErrDeadlineExceeded):
			return progress.Ended, p.c.wrapError(p.s, err, "reading from")
		case !p.nextLook.IsZero() && !now.Before(p.nextLook):
			if p.comesIntoDoubt(now, t) {
				return progress.Doubted, nil
			}
		case !until.IsZero() && !now.Before(until):
			return progress.Waiting, nil
		}
	}
}

// comesIntoDoubt looks whether the request may never be answered, and schedules the next look, none
// after the doubt.
func (p *Pending) comesIntoDoubt(now time.Time, t *latencyTracker) bool {
	p.unreachable = !p.c.Reachable()
	if p.unreachable || p.traits.Idempotent && t.isSilent(now.Sub(p.sent)) {
		p.nextLook = time.Time{}
		return true
	}
	p.nextLook = time.Now().Add(p.c.opt.ProbeInterval)
	return false
}

// Reachable reports whether the server accepts a new connection.
func (c *Client) Reachable() bool {
	probe, err := net.DialTimeout("tcp", c.addr, c.opt.DialTimeout)
	if err != nil {
		return false
	}
	_ = probe.Close()
	return true
}

// HasOpenConnection reports whether the server has left a connection open, so that the process to
// which it was opened runs.
func (c *Client) HasOpenConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cn := range c.conns {
		if sock.IsOpen(cn.Conn) {
			return true
		}
	}
	return false
}

// wrapError returns the error of a request that may have been executed: the end
// of its scope if that is the cause, or BackendLost.
func (c *Client) wrapError(s *scope.Scope, err error, action string) *fault.Error {
	if code := s.Err(); code != fault.None {
		return fault.New(code, "given up while waiting for the backend server").WithUnknownExecution()
	}
	return fault.Wrap(fault.BackendLost, err, action+" the backend server").WithUnknownExecution()
}

// acquire returns an idle connection or a new one, on which the request was not refused before. It
// fails with Overload if MaxConns connections are in use.
func (c *Client) acquire(s *scope.Scope, id requestHash) (*conn, error) {
	now := time.Now()
	for {
		cn, dial, aborted := c.popIdle(id)
		if aborted {
			return nil, errAborted()
		}
		if cn == nil && !dial {
			return nil, fault.New(fault.Overload, "all declared connections to the backend server are in use")
		}
		if dial {
			return c.dial(s)
		}
		if now.Sub(cn.lastUse) < cn.idleLimit(c.opt.IdleMax) && cn.br.Buffered() == 0 && sock.IsIdle(cn.Conn) {
			return cn, nil
		}
		c.discard(cn)
	}
}

// keepAliveFraction is the fraction of the server's idle timeout for which a
// connection is reused, so that a request doesn't race with the server's close.
const keepAliveFraction = 0.8

// parseKeepAlive returns keepAliveFraction of the timeout in a Keep-Alive header,
// or 0 if there is none.
func parseKeepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// idleLimit returns how long the connection may be idle and still be reused, at
// most limit.
func (cn *conn) idleLimit(limit time.Duration) time.Duration {
	if cn.keepAliveTimeout > 0 {
		return min(limit, cn.keepAliveTimeout)
	}
	return limit
}

// popIdle returns the connection that became idle last and has not refused the request, if there is
// one. Otherwise dial reports whether a new connection was reserved, which the caller must dial,
// and aborted whether Abort was called.
func (c *Client) popIdle(id requestHash) (cn *conn, dial, aborted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil, false, true
	}
	for i := len(c.idle) - 1; i >= 0; i-- {
		if cn = c.idle[i]; !cn.hasRefused(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn, false, false
		}
	}
	if c.openCount >= c.opt.MaxConns && !c.closeOldestIdle() {
		return nil, false, false
	}
	c.openCount++
	return nil, true, false
}

// closeOldestIdle closes the connection that has been idle longest, to make room for another one. It
// reports whether there was any. mu must be held.
func (c *Client) closeOldestIdle() bool {
	if len(c.idle) == 0 {
		return false
	}
	cn := c.idle[0]
	c.idle = slices.Delete(c.idle, 0, 1)
	c.openCount--
	delete(c.conns, cn)
	_ = cn.Close()
	return true
}

// errAborted returns the error of a request that is not sent because of Abort.
func errAborted() *fault.Error {
	return fault.New(fault.BackendLost, "the connections to this run of the backend server were aborted")
}

// keepAliveProbes detect a connection that was dropped without a reset, within three seconds. Unlike
// a long wait they are evidence: the system of a slow server confirms them.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dial opens the connection that popIdle has reserved.
func (c *Client) dial(s *scope.Scope) (*conn, error) {
	dialer := net.Dialer{Timeout: min(c.opt.DialTimeout, max(s.Remaining(), time.Millisecond)), KeepAliveConfig: keepAliveProbes}
	raw, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		c.mu.Lock()
		c.openCount--
		c.mu.Unlock()
		return nil, fault.Wrap(fault.BackendLost, err, "cannot connect to the backend server")
	}
	cn := &conn{Conn: raw, bw: bufio.NewWriter(raw)}
	cn.in = headLimiter{conn: raw}
	cn.br = bufio.NewReader(&cn.in)
	c.mu.Lock()
	aborted := c.aborted
	c.conns[cn] = struct{}{}
	c.mu.Unlock()
	if aborted {
		c.discard(cn)
		return nil, errAborted()
	}
	return cn, nil
}

// putIdle makes a connection available for reuse.
func (c *Client) putIdle(cn *conn) {
	cn.lastUse = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, cn)
	c.mu.Unlock()
}

// discard closes a connection.
func (c *Client) discard(cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	c.openCount--
	delete(c.conns, cn)
	c.mu.Unlock()
}

// Abort closes all connections, including those in use, whose requests fail as
// possibly executed. No request is sent afterwards.
func (c *Client) Abort() {
	c.mu.Lock()
	c.aborted = true
	conns := make([]*conn, 0, len(c.conns))
	for cn := range c.conns {
		conns = append(conns, cn)
	}
	c.mu.Unlock()
	for _, cn := range conns {
		_ = cn.Close()
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.openCount -= len(idle)
	for _, cn := range idle {
		delete(c.conns, cn)
	}
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}
