package wire

import (
	"encoding/binary"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Field is one HTTP header field.
type Field struct{ Name, Value string }

// Streamed is the BodyLen of a body whose length is not known beforehand.
const Streamed int64 = -1

// Request is the head of a request between nodes.
type Request struct {
	// Attempt is unique among the attempts of the sending node; the reply
	// repeats it.
	Attempt uint64
	// ID is the request's id, the same in every hop and every resend.
	ID string
	// Root is the scope fleet/service/kind of the request at the entry.
	Root string
	// Target is the scope fleet/service/kind of this call.
	Target string
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Rank is the place in the order of shedding.
	Rank rank.Rank
	// Depth is the number of hops behind the request.
	Depth uint8
	// Lease is the part of the retry budget given to this call.
	Lease uint8
	// Repeat is set if the request belongs to a run that may have run before.
	Repeat bool
	// Content and Caller are the request's marks: see package quarantine.
	Content, Caller uint64
	// Method and Path are HTTP's; Path includes the query.
	Method, Path string
	// BodyLen is the body's length in bytes, or Streamed.
	BodyLen int64
	// Header holds the end-to-end header fields.
	Header []Field
}

// Reply is the head of an answer between nodes.
type Reply struct {
	// Attempt repeats the request's.
	Attempt uint64
	// Code is fault.None if a backend server answered, else the refusal.
	Code fault.Code
	// Run tells whether the request was executed.
	Run fault.Execution
	// Status is the HTTP status that the backend server gave.
	Status uint16
	// Spent is how much of the lease was used.
	Spent uint8
	// Level is the admission level of the answering node.
	Level rank.Level
	// PathLevel is the highest level among the answering node and the
	// services that requests of this root kind call below it.
	PathLevel rank.Level
	// InFlight and Limit are the load of the answering node.
	InFlight, Limit uint16
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	// Detail is a sentence about a refusal.
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

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func (r *Request) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Attempt)
	b = appendString(b, r.ID)
	b = appendString(b, r.Root)
	b = appendString(b, r.Target)
	b = binary.AppendVarint(b, int64(r.Remaining/time.Microsecond))
	b = binary.BigEndian.AppendUint16(b, uint16(r.Rank))
	b = append(b, r.Depth, r.Lease, flag(r.Repeat))
	b = binary.BigEndian.AppendUint64(b, r.Content)
	b = binary.BigEndian.AppendUint64(b, r.Caller)
	b = appendString(b, r.Method)
	b = appendString(b, r.Path)
	b = binary.AppendVarint(b, r.BodyLen)
	return appendFields(b, r.Header)
}

func (r *Reply) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Attempt)
	b = append(b, byte(r.Code), byte(r.Run), r.Spent)
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

// decoder reads a payload. The first malformed item makes it fail for good.
type decoder struct {
	s   string
	bad bool
}

func (d *decoder) take(n uint64) string {
	if d.bad || n > uint64(len(d.s)) {
		d.bad = true
		return ""
	}
	v := d.s[:n]
	d.s = d.s[n:]
	return v
}

func (d *decoder) byte() byte {
	v := d.take(1)
	if d.bad {
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
	d.bad = true
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

// fields reads header fields; every field takes at least two bytes, which
// bounds the count before memory is taken for it.
func (d *decoder) fields() []Field {
	n := d.uvarint()
	if n > uint64(len(d.s))/2 {
		d.bad = true
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

// maxDuration bounds durations on the wire, so that sums cannot overflow.
const maxDuration = 24 * time.Hour

func (d *decoder) duration() time.Duration {
	v := time.Duration(d.varint())
	if v > maxDuration/time.Microsecond || v < -maxDuration/time.Microsecond {
		d.bad = true
		return 0
	}
	return v * time.Microsecond
}

func (d *decoder) err() error {
	if d.bad || d.s != "" {
		return fault.New(fault.Protocol, "malformed message")
	}
	return nil
}

func decodeRequest(p []byte, r *Request) error {
	d := decoder{s: string(p)}
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
	r.Content = d.uint64()
	r.Caller = d.uint64()
	r.Method = d.string()
	r.Path = d.string()
	r.BodyLen = d.varint()
	r.Header = d.fields()
	if r.Rank >= rank.Count || r.BodyLen < Streamed || repeat > 1 {
		d.bad = true
	}
	return d.err()
}

func decodeReply(p []byte, r *Reply) error {
	d := decoder{s: string(p)}
	r.Attempt = d.uint64()
	r.Code = fault.Code(d.byte())
	r.Run = fault.Execution(d.byte())
	r.Spent = d.byte()
	r.Status = d.uint16()
	r.Level = rank.Level(d.uint16())
	r.PathLevel = rank.Level(d.uint16())
	r.InFlight = d.uint16()
	r.Limit = d.uint16()
	r.RetryAfter = d.duration()
	r.Detail = d.string()
	r.BodyLen = d.varint()
	r.Header = d.fields()
	if int(r.Code) >= fault.CodeCount || r.Run > fault.Executed || r.BodyLen < Streamed || r.Level > rank.Count || r.PathLevel > rank.Count {
		d.bad = true
	}
	return d.err()
}
