package confirm

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func newTestAsker() *Asker { return NewAsker(rand.New(rand.NewPCG(1, 9))) }

// A node whose settings are confirmed must not ask before they may be outdated, and then ask one
// replica of its domain only.
func TestConfirmedNodeAsksOneReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAsker()
	t0 := 10 * time.Second
	targets := Targets{Replicas: []string{"near"}, OtherReplicas: []string{"far"}}
	addrs, wait := a.Next(t0, t0, targets)
	g.Expect(addrs).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", renewAfter*3/4), gomega.BeNumerically("<=", renewAfter)))
	addrs, wait = a.Next(t0+wait, t0, targets)
	g.Expect(addrs).To(gomega.Equal([]string{"near"}))
	g.Expect(wait).To(gomega.BeNumerically("<=", askInterval))
}

// A node that gets no confirmation must ask one address of each kind, each in its turn, and less
// often in the end.
func TestUnansweredNodeAsksOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAsker()
	a.Heard("member")
	targets := Targets{Replicas: []string{"n1", "n2"}, OtherReplicas: []string{"f1", "f2", "f3"}, LinkMembers: []string{"l1"}}
	now := time.Duration(1)
	asked := map[string]int{}
	for i := range 12 {
		addrs, wait := a.Next(now, 0, targets)
		if i > 0 {
			g.Expect(addrs).To(gomega.HaveLen(4))
		}
		for _, addr := range addrs {
			asked[addr]++
		}
		if i >= patientQuestions {
			g.Expect(wait).To(gomega.BeNumerically(">", askInterval))
		}
		now += wait
	}
	g.Expect(asked).To(gomega.HaveLen(7))
	g.Expect(asked["member"]).To(gomega.Equal(11))
	g.Expect(asked["f1"]).To(gomega.BeNumerically(">=", 3))
	g.Expect(asked["n2"]).To(gomega.BeNumerically(">=", 5))
}

// A replica, from which others learn, must ask its leader earlier than they ask.
func TestReplicaAsksLeaderEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAsker()
	t0 := 10 * time.Second
	targets := Targets{Leader: "leader", Replicas: []string{"r"}}
	_, wait := a.Next(t0, t0, targets)
	g.Expect(wait).To(gomega.BeNumerically("<=", replicaRenewAfter))
	addrs, _ := a.Next(t0+wait, t0, targets)
	g.Expect(addrs).To(gomega.Equal([]string{"leader"}))
}

// A node without anybody to ask must neither ask nor stop asking.
func TestNodeWithoutTargetsKeepsTrying(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAsker()
	addrs, wait := a.Next(1, 0, Targets{})
	g.Expect(addrs).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.BeNumerically(">", 0))
	addrs, _ = a.Next(1+wait, 0, Targets{OtherReplicas: []string{"new"}})
	g.Expect(addrs).To(gomega.Equal([]string{"new"}))
}
