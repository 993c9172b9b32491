// Package wire carries requests between nodes.
//
// A connection carries one request at a time, and the request's own goroutine
// reads and writes it, so that no wake-up of another goroutine lies on the way
// of a request. Idle connections are pooled by the client.
//
// A frame is a type (1 byte), a payload length (4 bytes), a CRC-32C of the
// payload (4 bytes, big endian) and the payload. The client sends one request
// frame and, if the request has a body, body frames up to an end frame. The
// server answers with one reply frame in the same way, preceded by heartbeat
// frames while the request is in work. Lengths and checksums are verified, an
// answer names the attempt it belongs to, and an answer without its end frame
// is an error: a cut-off or crossed answer is never delivered.
//
// A client that gives up closes the connection; the server notices within one
// sweep and cancels the work below.
package wire
