package seek_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberthread/umberthread/seek"
)

// Guards against one text for all the reasons why no leader accepted a request: operators
// have to act differently on each.
func TestReasonTellsWhyNoLeaderAccepted(t *testing.T) {
	ask := func(a *seek.Answers) {
		for _, addr := range []string{"r1", "r2", "r3"} {
			a.RecordRequest(addr)
		}
	}
	for _, c := range []struct {
		name      string
		none      bool // no replica is known
		responses func(a *seek.Answers)
		reason    string
	}{
		{"nobody to ask", true, func(*seek.Answers) {}, "no replica is known"},
		{"no replica known", true, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "")
		}, "no replica is known; none leads, 1 of 3 bootstrap addresses responded"},
		{"no bootstrap address responds", true, ask, "no replica is known; none of 3 bootstrap addresses responded"},
		{"no answer yet", false, ask, "none of 3 known replicas responded"},
		{"all fail", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNoResponse("r1")
			a.RecordNoResponse("r2")
		}, "none of 3 known replicas responded"},
		{"none leads", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "")
			a.RecordNotLeader("r2", "")
			a.RecordNotLeader("r3", "")
		}, "none leads, 3 of 3 known replicas responded"},
		{"lost leader still named", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "r3")
			a.RecordNotLeader("r2", "r3")
			a.RecordNoResponse("r3")
		}, "none leads, 2 of 3 known replicas responded; named as leader: r3, which did not respond"},
		{"leader changes", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "r2")
			a.RecordNotLeader("r2", "r1")
		}, "none leads, 2 of 3 known replicas responded; named as leader: r1; r2"},
		{"leader lacks replicas", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "r2")
			a.RecordRefusal("r2", "the group has 2 of 3 replicas")
			a.RecordNoResponse("r3")
			a.RecordRequest("r2")
		}, "refused by r2: the group has 2 of 3 replicas"},
		{"leader refused and stepped down", false, func(a *seek.Answers) {
			ask(a)
			a.RecordRefusal("r2", "the disks of too many replicas do not answer")
			a.RecordNotLeader("r2", "")
		}, "none leads, 1 of 3 known replicas responded"},
		{"replica was lost after its answer", false, func(a *seek.Answers) {
			ask(a)
			a.RecordNotLeader("r1", "")
			a.RecordRequest("r1")
			a.RecordNotLeader("r2", "")
			a.RecordNoResponse("r2")
		}, "none leads, 1 of 3 known replicas responded"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := seek.NewAnswers()
			c.responses(a)
			NewWithT(t).Expect(a.Reason(!c.none)).To(Equal(c.reason))
		})
	}
}
