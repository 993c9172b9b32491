package control

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/inbound"
)

const (
	// maxMessageBytes bounds one encoded message; the largest ones carry a whole document.
	maxMessageBytes = 64 << 20
	// decodedFactor is the memory of a message while it is read, decoded and handled, for each byte of
	// its encoding.
	decodedFactor = 3
	// callBytes is the memory of a call without its arguments.
	callBytes = 8 << 10
	// maxPendingCalls bounds the calls of one connection that are handled at the same time. Further
	// ones are read later. The messages between replicas share a connection with the commands that
	// wait for them, so it is far above the commands that wait at a node.
	maxPendingCalls = 4096
	// responseTimeout bounds the time for writing one response.
	responseTimeout = 30 * time.Second
	// gobLongest is the longest encoding of a message's length, in bytes after the first.
	gobLongest = 8
)

// messageReader passes on a stream of gob messages and reads the length before each, so that none is
// decoded for which there is no memory. It implements io.Reader.
type messageReader struct {
	r       io.Reader
	account *inbound.Conn

	// left is how much of the message follows, and lengthLeft how much of the length before it, which
	// is length so far.
	left       uint64
	lengthLeft int
	length     uint64

	// reserved is the memory that was reserved since the last call of takeReserved.
	reserved int64
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if n > 0 {
		if serr := m.scan(p[:n]); serr != nil {
			return 0, serr
		}
	}
	return n, err
}

// scan follows the messages in the bytes read.
func (m *messageReader) scan(p []byte) error {
	for len(p) > 0 {
		if m.left > 0 {
			n := min(m.left, uint64(len(p)))
			m.left -= n
			p = p[n:]
			continue
		}
		done, err := m.scanLength(p[0])
		if err != nil {
			return err
		}
		p = p[1:]
		if !done {
			continue
		}
		if err := m.beginMessage(); err != nil {
			return err
		}
	}
	return nil
}

// scanLength reads one byte of a length: one below 128 is the length itself, another one is the
// negated number of bytes that hold it, most significant first. It reports whether it is complete.
func (m *messageReader) scanLength(b byte) (bool, error) {
	if m.lengthLeft > 0 {
		m.length = m.length<<8 | uint64(b)
		m.lengthLeft--
		return m.lengthLeft == 0, nil
	}
	if b < 0x80 {
		m.length = uint64(b)
		return true, nil
	}
	m.length, m.lengthLeft = 0, -int(int8(b))
	if m.lengthLeft > gobLongest {
		return false, fault.New(fault.Protocol, "malformed length of a message")
	}
	return false, nil
}

// beginMessage reserves memory for the message whose length was read.
func (m *messageReader) beginMessage() error {
	if m.length == 0 || m.length > maxMessageBytes {
		return fault.Newf(fault.Protocol, "a message of %d bytes; allowed are 1 to %d", m.length, maxMessageBytes)
	}
	m.left = m.length
	if !m.account.Reserve(int64(m.length) * decodedFactor) {
		return fault.New(fault.Overload, "the memory for messages is used up")
	}
	m.reserved += int64(m.length) * decodedFactor
	return nil
}

// takeReserved returns the memory that was reserved for the messages read since the last call.
func (m *messageReader) takeReserved() int64 {
	n := m.reserved
	m.reserved = 0
	return n
}

// serverCodec is the gob codec of net/rpc with bounds on messages and calls. A connection does not
// evicted while one of its calls is handled.
type serverCodec struct {
	conn    net.Conn
	account *inbound.Conn
	reader  *messageReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	out     *bufio.Writer

	mu sync.Mutex
	// answered is signalled when a call has ended.
	answered sync.Cond
	// pending holds the memory reserved for each call that is handled, by its sequence number.
	pending map[uint64]int64
	// reading is the sequence number of the call that is being read.
	reading uint64
	closed  bool
}

// NewServerCodec returns a codec for an accepted connection, whose traffic is counted in counter.
func NewServerCodec(c net.Conn, counter *ByteCounter) rpc.ServerCodec {
	counted := CountingConn{c, counter}
	s := &serverCodec{conn: c, account: inbound.Of(c), out: bufio.NewWriter(counted), pending: map[uint64]int64{}}
	s.reader = &messageReader{r: counted, account: s.account}
	s.dec, s.enc = gob.NewDecoder(s.reader), gob.NewEncoder(s.out)
	s.answered.L = &s.mu
	return s
}

// ReadRequestHeader implements rpc.ServerCodec. It waits while too many calls are handled.
func (s *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	s.mu.Lock()
	for len(s.pending) >= maxPendingCalls && !s.closed {
		s.answered.Wait()
	}
	s.mu.Unlock()
	if err := s.dec.Decode(r); err != nil {
		return err
	}
	s.reading = r.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (s *serverCodec) ReadRequestBody(body any) error {
	if err := s.dec.Decode(body); err != nil {
		return err
	}
	if !s.account.Reserve(callBytes) {
		return fault.New(fault.Overload, "the memory for messages is used up")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[s.reading] += s.reader.takeReserved() + callBytes
	s.account.Protect()
	return nil
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it for one response at a time.
func (s *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer s.endCall(r.Seq)
	_ = s.conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if err := s.enc.Encode(r); err != nil {
		_ = s.Close()
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		_ = s.Close()
		return err
	}
	return s.out.Flush()
}

// endCall releases the memory of a call.
func (s *serverCodec) endCall(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Release(s.pending[seq])
	delete(s.pending, seq)
	if len(s.pending) == 0 {
		s.account.EndRequest()
	}
	s.answered.Signal()
}

// Close implements rpc.ServerCodec.
func (s *serverCodec) Close() error {
	s.mu.Lock()
	s.closed = true
	s.answered.Broadcast()
	s.mu.Unlock()
	return s.conn.Close()
}
