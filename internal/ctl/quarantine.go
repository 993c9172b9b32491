package ctl

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberthread/umberthread/internal/node"
)

// QuarantinedFingerprint is a fingerprint whose requests are refused, summarized
// over all nodes that responded.
type QuarantinedFingerprint struct {
	Mark string `json:"mark"`
	// Request is an example of such a request, "" if no node knows one.
	Request string `json:"request,omitempty"`
	// Nodes is the number of nodes that refuse the requests, and Ends the largest
	// number of backend server terminations that one of them has recorded.
	Nodes int `json:"nodes"`
	Ends  int `json:"ends"`
	// NextMs is the time until the first of the nodes admits such a request, in
	// milliseconds.
	NextMs int64 `json:"next_ms"`
}

// PrintQuarantine prints the requests that are refused because they terminate
// backend servers.
func PrintQuarantine(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	var lists [][]node.QuarantineStatus
	for _, a := range QueryAll[node.Status](all, "/v1/status", nil) {
		lists = append(lists, a.Value.Quarantined)
	}
	marks := mergeQuarantined(lists)
	if o.JSON {
		return o.json(marks)
	}
	t := o.table("MARK", "REQUEST", "NODES", "ENDS", "NEXT TRY")
	for _, m := range marks {
		t.row(m.Mark, orDash(m.Request), m.Nodes, m.Ends, (time.Duration(m.NextMs) * time.Millisecond).Round(time.Second))
	}
	return t.flush()
}

// mergeQuarantined merges the nodes' lists, ordered by decreasing terminations.
func mergeQuarantined(lists [][]node.QuarantineStatus) []QuarantinedFingerprint {
	byMark := map[string]*QuarantinedFingerprint{}
	for _, list := range lists {
		for _, s := range list {
			m := byMark[s.Fingerprint]
			if m == nil {
				m = &QuarantinedFingerprint{Mark: s.Fingerprint, NextMs: s.LeftMs}
				byMark[s.Fingerprint] = m
			}
			m.Nodes++
			m.Request = cmp.Or(m.Request, s.Request)
			m.Ends = max(m.Ends, s.Terminations)
			m.NextMs = min(m.NextMs, s.LeftMs)
		}
	}
	out := make([]QuarantinedFingerprint, 0, len(byMark))
	for _, m := range byMark {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b QuarantinedFingerprint) int {
		return cmp.Or(cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Mark, b.Mark))
	})
	return out
}
