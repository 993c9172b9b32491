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
		s.Instances = append(s.Instances, member.RemoteInstance{ID: id, Addr: "x:1"})
	}
	return s
}

// TestUnackedSummariesAreResent checks that summaries are sent again after a lost reply
// and after a restart of the remote process at the same address.
func TestUnackedSummariesAreResent(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	now := []member.Summary{summary("f/s", "1"), summary("f/t", "2")}
	first, upTo := l.UnackedSummaries("p", now)
	g.Expect(first).To(gomega.HaveLen(2))
	again, _ := l.UnackedSummaries("p", now)
	g.Expect(again).To(gomega.HaveLen(2), "no summary was acknowledged")
	l.RecordReply("b", "addr", &control.ExchangeReply{ID: "p", Have: upTo})
	none, _ := l.UnackedSummaries(l.ProcessAt("addr"), now)
	g.Expect(none).To(gomega.BeEmpty())

	now[0] = summary("f/s", "1", "3")
	changed, _ := l.UnackedSummaries("p", now)
	g.Expect(changed).To(gomega.HaveLen(1))

	// Another process replies at the address.
	l.RecordReply("b", "addr", &control.ExchangeReply{ID: "q"})
	all, _ := l.UnackedSummaries(l.ProcessAt("addr"), now)
	g.Expect(all).To(gomega.HaveLen(2))

	gone, _ := l.UnackedSummaries("q", now[:1])
	g.Expect(gone).To(gomega.HaveLen(2))
	s, err := member.DecodeSummary(l.own[member.SummaryKey("a", "f/t")].Payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Instances).To(gomega.BeEmpty())
}

// TestAckIsIgnoredAfterRestart checks that an acknowledgement of an earlier process's
// summaries does not count for this one.
func TestAckIsIgnoredAfterRestart(t *testing.T) {
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

// TestUnreachableDomainIsContactedAtLastAddr guards against losing a domain whose link
// members were all replaced during a partition.
func TestUnreachableDomainIsContactedAtLastAddr(t *testing.T) {
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
