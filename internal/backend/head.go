package backend

import (
	"errors"
	"net"
)

// maxHeadBytes bounds the head of a response and of the interim responses before it, in bytes. A
// longer one does not fit into a reply between nodes.
const maxHeadBytes = 64 << 10

// errHeadTooLong is the error of a head beyond maxHeadBytes.
var errHeadTooLong = errors.New("the response has no end of its head within the limit")

// headLimiter bounds the bytes that are read from a connection while a head is awaited:
// http.ReadResponse keeps a head of any length in memory.
type headLimiter struct {
	conn net.Conn
	// limited is set while a head is read, and left is how many bytes may still be read for it.
	limited bool
	left    int
}

// start begins a head, unless one has begun. The bytes that are buffered already belong to it.
func (l *headLimiter) start() {
	if !l.limited {
		l.limited, l.left = true, maxHeadBytes
	}
}

// stop ends the head: what follows is a body, which is not kept in memory.
func (l *headLimiter) stop() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
