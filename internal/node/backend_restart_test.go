package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/member"
)

// newAnnouncement returns an announcement of the backend server x that is serving.
func newAnnouncement(addr string, startedAtMs int64, sequence uint64) *Announcement {
	return &Announcement{Service: "f/s", Address: addr, Slots: 8, Connections: 32, State: "serving", Instance: "x", StartedAtMs: startedAtMs, Sequence: sequence}
}

// unresponsiveServer starts a server that accepts connections and never responds, and
// returns its address.
func unresponsiveServer(t *testing.T) string {
	t.Helper()
	return unresponsiveServerNotifying(t, nil)
}

// unresponsiveServerNotifying is an unresponsiveServer that sends on heard, unless it
// is nil, for each connection on which a request begins.
func unresponsiveServerNotifying(t *testing.T, heard chan<- struct{}) string {
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

// A later incarnation under the same identity must be accepted with a restarted
// sequence, and delayed messages of the earlier one must not affect it.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := unresponsiveServer(t)
	announce := func(a *Announcement) *localBackend {
		g.Expect(n.Announce(a)).To(gomega.BeNil())
		return n.local.Load()
	}
	first := announce(newAnnouncement(addr, 1000, 57))
	second := announce(newAnnouncement(addr, 2000, 1))
	g.Expect(second.announcementSeq).To(gomega.Equal(uint64(1)), "the sequence restarts")
	g.Expect(second.incarnation).To(gomega.Equal(first.incarnation + 1))
	g.Expect(second.client).NotTo(gomega.BeIdenticalTo(first.client))

	late := newAnnouncement(addr, 1000, 58)
	late.State = "draining"
	g.Expect(announce(late)).To(gomega.BeIdenticalTo(second))
	n.WithdrawBackend("x", 1000)
	g.Expect(n.local.Load()).To(gomega.BeIdenticalTo(second), "only the earlier incarnation withdrew")
	withoutStartTime := newAnnouncement(addr, 0, 99)
	g.Expect(announce(withoutStartTime)).To(gomega.BeIdenticalTo(second), "an announcement without a start time is not of this incarnation")
	third := announce(newAnnouncement(addr, 2000, 2))
	g.Expect(third.incarnation).To(gomega.Equal(second.incarnation))

	n.WithdrawBackend("x", 2000)
	g.Expect(n.local.Load()).To(gomega.BeNil())
	g.Expect(announce(newAnnouncement(addr, 2000, 3))).To(gomega.BeNil(), "the incarnation has withdrawn")
	g.Expect(announce(newAnnouncement(addr, 3000, 1)).memberState).To(gomega.Equal(member.Serving))
}

// After a withdrawal without a start time, a delayed announcement of the withdrawn
// incarnation must not bring it back.
func TestWithdrawalWithoutStartTimeRetiresEarlierIncarnations(t *testing.T) {
	for name, known := range map[string]bool{"known": true, "never seen": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "a", nil, nil)
			addr := unresponsiveServer(t)
			if known {
				g.Expect(n.Announce(newAnnouncement(addr, 0, 0))).To(gomega.BeNil())
			}
			n.WithdrawBackend("x", 0)
			before := time.Now().Add(-time.Second).UnixMilli()
			g.Expect(n.Announce(newAnnouncement(addr, before, 12))).To(gomega.BeNil())
			g.Expect(n.local.Load()).To(gomega.BeNil())
			g.Expect(n.Announce(newAnnouncement(addr, time.Now().Add(time.Second).UnixMilli(), 1))).To(gomega.BeNil())
			g.Expect(n.local.Load()).NotTo(gomega.BeNil(), "a later incarnation serves")
		})
	}
}

// A later incarnation must not inherit the draining state of the earlier one.
func TestLaterIncarnationClearsDraining(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := unresponsiveServer(t)
	draining := newAnnouncement(addr, 1000, 4)
	draining.State = "draining"
	g.Expect(n.Announce(newAnnouncement(addr, 1000, 3))).To(gomega.BeNil())
	g.Expect(n.Announce(draining)).To(gomega.BeNil())
	g.Expect(n.local.Load().memberState).To(gomega.Equal(member.Draining))
	g.Expect(n.Announce(newAnnouncement(addr, 1001, 1))).To(gomega.BeNil())
	g.Expect(n.local.Load().memberState).To(gomega.Equal(member.Serving))
}

// A restarted node finds its backend server without knowing its start time; the first
// announcement must not count as a new incarnation.
func TestAnnouncementSuppliesMissingStartTime(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	addr := unresponsiveServer(t)
	g.Expect(n.Announce(newAnnouncement(addr, 0, 0))).To(gomega.BeNil())
	recovered := n.local.Load()
	g.Expect(n.Announce(newAnnouncement(addr, 5000, 77))).To(gomega.BeNil())
	g.Expect(n.local.Load().startedAtMs).To(gomega.Equal(int64(5000)))
	g.Expect(n.local.Load().incarnation).To(gomega.Equal(recovered.incarnation))
	g.Expect(n.local.Load().client).To(gomega.BeIdenticalTo(recovered.client))
}

// A request at an incarnation that vanished must end, and free its slot, as soon as a
// later one announces itself.
func TestLaterIncarnationEndsEarlierRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\nidempotent = false\ndeadline = \"20s\"\n", n)
	heard := make(chan struct{}, 8)
	addr := unresponsiveServerNotifying(t, heard)
	g.Expect(n.Announce(newAnnouncement(addr, 1000, 1))).To(gomega.BeNil())
	n.awaitInstances("f/s", 1)
	observed := n.routes.Load().Services["f/s"].LocalInstances[0].Observed
	done := make(chan httpResult, 1)
	go func() { done <- n.call("f/s/k", "lost", nil, nil) }()
	g.Eventually(heard, 5*time.Second).Should(gomega.Receive())
	g.Expect(n.gate.load().inflight).To(gomega.Equal(1))
	g.Expect(n.Announce(newAnnouncement(addr, 2000, 1))).To(gomega.BeNil())
	var r httpResult
	g.Eventually(done, 3*time.Second).Should(gomega.Receive(&r))
	g.Expect(r.problem().Reason).To(gomega.Equal(fault.BackendLost.String()))
	g.Expect(r.problem().Execution).To(gomega.Equal(fault.ExecutionUnknown.String()), "the request may have been executed")
	g.Expect(n.gate.load().inflight).To(gomega.BeZero())
	g.Eventually(func() bool {
		svc := n.routes.Load().Services["f/s"]
		return svc != nil && svc.LocalInstances[0].Observed != observed && svc.LocalInstances[0].Observed.InFlight() == 0
	}, 5*time.Second, time.Millisecond).Should(gomega.BeTrue(), "observations of the earlier incarnation are dropped")
}
