package wire

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/sock"
)

// Handler serves one request. It must call Exchange.Reply exactly once.
type Handler func(*Exchange)

// ServerOptions are the settings of a Server.
type ServerOptions struct {
	// Heartbeat is the interval between heartbeats while a request is handled.
	Heartbeat time.Duration
	// Sweep is the interval between checks of connections with a request.
	Sweep time.Duration
	// IdleTimeout is the time without a request after which a connection is
	// closed.
	IdleTimeout time.Duration
}

// Server accepts connections of other nodes and passes their requests to a
// Handler.
type Server struct {
	opt     ServerOptions
	handler Handler

	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	ln      net.Listener
	closed  bool
	stopped chan struct{}

	malformed atomic.Int64
}

// NewServer returns a server that is not yet listening.
func NewServer(h Handler, o ServerOptions) *Server {
	return &Server{opt: o, handler: h, conns: map[*serverConn]struct{}{}, stopped: make(chan struct{})}
}

// MalformedConnections returns how many connections were closed because of a
// malformed or unexpected frame or request head.
func (s *Server) MalformedConnections() int64 { return s.malformed.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go s.sweepLoop()
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		sc := &serverConn{frameConn: newFrameConn(c), srv: s}
		if !s.add(sc) {
			_ = c.Close()
			continue
		}
		go sc.serve()
	}
}

// add registers a connection, or returns false if the server is closed.
func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops listening and closes idle connections. A connection with a
// request is closed after the handler returns.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.stopped)
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		if c.current.Load() == nil {
			_ = c.Close()
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// sweepLoop sends heartbeats for requests in progress and cancels those whose
// client has closed the connection.
func (s *Server) sweepLoop() {
	t := time.NewTicker(s.opt.Sweep)
	defer t.Stop()
	var busy []*serverConn
	for {
		select {
		case <-s.stopped:
			return
		case now := <-t.C:
			busy = s.activeConns(busy[:0])
			for _, c := range busy {
				c.check(now)
			}
		}
	}
}

// activeConns appends the connections with a request in progress to out.
func (s *Server) activeConns(out []*serverConn) []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.current.Load() != nil {
			out = append(out, c)
		}
	}
	return out
}

// serverConn is an accepted connection, served by one goroutine.
type serverConn struct {
	*frameConn
	srv *Server

	// current is the request in progress, nil when idle.
	current atomic.Pointer[Exchange]
	// writeMu serializes the heartbeats of the sweep and the frames of the reply.
	writeMu sync.Mutex
	// lastWrite is guarded by writeMu.
	lastWrite time.Time
}

// serve handles requests one after the other until the connection must be closed.
func (c *serverConn) serve() {
	defer c.srv.remove(c)
	defer func() { _ = c.Close() }()
	for c.serveOne() && !c.srv.isClosed() {
	}
}

// serveOne serves the next request or ping. It returns false if the connection
// must be closed.
func (c *serverConn) serveOne() bool {
	_ = c.SetReadDeadline(time.Now().Add(c.srv.opt.IdleTimeout))
	t, payload, err := c.readFrame()
	if err != nil {
		if fault.CodeOf(err) == fault.Protocol {
			c.srv.malformed.Add(1)
		}
		return false
	}
	if t == framePing {
		c.account.EndRequest()
		return c.write(appendFrame(nil, framePong, nil)) == nil
	}
	if t != frameRequest {
		c.srv.malformed.Add(1)
		return false
	}
	if !c.account.ReserveForRequest(int64(len(payload)) * decodedHeadFactor) {
		return false
	}
	defer c.account.EndRequest()
	x := &Exchange{conn: c}
	if err := decodeRequest(payload, &x.Request); err != nil {
		c.srv.malformed.Add(1)
		return false
	}
	c.account.BeginRequest()
	now := time.Now()
	deadline := now.Add(x.Request.Remaining)
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline.Add(replyGrace))
	x.Scope = scope.New(deadline)
	x.body = newBodyReader(c.frameConn, x.Request.BodyLen)
	x.Body = x.body
	c.writeMu.Lock()
	c.lastWrite = now
	c.writeMu.Unlock()
	c.current.Store(x)
	c.srv.handler(x)
	c.current.Store(nil)
	return x.replied && x.body.done && x.body.err == nil
}

// decodedHeadFactor is the memory of a decoded request head, for each byte of its encoding.
const decodedHeadFactor = 20

