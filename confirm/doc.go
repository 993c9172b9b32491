// Package confirm bounds how long a node may be wrong about its settings being the newest. It
// tracks when a quorum of replicas last confirmed them, and decides whom the node asks once that
// was too long ago.
//
// The load: settings change while those that would tell a node of it have frozen, vanished or are
// not known to it. To a node that only listens, this looks like a time without changes.
//
// The package performs no I/O, reads no clock and starts no goroutines; its types are not safe for
// concurrent use. Times are on the node's clock.
package confirm
