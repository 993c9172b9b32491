package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/soak"
)

type soakOptions struct {
	seed        uint64
	seeds, jobs int
	span        time.Duration
	nodes       int
	perSecond   int
	// stalls tells whether disks stall, and poison whether a request that ends backend
	// servers is sent.
	stalls, poison bool
	// failed plays the runs that once broke a promise, in place of the seeds.
	failed bool
	// json is the file for the reports, or "".
	json string
}

// maxFreshSeed keeps drawn seeds short enough to be typed.
const maxFreshSeed = 1 << 32

// runSoak plays seeds, some at once, and fails if any broke a promise.
func runSoak(bin string, o soakOptions) error {
	runs := o.runs(bin)
	next := make(chan soak.Options)
	go func() {
		defer close(next)
		for _, r := range runs {
			next <- r
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	reports := []*soak.Report{}
	for range max(1, o.jobs) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for run := range next {
				rep, err := soak.Run(run)
				mu.Lock()
				if err != nil {
					failed++
					fmt.Printf("seed %d: not played: %v\n", run.Seed, err)
				} else {
					reports = append(reports, rep)
					if !printSoak(rep) {
						failed++
					}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	printKinds(reports)
	if err := writeReports(o.json, reports); err != nil {
		return err
	}
	fmt.Printf("soak: seeds=%d failed=%d\n", len(runs), failed)
	if failed > 0 {
		return fault.Newf(fault.Internal, "%d of %d seeds broke a promise or were not played", failed, len(runs))
	}
	return nil
}

// runs are the runs to play.
func (o soakOptions) runs(bin string) []soak.Options {
	var out []soak.Options
	add := func(seed uint64, span time.Duration, stalls bool) {
		out = append(out, soak.Options{Bin: bin, Seed: seed, Duration: span, DiskStalls: stalls, PoisonRequest: o.poison, Nodes: o.nodes, RequestRate: o.perSecond})
	}
	if o.failed {
		for _, f := range soak.KnownFailures {
			fmt.Printf("seed %d: once %s\n", f.Seed, f.Cause)
			add(f.Seed, f.Duration, f.DiskStalls)
		}
		return out
	}
	first := o.seed
	if first == 0 {
		first = 1 + rand.Uint64N(maxFreshSeed)
	}
	for i := range o.seeds {
		add(first+uint64(i), o.span, o.stalls)
	}
	return out
}

// lateRecovery is the time from which on it is told what was not served: twice what
// most runs take.
const lateRecovery = 8 * time.Second

// printSoak prints a report; true if nothing is broken.
func printSoak(rep *soak.Report) bool {
	fmt.Printf("seed %d: %d steps, %d attempts, %d served, %d refused, %d changes, recovered after %s, replicas whole %s later, in force %s after the return of all replicas\n",
		rep.Seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Refused, rep.Changes, rep.Recovered.Round(10*time.Millisecond), rep.Repaired.Round(10*time.Millisecond), rep.InForce.Round(time.Millisecond))
	if rep.Recovered > lateRecovery {
		for _, m := range rep.Missed {
			fmt.Println("  not served, or slowly:", m)
		}
	}
	if len(rep.Broken) == 0 {
		return true
	}
	for _, s := range rep.Steps {
		fmt.Println("  ", s)
	}
	const most = 20
	for i, b := range rep.Broken {
		if i == most {
			fmt.Printf("  and %d more\n", len(rep.Broken)-most)
			break
		}
		fmt.Printf("  broken: %s: %s\n", b.Promise, b.Detail)
	}
	fmt.Println("  logs in", rep.Folder)
	return false
}

// printKinds prints how often each kind of step was planned and carried out.
func printKinds(reports []*soak.Report) {
	planned, played := map[soak.StepKind]int{}, map[soak.StepKind]int{}
	for _, rep := range reports {
		for _, s := range rep.Steps {
			planned[s.Kind]++
		}
		for k, n := range rep.Played {
			played[k] += n
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "step\tplanned\tplayed")
	for _, k := range slices.Sorted(maps.Keys(planned)) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", k, planned[k], played[k])
	}
	_ = w.Flush()
}

// writeReports writes the reports as JSON, durations in nanoseconds; no file for "".
func writeReports(file string, reports []*soak.Report) error {
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode the reports")
	}
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the reports")
	}
	return nil
}
