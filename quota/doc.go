// Package quota holds the requests of each workspace, over all nodes of a fleet
// together, within its rate and burst.
//
// Each node has a share of each workspace's limit: a fraction, in force as a token
// bucket of its own, so that a request is decided without asking another node. The
// fractions follow demand. The nodes of a failure domain report what their callers
// ask to the domain's ledger, which divides the domain's fraction among them; the
// ledgers of the domains tell each other demand and fraction, and one raises its own
// only into what the others have given up. A node whose share has expired falls back
// to an equal share, which is safe without a ledger; a domain that is cut off keeps
// its fraction, as the others do not take it over.
//
// Everything here is pure: times are passed in, on the monotonic clock of the
// caller's process.
//
// The loads that it answers: callers of one workspace at few of many nodes, demand
// that moves from one failure domain to another, a limit that is lowered far below
// the demand, and ledgers that are killed, paused or cut off meanwhile.
package quota
