package ctl

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/umberthread/umberthread/burn"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/node"
)

// Report is the service-level burn of the fleet.
type Report struct {
	At    time.Time    `json:"at"`
	Kinds []ReportKind `json:"kinds"`
	// Refusals counts all refusals by reason since the nodes started.
	Refusals map[string]int64 `json:"refusals"`
	Retries  int64            `json:"retries"`
	// Overloads are the last overloads by service.
	Overloads []ReportOverload `json:"overloads,omitempty"`
	// Unknown are the failure domains whose share is missing: they are cut
	// off, or no node of theirs was asked.
	Unknown []string `json:"unknown_domains,omitempty"`
	// Silent are the nodes that did not answer.
	Silent []string `json:"silent_nodes,omitempty"`
	Nodes  int      `json:"nodes"`
}

// ReportKind is the burn of one request kind.
type ReportKind struct {
	Kind      string  `json:"kind"`
	Class     string  `json:"class"`
	Objective float64 `json:"objective"`
	// Counts and Rates have one entry for each of burn.Windows.
	Counts [len(burn.Windows)]burn.Count `json:"counts"`
	Rates  [len(burn.Windows)]float64    `json:"burn_rates"`
	Alert  string                        `json:"alert,omitempty"`
	Steps  []burn.Count                  `json:"steps"`
	Sheds  map[string]int64              `json:"failures"`
}

// ReportOverload is the last overload of a service.
type ReportOverload struct {
	Service string    `json:"service"`
	Began   time.Time `json:"began"`
	Ended   time.Time `json:"ended"`
	Lasts   bool      `json:"lasts"`
}

// The burn rates that alert, over two windows each, as the SRE workbook
// proposes for a budget of 30 days: 14.4 spends 2% of it in an hour, 6 spends
// 5% in six hours.
const (
	fastRate = 14.4
	slowRate = 6.0
)

// Gather asks the nodes and adds up their shares.
func Gather(admins []string) (*Report, error) {
	all, err := Fleet(admins)
	if err != nil {
		return nil, err
	}
	r := &Report{At: time.Now(), Refusals: map[string]int64{}}
	kinds := map[string]*ReportKind{}
	overloads := map[string]*ReportOverload{}
	answered, known := map[string]bool{}, map[string]bool{}
	for _, a := range QueryAll[node.BurnReport](all, "/v1/burn", nil) {
		if a.Err != nil {
			r.Silent = append(r.Silent, a.Node)
			continue
		}
		r.Nodes++
		r.Retries += a.Value.Retries
		answered[a.Value.Domain] = true
		for d := range a.Value.Domains {
			known[d] = true
		}
		for reason, n := range a.Value.Refusals {
			r.Refusals[reason] += n
		}
		for i := range a.Value.Kinds {
			addKind(kinds, &a.Value.Kinds[i])
		}
		addOverload(overloads, &a.Value)
	}
	r.finish(kinds, overloads)
	for d := range known {
		if !answered[d] {
			r.Unknown = append(r.Unknown, d)
		}
	}
	sort.Strings(r.Unknown)
	return r, nil
}

func addKind(kinds map[string]*ReportKind, k *node.BurnKind) {
	sum := kinds[k.Root]
	if sum == nil {
		sum = &ReportKind{Kind: k.Root, Class: k.Class, Objective: k.Objective, Steps: make([]burn.Count, len(k.Steps)), Sheds: map[string]int64{}}
		kinds[k.Root] = sum
	}
	for i, c := range k.Counts {
		sum.Counts[i] = sum.Counts[i].Add(c)
	}
	for i, c := range k.Steps {
		if i < len(sum.Steps) {
			sum.Steps[i] = sum.Steps[i].Add(c)
		}
	}
	for reason, n := range k.Sheds {
		sum.Sheds[reason] += n
	}
}

