package raft

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLaggingReplicaGetsLargeCommandsInParts guards against a message with hundreds of large commands,
// which takes the memory of both sides and more time than an exchange may take.
func TestLaggingReplicaGetsLargeCommandsInParts(t *testing.T) {
	const commands, commandBytes, allowedBytes = 100, 50_000, 200_000
	g := gomega.NewWithT(t)
	s := newSlowGroup(1, 3)
	for _, r := range s.replicas {
		r.core.options.MaxBatchBytes = allowedBytes
	}
	electStableLeader(t, s)
	leader := s.leader()
	cutOff, largest := "", 0
	for id := range s.replicas {
		if id != leader.core.options.ID {
			cutOff = id
		}
	}
	reachable := false
	s.transmit = func(now time.Duration, m Message) (time.Duration, bool) {
		if m.To == cutOff && !reachable {
			return 0, false
		}
		largest = max(largest, m.DataBytes())
		return now, true
	}
	proposed := uint64(0)
	for range commands {
		index, _, err := leader.core.Propose(make([]byte, commandBytes))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		proposed = index
		s.processReady(leader)
		s.advance()
	}
	reachable = true
	for end := s.clock + 10*time.Second; s.clock < end && s.replicas[cutOff].core.Commit() < proposed; {
		s.advance()
	}
	g.Expect(s.replicas[cutOff].core.Commit()).To(gomega.BeNumerically(">=", proposed))
	g.Expect(largest).To(gomega.BeNumerically("<=", allowedBytes))
}
