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

// BurnReport holds the error-budget burn of the fleet.
type BurnReport struct {
	At    time.Time  `json:"at"`
	Kinds []KindBurn `json:"kinds"`
	// Refusals counts the refusals since the nodes started, by reason.
	Refusals map[string]int64 `json:"refusals"`
	Retries  int64            `json:"retries"`
	// Overloads holds the last overload of each service.
	Overloads []OverloadPeriod `json:"overloads,omitempty"`
	// Unknown lists the failure domains of which no node responded; their requests
	// are not counted.
	Unknown []string `json:"unknown_domains,omitempty"`
	// Silent lists the admin addresses of nodes that did not respond.
	Silent []string `json:"silent_nodes,omitempty"`
	Nodes  int      `json:"nodes"`
}

// KindBurn is the error-budget burn of one request kind.
type KindBurn struct {
	Kind      string  `json:"kind"`
	Class     string  `json:"class"`
	Objective float64 `json:"objective"`
	// Counts and Rates have an entry for each of burn.Windows.
	Counts [len(burn.Windows)]burn.Count `json:"counts"`
	Rates  [len(burn.Windows)]float64    `json:"burn_rates"`
	Alert  string                        `json:"alert,omitempty"`
	Steps  []burn.Count                  `json:"steps"`
	Sheds  map[string]int64              `json:"failures"`
}

// OverloadPeriod is the last overload of a service.
type OverloadPeriod struct {
	Service string    `json:"service"`
	Began   time.Time `json:"began"`
	Ended   time.Time `json:"ended"`
	Ongoing bool      `json:"lasts"`
}

// Burn rates that raise an alert if two windows reach them, as proposed by the
// SRE workbook for a budget of 30 days: 14.4 spends 2% of it in an hour, 6 spends
// 5% in six hours.
const (
	fastBurnRate = 14.4
	slowBurnRate = 6.0
)

// GatherBurnReport queries all nodes and sums their counts.
func GatherBurnReport(admins []string) (*BurnReport, error) {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return nil, err
	}
	r := &BurnReport{At: time.Now(), Refusals: map[string]int64{}}
	kinds := map[string]*KindBurn{}
	overloads := map[string]*OverloadPeriod{}
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
		mergeOverload(overloads, &a.Value)
	}
	r.computeRates(kinds, overloads)
	for d := range known {
		if !answered[d] {
			r.Unknown = append(r.Unknown, d)
		}
	}
	sort.Strings(r.Unknown)
	return r, nil
}

// addKind adds one node's counts of a request kind.
func addKind(kinds map[string]*KindBurn, k *node.BurnKind) {
	sum := kinds[k.Scope]
	if sum == nil {
		sum = &KindBurn{Kind: k.Scope, Class: k.Class, Objective: k.Objective, Steps: make([]burn.Count, len(k.Steps)), Sheds: map[string]int64{}}
		kinds[k.Scope] = sum
	}
	for i, c := range k.Counts {
		sum.Counts[i] = sum.Counts[i].Add(c)
	}
	for i, c := range k.Steps {
		if i < len(sum.Steps) {
			sum.Steps[i] = sum.Steps[i].Add(c)
		}
	}
	for reason, n := range k.FailuresByCode {
		sum.Sheds[reason] += n
	}
}

// mergeOverload extends the service's period to include the overload of one
// instance: from the first start to the last end.
func mergeOverload(all map[string]*OverloadPeriod, b *node.BurnReport) {
	if b.Overload == nil || b.Service == "" {
		return
	}
	o := all[b.Service]
	if o == nil {
		o = &OverloadPeriod{Service: b.Service, Began: b.Overload.Began}
		all[b.Service] = o
	}
	if b.Overload.Began.Before(o.Began) {
		o.Began = b.Overload.Began
	}
	if b.Overload.Ended.After(o.Ended) {
		o.Ended = b.Overload.Ended
	}
	o.Ongoing = o.Ongoing || b.Overload.Ended.IsZero()
}

// computeRates fills in the burn rates and alerts, and adds the sorted kinds and
// overloads to the report.
func (r *BurnReport) computeRates(kinds map[string]*KindBurn, overloads map[string]*OverloadPeriod) {
	for _, k := range kinds {
		for i, c := range k.Counts {
			k.Rates[i] = c.BurnRate(k.Objective)
		}
		switch {
		case k.Rates[1] >= fastBurnRate && k.Rates[0] >= fastBurnRate:
			k.Alert = "fast"
		case k.Rates[3] >= slowBurnRate && k.Rates[2] >= slowBurnRate:
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

// PrintBurn prints the burn report, and writes it as an HTML page to the path
// html unless that is empty.
func PrintBurn(o Output, admins []string, html string) error {
	r, err := GatherBurnReport(admins)
	if err != nil {
		return err
	}
	if html != "" {
		page, err := RenderPage(r)
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

func (r *BurnReport) print(o Output) error {
	head := []any{"KIND", "CLASS", "OBJECTIVE"}
	for _, w := range burn.Windows {
		head = append(head, "BURN "+w.Name)
	}
	t := o.table(append(head, "SERVED 1H", "ALERT", "FAILED, SINCE START")...)
	for _, k := range r.Kinds {
		row := []any{k.Kind, k.Class, fmt.Sprintf("%g%%", 100*k.Objective)}
		for i, c := range k.Counts {
			row = append(row, formatRate(c, k.Rates[i]))
		}
		hour := k.Counts[2]
		t.row(append(row, fmt.Sprintf("%d of %d", hour.Good, hour.Total), orDash(k.Alert), formatCounts(k.Sheds))...)
	}
	if err := t.flush(); err != nil {
		return err
	}
	o.printf("\nretries %d; refusals %s; %d nodes\n", r.Retries, formatCounts(r.Refusals), r.Nodes)
	for _, ov := range r.Overloads {
		o.printf("last overload of %s: %s\n", ov.Service, ov.format())
	}
	if len(r.Unknown) > 0 {
		o.printf("unknown, not counted: %s\n", strings.Join(r.Unknown, ", "))
	}
	if len(r.Silent) > 0 {
		o.printf("nodes that did not answer: %s\n", strings.Join(r.Silent, ", "))
	}
	return nil
}

// format describes the period in words.
func (ov *OverloadPeriod) format() string {
	began := ov.Began.UTC().Format(time.RFC3339)
	if ov.Ongoing {
		return "began " + began + " and lasts"
	}
	return fmt.Sprintf("began %s, over after %s", began, ov.Ended.Sub(ov.Began).Round(time.Millisecond))
}

// formatRate formats a burn rate, "-" if there were no requests.
func formatRate(c burn.Count, rate float64) string {
	if c.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", rate)
}

// formatCounts lists the counts sorted by name, "-" if there are none.
func formatCounts(m map[string]int64) string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	var parts []string
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s %d", n, m[n]))
	}
	return orDash(strings.Join(parts, ", "))
}
