// Package relay implements a TCP and UDP proxy that injects network faults in
// tests: loss in one or both directions, delays, and silent or reset connections.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/sock"
)

// Relay forwards connections and datagrams to one target address. Its methods
// and fields are safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	udp      *net.UDPConn

	// DropToTarget and DropFromTarget drop the bytes and datagrams of one
	// direction. Connections stay open; one that lost bytes forwards nothing more
	// in that direction.
	DropToTarget, DropFromTarget atomic.Bool
	// delay is in nanoseconds.
	delay atomic.Int64

	mu         sync.Mutex
	conns      map[*connPair]struct{}
	udpSockets map[string]*net.UDPConn
	closed     bool
}

// connPair is a client's connection and the matching one to the target.
type connPair struct {
	client, target net.Conn
	silent         atomic.Bool
}

// Start listens on addr, TCP and UDP, and forwards to target.
func Start(addr, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot listen")
	}
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "invalid UDP address")
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot listen")
	}
	// Without retries one failed accept, as when the process has no more file descriptors, would
	// cut the target off for good.
	ln = sock.NewRetryListener(ln, func(error) {}, func() {})
	r := &Relay{target: target, listener: ln, udp: udp, conns: map[*connPair]struct{}{}, udpSockets: map[string]*net.UDPConn{}}
	go r.acceptLoop()
	go r.forwardDatagrams()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetPartitioned drops the traffic of both directions, or forwards it again.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.DropToTarget.Store(partitioned)
	r.DropFromTarget.Store(partitioned)
}

// SetDelay sets the delay before each forwarded chunk of a connection. Datagrams
// are not delayed.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SilenceConnections permanently stops forwarding on the open connections
// without closing them, and returns their number. New connections work.
func (r *Relay) SilenceConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.silent.Store(true)
	}
	return len(r.conns)
}

// ResetConnections closes the open connections. New connections work.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		_ = p.client.Close()
		_ = p.target.Close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	_ = r.udp.Close()
	for p := range r.conns {
		_ = p.client.Close()
		_ = p.target.Close()
	}
	for _, c := range r.udpSockets {
		_ = c.Close()
	}
}

// acceptLoop accepts and relays connections until the listener is closed.
func (r *Relay) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relayConn(conn)
	}
}

// relayConn connects an accepted connection to the target and forwards both
// directions until both end.
func (r *Relay) relayConn(client net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, target: target}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.forwardStream(p, client, target, &r.DropToTarget) }()
	go func() { defer wg.Done(); r.forwardStream(p, target, client, &r.DropFromTarget) }()
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// forwardStream forwards one direction of a connection. Once data is dropped,
// because of drop or a silenced pair, nothing more is forwarded, not even the
// end of the stream.
func (r *Relay) forwardStream(p *connPair, from, to net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	lostData := false
	for {
		n, err := from.Read(buf)
		if drop.Load() || p.silent.Load() {
			// A stream must not continue after lost bytes.
			lostData = true
		}
		if n > 0 && !lostData {
			if d := r.delay.Load(); d > 0 {
				time.Sleep(time.Duration(d))
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF || !lostData {
				_ = to.Close()
			}
			return
		}
	}
}

// forwardDatagrams forwards the datagrams of all senders to the target.
func (r *Relay) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.DropToTarget.Load() {
			continue
		}
		if c := r.clientSocket(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

// clientSocket returns the socket that forwards one sender's datagrams to the
// target, nil if it cannot be opened or the relay is closed.
func (r *Relay) clientSocket(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	key := from.String()
	if c := r.udpSockets[key]; c != nil {
		return c
	}
	ua, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return nil
	}
	c, err := net.DialUDP("udp", nil, ua)
	if err != nil {
		return nil
	}
	r.udpSockets[key] = c
	go r.forwardReplies(c, from)
	return c
}

// forwardReplies forwards the target's datagrams to the sender at address to.
func (r *Relay) forwardReplies(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The target is down; it may start again.
			continue
		}
		if err != nil {
			return
		}
		if !r.DropFromTarget.Load() {
			_, _ = r.udp.WriteToUDP(buf[:n], to)
		}
	}
}
