package main

import (
	"fmt"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/settings"
)

// hopOptions are the flags of the hop command.
type hopOptions struct {
	callRate    float64
	runDuration time.Duration
	rounds      int
}

// hopSettings declares the request kind that is measured.
const hopSettings = `
[fleet.kigali.service.rosters.kind.echo]
idempotent = true
`

// runHop compares the latency of calls sent directly to a stand-in backend server
// with that of calls through two nodes.
func runHop(bin string, o hopOptions) error {
	return withFleet(bin, func(f *harness.Fleet) error { return measureHop(f, o) })
}

// measureHop runs the measurement on an empty fleet, alternating direct and
// routed calls, and prints the results.
func measureHop(f *harness.Fleet, o hopOptions) error {
	entry, err := f.StartNode(harness.NodeSpec{Domain: "nyarugenge", HasDisk: true, ExtraSettings: []string{"replicas = 1"}})
	if err != nil {
		return err
	}
	serverNode, err := f.StartNode(harness.NodeSpec{Domain: "nyarugenge"})
	if err != nil {
		return err
	}
	server, err := f.StartServer(serverNode, harness.ServerSpec{Service: "kigali/rosters", Slots: 256, Connections: 1024, Kinds: []string{"echo=0s@1024"}})
	if err != nil {
		return err
	}
	if err := f.FormReplicaGroups(entry); err != nil {
		return err
	}
	if _, err := f.ApplySettings(entry, hopSettings, settings.Entries{}); err != nil {
		return err
	}
	kinds := []load.RequestKind{{Target: "kigali/rosters/echo", ArrivalFraction: 1, Deadline: 2 * time.Second, BodyBytes: 500}}
	if err := awaitKindsServed(f, kinds); err != nil {
		return err
	}
	for range o.rounds {
		direct, err := measureLatency(o, kinds, server.Addr, true)
		if err != nil {
			return err
		}
		through, err := measureLatency(o, kinds, entry.HTTP, false)
		if err != nil {
			return err
		}
		fmt.Printf("direct p50=%s p99=%s through two nodes p50=%s p99=%s added p50=%s p99=%s\n",
			direct[0], direct[1], through[0], through[1], through[0]-direct[0], through[1]-direct[1])
	}
	return nil
}

// measureLatency sends calls to entry and returns their p50 and p99 latency. It
// fails if any call fails.
func measureLatency(o hopOptions, kinds []load.RequestKind, entry string, direct bool) ([2]time.Duration, error) {
	r := load.Run(load.Options{Addrs: []string{entry}, Kinds: kinds, DirectToServers: direct, Phases: []load.Phase{{Rate: o.callRate, Duration: o.runDuration}}})
	for _, out := range r.Outcomes {
		if !out.OK {
			return [2]time.Duration{}, fault.Newf(fault.Internal, "a call failed: %s", out.Reason)
		}
	}
	// Skip the first second, in which connections are opened.
	h := r.LatencyHistogram(0, time.Second, o.runDuration)
	percentile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return [2]time.Duration{percentile(50), percentile(99)}, nil
}
