package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"

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
	c.body = make([]byte, c.bodyLen)
	if _, err := io.ReadFull(body, c.body); err != nil {
		return n.bodyReadError(c, err)
	}
	return nil
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
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, body, int64(c.policy.ReplayMax)+1)
	switch {
	case err == nil:
		c.bodyPrefix = bytes.Clone(buf.Bytes()[:min(buf.Len(), bodyPrefixBytes)])
		c.stream = io.MultiReader(&buf, body)
	case errors.Is(err, io.EOF):
		c.body, c.bodyLen = buf.Bytes(), int64(buf.Len())
	default:
		return n.bodyReadError(c, err)
	}
	return nil
}

// bodyReadError maps an error of reading a request body to a fault.
func (n *Node) bodyReadError(c *call, err error) *fault.Error {
	switch {
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
