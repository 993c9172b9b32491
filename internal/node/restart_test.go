package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/member"
)

// said is an announcement of a start of the backend server x.
func said(addr string, born int64, sequence uint64) *Announcement {
	return &Announcement{Service: "f/s", Address: addr, Slots: 8, Connections: 32, State: "serving", Instance: "x", Born: born, Sequence: sequence}
}

// silentServer takes connections and never answers.
func silentServer(t *testing.T) string {
	t.Helper()
	return hearingServer(t, nil)
}

// hearingServer is a silentServer that tells on heard, unless it is nil, of each
// connection on which a request begins.
func hearingServer(t *testing.T, heard chan<- struct{}) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			if heard == nil {
				continue
			}
			go func() {
				if n, _ := c.Read(make([]byte, 1)); n > 0 {
					heard <- struct{}{}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestAStartUnderTheSameIdentity: the later start is taken in with a sequence
// that begins anew, and nothing that comes late of the earlier one changes it.
func TestAStartUnderTheSameIdentity(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := silentServer(t)
	announce := func(a *Announcement) *local {
		g.Expect(n.Announce(a)).To(gomega.BeNil())
		return n.local.Load()
	}
	first := announce(said(addr, 1000, 57))
	second := announce(said(addr, 2000, 1))
	g.Expect(second.sequence).To(gomega.Equal(uint64(1)), "the sequence begins anew")
	g.Expect(second.start).To(gomega.Equal(first.start + 1))
	g.Expect(second.client).NotTo(gomega.BeIdenticalTo(first.client))

	late := said(addr, 1000, 58)
	late.State = "draining"
	g.Expect(announce(late)).To(gomega.BeIdenticalTo(second))
	n.Withdraw("x", 1000)
	g.Expect(n.local.Load()).To(gomega.BeIdenticalTo(second), "the earlier start withdrew, not this one")
	unborn := said(addr, 0, 99)
	g.Expect(announce(unborn)).To(gomega.BeIdenticalTo(second), "one that does not say its birth is of another writer")
	third := announce(said(addr, 2000, 2))
	g.Expect(third.start).To(gomega.Equal(second.start))

	n.Withdraw("x", 2000)
	g.Expect(n.local.Load()).To(gomega.BeNil())
	g.Expect(announce(said(addr, 2000, 3))).To(gomega.BeNil(), "it has withdrawn")
	g.Expect(announce(said(addr, 3000, 1)).state).To(gomega.Equal(member.Serving))
}

// TestAWithdrawalWithoutABirthHolds: it is of a start whose birth this node does
// not know. A late announcement of that start does not bring it back.
func TestAWithdrawalWithoutABirthHolds(t *testing.T) {
	for name, known := range map[string]bool{"adopted": true, "never seen": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "a", nil, nil)
			addr := silentServer(t)
			if known {
				g.Expect(n.Announce(said(addr, 0, 0))).To(gomega.BeNil())
			}
			n.Withdraw("x", 0)
			before := time.Now().Add(-time.Second).UnixMilli()
			g.Expect(n.Announce(said(addr, before, 12))).To(gomega.BeNil())
			g.Expect(n.local.Load()).To(gomega.BeNil())
			g.Expect(n.Announce(said(addr, time.Now().Add(time.Second).UnixMilli(), 1))).To(gomega.BeNil())
			g.Expect(n.local.Load()).NotTo(gomega.BeNil(), "a later start serves")
		})
	}
}

// TestALaterStartIsServingAgain: the earlier start was draining; the later one
// is not.
func TestALaterStartIsServingAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := silentServer(t)
	draining := said(addr, 1000, 4)
	draining.State = "draining"
	g.Expect(n.Announce(said(addr, 1000, 3))).To(gomega.BeNil())
	g.Expect(n.Announce(draining)).To(gomega.BeNil())
	g.Expect(n.local.Load().state).To(gomega.Equal(member.Draining))
	g.Expect(n.Announce(said(addr, 1001, 1))).To(gomega.BeNil())
	g.Expect(n.local.Load().state).To(gomega.Equal(member.Serving))
}

// TestAnAdoptedStartLearnsItsBirth: a node that restarted found the backend
// server by asking; its first announcement is no new start.
func TestAnAdoptedStartLearnsItsBirth(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := silentServer(t)
	g.Expect(n.Announce(said(addr, 0, 0))).To(gomega.BeNil())
	adopted := n.local.Load()
	g.Expect(n.Announce(said(addr, 5000, 77))).To(gomega.BeNil())
	g.Expect(n.local.Load().born).To(gomega.Equal(int64(5000)))
	g.Expect(n.local.Load().start).To(gomega.Equal(adopted.start))
	g.Expect(n.local.Load().client).To(gomega.BeIdenticalTo(adopted.client))
}

// TestWhatAnEarlierStartHadEndsAtOnce: a request in work at a start that is gone
// without a word ends when the later one announces itself, and its slot is free.
func TestWhatAnEarlierStartHadEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\nidempotent = false\ndeadline = \"20s\"\n", n)
	heard := make(chan struct{}, 8)
	addr := hearingServer(t, heard)
	g.Expect(n.Announce(said(addr, 1000, 1))).To(gomega.BeNil())
	n.serves("f/s", 1)
	seen := n.routes.Load().Services["f/s"].LocalInstances[0].Observed
	done := make(chan result, 1)
	go func() { done <- n.call("f/s/k", "lost", nil, nil) }()
	g.Eventually(heard, 5*time.Second).Should(gomega.Receive())
	g.Expect(n.gate.load().inflight).To(gomega.Equal(1))
	g.Expect(n.Announce(said(addr, 2000, 1))).To(gomega.BeNil())
	var r result
	g.Eventually(done, 3*time.Second).Should(gomega.Receive(&r))
	g.Expect(r.problem().Reason).To(gomega.Equal(fault.BackendLost.String()))
	g.Expect(r.problem().Run).To(gomega.Equal(fault.ExecutionUnknown.String()), "it may have run")
	g.Expect(n.gate.load().inflight).To(gomega.BeZero())
	g.Eventually(func() bool {
		svc := n.routes.Load().Services["f/s"]
		return svc != nil && svc.LocalInstances[0].Observed != seen && svc.LocalInstances[0].Observed.InFlight() == 0
	}, 5*time.Second, time.Millisecond).Should(gomega.BeTrue(), "callers forget what they observed of the earlier start")
}
