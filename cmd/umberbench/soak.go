package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
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
}

// maxFreshSeed keeps drawn seeds short enough to be typed.
const maxFreshSeed = 1 << 32

// runSoak plays seeds, some at once, and fails if any broke a promise.
func runSoak(bin string, o soakOptions) error {
	if o.seed == 0 {
		o.seed = 1 + rand.Uint64N(maxFreshSeed)
	}
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for i := range o.seeds {
			seeds <- o.seed + uint64(i)
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	for range max(1, o.jobs) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				rep, err := soak.Run(soak.Options{Bin: bin, Seed: seed, Span: o.span, Nodes: o.nodes, PerSecond: o.perSecond})
				mu.Lock()
				if err != nil {
					failed++
					fmt.Printf("seed %d: not played: %v\n", seed, err)
				} else if !printSoak(rep) {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	fmt.Printf("soak: seeds=%d failed=%d\n", o.seeds, failed)
	if failed > 0 {
		return fault.Newf(fault.Internal, "%d of %d seeds broke a promise or were not played", failed, o.seeds)
	}
	return nil
}

// printSoak prints a report; true if nothing is broken.
func printSoak(rep *soak.Report) bool {
	fmt.Printf("seed %d: %d steps, %d attempts, %d served, %d refused, %d changes, recovered after %s, in force %s after the return of all replicas\n",
		rep.Seed, len(rep.Steps), rep.Attempts, rep.Served, rep.Refused, rep.Changes, rep.Recovered.Round(10*time.Millisecond), rep.InForce.Round(time.Millisecond))
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
