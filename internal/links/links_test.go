package links

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/member"
)

func summary(service string, ids ...string) member.Summary {
	s := member.Summary{Domain: "a", Service: service}
	for _, id := range ids {
		s.Instances = append(s.Instances, member.Remote{ID: id, Addr: "x:1"})
	}
	return s
}

// TestUnconfirmedSummariesAreSentAgain follows one link through a lost answer
// and a restart of the other side at the same address.
func TestUnconfirmedSummariesAreSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	now := []member.Summary{summary("f/s", "1"), summary("f/t", "2")}
	first, upTo := l.UnackedSummaries("p", now)
	g.Expect(first).To(gomega.HaveLen(2))
	again, _ := l.UnackedSummaries("p", now)
	g.Expect(again).To(gomega.HaveLen(2), "nothing was confirmed")
	l.RecordReply("b", "addr", &control.ExchangeReply{ID: "p", Have: upTo})
	none, _ := l.UnackedSummaries(l.ProcessAt("addr"), now)
	g.Expect(none).To(gomega.BeEmpty())

	now[0] = summary("f/s", "1", "3")
	changed, _ := l.UnackedSummaries("p", now)
	g.Expect(changed).To(gomega.HaveLen(1))

	// Another process stands at the address now.
	l.RecordReply("b", "addr", &control.ExchangeReply{ID: "q"})
	all, _ := l.UnackedSummaries(l.ProcessAt("addr"), now)
	g.Expect(all).To(gomega.HaveLen(2))

	gone, _ := l.UnackedSummaries("q", now[:1])
	g.Expect(gone).To(gomega.HaveLen(2))
	s, err := member.DecodeSummary(l.own[member.SummaryKey("a", "f/t")].Payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Instances).To(gomega.BeEmpty())
}

// TestAskingProcessTellsWhatItHas: what it has of another process counts for
// nothing.
func TestAskingProcessTellsWhatItHas(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	now := []member.Summary{summary("f/s", "1")}
	_, upTo := l.UnackedSummaries("p", now)
	l.RecordRequest(&control.ExchangeRequest{ID: "p", Have: upTo, HaveOf: "me"}, "me")
	none, _ := l.UnackedSummaries("p", now)
	g.Expect(none).To(gomega.BeEmpty())
	l.RecordRequest(&control.ExchangeRequest{ID: "p", Have: upTo, HaveOf: "before"}, "me")
	all, _ := l.UnackedSummaries("p", now)
	g.Expect(all).To(gomega.HaveLen(1))
}

// TestACutOffDomainIsSoughtWhereverItWasMet: the members that linked it have all
// been replaced during the cut. An address at which it was met otherwise is asked as
// well, and the last such address counts.
func TestACutOffDomainIsSoughtWhereverItWasMet(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	l.LearnAddr("b", "told:1")
	l.RecordContact("b", "met:1")
	l.LearnAddr("b", "told:2")
	for _, reachable := range []bool{true, false} {
		domains := map[string]RemoteDomain{"b": {Reachable: reachable, ControlAddrs: []string{"gone:1"}}}
		asked := map[string]bool{}
		for range 200 {
			asked[l.PickTargets(domains)["b"]] = true
		}
		g.Expect(asked).To(gomega.HaveKey("gone:1"))
		g.Expect(asked["met:1"]).To(gomega.Equal(!reachable))
		g.Expect(asked).To(gomega.HaveLen(map[bool]int{true: 1, false: 2}[reachable]))
	}
}
