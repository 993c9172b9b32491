package node

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/raft"
)

// TestMessagesForASilentReplicaTakeBoundedMemory guards against a leader that keeps every large command
// for a replica that answers nothing.
func TestMessagesForASilentReplicaTakeBoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const commandBytes = 300 << 10
	s := newSender()
	for range sendQueueSize {
		s.offer(outgoingMessage{msg: raft.Message{Entries: []raft.Entry{{Data: make([]byte, commandBytes)}}}})
	}
	g.Expect(s.queuedBytes.Load()).To(gomega.BeNumerically("<", sendQueueBytes+commandBytes))
	// Messages without commands, such as heartbeats, are still queued.
	queued := len(s.queue.C())
	s.offer(outgoingMessage{})
	g.Expect(s.queue.C()).To(gomega.HaveLen(queued + 1))
	// A snapshot that is larger than the bound passes an empty queue.
	large := newSender()
	large.offer(outgoingMessage{msg: raft.Message{Snapshot: &raft.Snapshot{Data: make([]byte, 2*sendQueueBytes)}}})
	g.Expect(large.queue.C()).To(gomega.HaveLen(1))
}
