package links

import (
	"slices"

	"github.com/umberthread/umberthread/member"
)

// RemoteDomain is another failure domain as the members of this one report it.
type RemoteDomain struct {
	// Reachable is false if, by their latest reports, no link member of this domain reaches it.
	Reachable bool
	// Reported is set while a current link member of this domain says whether it reaches it.
	Reported bool
	// ControlAddrs are the control addresses of its link members.
	ControlAddrs []string
}

// InContact reports whether a current link member of this domain reaches the other one.
func (d RemoteDomain) InContact() bool { return d.Reachable && d.Reported }

// Membership is who is known in this failure domain.
type Membership struct {
	// IsKnown reports whether a process is a member, this one included.
	IsKnown func(id string) bool
	// LinkMembers are the current link members.
	LinkMembers []string
}

// UpdateDomains returns the other failure domains after a change of the membership or of the
// members' reports, which may include those of unknown processes, and the number of members that
// are not link members and still have a report.
//
// Only current link members decide whether a domain is reachable, since nobody else hears of it
// regularly. A domain keeps its state until one of them reports; a new one is taken for
// reachable. A domain that no member mentions any more remains, with its addresses: the next
// link members have to find it.
func UpdateDomains(previous map[string]RemoteDomain, reports map[string]member.Link, m Membership) (next map[string]RemoteDomain, formerReporters int) {
	next = make(map[string]RemoteDomain, len(previous))
	former := map[string]bool{}
	for _, l := range reports {
		if !m.IsKnown(l.By) {
			continue
		}
		d := next[l.Domain]
		d.ControlAddrs = append(d.ControlAddrs, l.Control...)
		switch {
		case l.AddressesOnly:
		case slices.Contains(m.LinkMembers, l.By):
			d.Reported = true
			d.Reachable = d.Reachable || l.Reachable
		default:
			former[l.By] = true
		}
		next[l.Domain] = d
	}
	for name, d := range next {
		if !d.Reported {
			old, known := previous[name]
			d.Reachable = !known || old.Reachable
			next[name] = d
		}
	}
	for name, old := range previous {
		if _, mentioned := next[name]; !mentioned {
			next[name] = RemoteDomain{Reachable: old.Reachable, ControlAddrs: old.ControlAddrs}
		}
	}
	return next, len(former)
}
