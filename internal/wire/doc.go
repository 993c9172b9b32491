// Package wire implements the request protocol between nodes.
//
// A connection carries one request at a time, and the goroutine that makes the
// request reads and writes it directly, which avoids a goroutine switch. The
// client pools idle connections.
//
// A frame is a type (1 byte), a payload length (4 bytes), a CRC-32C of the
// payload (4 bytes), both big endian, and the payload. A request frame is
// followed by the body frames of its body. The server may send heartbeat frames
// while it handles the request, and then sends a reply frame with its body
// frames. An end frame ends a body of unknown length; a body of known length
// ends at that length. Lengths and checksums are verified, and a reply repeats
// the attempt number of its request, so that a truncated or misdirected reply
// is reported as an error.
//
// A request whose attempt number has AcceptsDoubt set may get a doubt frame in
// place of a heartbeat: the server suspects that the backend server will never
// respond, and goes on waiting. The client may then make another attempt.
//
// A client cancels a request by closing the connection. The server detects this
// in its next sweep, once it has read the request's body, and cancels the
// request's scope.
package wire
