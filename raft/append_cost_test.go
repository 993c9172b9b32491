package raft

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against appends whose cost grows with the log: a follower copied its whole log for
// each message, which used a quarter of its processor while many commands came at once.
func TestAppendsDoNotCopyTheLog(t *testing.T) {
	const entries, allowedBytes = 4000, 16 << 20
	snap := InitialSnapshot(Peer{ID: "leader"}, nil)
	follower := New(Options{ID: "f", ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, 1))}, HardState{}, snap, nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range uint64(entries) {
		prev := snap.Index + i
		follower.Step(Message{Type: MsgAppend, From: "leader", To: "f", Term: 1, Index: prev, LogTerm: 1, Entries: []Entry{{Index: prev + 1, Term: 1}}})
	}
	runtime.ReadMemStats(&after)
	gomega.NewWithT(t).Expect(follower.LogLen()).To(gomega.Equal(entries))
	gomega.NewWithT(t).Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", allowedBytes))
}
