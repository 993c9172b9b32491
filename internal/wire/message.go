package wire

import (
	"encoding/binary"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Field is one HTTP header field.
type Field struct{ Name, Value string }

// Streamed is the BodyLen of a body of unknown length.
const Streamed int64 = -1

// AcceptsDoubt is the bit of Request.Attempt by which a client says that it
// knows the doubt frame. Clients of earlier releases count attempts from 1 and
// never set it.
const AcceptsDoubt uint64 = 1 << 63

// Request is the head of a request between nodes.
type Request struct {
	// Attempt identifies the attempt among those of the sending node; the
	// reply repeats it.
	Attempt uint64
	// ID is the request id, the same for every hop and retry.
	ID string
	// Root is the scope fleet/service/kind of the request at the entry node.
	Root string
	// Target is the scope fleet/service/kind of this call.
	Target string
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Rank is the request's position in the shedding order.
	Rank rank.Rank
	// Depth is the number of hops that the request has taken.
	Depth uint8
	// Lease is the number of retries that this call may spend.
	Lease uint8
	// Repeat is set if an earlier attempt of the request, or of the one that it
	// belongs to, may have reached a backend server.
	Repeat bool
	// ContentFingerprint and CallerFingerprint are the request's fingerprints;
	// see package quarantine.
	ContentFingerprint, CallerFingerprint uint64
	// Method and Path are those of the HTTP request; Path includes the query.
	Method, Path string
	// BodyLen is the body's length in bytes, or Streamed.
	BodyLen int64
	// Header holds the end-to-end header fields.
	Header []Field
}

// Reply is the head of a reply between nodes.
type Reply struct {
	// Attempt is the Attempt of the request.
	Attempt uint64
	// Code is fault.None if a backend server replied, else the reason why not.
	Code fault.Code
	// Execution says whether the request was executed.
	Execution fault.Execution
	// Status is the HTTP status code of the backend server's response.
	Status uint16
	// LeaseSpent is the number of retries used of the request's Lease.
	LeaseSpent uint8
	// Level is the admission level of the replying node.
	Level rank.Level
	// PathLevel is the highest admission level of the replying node and the
	// services that requests with this root call through it.
	PathLevel rank.Level
	// InFlight and Limit are the replying node's requests in flight and its
	// concurrency limit.
	InFlight, Limit uint16
	// RetryAfter is the delay before a retry after a refusal.
	RetryAfter time.Duration
	// Detail describes a refusal for people.
	Detail string
	// BodyLen is the body's length in bytes, or Streamed.
	BodyLen int64
	// Header holds the end-to-end header fields.
	Header []Field
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendFields(b []byte, fs []Field) []byte {
	b = binary.AppendUvarint(b, uint64(len(fs)))
	for _, f := range fs {
		b = appendString(b, f.Name)
		b = appendString(b, f.Value)
	}
	return b
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// append appends the encoding of r. The order and types of the fields are the wire
// format.
func (r *Request) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Attempt)
	b = appendString(b, r.ID)
	b = appendString(b, r.Root)
	b = appendString(b, r.Target)
	b = binary.AppendVarint(b, int64(r.Remaining/time.Microsecond))
	b = binary.BigEndian.AppendUint16(b, uint16(r.Rank))
	b = append(b, r.Depth, r.Lease, boolByte(r.Repeat))
	b = binary.BigEndian.AppendUint64(b, r.ContentFingerprint)
	b = binary.BigEndian.AppendUint64(b, r.CallerFingerprint)
	b = appendString(b, r.Method)
	b = appendString(b, r.Path)
	b = binary.AppendVarint(b, r.BodyLen)
	return appendFields(b, r.Header)
}

// append appends the encoding of r. The order and types of the fields are the wire
// format.
func (r *Reply) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Attempt)
	b = append(b, byte(r.Code), byte(r.Execution), r.LeaseSpent)
	b = binary.BigEndian.AppendUint16(b, r.Status)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Level))
	b = binary.BigEndian.AppendUint16(b, uint16(r.PathLevel))
	b = binary.BigEndian.AppendUint16(b, r.InFlight)
	b = binary.BigEndian.AppendUint16(b, r.Limit)
	b = binary.AppendVarint(b, int64(r.RetryAfter/time.Microsecond))
	b = appendString(b, r.Detail)
	b = binary.AppendVarint(b, r.BodyLen)
	return appendFields(b, r.Header)
}

