package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/fleetmodel"
)

// modelOptions are the flags of the model command.
type modelOptions struct {
	loads     []string
	seedCount int
}

// loadNames returns the names of the loads that can be simulated, sorted.
func loadNames() []string {
	var names []string
	for name := range fleetmodel.Scenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// runModel simulates each load with several seeds and prints a table.
func runModel(o modelOptions) error {
	if len(o.loads) == 0 {
		o.loads = loadNames()
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "load\tworth\tdeviation\tby kind")
	for _, name := range o.loads {
		load, ok := fleetmodel.Scenarios[name]
		if !ok {
			return fault.Newf(fault.NotFound, "unknown load %q; known loads are %v", name, loadNames())
		}
		printModelRow(w, name, simulateLoad(name, load(), o.seedCount))
	}
	return w.Flush()
}

// simulateLoad simulates a fleet once for each seed and reports progress on
// standard error.
func simulateLoad(name string, f fleetmodel.Scenario, seeds int) []*fleetmodel.Result {
	var all []*fleetmodel.Result
	for seed := range seeds {
		began := time.Now()
		all = append(all, fleetmodel.Run(f, uint64(seed)))
		fmt.Fprintf(os.Stderr, "%s: seed %d of %d took %s\n", name, seed+1, seeds, time.Since(began).Round(time.Millisecond))
	}
	return all
}

// printModelRow prints the mean and standard deviation of the worth earned with
// one load, and the mean share by request kind.
func printModelRow(w *tabwriter.Writer, name string, all []*fleetmodel.Result) {
	var worths []float64
	byKind := map[string][]float64{}
	var kinds []string
	for _, r := range all {
		worths = append(worths, r.ValueFraction())
		for kind, k := range r.Kinds {
			if byKind[kind] == nil {
				kinds = append(kinds, kind)
			}
			byKind[kind] = append(byKind[kind], k.ValueFraction())
		}
	}
	slices.Sort(kinds)
	mean, deviation := stat.MeanStdDev(worths, nil)
	spread := "-"
	if len(worths) > 1 {
		spread = fmt.Sprintf("%.3f", deviation)
	}
	_, _ = fmt.Fprintf(w, "%s\t%.3f\t%s\t", name, mean, spread)
	for _, kind := range kinds {
		_, _ = fmt.Fprintf(w, "%s %.3f  ", kind, stat.Mean(byKind[kind], nil))
	}
	_, _ = fmt.Fprintln(w)
}
