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
	// Heartbeat is how often a request in work is confirmed to its sender.
	Heartbeat time.Duration
	// Sweep is how often connections in work are looked at for a sender
	// that left.
	Sweep time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration
}

// Server serves the requests of other nodes.
type Server struct {
	opt     ServerOptions
	handler Handler

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	ln     net.Listener
	closed bool
	stop   chan struct{}

	malformed atomic.Int64
}

// NewServer returns a server that is not yet listening.
func NewServer(h Handler, o ServerOptions) *Server {
	return &Server{opt: o, handler: h, conns: map[*serverConn]struct{}{}, stop: make(chan struct{})}
}

// Malformed returns how many connections were closed for malformed frames.
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
		sc := &serverConn{link: newLink(c), srv: s}
		if !s.add(sc) {
			_ = c.Close()
			continue
		}
		go sc.serve()
	}
}

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

// Close stops listening and closes idle connections. Connections with a
// request in work are closed once it is answered.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.stop)
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		if c.work.Load() == nil {
			_ = c.Close()
		}
	}
}

func (s *Server) closing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// sweepLoop is the duty that sends heartbeats for requests in work and
// cancels those whose sender left.
func (s *Server) sweepLoop() {
	t := time.NewTicker(s.opt.Sweep)
	defer t.Stop()
	var busy []*serverConn
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			busy = s.busy(busy[:0])
			for _, c := range busy {
				c.sweep(now)
			}
		}
	}
}

func (s *Server) busy(out []*serverConn) []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.work.Load() != nil {
			out = append(out, c)
		}
	}
	return out
}

type serverConn struct {
	*link
	srv *Server

	// work is the request in work, nil when idle.
	work atomic.Pointer[Exchange]
	// wmu orders the heartbeats of the sweep with the frames of the reply.
	wmu sync.Mutex
	// lastWrite is guarded by wmu.
	lastWrite time.Time
}

func (c *serverConn) serve() {
	defer c.srv.remove(c)
	defer func() { _ = c.Close() }()
	for c.serveOne() && !c.srv.closing() {
	}
}

// serveOne serves the next request; false if the connection is done for.
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
		return c.write(appendFrame(nil, framePong, nil)) == nil
	}
	if t != frameRequest {
		c.srv.malformed.Add(1)
		return false
	}
	x := &Exchange{conn: c}
	if err := decodeRequest(payload, &x.Request); err != nil {
		c.srv.malformed.Add(1)
		return false
	}
	now := time.Now()
	deadline := now.Add(x.Request.Remaining)
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline.Add(replyGrace))
	x.Scope = scope.New(deadline)
	x.body = newBodyReader(c.link, x.Request.BodyLen, nil)
	x.Body = x.body
	c.wmu.Lock()
	c.lastWrite = now
	c.wmu.Unlock()
	c.work.Store(x)
	c.srv.handler(x)
	c.work.Store(nil)
	return x.whole && x.body.done && x.body.err == nil
}

// replyGrace is how long after the deadline an answer may still be written.
const replyGrace = time.Second

func (c *serverConn) write(buf []byte) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.lastWrite = time.Now()
	_, err := c.Write(buf)
	return err
}

var heartbeatFrame = appendFrame(nil, frameHeartbeat, nil)

func (c *serverConn) sweep(now time.Time) {
	x := c.work.Load()
	if x == nil {
		return
	}
	if x.bodyRead.Load() && !sock.Open(c.Conn) {
		x.Scope.Cancel(fault.Canceled)
		return
	}
	if !c.wmu.TryLock() {
		return
	}
	defer c.wmu.Unlock()
	if c.work.Load() != x || x.finished || now.Sub(c.lastWrite) < c.srv.opt.Heartbeat {
		return
	}
	c.lastWrite = now
	if _, err := c.Write(heartbeatFrame); err != nil {
		x.Scope.Cancel(fault.Canceled)
	}
}

// Exchange is one request in work and the way to answer it.
type Exchange struct {
	// Request is the head.
	Request Request
	// Body reads the request's body.
	Body io.Reader
	// Scope ends when the sender leaves or the deadline passes.
	Scope *scope.Scope

	conn     *serverConn
	body     *bodyReader
	bodyRead atomic.Bool
	// finished is guarded by conn.wmu.
	finished bool
	whole    bool
}

// BodyDone tells that the handler has read the whole body, from when on the
// sweep may look for a sender that left.
func (x *Exchange) MarkBodyRead() { x.bodyRead.Store(true) }

// Reply answers with a body in memory, or with one that is read from stream
// if whole is nil. It returns the failure to read or send the body; the
// connection is then closed, so that the other side sees a cut-off answer.
func (x *Exchange) Reply(r *Reply, whole []byte, stream io.Reader) error {
	r.Attempt = x.Request.Attempt
	if whole != nil || stream == nil {
		r.BodyLen = int64(len(whole))
	}
	c := x.conn
	buf, at := beginFrame(c.out[:0])
	buf = r.append(buf)
	if len(buf)-at-frameHeader > MaxHead {
		return fault.New(fault.TooLarge, "the answer's header fields are too large").Unknown()
	}
	endFrame(buf, at, frameReply)
	if whole != nil {
		buf = appendBody(buf, whole)
	}
	c.out = buf
	streamed := whole == nil && r.BodyLen != 0
	if err := x.send(buf, !streamed); err != nil {
		return err
	}
	if streamed {
		if err := sendStream(stream, r.BodyLen, c.write); err != nil {
			return err
		}
		_ = x.send(nil, true)
	}
	x.whole = true
	return nil
}

// send writes part of the reply; after the last part no heartbeat follows.
func (x *Exchange) send(buf []byte, last bool) error {
	c := x.conn
	c.wmu.Lock()
	defer c.wmu.Unlock()
	x.finished = last
	if len(buf) == 0 {
		return nil
	}
	c.lastWrite = time.Now()
	_, err := c.Write(buf)
	return err
}
