// Package codec encodes gossip messages in msgpack, with structs as arrays
// without field names.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
)

// Encode returns the encoding of v. It panics if v cannot be encoded; structs of
// strings, numbers, bytes and the like always can.
func Encode(v any) []byte {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Decode decodes b into v. It rejects a message that is shorter than the lengths
// in it before it allocates memory for them, so that a malformed message cannot
// exhaust the memory.
func Decode(b []byte, v any) error {
	_, err := DecodePrefix(b, v)
	return err
}

// DecodePrefix does the same, and returns what follows the message in b.
func DecodePrefix(b []byte, v any) (rest []byte, err error) {
	r := bytes.NewReader(b)
	// A pooled decoder would keep the buffer that a malformed message enlarges.
	if err := msgpack.NewDecoder(r).Skip(); err != nil {
		return nil, fault.Wrap(fault.Protocol, err, "malformed message")
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return nil, fault.Wrap(fault.Protocol, err, "malformed message")
	}
	return b[len(b)-r.Len():], nil
}
