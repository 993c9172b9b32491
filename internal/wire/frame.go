package wire

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/inbound"
)

// frameType identifies the kind of a frame.
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
	frameDoubt
)

const (
	// frameHeaderLen is the length of a frame header, in bytes.
	frameHeaderLen = 9
	// MaxHead is the largest encoded request or reply head, in bytes.
	MaxHead = 64 << 10
	// MaxBody is the largest payload of one body frame, in bytes.
	MaxBody = 32 << 10
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 16 << 10
)

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// beginFrame appends space for a frame header and returns its offset in buf.
func beginFrame(buf []byte) ([]byte, int) {
	at := len(buf)
	return append(buf, make([]byte, frameHeaderLen)...), at
}

// endFrame fills in the header of the frame that starts at offset at and
// extends to the end of buf.
func endFrame(buf []byte, at int, t frameType) {
	payload := buf[at+frameHeaderLen:]
	buf[at] = byte(t)
	binary.BigEndian.PutUint32(buf[at+1:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[at+5:], crc32.Checksum(payload, castagnoli))
}

// appendFrame appends a frame with its header.
func appendFrame(buf []byte, t frameType, payload []byte) []byte {
	buf, at := beginFrame(buf)
	buf = append(buf, payload...)
	endFrame(buf, at, t)
	return buf
}

// frameConn is a connection with buffers to read and write frames.
type frameConn struct {
	net.Conn
	// account accounts for the memory of an accepted connection, nil for others.
	account  *inbound.Conn
	reader   *bufio.Reader
	readBuf  []byte
	writeBuf []byte
	header   [frameHeaderLen]byte
}

func newFrameConn(c net.Conn) *frameConn {
	return &frameConn{Conn: c, account: inbound.Of(c), reader: bufio.NewReaderSize(c, readBufferSize)}
}

// readFrame reads and verifies the next frame. The payload is valid until the
// next call.
func (l *frameConn) readFrame() (frameType, []byte, error) {
	if _, err := io.ReadFull(l.reader, l.header[:]); err != nil {
		return 0, nil, err
	}
	t := frameType(l.header[0])
	n := binary.BigEndian.Uint32(l.header[1:])
	if t < frameRequest || t > frameDoubt || n > maxPayload(t) {
		return 0, nil, fault.New(fault.Protocol, "malformed frame header")
	}
	if cap(l.readBuf) < int(n) {
		if !l.account.Reserve(int64(n) - int64(cap(l.readBuf))) {
			return 0, nil, fault.New(fault.Overload, "the memory for requests is used up")
		}
		l.readBuf = make([]byte, n)
	}
	l.readBuf = l.readBuf[:n]
	if _, err := io.ReadFull(l.reader, l.readBuf); err != nil {
		return 0, nil, err
	}
	if crc32.Checksum(l.readBuf, castagnoli) != binary.BigEndian.Uint32(l.header[5:]) {
		return 0, nil, fault.New(fault.Protocol, "frame checksum mismatch")
	}
	return t, l.readBuf, nil
}

// maxPayload returns the largest payload of a frame type, in bytes.
func maxPayload(t frameType) uint32 {
	switch t {
	case frameRequest, frameReply:
		return MaxHead
	case frameBody:
		return MaxBody
	default:
		return 0
	}
}
