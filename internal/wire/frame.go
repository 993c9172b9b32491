package wire

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"

	"github.com/umberthread/umberthread/fault"
)

// frameType tells what a frame's payload is.
type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameReply
	frameBody
	frameEnd
	frameAbort
	frameHeartbeat
	framePing
	framePong
)

const (
	frameHeader = 9
	// MaxHead is the largest encoded request or reply head, in bytes.
	MaxHead = 64 << 10
	// MaxBody is the largest payload of one body frame, in bytes.
	MaxBody = 32 << 10
	bufSize = 16 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// beginFrame reserves room for a frame header in buf.
func beginFrame(buf []byte) ([]byte, int) {
	at := len(buf)
	return append(buf, make([]byte, frameHeader)...), at
}

// endFrame fills in the header of the frame that began at at.
func endFrame(buf []byte, at int, t frameType) {
	payload := buf[at+frameHeader:]
	buf[at] = byte(t)
	binary.BigEndian.PutUint32(buf[at+1:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[at+5:], crc32.Checksum(payload, castagnoli))
}

// appendFrame appends a whole frame.
func appendFrame(buf []byte, t frameType, payload []byte) []byte {
	buf, at := beginFrame(buf)
	buf = append(buf, payload...)
	endFrame(buf, at, t)
	return buf
}

// link is a connection with its buffers.
type link struct {
	net.Conn
	br  *bufio.Reader
	in  []byte
	out []byte
	hdr [frameHeader]byte
}

func newLink(c net.Conn) *link {
	return &link{Conn: c, br: bufio.NewReaderSize(c, bufSize)}
}

// readFrame returns the next frame. The payload is valid until the next call.
func (l *link) readFrame() (frameType, []byte, error) {
	if _, err := io.ReadFull(l.br, l.hdr[:]); err != nil {
		return 0, nil, err
	}
	t := frameType(l.hdr[0])
	n := binary.BigEndian.Uint32(l.hdr[1:])
	if t < frameRequest || t > framePong || n > limitOf(t) {
		return 0, nil, fault.New(fault.Protocol, "malformed frame header")
	}
	if cap(l.in) < int(n) {
		l.in = make([]byte, n)
	}
	l.in = l.in[:n]
	if _, err := io.ReadFull(l.br, l.in); err != nil {
		return 0, nil, err
	}
	if crc32.Checksum(l.in, castagnoli) != binary.BigEndian.Uint32(l.hdr[5:]) {
		return 0, nil, fault.New(fault.Protocol, "frame checksum mismatch")
	}
	return t, l.in, nil
}

func limitOf(t frameType) uint32 {
	switch t {
	case frameRequest, frameReply:
		return MaxHead
	case frameBody:
		return MaxBody
	default:
		return 0
	}
}
