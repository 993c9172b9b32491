// Package discovery decides with whom a node compares its records, and when:
// how a new process finds the others, and how two that have lost each other meet
// again.
//
// The core is pure. It takes what the node knows and what its comparisons came
// to, with a time, and returns the addresses to ask next:
//
//	c := discovery.New(discovery.Options{Self: "10.0.0.1:7441", Domain: "a", Rand: rng})
//	c.SetBootstrap([]string{"10.0.0.2:7441"})
//	for _, t := range c.Due(now) {
//		// Compare records with t.Addr, within t.Timeout, then
//		c.Answered(t.Addr, discovery.Answer{Domain: "a"}) // or c.Failed(t.Addr)
//	}
//	// and again at c.Next().
package discovery
