package links

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/internal/seed"
	"github.com/umberthread/umberthread/member"
)

func TestMain(m *testing.M) { seed.Main(m) }

// membership returns a membership of the processes with the given IDs.
func membership(known []string, linkMembers ...string) Membership {
	return Membership{IsKnown: func(id string) bool { return slices.Contains(known, id) }, LinkMembers: linkMembers}
}

// reportsOf returns reports by key.
func reportsOf(ls ...member.Link) map[string]member.Link {
	out := map[string]member.Link{}
	for _, l := range ls {
		out[member.LinkKey(l.Domain, l.By)] = l
	}
	return out
}

// Guards against a domain that counts as reachable, or as cut off, by the word of somebody who
// does not hear of it.
func TestOnlyCurrentLinkMembersDecideReachability(t *testing.T) {
	reaches := func(by string) member.Link {
		return member.Link{Domain: "b", By: by, Reachable: true, Control: []string{by}}
	}
	fails := func(by string) member.Link { return member.Link{Domain: "b", By: by} }
	knows := func(by string) member.Link {
		return member.Link{Domain: "b", By: by, AddressesOnly: true, Control: []string{by}}
	}
	known := []string{"m1", "m2", "m3"}
	reachable, cutOff := RemoteDomain{Reachable: true, Reported: true}, RemoteDomain{Reported: true}
	for _, c := range []struct {
		name                string
		previous            *RemoteDomain
		reports             []member.Link
		linkMembers         []string
		reachable, reported bool
	}{
		{"first report", nil, []member.Link{reaches("m1")}, []string{"m1"}, true, true},
		{"first report is a failure", nil, []member.Link{fails("m1")}, []string{"m1"}, false, true},
		{"one of two reaches it", &cutOff, []member.Link{reaches("m1"), fails("m2")}, []string{"m1", "m2"}, true, true},
		{"a former link member reaches it", &reachable, []member.Link{reaches("m1"), fails("m2")}, []string{"m2", "m3"}, false, true},
		{"a former link member does not reach it", &reachable, []member.Link{fails("m1"), reaches("m2")}, []string{"m2", "m3"}, true, true},
		{"an unknown process reaches it", &reachable, []member.Link{reaches("gone"), fails("m2")}, []string{"gone", "m2"}, false, true},
		{"new link members after a cut", &cutOff, []member.Link{reaches("m1")}, []string{"m2"}, false, false},
		{"new link members without a cut", &reachable, []member.Link{fails("m1")}, []string{"m2"}, true, false},
		{"withdrawn report of a link member", &cutOff, []member.Link{knows("m1")}, []string{"m1"}, false, false},
		{"only an address is known", nil, []member.Link{knows("m1")}, []string{"m2"}, true, false},
		{"only a former report is known", nil, []member.Link{fails("m1")}, []string{"m2"}, true, false},
		{"nobody mentions a domain that was cut off", &cutOff, nil, []string{"m1"}, false, false},
		{"nobody mentions a domain that was reachable", &reachable, nil, []string{"m1"}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			previous := map[string]RemoteDomain{}
			if c.previous != nil {
				previous["b"] = *c.previous
			}
			next, _ := UpdateDomains(previous, reportsOf(c.reports...), membership(known, c.linkMembers...))
			g.Expect(next).To(gomega.HaveLen(1))
			g.Expect(next["b"].Reachable).To(gomega.Equal(c.reachable), "reachable")
			g.Expect(next["b"].Reported).To(gomega.Equal(c.reported), "reported")
			g.Expect(next["b"].InContact()).To(gomega.Equal(c.reachable && c.reported))
		})
	}
}

// Guards against a cut-off domain that is lost with the last member that knew its addresses.
func TestAddressesOutliveTheirReporters(t *testing.T) {
	g := gomega.NewWithT(t)
	reports := reportsOf(member.Link{Domain: "b", By: "m1", Reachable: true, Control: []string{"b:1", "b:2"}})
	before, former := UpdateDomains(nil, reports, membership([]string{"m1", "m2"}, "m1"))
	g.Expect(former).To(gomega.BeZero())
	after, _ := UpdateDomains(before, reports, membership([]string{"m2"}, "m2"))
	g.Expect(after["b"].ControlAddrs).To(gomega.Equal([]string{"b:1", "b:2"}))
	g.Expect(after["b"].InContact()).To(gomega.BeFalse())
}

// Whatever others report, a domain in contact is one that a current link member reaches, a state
// changes only by a current link member's report, and no domain vanishes.
func TestUpdateDomainsProperties(t *testing.T) {
	ids := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	rapid.Check(t, func(t *rapid.T) {
		reports := map[string]member.Link{}
		domains := map[string]RemoteDomain{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			l := member.Link{
				Domain: rapid.SampledFrom([]string{"b", "c"}).Draw(t, "domain"), By: rapid.SampledFrom(ids).Draw(t, "by"),
				AddressesOnly: rapid.Bool().Draw(t, "addresses only"),
			}
			l.Reachable = !l.AddressesOnly && rapid.Bool().Draw(t, "reachable")
			reports[member.LinkKey(l.Domain, l.By)] = l
			known := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "known")
			linkMembers := member.SelectLinkMembers(known, 3)
			next, former := UpdateDomains(domains, reports, membership(known, linkMembers...))

			says := map[string][]bool{}
			formers := map[string]bool{}
			decisive := map[string]member.Link{}
			for key, r := range reports {
				switch {
				case r.AddressesOnly || !slices.Contains(known, r.By):
				case slices.Contains(linkMembers, r.By):
					says[r.Domain] = append(says[r.Domain], r.Reachable)
					decisive[key] = r
				default:
					formers[r.By] = true
				}
			}
			if former != len(formers) {
				t.Fatalf("%d former reporters, expected %d", former, len(formers))
			}
			for name, d := range next {
				old, wasKnown := domains[name]
				switch {
				case d.Reported != (len(says[name]) > 0):
					t.Fatalf("domain %s: %+v, reports %v", name, d, says[name])
				case d.Reported && d.Reachable != slices.Contains(says[name], true):
					t.Fatalf("domain %s: %+v, reports %v", name, d, says[name])
				case !d.Reported && d.Reachable != (!wasKnown || old.Reachable):
					t.Fatalf("domain %s changed from %+v to %+v without a report", name, old, d)
				}
			}
			for name := range domains {
				if _, ok := next[name]; !ok {
					t.Fatalf("domain %s vanished", name)
				}
			}
			// The reports of all others change nothing.
			alone, _ := UpdateDomains(domains, decisive, membership(known, linkMembers...))
			for name, d := range alone {
				if fmt.Sprint(next[name].Reachable, next[name].Reported) != fmt.Sprint(d.Reachable, d.Reported) {
					t.Fatalf("domain %s: %+v with the reports of others, %+v without", name, next[name], d)
				}
			}
			domains = maps.Clone(next)
		}
	})
}
