package main

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// commitSettings declares the request kinds of commitKinds; lodge requires an
// idempotency key.
const commitSettings = `
[fleet.suva.service.claims-hub.kind.lodge]
class = "protected"
key_required = true
[fleet.suva.service.claims-hub.kind.status]
idempotent = true
`

// commitKinds is an even mix of keyed and unkeyed requests.
var commitKinds = []load.RequestKind{
	{Target: "suva/claims-hub/lodge", ArrivalFraction: 0.5, Deadline: 5 * time.Second, BodyBytes: 200, Keyed: true},
	{Target: "suva/claims-hub/status", ArrivalFraction: 0.5, Deadline: 5 * time.Second, BodyBytes: 200},
}

// commitOptions are the flags of the commit command.
type commitOptions struct {
	changeCount int
	requestRate float64
	runDuration time.Duration
}

// quantile returns the q-quantile of durations sorted in ascending order, or 0
// if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted)))))]
}

// runCommit measures the latency of settings changes and of keyed requests on
// three replicas in three failure domains, with real disk syncs.
func runCommit(bin string, o commitOptions) error {
	return withFleet(bin, func(f *harness.Fleet) error { return measureCommit(f, o) })
}

// measureCommit runs the measurement on an empty fleet and prints the results.
func measureCommit(f *harness.Fleet, o commitOptions) error {
	for _, d := range kigaliDomains[:3] {
		n, err := f.StartNode(harness.NodeSpec{Domain: d, HasDisk: true, ExtraSettings: []string{"replicas = 3", "shards = 4"}})
		if err != nil {
			return err
		}
		if _, err := f.StartServer(n, harness.ServerSpec{Service: "suva/claims-hub", Slots: 256, Connections: 1024, Kinds: []string{"lodge=0s", "status=0s"}}); err != nil {
			return err
		}
	}
	if err := f.FormReplicaGroups(f.Nodes[0]); err != nil {
		return err
	}
	if err := awaitVoters(f, 3); err != nil {
		return err
	}
	version, err := f.ApplySettings(f.Nodes[0], commitSettings, nil)
	if err != nil {
		return err
	}
	times, err := changeLatencies(f, version, o.changeCount)
	if err != nil {
		return err
	}
	fmt.Printf("changes, one at a time: n=%d p50=%s p99=%s\n", len(times), quantile(times, 0.5), quantile(times, 0.99))
	if err := awaitKindsServed(f, commitKinds); err != nil {
		return err
	}
	for _, rate := range []float64{o.requestRate / 8, o.requestRate} {
		r := load.Run(load.Options{Addrs: f.HTTPAddrs(), Kinds: commitKinds, Phases: []load.Phase{{Rate: rate, Duration: o.runDuration}}})
		served := 0
		for _, out := range r.Outcomes {
			if out.OK {
				served++
			}
		}
		for i, k := range commitKinds {
			h := r.LatencyHistogram(i, 0, o.runDuration)
			fmt.Printf("rate=%g %s served=%d of=%d p50=%dus p99=%dus\n", rate, k.Target, served, len(r.Outcomes), h.ValueAtQuantile(50), h.ValueAtQuantile(99))
		}
	}
	return nil
}

// changeLatencies makes n settings changes one after another, based on the
// given version, and returns their latencies in ascending order.
func changeLatencies(f *harness.Fleet, version uint64, n int) ([]time.Duration, error) {
	c := ctl.NewClient(f.Nodes[0].Admin)
	var out []time.Duration
	for i := range n {
		var res node.ChangeResult
		set := settings.Entries{"#deadline": fmt.Sprintf("%dms", 1000+i)}
		started := time.Now()
		if err := c.Post("/v1/config", node.ChangeRequest{ID: uuid.NewString(), Base: version, Set: set}, &res); err != nil {
			return nil, err
		}
		if res.Version != version+1 {
			return nil, fault.Newf(fault.Conflict, "change %d: %s", i, res.Reason)
		}
		out = append(out, time.Since(started))
		version = res.Version
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}