// addOverload joins the overloads of a service's instances into the time from
// the first that began to the last that ended.
func addOverload(all map[string]*ReportOverload, b *node.BurnReport) {
	if b.Overload == nil || b.Service == "" {
		return
	}
	o := all[b.Service]
	if o == nil {
		o = &ReportOverload{Service: b.Service, Began: b.Overload.Began}
		all[b.Service] = o
	}
	if b.Overload.Began.Before(o.Began) {
		o.Began = b.Overload.Began
	}
	if b.Overload.Ended.After(o.Ended) {
		o.Ended = b.Overload.Ended
	}
	o.Lasts = o.Lasts || b.Overload.Ended.IsZero()
}

func (r *Report) finish(kinds map[string]*ReportKind, overloads map[string]*ReportOverload) {
	for _, k := range kinds {
		for i, c := range k.Counts {
			k.Rates[i] = c.Rate(k.Objective)
		}
		switch {
		case k.Rates[1] >= fastRate && k.Rates[0] >= fastRate:
			k.Alert = "fast"
		case k.Rates[3] >= slowRate && k.Rates[2] >= slowRate:
			k.Alert = "slow"
		}
		r.Kinds = append(r.Kinds, *k)
	}
	sort.Slice(r.Kinds, func(i, j int) bool { return r.Kinds[i].Kind < r.Kinds[j].Kind })
	for _, o := range overloads {
		r.Overloads = append(r.Overloads, *o)
	}
	sort.Slice(r.Overloads, func(i, j int) bool { return r.Overloads[i].Service < r.Overloads[j].Service })
}

// ReportBurn prints the report, and writes it as an HTML page if a path is
// given.
func PrintBurn(o Output, admins []string, html string) error {
	r, err := Gather(admins)
	if err != nil {
		return err
	}
	if html != "" {
		page, err := Page(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(html, page, 0o644); err != nil {
			return fault.Wrap(fault.Internal, err, "cannot write the page")
		}
	}
	if o.JSON {
		return o.json(r)
	}
	return r.print(o)
}

func (r *Report) print(o Output) error {
	head := []any{"KIND", "CLASS", "OBJECTIVE"}
	for _, w := range burn.Windows {
		head = append(head, "BURN "+w.Name)
	}
	t := o.table(append(head, "SERVED 1H", "ALERT", "FAILED, SINCE START")...)
	for _, k := range r.Kinds {
		row := []any{k.Kind, k.Class, fmt.Sprintf("%g%%", 100*k.Objective)}
		for i, c := range k.Counts {
			row = append(row, rateText(c, k.Rates[i]))
		}
		hour := k.Counts[2]
		t.row(append(row, fmt.Sprintf("%d of %d", hour.Good, hour.Total), dash(k.Alert), countsText(k.Sheds))...)
	}
	if err := t.flush(); err != nil {
		return err
	}
	o.printf("\nretries %d; refusals %s; %d nodes\n", r.Retries, countsText(r.Refusals), r.Nodes)
	for _, ov := range r.Overloads {
		o.printf("last overload of %s: %s\n", ov.Service, ov.text())
	}
	if len(r.Unknown) > 0 {
		o.printf("unknown, not counted: %s\n", strings.Join(r.Unknown, ", "))
	}
	if len(r.Silent) > 0 {
		o.printf("nodes that did not answer: %s\n", strings.Join(r.Silent, ", "))
	}
	return nil
}

func (ov *ReportOverload) text() string {
	began := ov.Began.UTC().Format(time.RFC3339)
	if ov.Lasts {
		return "began " + began + " and lasts"
	}
	return fmt.Sprintf("began %s, over after %s", began, ov.Ended.Sub(ov.Began).Round(time.Millisecond))
}

func rateText(c burn.Count, rate float64) string {
	if c.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", rate)
}

func countsText(m map[string]int64) string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	var parts []string
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s %d", n, m[n]))
	}
	return dash(strings.Join(parts, ", "))
}
