// Package gossip replicates small records among the nodes of one failure domain
// and detects failed nodes.
//
// A Core is a state machine without I/O: it takes packets and the current time, and
// returns packets to send and events. The code that drives it sends the packets over
// UDP and the syncs over TCP.
//
// Failure detection follows SWIM (Das, Gupta and Motivala, 2002). In each probe
// interval a node pings one member; if the member does not acknowledge, the node asks
// others to ping it, then suspects it, and declares it dead unless the suspicion is
// refuted in time. A member refutes a suspicion with a higher incarnation. The bytes
// that a node sends per interval are bounded, independent of the number of members.
//
// All state is replicated as records of a key, a stamp and a payload; the highest
// stamp wins. Records are piggybacked on the packets. A periodic sync, in which two
// nodes compare the hashes of buckets of their records, delivers what packets missed.
package gossip
