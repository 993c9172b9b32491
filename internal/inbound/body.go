package inbound

import (
	"errors"
	"io"
)

// firstPieceBytes is the memory that is reserved first for a body of unknown length.
const firstPieceBytes = 4 << 10

// ReadAll reads r to its end into memory that it reserves, up to max bytes. length is the
// length in bytes if it is known, else negative. If r has more than max bytes, more is set and body
// has max of them and at least one more. It returns an error with the code fault.Overload if there
// is no memory.
func (c *Conn) ReadAll(r io.Reader, length, max int64) (body []byte, more bool, err error) {
	if length >= 0 {
		return c.readKnown(r, min(length, max))
	}
	size := int64(firstPieceBytes)
	if !c.ReserveForRequest(size) {
		return nil, false, errNoMemory
	}
	body = make([]byte, 0, size)
	for {
		if int64(len(body)) > max {
			return body, true, nil
		}
		if len(body) == cap(body) {
			if body, err = c.grow(body, max); err != nil {
				return nil, false, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, int64(len(body)) > max, nil
		case err != nil:
			return nil, false, c.readError(err)
		}
	}
}

// readKnown reads a body of n bytes.
func (c *Conn) readKnown(r io.Reader, n int64) ([]byte, bool, error) {
	if !c.ReserveForRequest(n) {
		return nil, false, errNoMemory
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, false, c.readError(err)
	}
	return body, false, nil
}

// grow returns the body in a buffer of twice the size, or of one that shows that the body has more
// than max bytes, whichever is smaller.
func (c *Conn) grow(body []byte, max int64) ([]byte, error) {
	size := int64(cap(body))
	larger := min(2*size, max+firstPieceBytes)
	if !c.ReserveForRequest(larger) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), larger)
	copy(grown, body)
	c.releaseForRequest(size)
	return grown, nil
}

// readError returns the error of reading a body: that there is no memory, if the connection was
// evicted.
func (c *Conn) readError(err error) error {
	if c.Evicted() {
		return errNoMemory
	}
	return err
}

// releaseForRequest releases what ReserveForRequest reserved.
func (c *Conn) releaseForRequest(n int64) {
	if c != nil {
		c.forRequest.Add(-n)
		c.Release(n)
	}
}
