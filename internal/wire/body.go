package wire

import (
	"io"
	"sync"

	"github.com/umberthread/umberthread/fault"
)

// bodyReader reads the body frames after a request or reply head.
type bodyReader struct {
	conn      *frameConn
	unread    []byte
	remaining int64
	done      bool
	err       error
}

func newBodyReader(conn *frameConn, length int64) *bodyReader {
	return &bodyReader{conn: conn, remaining: length, done: length == 0}
}

// Read implements io.Reader. It returns io.EOF only after a complete body.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.done {
			return 0, io.EOF
		}
		b.err = b.readNext()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// readNext reads the next frame of the body.
func (b *bodyReader) readNext() error {
	t, payload, err := b.conn.readFrame()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch t {
	case frameBody:
		return b.acceptPayload(payload)
	case frameEnd:
		if b.remaining > 0 {
			return fault.New(fault.Protocol, "body is shorter than announced")
		}
		b.done = true
		return nil
	case frameHeartbeat:
		return nil
	case frameAbort:
		return fault.New(fault.PeerLost, "the sender aborted the body")
	default:
		return fault.New(fault.Protocol, "unexpected frame within a body")
	}
}

// acceptPayload makes the payload of a body frame available to Read, and checks it
// against the announced length.
func (b *bodyReader) acceptPayload(payload []byte) error {
	if b.remaining != Streamed {
		if int64(len(payload)) > b.remaining {
			return fault.New(fault.Protocol, "body is longer than announced")
		}
		b.remaining -= int64(len(payload))
		if b.remaining == 0 {
			b.done = true
		}
	}
	b.unread = payload
	return nil
}

// appendBody appends an in-memory body as body frames. The body's length is in
// the head, so no end frame follows.
func appendBody(out, body []byte) []byte {
	for len(body) > 0 {
		n := min(len(body), MaxBody)
		out = appendFrame(out, frameBody, body[:n])
		body = body[n:]
	}
	return out
}

// bodySourceError is a failure to read the body to be sent, as opposed to a
// failure of the connection.
type bodySourceError struct{ error }

// Unwrap returns the error of the body's reader.
func (r bodySourceError) Unwrap() error { return r.error }

var (
	bodyEndFrame   = appendFrame(nil, frameEnd, nil)
	bodyAbortFrame = appendFrame(nil, frameAbort, nil)
)

// frameBuffers pools buffers of one frame each for sendStream. The write
// callback must not retain them.
var frameBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeaderLen+MaxBody)
	return &b
}}

// sendStream sends a body in frames of at most MaxBody bytes, in constant
// memory. If the source fails or ends early, it sends an abort frame and returns
// a bodySourceError.
func sendStream(stream io.Reader, length int64, write func([]byte) error) error {
	pooled := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(pooled)
	buf := *pooled
	var sent int64
	for length == Streamed || sent < length {
		limit := int64(MaxBody)
		if length != Streamed {
			limit = min(limit, length-sent)
		}
		n, err := stream.Read(buf[frameHeaderLen : frameHeaderLen+limit])
		if n > 0 {
			endFrame(buf[:frameHeaderLen+n], 0, frameBody)
			if werr := write(buf[:frameHeaderLen+n]); werr != nil {
				return werr
			}
			sent += int64(n)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			_ = write(bodyAbortFrame)
			return bodySourceError{err}
		}
	}
	if length == Streamed {
		return write(bodyEndFrame)
	}
	if sent < length {
		_ = write(bodyAbortFrame)
		return bodySourceError{io.ErrUnexpectedEOF}
	}
	return nil
}
