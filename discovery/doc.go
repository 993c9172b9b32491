// Package discovery schedules the syncs of a node's gossip records with other nodes. The
// schedule lets a new process find its failure domain, and lets nodes that lost contact
// find each other again.
//
// A Scheduler performs no I/O. It takes the node's view of the members, the results of
// syncs and the current time, and returns the addresses to sync with:
//
//	s := discovery.New(discovery.Options{Self: "10.0.0.1:7441", Domain: "a", Rand: rng})
//	s.SetBootstrap([]string{"10.0.0.2:7441"})
//	for _, t := range s.DueTargets(now) {
//		// Sync with t.Addr within t.Timeout, then call
//		s.RecordReply(t.Addr, discovery.PeerInfo{Domain: "a"}) // or s.RecordFailure(t.Addr)
//	}
//	// Call DueTargets again at s.NextDue().
package discovery
