package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/node"
)

func (o Output) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.W, format, args...) }

// json prints v as indented JSON.
func (o Output) json(v any) error {
	enc := json.NewEncoder(o.W)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot print")
	}
	return nil
}

// table prints aligned columns; flush writes it out.
type table struct{ w *tabwriter.Writer }

func (o Output) table(head ...any) *table {
	t := &table{tabwriter.NewWriter(o.W, 0, 0, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, c)
	}
	_, _ = fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	if err := t.w.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot print")
	}
	return nil
}

// DiscoverAdmins returns the sorted admin addresses of all members of the given
// nodes' failure domains that are neither dead nor leaving, and of given nodes that
// do not respond. It fails only if none of the given nodes responds.
func DiscoverAdmins(admins []string) ([]string, error) {
	seen := map[string]bool{}
	var last error
	answered := false
	for _, a := range QueryAll[[]node.MemberStatus](admins, "/v1/members", nil) {
		if a.Err != nil {
			last = a.Err
			seen[a.Node] = true
			continue
		}
		answered = true
		for _, m := range a.Value {
			if m.Status != "dead" && m.Status != "leaving" {
				seen[m.Admin] = true
			}
		}
	}
	if !answered {
		return nil, last
	}
	out := make([]string, 0, len(seen))
	for a := range seen {
		out = append(out, a)
	}
	sort.Strings(out)
	return out, nil
}

// PrintStatus prints the status of all nodes.
func PrintStatus(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	got := QueryAll[node.Status](all, "/v1/status", nil)
	sort.Slice(got, func(i, j int) bool {
		return got[i].Value.Domain+got[i].Value.Name < got[j].Value.Domain+got[j].Value.Name
	})
	if o.JSON {
		out := []node.Status{}
		for _, s := range got {
			if s.Err == nil {
				out = append(out, s.Value)
			}
		}
		return o.json(out)
	}
	head := []any{"NODE", "DOMAIN", "CONFIG", "SERVICE", "STATE", "LIMIT", "IN FLIGHT", "LEVEL", "ENTERED", "REFUSED", "RETRIES", "REPLICA", "CUT OFF"}
	t := o.table(head...)
	for _, s := range got {
		if s.Err != nil {
			cells := make([]any, len(head))
			for i := range cells {
				cells[i] = "?"
			}
			cells[0] = s.Node + " does not answer"
			t.row(cells...)
			continue
		}
		v := s.Value
		t.row(v.Name, v.Domain, v.Config, orDash(v.Backend.Service), formatState(&v), v.Backend.Limit, v.Backend.InFlight,
			v.Backend.Level, v.Served, sumCounts(v.Refusals), v.Retries, formatReplica(v.Replica), formatUnreachableDomains(v.Domains))
	}
	return t.flush()
}

// formatState returns the backend server's state, followed by its rate limit if it names one and
// the node's state if that is not "serving".
func formatState(s *node.Status) string {
	out := s.Backend.State
	if s.Backend.RateLimit > 0 {
		out += fmt.Sprintf(", at most %.1f/s", s.Backend.RateLimit)
	}
	if s.State != "serving" {
		out += ", " + s.State
	}
	return out
}

// orDash returns s, or "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func sumCounts(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

// formatReplica returns the short id of the replica and the groups that it leads.
func formatReplica(r *node.ReplicaStatus) string {
	if r == nil {
		return "-"
	}
	leads := []string{}
	for _, g := range r.Groups {
		if g.Leads {
			leads = append(leads, fmt.Sprint(g.Group))
		}
	}
	if len(leads) == 0 {
		return r.ID[:6]
	}
	return r.ID[:6] + " leads " + strings.Join(leads, ",")
}

// formatUnreachableDomains lists the failure domains that are marked unreachable.
func formatUnreachableDomains(domains map[string]bool) string {
	var cut []string
	for d, ok := range domains {
		if !ok {
			cut = append(cut, d)
		}
	}
	sort.Strings(cut)
	return orDash(strings.Join(cut, ","))
}

// PrintMembers prints the members of the given nodes' failure domains. It fails if
// one of the nodes does not respond.
func PrintMembers(o Output, admins []string) error {
	seen := map[string]node.MemberStatus{}
	for _, a := range QueryAll[[]node.MemberStatus](admins, "/v1/members", nil) {
		if a.Err != nil {
			return a.Err
		}
		for _, m := range a.Value {
			seen[m.ID] = m
		}
	}
	out := make([]node.MemberStatus, 0, len(seen))
	for _, m := range seen {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain+out[i].Name < out[j].Domain+out[j].Name })
	if o.JSON {
		return o.json(out)
	}
	t := o.table("NAME", "ID", "DOMAIN", "STATUS", "SERVICE", "BACKEND", "HTTP", "ADMIN", "REPLICA")
	for _, m := range out {
		t.row(m.Name, m.ID, m.Domain, m.Status, orDash(m.Service), m.State, m.HTTP, m.Admin, orDash(m.Replica))
	}
	return t.flush()
}

// PrintRequests prints the recorded requests and their outcomes, ordered by time.
// If id or reason is not empty, only matching requests are printed.
func PrintRequests(o Output, admins []string, id, reason string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	q := url.Values{}
	if id != "" {
		q.Set("id", id)
	}
	if reason != "" {
		q.Set("reason", reason)
	}
	var out []node.Trace
	for _, a := range QueryAll[[]node.Trace](all, "/v1/requests", q) {
		out = append(out, a.Value...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	if o.JSON {
		return o.json(out)
	}
	t := o.table("TIME", "REQUEST", "TARGET", "DEPTH", "RANK", "LEVEL", "REASON", "RUN", "ATTEMPTS", "TOOK")
	for _, r := range out {
		took := time.Duration(r.TookUs) * time.Microsecond
		t.row(r.Time.UTC().Format("15:04:05.000"), r.RequestID, r.Target, r.Depth, r.Rank, r.PathLevel, r.Reason, r.Execution, r.Attempts, took)
	}
	return t.flush()
}

// PrintEvents prints the recorded events of all nodes, ordered by time.
func PrintEvents(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	var out []node.Event
	for _, a := range QueryAll[[]node.Event](all, "/v1/events", nil) {
		out = append(out, a.Value...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	if o.JSON {
		return o.json(out)
	}
	t := o.table("TIME", "DOMAIN", "NODE", "PART", "WHAT")
	for _, e := range out {
		t.row(e.Time.UTC().Format("15:04:05.000"), e.Domain, e.Node, e.Part, e.Text)
	}
	return t.flush()
}

// SetDrained stops or, if on is false, resumes sending requests to a node's backend
// server.
func SetDrained(o Output, c *Client, on bool) error {
	var s node.Status
	if err := c.Post(fmt.Sprintf("/v1/drain?on=%v", on), nil, &s); err != nil {
		return err
	}
	if o.JSON {
		return o.json(s)
	}
	state := "drained"
	if !on {
		state = "no longer drained"
	}
	o.printf("%s is %s, %d requests in flight\n", s.Name, state, s.Backend.InFlight)
	return nil
}

// FormGroups creates the replica groups with the node's replica as their first
// member.
func FormGroups(o Output, c *Client) error {
	var s node.ReplicaStatus
	if err := c.Post("/v1/replicas/form", nil, &s); err != nil {
		return err
	}
	if o.JSON {
		return o.json(s)
	}
	o.printf("replica %s formed %d groups; others join by themselves\n", s.ID, len(s.Groups))
	return nil
}
