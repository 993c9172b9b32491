package inbound

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits bound what one address takes. A client that keeps to the protocol meets none of them.
type Limits struct {
	// HeadBytes bounds the head of an HTTP request.
	HeadBytes int
	// HeadTimeout bounds the time to read a head, RequestTimeout that to read a whole request and
	// ResponseTimeout that until the response is written; 0 means that the handler sets it.
	HeadTimeout, RequestTimeout, ResponseTimeout time.Duration
	// IdleTimeout is when a connection without a request is closed.
	IdleTimeout time.Duration
	// ConnFraction is the part of the process's descriptors that connections to the address may take.
	ConnFraction float64
}

const (
	idleTimeout = 2 * time.Minute
	headTimeout = 5 * time.Second
)

// The limits of each kind of address.
var (
	// Callers is for callers' requests, whose handler bounds the time by the request's deadline.
	Callers = Limits{HeadBytes: 32 << 10, HeadTimeout: headTimeout, IdleTimeout: idleTimeout, ConnFraction: 3.0 / 8}
	// Operators is for settings and reports, whose bodies can be large.
	Operators = Limits{HeadBytes: 32 << 10, HeadTimeout: headTimeout, RequestTimeout: time.Minute, ResponseTimeout: 2 * time.Minute, IdleTimeout: idleTimeout, ConnFraction: 1.0 / 32}
	// Checks is for announcements, readiness and metrics.
	Checks = Limits{HeadBytes: 32 << 10, HeadTimeout: headTimeout, RequestTimeout: 10 * time.Second, ResponseTimeout: 20 * time.Second, IdleTimeout: idleTimeout, ConnFraction: 1.0 / 64}
	// PeerRequests and PeerControl are for the requests and the control messages of other nodes.
	PeerRequests = Limits{ConnFraction: 3.0 / 8}
	PeerControl  = Limits{ConnFraction: 1.0 / 8}
)

// minConns is the least number of connections that an address takes.
const minConns = 8

// Listener accepts connections within the bounds of its Gate.
type Listener struct {
	net.Listener
	gate     *Gate
	maxConns int
	// countHeads is set if what a connection reads before its request is known is an HTTP head.
	countHeads bool
	// open are the connections, and evicting those of them that were evicted and are not closed yet. Both
	// are guarded by the gate's lock.
	open, evicting int
}

// Listen returns a listener that accepts connections from ln within the limits.
func (g *Gate) Listen(ln net.Listener, l Limits) *Listener {
	return &Listener{Listener: ln, gate: g, maxConns: max(minConns, int(l.ConnFraction*float64(g.descriptors))), countHeads: l.HeadBytes > 0}
}

// hardMaxConns bounds the open connections with those that were evicted and are not closed yet.
func (l *Listener) hardMaxConns() int { return l.maxConns + max(minConns, l.maxConns/8) }

// Accept implements net.Listener. Connections for which there is no memory or descriptor are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		if l.gate.register(c) && c.Reserve(connBytes) {
			return c, nil
		}
		l.gate.refused.Add(1)
		_ = c.Close()
	}
}

// HTTPServer returns a server for connections of a Listener with the same limits.
func HTTPServer(h http.Handler, l Limits) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: l.HeadBytes, ReadHeaderTimeout: l.HeadTimeout, ReadTimeout: l.RequestTimeout,
		WriteTimeout: l.ResponseTimeout, IdleTimeout: l.IdleTimeout, ConnState: trackRequests, ConnContext: withConn,
	}
}

// trackRequests tells a connection where its requests begin and end.
func trackRequests(c net.Conn, state http.ConnState) {
	conn := Of(c)
	if conn == nil {
		return
	}
	switch state {
	case http.StateActive:
		conn.BeginRequest()
	case http.StateIdle:
		conn.EndRequest()
	}
}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn := Of(c); conn != nil {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	return ctx
}
