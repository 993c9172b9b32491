package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// maxSettingsDelay is how long an accepted change may take to become active.
const maxSettingsDelay = 2 * time.Second

// restart starts a stopped node again, with the same addresses and data folder.
func (n *testNode) restart() *testNode {
	n.t.Helper()
	var next *testNode
	gomega.NewWithT(n.t).Eventually(func() error {
		node, err := New(n.opt, log.NewNopLogger())
		if err != nil {
			return err
		}
		next = newTestNode(n.t, node)
		return next.Start()
	}, 10*time.Second, 10*time.Millisecond).Should(gomega.Succeed())
	n.t.Cleanup(next.Close)
	return next
}

// After all replicas have restarted at their old addresses, new settings must reach the
// nodes that had considered them dead within maxSettingsDelay.
func TestSettingsPropagateAfterAllReplicasRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	replicas := startReplicas(t, "a", "b")
	bootstrap := []string{replicas[0].opt.Control, replicas[1].opt.Control}
	plain := []*testNode{
		startNode(t, "a", bootstrap, nil), startNode(t, "a", bootstrap, nil),
		startNode(t, "b", bootstrap, nil), startNode(t, "b", bootstrap, nil),
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
		// The same change is sent again: one that got no answer may have been accepted.
		change := "after-restart-" + formatUint(version+1)
		g.Eventually(func() string {
			_, r := replicas[0].proposeChange(change, version, settings.Entries{"#deadline": formatUint(version+1) + "s"})
			return r.Reason
		}, 20*time.Second, 10*time.Millisecond).Should(gomega.Equal("none"))
		version++
		accepted := time.Now()
		for _, n := range plain {
			g.Eventually(func() uint64 { return n.conf.Load().version }, time.Until(accepted.Add(maxSettingsDelay)), time.Millisecond).
				Should(gomega.Equal(version), n.opt.Name)
		}
		t.Logf("active on all nodes %s after its acceptance", time.Since(accepted).Round(time.Millisecond))
	}
}

// TestReplicasWithStaleSeedsFindEachOther guards against replicas that restart together after
// their seeds have gone and that form a quorum, yet stay unknown to each other's nodes.
func TestReplicasWithStaleSeedsFindEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	replicas := startReplicas(t, "a", "b", "c")
	for _, r := range replicas {
		r.Close()
	}
	for i, r := range replicas {
		r.opt.Bootstrap, r.opt.StartWait = []string{freeAddr(t)}, Duration{time.Second}
		replicas[i] = r.restart()
	}
	for _, r := range replicas {
		g.Eventually(func() int { return len(r.view.Load().replicas) }, "10s", "10ms").Should(gomega.Equal(len(replicas)), r.opt.Name)
	}
}

// restartElsewhere starts a stopped node again with its data folder, at other addresses.
func (n *testNode) restartElsewhere() *testNode {
	n.t.Helper()
	o := &n.opt
	o.HTTP, o.Data, o.Control, o.Admin = freeAddr(n.t), freeAddr(n.t), freeAddr(n.t), freeAddr(n.t)
	o.AdvertiseData, o.AdvertiseControl = "", ""
	return n.restart()
}

// TestMovedReplicasElectLeader guards against a group that stays without a leader if replicas
// return at other addresses while none leads: only a leader records where they are.
func TestMovedReplicasElectLeader(t *testing.T) {
	for _, moved := range [][]bool{{false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprint(moved), func(t *testing.T) {
			g := gomega.NewWithT(t)
			replicas := startReplicas(t, "a", "b", "c")
			for _, r := range replicas {
				r.Close()
			}
			// The third one is lost.
			replicas = replicas[:len(moved)]
			for i, r := range replicas {
				r.opt.StartWait = Duration{time.Second}
				if i > 0 {
					r.opt.Bootstrap = []string{replicas[0].opt.Control}
				}
				if moved[i] {
					replicas[i] = r.restartElsewhere()
				} else {
					replicas[i] = r.restart()
				}
			}
			for _, r := range replicas {
				g.Eventually(func() string {
					_, r := r.proposeChange("after-move", 0, settings.Entries{"#deadline": "3s"})
					return r.Reason
				}, 10*time.Second, 10*time.Millisecond).Should(gomega.Equal("none"), r.opt.Name)
			}
		})
	}
}
