package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gstruct"
	"github.com/onsi/gomega/types"

	"github.com/umberthread/umberthread/fault"
)

// Guards against one text for all the reasons why no change is accepted: in each case the
// operators have to do something else.
func TestRefusedChangeTellsWhyNoLeaderAcceptsIt(t *testing.T) {
	const wait = 300 * time.Millisecond
	nowhere := freeAddr(t)
	replica := func(minVoters int, form bool) func(*testing.T) *testNode {
		return func(t *testing.T) *testNode {
			dir := t.TempDir()
			n := startNode(t, "a", nil, func(o *Options) { o.DataFolder, o.Replicas, o.MinVoters = dir, 2, minVoters })
			if form {
				gomega.NewWithT(t).Expect(n.replicas.formGroups()).To(gomega.Succeed())
				gomega.NewWithT(t).Eventually(n.replicas.groups[configGroup].leads.Load, 5*time.Second, 5*time.Millisecond).Should(gomega.BeTrue())
			}
			return n
		}
	}
	for _, c := range []struct {
		name   string
		start  func(t *testing.T) *testNode
		change string
		read   string
	}{
		{"no replica known", func(t *testing.T) *testNode { return startNode(t, "a", nil, nil) },
			"^no replica is known$", "no replica is known"},
		{"nobody responds", func(t *testing.T) *testNode {
			return startNode(t, "a", []string{nowhere}, func(o *Options) { o.StartWait = Duration{100 * time.Millisecond} })
		}, "^no replica is known; none of 1 bootstrap addresses responded$", "no replica is known; none of 1 bootstrap addresses responded"},
		{"none leads", replica(1, false), "^none leads, 1 of 1 known replicas responded$", "none leads, 1 of 1 known replicas responded"},
		{"leader lacks replicas", replica(2, true), "^refused by .*: the group has 1 of 2 replicas$", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := c.start(t)
			// A request that is still open when the wait ends leaves the outcome uncertain.
			g.Eventually(func() *fault.Error {
				_, ferr := n.submitCommand(configGroup, encodeChange("c", 0), wait)
				return ferr
			}, 10*time.Second).Should(refusedWith(fault.NotExecuted, c.change))
			if c.read != "" {
				g.Eventually(func() *fault.Error {
					_, ferr := n.readCurrentConfig(wait)
					return ferr
				}, 10*time.Second).Should(refusedWith(fault.NotExecuted, "^no quorum confirmed the read: "+c.read+"$"))
			}
		})
	}
}

// Guards against losing what the replicas answered when one of them leaves open whether the
// change is accepted.
func TestUncertainChangeTellsWhatTheReplicasAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, disks := startStallableReplicas(t)
	g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	leader := nodes[leaderIndex(nodes)]
	for _, d := range disks {
		d.stall()
	}
	_, ferr := leader.submitCommand(configGroup, encodeChange("stalled", 0), 900*time.Millisecond)
	g.Expect(ferr).To(refusedWith(fault.ExecutionUnknown, "^no quorum confirmed in time: refused by .*: no quorum confirmed the command in time"))
}

// refusedWith matches an error that no quorum confirmed something, with an execution and a
// pattern of its detail.
func refusedWith(run fault.Execution, detail string) types.GomegaMatcher {
	return gstruct.PointTo(gstruct.MatchFields(gstruct.IgnoreExtras, gstruct.Fields{
		"Code": gomega.Equal(fault.NoQuorum), "Execution": gomega.Equal(run), "Detail": gomega.MatchRegexp(detail),
	}))
}
