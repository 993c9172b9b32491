package node

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a report of each election, and against none of a group without a leader.
func TestLeaderlessGroupIsReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var w leaderWatch
	observe := func(tick int, inGroup, known bool, report leaderReport, leaderless int) {
		t.Helper()
		r, n := w.observe(tick, inGroup, known)
		g.Expect(r).To(gomega.Equal(report))
		g.Expect(n).To(gomega.Equal(leaderless))
	}
	observe(1, true, true, nothingToReport, 0)
	observe(10, true, false, nothingToReport, 0)
	observe(9+leaderlessWarnTicks, true, false, nothingToReport, leaderlessWarnTicks-1)
	observe(50+leaderlessWarnTicks, true, true, nothingToReport, 0)
	observe(100+leaderlessWarnTicks, true, false, nothingToReport, 0)
	observe(100+2*leaderlessWarnTicks, true, false, leaderMissing, leaderlessWarnTicks)
	observe(101+2*leaderlessWarnTicks, true, false, nothingToReport, leaderlessWarnTicks+1)
	observe(100+3*leaderlessWarnTicks, true, true, leaderFound, 2*leaderlessWarnTicks)
	observe(1000, true, true, nothingToReport, 0)

	// A replica that waits to be added to a group expects no leader, nor does a removed one.
	observe(2000, true, false, nothingToReport, 0)
	observe(2001, false, false, nothingToReport, 0)
	observe(2000+leaderlessWarnTicks, false, false, nothingToReport, 0)
	observe(2001+leaderlessWarnTicks, true, false, nothingToReport, 0)
}

// Guards against a status and a log that do not tell which replica misses which others.
func TestStatusTellsWhoMissesWhom(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	g.Eventually(func() int { return leaderIndex(nodes) }, 10*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	status := func(n *testNode) GroupStatus { return n.replicas.status().Groups[configGroup] }
	silentIDs := func(n *testNode) func() []string {
		return func() []string {
			ids := []string{}
			for _, s := range status(n).SilentVoters {
				ids = append(ids, s.ID)
			}
			return ids
		}
	}
	texts := func(n *testNode) func() string {
		return func() string {
			var b strings.Builder
			for _, e := range n.events.all() {
				b.WriteString(e.Part + ": " + e.Text + "\n")
			}
			return b.String()
		}
	}
	leader := leaderIndex(nodes)
	lone := nodes[leader]
	others := []*testNode{nodes[(leader+1)%3], nodes[(leader+2)%3]}
	term := status(lone).Term
	g.Expect(status(lone).LeaderID).To(gomega.Equal(lone.replicas.id))
	nw := newNetwork(nodes...)
	cut := func(on bool) {
		for _, n := range others {
			nw.setCutBothWays(lone, n, on)
		}
	}
	cut(true)
	g.Eventually(silentIDs(lone), 10*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf(others[0].replicas.id, others[1].replicas.id))
	g.Eventually(texts(lone), 10*time.Second, 10*time.Millisecond).Should(gomega.MatchRegexp(
		`replica: Group 0: no leader has been known for 2s; 2 of 3 voters were not heard from: \w+@127\S+, \w+@127\S+\.`))
	g.Expect(status(lone).LeaderID).To(gomega.BeEmpty())
	g.Expect(status(lone).LeaderlessMs).To(gomega.BeNumerically(">=", 2000))
	g.Eventually(func() int { return leaderIndex(others) }, 10*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">=", 0))
	next := others[leaderIndex(others)]
	g.Expect(status(next).Term).To(gomega.BeNumerically(">", term))
	g.Expect(status(next).LeaderlessMs).To(gomega.BeZero())
	g.Eventually(silentIDs(next), 10*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf(lone.replicas.id))

	cut(false)
	g.Eventually(texts(lone), 20*time.Second, 10*time.Millisecond).Should(gomega.ContainSubstring("replica: Group 0: a leader is known again after "))
	g.Eventually(silentIDs(next), 10*time.Second, 10*time.Millisecond).Should(gomega.BeEmpty())
	g.Eventually(func() GroupStatus { return status(lone) }, 10*time.Second, 10*time.Millisecond).Should(gomega.And(
		gomega.HaveField("LeaderID", next.replicas.id), gomega.HaveField("LeaderlessMs", gomega.BeZero()), gomega.HaveField("SilentVoters", gomega.BeEmpty())))
}
