package raft

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a lost append after which each later one in flight is rejected, and each
// rejection sends the same entries again.
func TestLostAppendIsSentAgainOnce(t *testing.T) {
	const (
		commands  = 1000
		linkDelay = 50 * time.Millisecond
		// Each entry may be sent a second time after the loss.
		allowedEntries = 2 * commands
	)
	g := gomega.NewWithT(t)
	s := newSlowGroup(1, 3)
	electStableLeader(t, s)
	leader := s.leader()
	follower, lost, sent := "", false, 0
	s.transmit = func(now time.Duration, m Message) (time.Duration, bool) {
		if m.Type == MsgAppend && len(m.Entries) > 0 && (follower == "" || m.To == follower) {
			follower = m.To
			sent += len(m.Entries)
			if !lost {
				lost = true
				return 0, false
			}
		}
		return now + linkDelay, true
	}
	proposed := uint64(0)
	for range commands / 10 {
		for range 10 {
			index, _, err := leader.core.Propose([]byte("command"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			proposed = index
			s.processReady(leader)
		}
		s.advance()
	}
	for end := s.clock + 5*time.Second; s.clock < end && s.replicas[follower].core.Commit() < proposed; {
		s.advance()
	}
	g.Expect(s.replicas[follower].core.Commit()).To(gomega.BeNumerically(">=", proposed))
	g.Expect(sent).To(gomega.BeNumerically("<=", allowedEntries))
}
