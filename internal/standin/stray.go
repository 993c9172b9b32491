package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxStrayDelay is the longest time from a response to the one that nobody asked for. By then the
// node has often sent its next request.
const maxStrayDelay = 8 * time.Millisecond

// strayListener accepts connections on which responses can follow that nobody asked for.
type strayListener struct{ net.Listener }

// Accept implements net.Listener.
func (l strayListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strayConn{Conn: c}, nil
}

// strayConn is a connection with the response, if any, that follows the one in progress.
type strayConn struct {
	net.Conn
	mu   sync.Mutex
	next []byte
}

// setNext sets what follows the response in progress.
func (c *strayConn) setNext(response []byte) {
	c.mu.Lock()
	c.next = response
	c.mu.Unlock()
}

// sendNext sends what follows the response that has just been sent.
func (c *strayConn) sendNext() {
	c.mu.Lock()
	response := c.next
	c.next = nil
	c.mu.Unlock()
	if response == nil {
		return
	}
	time.Sleep(rand.N(maxStrayDelay))
	// A connection that the node has closed needs no response.
	_, _ = c.Write(response)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the server's hook for the contexts of its connections.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *strayConn {
	return r.Context().Value(connKey{}).(*strayConn)
}

// trackConn is the server's hook for the states of its connections. It runs on the goroutine that
// serves the connection, so that no other response is in progress.
func trackConn(c net.Conn, state http.ConnState) {
	if stray, ok := c.(*strayConn); ok && state == http.StateIdle {
		stray.sendNext()
	}
}

// strayResponse draws a response that nobody asked for. token is the call token of the request
// that has just been answered, and id its request id.
func strayResponse(token, id string) []byte {
	const ok, rejection = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Service Unavailable\r\nUmber-Run: no\r\n"
	mark := func(token string) string { return "Umber-Call: " + token + "\r\n" }
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
	forms := []string{
		ok + body,
		ok + mark(token) + body,
		ok + mark("another") + body,
		ok + mark(token) + mark("another") + body,
		rejection + body,
		rejection + mark(token) + body,
		rejection + mark("another") + body,
		// Its length takes in the next response.
		ok + "Content-Length: 100000\r\n\r\n" + id,
		ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no response\r\n\r\n",
	}
	return []byte(forms[rand.IntN(len(forms))])
}
