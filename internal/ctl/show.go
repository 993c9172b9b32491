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

func (o Output) json(v any) error {
	enc := json.NewEncoder(o.W)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot print")
	}
	return nil
}

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

// Fleet returns the admin addresses of all members of the failure domains of
// the given nodes. It fails only if none of them answers.
func Fleet(admins []string) ([]string, error) {
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

// StatusOf prints the state of the nodes.
func PrintStatus(o Output, admins []string) error {
	all, err := Fleet(admins)
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
		t.row(v.Name, v.Domain, v.Config, dash(v.Backend.Service), stateText(&v), v.Backend.Limit, v.Backend.InFlight,
			v.Backend.Level, v.Served, total(v.Refusals), v.Retries, replicaText(v.Replica), cutText(v.Domains))
	}
	return t.flush()
}

// stateText is the backend server's state, or why its node keeps work away.
func stateText(s *node.Status) string {
	if s.State != "serving" {
		return s.Backend.State + ", " + s.State
	}
	return s.Backend.State
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func total(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

func replicaText(r *node.ReplicaStatus) string {
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

func cutText(domains map[string]bool) string {
	var cut []string
	for d, ok := range domains {
		if !ok {
			cut = append(cut, d)
		}
	}
	sort.Strings(cut)
	return dash(strings.Join(cut, ","))
}

// Members prints the members of the nodes' failure domains.
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
		t.row(m.Name, m.ID, m.Domain, m.Status, dash(m.Service), m.State, m.HTTP, m.Admin, dash(m.Replica))
	}
	return t.flush()
}

// Requests prints what became of requests and why.
func PrintRequests(o Output, admins []string, id, reason string) error {
	all, err := Fleet(admins)
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
		t.row(r.Time.UTC().Format("15:04:05.000"), r.RequestID, r.Target, r.Depth, r.Rank, r.Level, r.Reason, r.Run, r.Attempts, took)
	}
	return t.flush()
}

// Events prints the decisions of note, in the order of time across the nodes.
func PrintEvents(o Output, admins []string) error {
	all, err := Fleet(admins)
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

// Drain keeps new work away from a node's backend server, or lets it back.
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
		state = "back at work"
	}
	o.printf("%s is %s, %d requests in flight\n", s.Name, state, s.Backend.InFlight)
	return nil
}

// Form makes the replica of a node the first of the groups.
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
