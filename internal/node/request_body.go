package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// readBody reads a small body into memory so that a retry can send it again, and prepares a
// larger one for streaming. It refuses bodies beyond the limit of the request kind.
func (n *Node) readBody(c *call, w http.ResponseWriter, r *http.Request) *fault.Error {
	c.bodyLen = r.ContentLength
	if c.bodyLen > int64(c.policy.BodyMax) {
		return n.unlessOutdated(c.conf, fault.Newf(fault.TooLarge, "the body has %d bytes; allowed are %d", c.bodyLen, c.policy.BodyMax))
	}
	if c.bodyLen == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.scope.Deadline())
	// net/http keeps reading to detect a disconnect, and treats an expired read deadline as
	// one: it must not expire at the request's own deadline.
	defer func() { _ = control.SetReadDeadline(c.scope.Deadline().Add(responseWriteGrace)) }()
	body := http.MaxBytesReader(w, r.Body, int64(c.policy.BodyMax))
	if c.bodyLen < 0 {
		return n.readBodyOfUnknownLength(c, body)
	}
	if c.bodyLen > int64(c.policy.ReplayMax) {
		return n.streamBody(c, body)
	}
	var err error
	if c.body, _, err = c.conn.ReadAll(body, c.bodyLen, c.bodyLen); err != nil {
		return n.bodyReadError(c, err)
	}
	return nil
}

// fieldBytes is the memory of one field of a request's head as it is held, forwarded and sent to a
// backend server, without its text.
const fieldBytes = 600

// unreadBodyTimeout bounds the time in which net/http reads the body of a request that is refused
// before its body is read.
const unreadBodyTimeout = 5 * time.Second

// limitUnreadBody bounds the time for a body until readBody sets its own bound.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// bodyPrefixBytes is the length of the prefix of a streamed body that is part of its content
// fingerprint.
const bodyPrefixBytes = 1 << 10

// streamBody sets up streaming of a large body and keeps its prefix.
func (n *Node) streamBody(c *call, body io.Reader) *fault.Error {
	// Reads larger than the buffer bypass the bufio.Reader.
	r := bufio.NewReaderSize(body, bodyPrefixBytes)
	start, err := r.Peek(bodyPrefixBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return n.bodyReadError(c, err)
	}
	c.bodyPrefix, c.stream = bytes.Clone(start), r
	return nil
}

// readBodyOfUnknownLength buffers a body without a Content-Length if it is small, and else
// streams it.
func (n *Node) readBodyOfUnknownLength(c *call, body io.Reader) *fault.Error {
	start, more, err := c.conn.ReadAll(body, c.bodyLen, int64(c.policy.ReplayMax))
	switch {
	case err != nil:
		return n.bodyReadError(c, err)
	case more:
		c.bodyPrefix = bytes.Clone(start[:min(len(start), bodyPrefixBytes)])
		c.stream = io.MultiReader(bytes.NewReader(start), body)
	default:
		c.body, c.bodyLen = start, int64(len(start))
	}
	return nil
}

// bodyReadError maps an error of reading a request body to a fault.
func (n *Node) bodyReadError(c *call, err error) *fault.Error {
	switch {
	case c.conn.Evicted(), fault.CodeOf(err) == fault.Overload:
		return c.outOfMemory()
	case isBodyLimit(err):
		return n.unlessOutdated(c.conf, fault.Wrap(fault.TooLarge, err, "the body is too large"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.Deadline, "the body did not arrive in time")
	}
	return fault.Wrap(fault.BadRequest, err, "cannot read the request body")
}

// isBodyLimit reports whether an error is that of a body beyond the limit of its request kind.
func isBodyLimit(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// nameBodyLimit returns the error of an attempt, or, if the attempt broke off as the body that was
// streamed went beyond the limit, one that says so. A backend server may have begun to execute it.
func (n *Node) nameBodyLimit(c *call, e *fault.Error) *fault.Error {
	if e == nil || !isBodyLimit(e) {
		return e
	}
	named := n.bodyReadError(c, e.Cause)
	named.Execution = e.Execution
	return named
}
