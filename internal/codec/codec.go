// Package codec encodes the small messages of the gossip as msgpack arrays,
// without field names.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
)

// Encode returns the encoding of a struct of plain fields.
func Encode(v any) []byte {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		// Structs of strings, numbers and bytes always encode.
		panic(err)
	}
	return b.Bytes()
}

// Decode reads what Encode wrote. What is shorter than the lengths in it say is
// refused before room is made for them: five bytes of another writer can name an
// array of four thousand million entries, and the process would end for want of
// memory.
func Decode(b []byte, v any) error {
	// Not a decoder of the library's pool: its buffer grows by a megabyte with
	// each such message, and stays.
	if err := msgpack.NewDecoder(bytes.NewReader(b)).Skip(); err != nil {
		return fault.Wrap(fault.Protocol, err, "malformed message")
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Protocol, err, "malformed message")
	}
	return nil
}
