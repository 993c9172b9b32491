// Package workspace identifies the workspace of a request by the key that its caller
// sent.
//
// A Table is built once for each version of the settings and never changes, so
// requests read it without a lock. It holds SHA-256 digests of the keys and no key:
// the time of a lookup depends on the digest of what was sent, from which a caller
// learns nothing about the keys that exist.
//
// The load that it answers: one lookup for each request that enters at a node, with
// thousands of workspaces.
package workspace
