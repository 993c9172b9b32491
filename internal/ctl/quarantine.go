package ctl

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberthread/umberthread/internal/node"
)

// Quarantined is a mark whose requests nodes refuse, over all nodes that answered.
type Quarantined struct {
	Mark string `json:"mark"`
	// Request is one such request, "" if no node can name one.
	Request string `json:"request,omitempty"`
	// Nodes is how many nodes refuse it, and Ends the most backend servers of whose
	// end one has heard.
	Nodes int `json:"nodes"`
	Ends  int `json:"ends"`
	// NextMs is when the first of the nodes lets one through, in milliseconds.
	NextMs int64 `json:"next_ms"`
}

// Quarantine prints which requests are refused as they end backend servers.
func PrintQuarantine(o Output, admins []string) error {
	all, err := Fleet(admins)
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
		t.row(m.Mark, dash(m.Request), m.Nodes, m.Ends, (time.Duration(m.NextMs) * time.Millisecond).Round(time.Second))
	}
	return t.flush()
}

// mergeQuarantined joins what nodes tell, the mark with most ends first.
func mergeQuarantined(lists [][]node.QuarantineStatus) []Quarantined {
	byMark := map[string]*Quarantined{}
	for _, list := range lists {
		for _, s := range list {
			m := byMark[s.Mark]
			if m == nil {
				m = &Quarantined{Mark: s.Mark, NextMs: s.LeftMs}
				byMark[s.Mark] = m
			}
			m.Nodes++
			m.Request = cmp.Or(m.Request, s.Request)
			m.Ends = max(m.Ends, s.Ends)
			m.NextMs = min(m.NextMs, s.LeftMs)
		}
	}
	out := make([]Quarantined, 0, len(byMark))
	for _, m := range byMark {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Quarantined) int {
		return cmp.Or(cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Mark, b.Mark))
	})
	return out
}
