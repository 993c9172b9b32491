package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// leavingServerAnnouncement returns an announcement of a server with a known start time.
func leavingServerAnnouncement(startedAtMs int64, sequence uint64) *Announcement {
	return &Announcement{
		Service: "f/s", Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: "serving",
		Instance: "server-1", StartedAtMs: startedAtMs, Sequence: sequence,
	}
}

// A request with the report that the backend server is leaving may reach a node that has just
// started before the server's announcement does. The node must not forget it and let in requests
// of nodes that have not heard of it.
func TestReportBeforeTheAnnouncementOfALeavingServerCounts(t *testing.T) {
	const startedAtMs = 1000
	report := serverReport{instance: "server-1", startedAtMs: startedAtMs, rate: noRateLimit, leaving: true}.encode()
	for name, tc := range map[string]struct {
		startedAtMs int64
		leaving     bool
	}{
		"the server of the report": {startedAtMs, true},
		"its next incarnation":     {startedAtMs + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := startNode(t, "a", nil, nil)
			n.adoptServerReport(report)
			g.Expect(n.Announce(leavingServerAnnouncement(tc.startedAtMs, 1))).To(gomega.BeNil())
			g.Expect(n.Status().Backend.Leaving).To(gomega.Equal(tc.leaving))
		})
	}
}

// On a busy machine the lease of a backend server may run out before a response says that it is
// leaving. It must still count once the server has announced itself again.
func TestServerThatLeavesAfterItsLeaseRanOutGetsNoNewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	const startedAtMs = 1000
	g.Expect(n.Announce(leavingServerAnnouncement(startedAtMs, 1))).To(gomega.BeNil())
	asked := n.local.Load()
	n.expireLease(time.Now().Add(time.Hour))
	g.Expect(n.local.Load()).To(gomega.BeNil())
	n.observeServerState(asked, ServerState{Leaving: true})
	g.Expect(n.Announce(leavingServerAnnouncement(startedAtMs, 2))).To(gomega.BeNil())
	g.Expect(n.Status().Backend.Leaving).To(gomega.BeTrue())
	g.Expect(n.Announce(leavingServerAnnouncement(startedAtMs+1, 1))).To(gomega.BeNil())
	g.Expect(n.Status().Backend.Leaving).To(gomega.BeFalse(), "its next incarnation is not leaving")
}
