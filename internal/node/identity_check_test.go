package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/raft"
)

const (
	// identityTestWait is the wait of a check, and identityTestSilence the time for which an
	// address does not answer.
	identityTestWait, identityTestSilence = 50 * time.Millisecond, time.Second
)

// A machine without power answers nothing, not even with a refusal. The repair of a group must not
// wait for it.
func TestSilentAddressDoesNotDelayIdentityChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, sound := raft.Peer{ID: "a", Addr: "at-a"}, raft.Peer{ID: "b", Addr: "at-b"}
	var asked atomic.Int32
	c := newIdentityCheck(func(p raft.Peer) bool {
		if p == silent {
			asked.Add(1)
			time.Sleep(identityTestSilence)
		}
		return p != silent
	})
	start := time.Now()
	for range 3 {
		g.Expect(c.run([]raft.Peer{silent, sound}, identityTestWait)).To(gomega.ConsistOf(sound))
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", identityTestSilence))
	g.Expect(asked.Load()).To(gomega.BeEquivalentTo(1), "it is not asked again while its answer is awaited")
}

// A replica that has confirmed its identity does not drop out while it takes long to answer, but
// does once its time is over.
func TestConfirmedReplicaCountsUntilItsTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	p := raft.Peer{ID: "a", Addr: "at-a"}
	answers := make(chan bool, 1)
	c := newIdentityCheck(func(raft.Peer) bool { return <-answers })
	answers <- true
	g.Expect(c.run([]raft.Peer{p}, time.Minute)).To(gomega.ConsistOf(p))
	g.Expect(c.run([]raft.Peer{p}, identityTestWait)).To(gomega.ConsistOf(p))
	answers <- false
	g.Expect(c.run([]raft.Peer{p}, time.Minute)).To(gomega.BeEmpty())
}

// A member that is slow to answer at its address must not seem to have moved to another one.
func TestSlowReplicaDoesNotSeemToHaveMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	home, other := raft.Peer{ID: "a", Addr: "at-a"}, raft.Peer{ID: "a", Addr: "at-a-too"}
	answers := make(chan bool, 1)
	c := newIdentityCheck(func(p raft.Peer) bool { return p == other || <-answers })
	g.Expect(c.run([]raft.Peer{home, other}, identityTestWait)).To(gomega.BeEmpty())
	answers <- true
	g.Expect(c.run([]raft.Peer{home, other}, time.Minute)).To(gomega.ConsistOf(home, other))
}
