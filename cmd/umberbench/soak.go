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

// soakOptions are the flags of the soak command.
type soakOptions struct {
	firstSeed       uint64
	seedCount, jobs int
	faultDuration   time.Duration
	nodes           int
	requestRate     int
	// stalls injects disk stalls. poison sends a request that terminates backend
	// servers after the faults.
	stalls, poison bool
	// refuseWrites lets disks refuse writes, lastFault ends with the loss of a disk while all
	// other nodes are killed.
	refuseWrites, lastFault bool
	// limits lets backend servers limit the rate of their requests, and leave.
	limits bool
	// stray lets backend servers reject requests and send responses that nobody asked for.
	stray bool
	// stops plays planned work alone.
	stops bool
	// replayFailures runs soak.KnownFailures in place of the seeds.
	replayFailures bool
	// reportFile receives the reports as JSON; "" writes none.
	reportFile string
}

// maxRandomSeed keeps random seeds short enough to type.
const maxRandomSeed = 1 << 32

// runSoak runs the planned runs, up to o.jobs at once, and fails if any run breaks
// a promise or cannot be completed.
func runSoak(bin string, o soakOptions) error {
	runs := o.plannedRuns(bin)
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
					if !printReport(rep) {
						failed++
					}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	printStepCounts(reports)
	if err := writeReports(o.reportFile, reports); err != nil {
		return err
	}
	fmt.Printf("soak: seeds=%d failed=%d\n", len(runs), failed)
	if failed > 0 {
		return fault.Newf(fault.Internal, "%d of %d seeds broke a promise or were not played", failed, len(runs))
	}
	return nil
}

// plannedRuns returns the options of each run.
func (o soakOptions) plannedRuns(bin string) []soak.Options {
	var out []soak.Options
	add := func(seed uint64, span time.Duration, stalls bool) {
		out = append(out, soak.Options{Bin: bin, Seed: seed, Duration: span, DiskStalls: stalls, PoisonRequest: o.poison, ServerLimits: o.limits, StrayResponses: o.stray, PlannedStops: o.stops, RefuseWrites: o.refuseWrites, LastFault: o.lastFault, Nodes: o.nodes, RequestRate: o.requestRate})
	}
	if o.replayFailures {
		for _, f := range soak.KnownFailures {
			fmt.Printf("seed %d: once %s\n", f.Seed, f.Cause)
			add(f.Seed, f.Duration, f.DiskStalls)
		}
		return out
	}
	first := o.firstSeed
	if first == 0 {
		first = 1 + rand.Uint64N(maxRandomSeed)
	}
	for i := range o.seedCount {
		add(first+uint64(i), o.faultDuration, o.stalls)
	}
	return out
}

// slowRecovery is the recovery time above which the requests that were not served,
// or slowly, are printed.
const slowRecovery = 8 * time.Second

// printReport prints a report and returns whether the run broke no promise.
func printReport(rep *soak.Report) bool {
	fmt.Printf("seed %d: %d steps, %d attempts, %d served, %d refused, %d changes, recovered after %s, replicas whole %s later, in force %s after the return of all replicas\n",
		rep.Seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Refused, rep.Changes, rep.Recovered.Round(10*time.Millisecond), rep.Repaired.Round(10*time.Millisecond), rep.InForce.Round(time.Millisecond))
	if rep.FirstChange > 0 {
		fmt.Printf("  a change was accepted %s after the last start of all nodes\n", rep.FirstChange.Round(time.Millisecond))
	}
	fmt.Printf("  %d repeats at the servers of the front service\n", rep.Repeats)
	if rep.Stated > 0 {
		fmt.Printf("  %d of %d requests to limited or leaving servers judged by entry node\n", rep.Judged, rep.Stated)
	}
	if rep.Recovered > slowRecovery {
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

// printStepCounts prints how often each kind of step was planned and executed.
func printStepCounts(reports []*soak.Report) {
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

// writeReports writes the reports as JSON with durations in nanoseconds. It does
// nothing if file is "".
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
