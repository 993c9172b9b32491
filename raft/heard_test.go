package raft

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a candidate that cannot tell which voters are lost: the responsive ones
// are heard from while no leader is known.
func TestTicksSinceHeardTellLostFromResponsiveVoters(t *testing.T) {
	g := NewWithT(t)
	s := newSlowGroup(1, 5)
	run := func(d time.Duration) {
		for end := s.clock + d; s.clock < end; {
			s.advance()
		}
	}
	run(5 * time.Second)
	s.failed = map[string]bool{"c": true, "d": true, "e": true}
	const lostFor = 10 * time.Second
	run(lostFor)
	a := s.replicas["a"].core
	g.Expect(a.Leader()).To(BeEmpty())
	lostTicks := int(lostFor / simTick)
	for _, lost := range []string{"c", "d", "e"} {
		g.Expect(a.TicksSinceHeard(lost)).To(BeNumerically(">=", lostTicks-1), lost)
	}
	g.Expect(a.TicksSinceHeard("b")).To(BeNumerically("<", 2*20), "election timeout")
	g.Expect(a.TicksSinceHeard("unknown")).To(BeNumerically(">=", lostTicks))
}
