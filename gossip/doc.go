// Package gossip spreads small records among the nodes of one failure domain
// and tells which of the nodes are alive.
//
// A Core is a pure state machine: packets and the time go in, packets and
// events come out. The caller moves the packets over UDP and the syncs over
// TCP.
//
// Liveness follows SWIM (Das, Gupta and Motivala, 2002): each period a node
// probes one member, asks others to probe it if it does not answer, suspects
// it, and declares it dead when nobody, and not the member itself, objected in
// time. A member refutes a suspicion with a higher incarnation. The bytes that
// a node sends per period are bounded and do not depend on the number of
// members.
//
// Everything else is a Record: a key, a stamp and a payload; the highest stamp
// wins. Records ride on the probes and, for what those missed, on a periodic
// Sync in which two nodes compare hashes of buckets of their records.
package gossip
