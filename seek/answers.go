package seek

import (
	"fmt"
	"slices"
	"strings"
)

// Answers collects what the replicas answered to a command or a read that no leader
// accepted, and tells why. The last answer of each replica counts. It is not safe for
// concurrent use.
type Answers struct {
	byAddr map[string]answer
}

// answer is the last answer of a replica; the zero value is none.
type answer struct {
	responded bool
	// leader is the address that the replica names as its leader, "" if none.
	leader string
	// refusal is why the replica, which may lead, did not accept the request.
	refusal string
}

// NewAnswers returns an empty collection.
func NewAnswers() *Answers { return &Answers{byAddr: map[string]answer{}} }

// RecordRequest records that a replica was asked. Until it answers it counts as not
// responding, or with its answer to an earlier request.
func (a *Answers) RecordRequest(addr string) {
	if _, asked := a.byAddr[addr]; !asked {
		a.byAddr[addr] = answer{}
	}
}

// RecordNoResponse records that a replica did not respond.
func (a *Answers) RecordNoResponse(addr string) { a.byAddr[addr] = answer{} }

// RecordNotLeader records that a replica answered that it does not lead. leader is the one
// that it names, "" if none.
func (a *Answers) RecordNotLeader(addr, leader string) {
	a.byAddr[addr] = answer{responded: true, leader: leader}
}

// RecordRefusal records why a replica that may lead did not accept the request.
func (a *Answers) RecordRefusal(addr, detail string) {
	a.byAddr[addr] = answer{responded: true, refusal: detail}
}

// Reason returns why no leader accepted the request. replicaKnown reports whether any
// replica is known; otherwise bootstrap addresses were asked in their place.
func (a *Answers) Reason(replicaKnown bool) string {
	asked, prefix := "known replicas", ""
	if !replicaKnown {
		asked, prefix = "bootstrap addresses", "no replica is known"
		if len(a.byAddr) == 0 {
			return prefix
		}
		prefix += "; "
	}
	if refusal := a.refusal(); refusal != "" {
		return prefix + "refused by " + refusal
	}
	responded, named := 0, map[string]bool{}
	for _, r := range a.byAddr {
		if r.responded {
			responded++
		}
		if r.leader != "" {
			named[r.leader] = true
		}
	}
	if responded == 0 {
		return fmt.Sprintf("%snone of %d %s responded", prefix, len(a.byAddr), asked)
	}
	text := fmt.Sprintf("%snone leads, %d of %d %s responded", prefix, responded, len(a.byAddr), asked)
	return text + a.describeNamed(named)
}

// refusal returns who refuses and why, "" if nobody does. Two replicas can both refuse as
// leader when the lead has just changed; either is a reason.
func (a *Answers) refusal() string {
	var out []string
	for addr, r := range a.byAddr {
		if r.refusal != "" {
			out = append(out, addr+": "+r.refusal)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return slices.Min(out)
}

// describeNamed says which leaders the replicas name and whether these respond.
func (a *Answers) describeNamed(named map[string]bool) string {
	var out []string
	for addr := range named {
		text := addr
		if !a.byAddr[addr].responded {
			text += ", which did not respond"
		}
		out = append(out, text)
	}
	if len(out) == 0 {
		return ""
	}
	slices.Sort(out)
	return "; named as leader: " + strings.Join(out, "; ")
}
