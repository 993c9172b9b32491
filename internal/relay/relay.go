// Package relay is a small TCP and UDP relay for tests: it stands between two
// processes and can go silent, lose, delay and cut in one direction.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Relay forwards to one address. All its settings may change at any time.
type Relay struct {
	target string
	ln     net.Listener
	udp    *net.UDPConn

	// There and Back cut one direction: bytes and datagrams towards the
	// target, and from it, vanish. Connections stay open.
	DropToTarget, DropFromTarget atomic.Bool
	delay                        atomic.Int64

	mu      sync.Mutex
	conns   map[*pair]struct{}
	clients map[string]*net.UDPConn
	closed  bool
}

// pair is one relayed connection.
type pair struct {
	a, b   net.Conn
	silent atomic.Bool
}

// Start listens on addr, TCP and UDP, and forwards to target.
func Start(addr, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot listen")
	}
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "bad address")
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot listen")
	}
	r := &Relay{target: target, ln: ln, udp: udp, conns: map[*pair]struct{}{}, clients: map[string]*net.UDPConn{}}
	go r.accept()
	go r.datagrams()
	return r, nil
}

// Addr returns where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut cuts both directions, or heals them.
func (r *Relay) SetPartitioned(on bool) {
	r.DropToTarget.Store(on)
	r.DropFromTarget.Store(on)
}

// SetDelay delays what is forwarded.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SilenceOpen makes the connections that are open now silent for good; new
// ones work. It returns how many there were.
func (r *Relay) SilenceConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.silent.Store(true)
	}
	return len(r.conns)
}

// ResetOpen closes the connections that are open now; new ones work.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		_ = p.a.Close()
		_ = p.b.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
	_ = r.udp.Close()
	for p := range r.conns {
		_ = p.a.Close()
		_ = p.b.Close()
	}
	for _, c := range r.clients {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.connect(a)
	}
}

func (r *Relay) connect(a net.Conn) {
	b, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = a.Close()
		return
	}
	p := &pair{a: a, b: b}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.pump(p, a, b, &r.DropToTarget) }()
	go func() { defer wg.Done(); r.pump(p, b, a, &r.DropFromTarget) }()
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// pump forwards one direction. What comes while the direction is cut or the
// pair silent is read and dropped, as by something that lost track of it; the
// end of one side is not passed on either.
func (r *Relay) pump(p *pair, from, to net.Conn, cut *atomic.Bool) {
	buf := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buf)
		if cut.Load() || p.silent.Load() {
			// A stream with a hole in it must not go on.
			broken = true
		}
		if n > 0 && !broken {
			if d := r.delay.Load(); d > 0 {
				time.Sleep(time.Duration(d))
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF || !broken {
				_ = to.Close()
			}
			return
		}
	}
}

func (r *Relay) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.DropToTarget.Load() {
			continue
		}
		if c := r.client(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

// client returns the socket that stands for one sender towards the target.
func (r *Relay) client(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	key := from.String()
	if c := r.clients[key]; c != nil {
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
	r.clients[key] = c
	go r.answers(c, from)
	return c
}

func (r *Relay) answers(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		if !r.DropFromTarget.Load() {
			_, _ = r.udp.WriteToUDP(buf[:n], to)
		}
	}
}