// decoder reads values from a payload. After the first malformed value, failed
// stays set and every read returns a zero value.
type decoder struct {
	rest   string
	failed bool
}

// take consumes n bytes.
func (d *decoder) take(n uint64) string {
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	v := d.rest[:n]
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) byte() byte {
	v := d.take(1)
	if d.failed {
		return 0
	}
	return v[0]
}

func (d *decoder) uint16() uint16 {
	hi := d.byte()
	return uint16(hi)<<8 | uint16(d.byte())
}

func (d *decoder) uint64() uint64 {
	var v uint64
	for range 8 {
		v = v<<8 | uint64(d.byte())
	}
	return v
}

func (d *decoder) uvarint() uint64 {
	var v uint64
	for shift := 0; shift < 64; shift += 7 {
		b := d.byte()
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v
		}
	}
	d.failed = true
	return 0
}

func (d *decoder) varint() int64 {
	u := d.uvarint()
	v := int64(u >> 1)
	if u&1 != 0 {
		v = ^v
	}
	return v
}

func (d *decoder) string() string { return d.take(d.uvarint()) }

// fields reads header fields. Each takes at least two bytes, which bounds the
// count before memory is allocated.
func (d *decoder) fields() []Field {
	n := d.uvarint()
	if n > uint64(len(d.rest))/2 {
		d.failed = true
		return nil
	}
	if n == 0 {
		return nil
	}
	fs := make([]Field, 0, n)
	for range n {
		fs = append(fs, Field{d.string(), d.string()})
	}
	return fs
}

// maxDuration bounds encoded durations, so that sums cannot overflow.
const maxDuration = 24 * time.Hour

func (d *decoder) duration() time.Duration {
	v := time.Duration(d.varint())
	if v > maxDuration/time.Microsecond || v < -maxDuration/time.Microsecond {
		d.failed = true
		return 0
	}
	return v * time.Microsecond
}

// err returns an error if a value was malformed or bytes are left over.
func (d *decoder) err() error {
	if d.failed || d.rest != "" {
		return fault.New(fault.Protocol, "malformed message")
	}
	return nil
}

// decodeRequest decodes and validates the payload of a request frame into r.
func decodeRequest(p []byte, r *Request) error {
	d := decoder{rest: string(p)}
	r.Attempt = d.uint64()
	r.ID = d.string()
	r.Root = d.string()
	r.Target = d.string()
	r.Remaining = d.duration()
	r.Rank = rank.Rank(d.uint16())
	r.Depth = d.byte()
	r.Lease = d.byte()
	repeat := d.byte()
	r.Repeat = repeat == 1
	r.ContentFingerprint = d.uint64()
	r.CallerFingerprint = d.uint64()
	r.Method = d.string()
	r.Path = d.string()
	r.BodyLen = d.varint()
	r.Header = d.fields()
	if r.Rank >= rank.Total || r.BodyLen < Streamed || repeat > 1 {
		d.failed = true
	}
	return d.err()
}

// decodeReply decodes and validates the payload of a reply frame into r.
func decodeReply(p []byte, r *Reply) error {
	d := decoder{rest: string(p)}
	r.Attempt = d.uint64()
	r.Code = fault.Code(d.byte())
	r.Execution = fault.Execution(d.byte())
	r.LeaseSpent = d.byte()
	r.Status = d.uint16()
	r.Level = rank.Level(d.uint16())
	r.PathLevel = rank.Level(d.uint16())
	r.InFlight = d.uint16()
	r.Limit = d.uint16()
	r.RetryAfter = d.duration()
	r.Detail = d.string()
	r.BodyLen = d.varint()
	r.Header = d.fields()
	if int(r.Code) >= fault.CodeCount || r.Execution > fault.Executed || r.BodyLen < Streamed || r.Level > rank.Total || r.PathLevel > rank.Total {
		d.failed = true
	}
	return d.err()
}
