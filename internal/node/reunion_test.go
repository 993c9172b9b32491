package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// All replicas of the settings lost power together and came back seven seconds
// later as new processes at their old addresses. They accepted 42 changes from
// 72.48 s on, but the nodes beside the backend servers held them for dead, no
// longer looked for them, and compared records with an address from their settings
// only every tenth second, all in the same one: until 75.17 s nobody told them of
// anything ("No replica is known.", then "A replica is known."), and requests were
// handled by settings from before the outage. Once one node had met one replica,
// all had the settings within 130 ms, each within 6 ms of hearing of them
// (heard_ms_ago).

// settingsDue is how long after its acceptance a change may take to be in force.
const maxSettingsDelay = 2 * time.Second

// comeBack starts a node that ended anew, at the same addresses and with the same
// disk.
func (n *testNode) restart() *testNode {
	n.t.Helper()
	var next *Node
	gomega.NewWithT(n.t).Eventually(func() error {
		var err error
		if next, err = New(n.opt, log.NewNopLogger()); err != nil {
			return err
		}
		return next.Start()
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.Succeed())
	n.t.Cleanup(next.Close)
	return &testNode{next, n.t}
}

func TestSettingsPropagateAfterAllReplicasRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	replicas := startReplicas(t, "a", "b")
	boot := []string{replicas[0].opt.Control, replicas[1].opt.Control}
	plain := []*testNode{
		startNode(t, "a", boot, nil), startNode(t, "a", boot, nil),
		startNode(t, "b", boot, nil), startNode(t, "b", boot, nil),
	}
	version := uint64(0)
	for range 3 {
		for _, n := range plain {
			g.Eventually(n.gossip.recentlyStarted, 20*time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
			g.Eventually(func() int { return len(n.view.Load().replicas) }, 20*time.Second, 10*time.Millisecond).Should(gomega.Equal(2))
		}
		for _, r := range replicas {
			r.Close()
		}
		for _, n := range plain {
			g.Eventually(func() int { return len(n.view.Load().replicas) }, 20*time.Second, 10*time.Millisecond).Should(gomega.BeZero())
		}
		for i, r := range replicas {
			replicas[i] = r.restart()
		}
		g.Eventually(func() string {
			_, r := replicas[0].proposeChange("", version, settings.Entries{"#deadline": formatUint(version+1) + "s"})
			return r.Reason
		}, 20*time.Second, 10*time.Millisecond).Should(gomega.Equal("none"))
		version++
		accepted := time.Now()
		for _, n := range plain {
			g.Eventually(func() uint64 { return n.conf.Load().version }, time.Until(accepted.Add(maxSettingsDelay)), time.Millisecond).
				Should(gomega.Equal(version), n.opt.Name)
		}
		t.Logf("in force on all nodes %s after its acceptance", time.Since(accepted).Round(time.Millisecond))
	}
}
