package main

import (
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
)

// kigaliSettingsFile is relative to the root of the repository.
const kigaliSettingsFile = "examples/kigali.toml"

// demoServices are the Kigali services with a twentieth of their slots.
var demoServices = []serviceSpec{
	{"kigali/sheets", 15, 95, []string{"open=4ms:kigali/locations/find,kigali/rosters/day@4096", "preview=4ms:kigali/rosters/day"}},
	{"kigali/bookings", 15, 95, []string{"confirm=4ms:kigali/rosters/day", "list=2ms"}},
	{"kigali/locations", 15, 95, []string{"upload=5ms", "find=2ms:kigali/rosters/day"}},
	{"kigali/rosters", 8, 40, []string{"day=3ms", "catering=3ms", "transport=3ms"}},
}

// demoKinds is the request mix of the demonstration.
var demoKinds = []load.RequestKind{
	{Target: "kigali/sheets/open", ArrivalFraction: 0.25, Deadline: 10 * time.Second},
	{Target: "kigali/sheets/preview", ArrivalFraction: 0.15, Deadline: 2 * time.Second},
	{Target: "kigali/bookings/confirm", ArrivalFraction: 0.15, Deadline: 8 * time.Second, BodyBytes: 200, Keyed: true},
	{Target: "kigali/bookings/list", ArrivalFraction: 0.1, Deadline: 5 * time.Second},
	{Target: "kigali/locations/upload", ArrivalFraction: 0.1, Deadline: 30 * time.Second, BodyBytes: 2 << 20},
	{Target: "kigali/locations/find", ArrivalFraction: 0.1, Deadline: 5 * time.Second},
	{Target: "kigali/rosters/day", ArrivalFraction: 0.05, Deadline: 5 * time.Second},
	{Target: "kigali/rosters/catering", ArrivalFraction: 0.05, Deadline: 5 * time.Second},
	{Target: "kigali/rosters/transport", ArrivalFraction: 0.05, Deadline: 5 * time.Second},
}

// runDemo starts the demonstration fleet, sends requests of every kind and fails
// if any is not served.
func runDemo(bin string) error {
	tree, err := os.ReadFile(kigaliSettingsFile)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "run this command from the root of the repository")
	}
	fmt.Println("Starting 8 nodes and 8 stand-in backend servers in 4 failure domains.")
	var r *load.Result
	served := 0
	err = withFleet(bin, func(f *harness.Fleet) error {
		if err := startDemoFleet(f, string(tree)); err != nil {
			return err
		}
		fmt.Println("The settings are in force on all nodes. Sending requests.")
		if err := awaitKindsServed(f, demoKinds); err != nil {
			return err
		}
		r = load.Run(load.Options{Addrs: f.HTTPAddrs(), Kinds: demoKinds, Phases: []load.Phase{{Rate: 60, Duration: 6 * time.Second}}})
		served = printOutcomes(r)
		fmt.Println("Stopping all gracefully.")
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("demo: served=%d of=%d\n", served, len(r.Outcomes))
	if served != len(r.Outcomes) {
		return fault.New(fault.Internal, "not all requests were served")
	}
	return nil
}

// startDemoFleet starts two instances of each service, each in two of the four
// failure domains, and applies the Kigali settings.
func startDemoFleet(f *harness.Fleet, tree string) error {
	if err := startFleet(f, kigaliDomains, demoServices, func(d, s int) bool { return (d+s)%2 == 0 }); err != nil {
		return err
	}
	_, err := f.ApplySettings(f.Nodes[0], tree, nil)
	return err
}

// awaitKindsServed waits until every node serves a request of each kind.
func awaitKindsServed(f *harness.Fleet, kinds []load.RequestKind) error {
	return harness.Await(20*time.Second, func() error {
		for _, k := range kinds {
			k.ArrivalFraction = 1
			for _, n := range f.Nodes {
				r := load.Run(load.Options{Addrs: []string{n.HTTP}, Kinds: []load.RequestKind{k}, Phases: []load.Phase{{Rate: 1000, Duration: time.Millisecond}}})
				for _, o := range r.Outcomes {
					if !o.OK {
						return fault.Newf(fault.NoBackend, "%s at %s: %s", k.Target, n.Name, o.Reason)
					}
				}
			}
		}
		return nil
	})
}

// printOutcomes prints a table by request kind and returns the number of
// requests served.
func printOutcomes(r *load.Result) int {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tSENT\tSERVED\tP50\tP99\tFAILED")
	total := 0
	for i, k := range r.Options.Kinds {
		sent, served := 0, 0
		reasons := map[string]int{}
		for _, o := range r.Outcomes {
			if o.Kind != i {
				continue
			}
			sent++
			if o.OK && !o.ResponseMismatch {
				served++
			} else {
				reasons[o.Reason]++
			}
		}
		total += served
		h := r.LatencyHistogram(i, 0, time.Hour)
		p50 := time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
		p99 := time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", k.Target, sent, served, p50, p99, formatReasonCounts(reasons))
	}
	_ = w.Flush()
	return total
}

// formatReasonCounts lists failure reasons with their counts, sorted by reason,
// or returns "-" if there are none.
func formatReasonCounts(reasons map[string]int) string {
	names := make([]string, 0, len(reasons))
	for r := range reasons {
		names = append(names, r)
	}
	sort.Strings(names)
	text := "-"
	for i, r := range names {
		if i == 0 {
			text = ""
		} else {
			text += ", "
		}
		text += fmt.Sprintf("%s: %d", r, reasons[r])
	}
	return text
}