// replyGrace is how long after the request's deadline a reply may be written.
const replyGrace = time.Second

// write sends a frame and postpones the next heartbeat.
func (c *serverConn) write(buf []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.lastWrite = time.Now()
	_, err := c.Write(buf)
	return err
}

var (
	heartbeatFrame = appendFrame(nil, frameHeartbeat, nil)
	doubtFrame     = appendFrame(nil, frameDoubt, nil)
)

// check cancels the request in progress if the client has closed the connection,
// or sends a heartbeat if one is due, or a doubt that the client has not heard of.
func (c *serverConn) check(now time.Time) {
	x := c.current.Load()
	if x == nil {
		return
	}
	if x.bodyRead.Load() && !sock.IsOpen(c.Conn) {
		x.Scope.Cancel(fault.Canceled)
		return
	}
	if !c.writeMu.TryLock() {
		return
	}
	defer c.writeMu.Unlock()
	if c.current.Load() != x || x.replyEnded {
		return
	}
	frame := heartbeatFrame
	if x.doubted.CompareAndSwap(true, false) && !x.replyBegun {
		frame = doubtFrame
	} else if now.Sub(c.lastWrite) < c.srv.opt.Heartbeat {
		return
	}
	c.lastWrite = now
	if _, err := c.Write(frame); err != nil {
		x.Scope.Cancel(fault.Canceled)
	}
}

// Exchange is a received request with the means to reply to it.
type Exchange struct {
	// Request is the head.
	Request Request
	// Body reads the request's body.
	Body io.Reader
	// Scope ends when the client closes the connection or the deadline passes.
	Scope *scope.Scope

	conn     *serverConn
	body     *bodyReader
	bodyRead atomic.Bool
	// doubted is set while the client has to be told that the backend server may never respond.
	doubted atomic.Bool
	// replyBegun is set with the first part of the reply, and replyEnded with the last one;
	// conn.writeMu guards them.
	replyBegun, replyEnded bool
	// replied is set once the complete reply is written.
	replied bool
}

// MarkBodyRead records that the handler has read the complete body. From then
// on, the server detects a client that closes the connection, and the connection is not evicted
// for others.
func (x *Exchange) MarkBodyRead() {
	x.conn.account.Protect()
	x.bodyRead.Store(true)
}

// ReadBody reads the complete body into memory. It returns an error with the code fault.Overload if
// there is no memory for it.
func (x *Exchange) ReadBody() ([]byte, error) {
	body, _, err := x.conn.account.ReadAll(x.Body, x.Request.BodyLen, x.Request.BodyLen)
	if err == nil {
		x.MarkBodyRead()
	}
	return body, err
}

// ReportDoubt tells the client, if it knows the doubt frame, that the backend server may never
// respond.
func (x *Exchange) ReportDoubt() {
	if x.Request.Attempt&AcceptsDoubt != 0 {
		x.doubted.Store(true)
	}
}

// Reply sends the reply with an in-memory body, or with a body read from stream
// if body is nil. After an error the connection is closed, so that the client
// detects a truncated reply.
func (x *Exchange) Reply(r *Reply, body []byte, stream io.Reader) error {
	r.Attempt = x.Request.Attempt
	if body != nil || stream == nil {
		r.BodyLen = int64(len(body))
	}
	c := x.conn
	buf, at := beginFrame(c.writeBuf[:0])
	buf = r.append(buf)
	if len(buf)-at-frameHeaderLen > MaxHead {
		return fault.New(fault.TooLarge, "the reply's header fields are too large").WithUnknownExecution()
	}
	endFrame(buf, at, frameReply)
	if body != nil {
		buf = appendBody(buf, body)
	}
	c.writeBuf = buf
	streamed := body == nil && r.BodyLen != 0
	if err := x.sendPart(buf, !streamed); err != nil {
		return err
	}
	if streamed {
		if err := sendStream(stream, r.BodyLen, c.write); err != nil {
			return err
		}
		_ = x.sendPart(nil, true)
	}
	x.replied = true
	return nil
}

// sendPart writes a part of the reply. After the last part, no heartbeats are
// sent.
func (x *Exchange) sendPart(buf []byte, last bool) error {
	c := x.conn
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	x.replyBegun, x.replyEnded = true, last
	if len(buf) == 0 {
		return nil
	}
	c.lastWrite = time.Now()
	_, err := c.Write(buf)
	return err
}
