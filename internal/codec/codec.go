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

// Decode reads what Encode wrote.
func Decode(b []byte, v any) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Protocol, err, "malformed message")
	}
	return nil
}
