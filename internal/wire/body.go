package wire

import (
	"io"
	"sync"

	"github.com/umberthread/umberthread/fault"
)

// bodyReader reads the body frames that follow a head, up to the end frame.
type bodyReader struct {
	l    *link
	rest []byte
	left int64
	done bool
	err  error
	// before runs ahead of every frame, to move the silence deadline.
	before func()
}

func newBodyReader(l *link, length int64, before func()) *bodyReader {
	return &bodyReader{l: l, left: length, done: length == 0, before: before}
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.done {
			return 0, io.EOF
		}
		b.err = b.fill()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *bodyReader) fill() error {
	if b.before != nil {
		b.before()
	}
	t, payload, err := b.l.readFrame()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch t {
	case frameBody:
		return b.take(payload)
	case frameEnd:
		if b.left > 0 {
			return fault.New(fault.Protocol, "body is shorter than announced")
		}
		b.done = true
		return nil
	case frameHeartbeat:
		return nil
	case frameAbort:
		return fault.New(fault.PeerLost, "the sender broke off the body")
	default:
		return fault.New(fault.Protocol, "unexpected frame within a body")
	}
}

func (b *bodyReader) take(payload []byte) error {
	if b.left != Streamed {
		if int64(len(payload)) > b.left {
			return fault.New(fault.Protocol, "body is longer than announced")
		}
		b.left -= int64(len(payload))
		if b.left == 0 {
			b.done = true
		}
	}
	b.rest = payload
	return nil
}

// appendBody frames a whole body that is already in memory. A body of known
// length needs no end frame: the announced length ends it.
func appendBody(out, body []byte) []byte {
	for len(body) > 0 {
		n := min(len(body), MaxBody)
		out = appendFrame(out, frameBody, body[:n])
		body = body[n:]
	}
	return out
}

// readError marks a failure of the body's source, not of the connection.
type readError struct{ error }

// Unwrap returns the failure of the source.
func (r readError) Unwrap() error { return r.error }

var (
	endOfBody = appendFrame(nil, frameEnd, nil)
	abortBody = appendFrame(nil, frameAbort, nil)
)

// frameBuffers are the buffers of streamed bodies, one frame each. No sender
// keeps one after sendStream returns.
var frameBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeader+MaxBody)
	return &b
}}

// sendStream sends a body from a reader, one frame of at most MaxBody bytes
// at a time, so that the memory it takes does not grow with the body.
func sendStream(stream io.Reader, length int64, write func([]byte) error) error {
	kept := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(kept)
	buf := *kept
	var sent int64
	for length == Streamed || sent < length {
		room := int64(MaxBody)
		if length != Streamed {
			room = min(room, length-sent)
		}
		n, err := stream.Read(buf[frameHeader : frameHeader+room])
		if n > 0 {
			endFrame(buf[:frameHeader+n], 0, frameBody)
			if werr := write(buf[:frameHeader+n]); werr != nil {
				return werr
			}
			sent += int64(n)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			_ = write(abortBody)
			return readError{err}
		}
	}
	if length == Streamed {
		return write(endOfBody)
	}
	if sent < length {
		_ = write(abortBody)
		return readError{io.ErrUnexpectedEOF}
	}
	return nil
}
