// Package callers detects callers that disconnect while their request is in progress.
//
// While a handler runs, net/http reads the connection only up to the first byte of a
// pipelined request; after that it does not notice a disconnect until the handler
// returns. CheckDisconnects reads on instead, up to a bound for each connection, and
// buffers the data for later reads.
package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/umberthread/umberthread/internal/inbound"
)

// maxReadAheadBytes bounds the data buffered for a connection. Beyond it a disconnect is
// not detected.
const maxReadAheadBytes = 32 << 10

// readChunkBytes is the maximum number of bytes read in one check.
const readChunkBytes = 4 << 10

// Listener wraps the connections that it accepts in Conn, so that they can be watched.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener returns a Listener that accepts connections from ln.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// CheckDisconnects checks all watched connections and calls the callbacks of those whose
// caller has disconnected.
func (l *Listener) CheckDisconnects() {
	for _, c := range l.watchedConns() {
		c.checkDisconnect()
	}
}

// watchedConns returns the connections with a callback.
func (l *Listener) watchedConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Conn
	for c := range l.conns {
		if c.isWatched() {
			out = append(out, c)
		}
	}
	return out
}

// Conn is a connection from a caller.
type Conn struct {
	net.Conn
	listener *Listener

	// readMu is held while the connection is read.
	readMu sync.Mutex
	// readAheadBuf holds data read by checks, and readErr the error that ended them. Both
	// are guarded by readMu.
	readAheadBuf []byte
	readErr      error

	mu           sync.Mutex
	onDisconnect func()
}

type contextKey struct{}

// ConnContext stores the connection in the context, for use as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, nil if another listener accepted it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.readAheadBuf) > 0 {
		n := copy(p, c.readAheadBuf)
		c.readAheadBuf = c.readAheadBuf[n:]
		inbound.Of(c.Conn).Release(int64(n))
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Watch arranges for onDisconnect to be called once when the caller disconnects, until
// Unwatch. It does nothing for a nil connection.
func (c *Conn) Watch(onDisconnect func()) {
	if c != nil {
		c.setOnDisconnect(onDisconnect)
	}
}

// Unwatch removes the callback set by Watch. It does nothing for a nil connection.
func (c *Conn) Unwatch() {
	if c != nil {
		c.setOnDisconnect(nil)
	}
}

func (c *Conn) setOnDisconnect(onDisconnect func()) {
	c.mu.Lock()
	c.onDisconnect = onDisconnect
	c.mu.Unlock()
}

func (c *Conn) isWatched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.onDisconnect != nil
}

// checkDisconnect reads ahead unless another read is in progress, and calls the callback
// if the caller has disconnected.
func (c *Conn) checkDisconnect() {
	if !c.readMu.TryLock() {
		// net/http is reading and detects a disconnect itself.
		return
	}
	c.readAhead()
	disconnected := c.readErr != nil
	c.readMu.Unlock()
	if !disconnected {
		return
	}
	c.mu.Lock()
	onDisconnect := c.onDisconnect
	c.onDisconnect = nil
	c.mu.Unlock()
	if onDisconnect != nil {
		onDisconnect()
	}
}

// readAhead buffers the data that has arrived, without blocking. readMu must be held.
func (c *Conn) readAhead() {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.readErr != nil || len(c.readAheadBuf) >= maxReadAheadBytes {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	size := min(readChunkBytes, maxReadAheadBytes-len(c.readAheadBuf))
	account := inbound.Of(c.Conn)
	if !account.Reserve(int64(size)) {
		return
	}
	buf := make([]byte, size)
	var n int
	var failed error
	if err := raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
	}); err != nil {
		account.Release(int64(size))
		return
	}
	account.Release(int64(size - max(0, n)))
	switch {
	case n > 0:
		c.readAheadBuf = append(c.readAheadBuf, buf[:n]...)
	case errors.Is(failed, syscall.EAGAIN), errors.Is(failed, syscall.EINTR):
	case failed != nil:
		c.readErr = failed
	default:
		c.readErr = io.EOF
	}
}
