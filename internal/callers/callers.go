// Package callers watches the connections of callers for those that leave.
//
// net/http reads on while a request is in work, and so sees a caller leave; but
// only up to the first byte of a next request that the caller has sent behind
// it. From then on it reads nothing until the request is answered, and a caller
// that leaves is not seen. Here a sweep reads on in its place, up to a bound for
// each connection, and keeps what it read for the requests to come.
package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// maxAhead bounds what is read ahead on a connection, in bytes: some twenty
// requests of usual size. A caller that has sent more is not seen to leave.
const maxAhead = 32 << 10

// lookBytes is how much one look reads at most.
const lookBytes = 4 << 10

// Listener hands out connections that can be watched.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen wraps a listener.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, l: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Sweep looks at all connections with a request in work, and tells of those
// whose caller has left.
func (l *Listener) CheckDisconnects() {
	for _, c := range l.watched() {
		c.look()
	}
}

func (l *Listener) watched() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Conn
	for c := range l.conns {
		if c.watching() {
			out = append(out, c)
		}
	}
	return out
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	l *Listener

	// reading is held while the connection is read.
	reading sync.Mutex
	// ahead is what the sweep has read, and end why nothing follows. Both are
	// guarded by reading.
	ahead []byte
	end   error

	mu   sync.Mutex
	left func()
}

type contextKey struct{}

// Context is for http.Server.ConnContext; see Of.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Of returns the connection of a request by its context, nil if it came over
// another listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if c.end != nil {
		return 0, c.end
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// Watch calls left, once, when the caller is seen to leave, until Unwatch. A nil
// connection is not watched.
func (c *Conn) Watch(left func()) {
	if c != nil {
		c.setLeft(left)
	}
}

// Unwatch ends what Watch began.
func (c *Conn) Unwatch() {
	if c != nil {
		c.setLeft(nil)
	}
}

func (c *Conn) setLeft(left func()) {
	c.mu.Lock()
	c.left = left
	c.mu.Unlock()
}

func (c *Conn) watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left != nil
}

// look reads ahead where nobody else reads, and tells if the caller has left.
func (c *Conn) look() {
	if !c.reading.TryLock() {
		// net/http reads, and sees the caller leave itself.
		return
	}
	c.readAhead()
	gone := c.end != nil
	c.reading.Unlock()
	if !gone {
		return
	}
	c.mu.Lock()
	left := c.left
	c.left = nil
	c.mu.Unlock()
	if left != nil {
		left()
	}
}

// readAhead takes what has arrived without waiting for more. The read lock is
// held.
func (c *Conn) readAhead() {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.end != nil || len(c.ahead) >= maxAhead {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	buf := make([]byte, min(lookBytes, maxAhead-len(c.ahead)))
	var n int
	var failed error
	if err := raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
	}); err != nil {
		return
	}
	switch {
	case n > 0:
		c.ahead = append(c.ahead, buf[:n]...)
	case errors.Is(failed, syscall.EAGAIN), errors.Is(failed, syscall.EINTR):
	case failed != nil:
		c.end = failed
	default:
		c.end = io.EOF
	}
}
