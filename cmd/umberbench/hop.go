package main

import (
	"fmt"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/settings"
)

type hopOptions struct {
	rate   float64
	span   time.Duration
	rounds int
}

const hopTree = `
[fleet.kigali.service.rosters.kind.echo]
idempotent = true
`

// runHop measures calls of a stand-in that answers at once, directly and
// through two nodes, in turn.
func runHop(bin string, o hopOptions) error {
	return withFleet(bin, func(f *harness.Fleet) error { return hop(f, o) })
}

func hop(f *harness.Fleet, o hopOptions) error {
	entry, err := f.StartNode(harness.NodeSpec{Domain: "nyarugenge", HasDisk: true, ExtraSettings: []string{"replicas = 1"}})
	if err != nil {
		return err
	}
	beside, err := f.StartNode(harness.NodeSpec{Domain: "nyarugenge"})
	if err != nil {
		return err
	}
	server, err := f.StartServer(beside, harness.ServerSpec{Service: "kigali/rosters", Slots: 256, Connections: 1024, Kinds: []string{"echo=0s@1024"}})
	if err != nil {
		return err
	}
	if err := f.FormReplicaGroups(entry); err != nil {
		return err
	}
	if _, err := f.ApplySettings(entry, hopTree, settings.Entries{}); err != nil {
		return err
	}
	kinds := []load.RequestKind{{Target: "kigali/rosters/echo", ArrivalFraction: 1, Deadline: 2 * time.Second, BodyBytes: 500}}
	if err := awaitServed(f, kinds); err != nil {
		return err
	}
	for range o.rounds {
		direct, err := hopRun(o, kinds, server.Addr, true)
		if err != nil {
			return err
		}
		through, err := hopRun(o, kinds, entry.HTTP, false)
		if err != nil {
			return err
		}
		fmt.Printf("direct p50=%s p99=%s through two nodes p50=%s p99=%s added p50=%s p99=%s\n",
			direct[0], direct[1], through[0], through[1], through[0]-direct[0], through[1]-direct[1])
	}
	return nil
}

// hopRun returns p50 and p99.
func hopRun(o hopOptions, kinds []load.RequestKind, entry string, direct bool) ([2]time.Duration, error) {
	r := load.Run(load.Options{Addrs: []string{entry}, Kinds: kinds, DirectToServers: direct, Phases: []load.Phase{{Rate: o.rate, Duration: o.span}}})
	for _, out := range r.Outcomes {
		if !out.OK {
			return [2]time.Duration{}, fault.Newf(fault.Internal, "a call failed: %s", out.Reason)
		}
	}
	// The first second warms the connections.
	h := r.LatencyHistogram(0, time.Second, o.span)
	us := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return [2]time.Duration{us(50), us(99)}, nil
}
