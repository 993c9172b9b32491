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

const commitTree = `
[fleet.suva.service.claims-hub.kind.lodge]
class = "protected"
key_required = true
[fleet.suva.service.claims-hub.kind.status]
idempotent = true
`

var commitKinds = []load.RequestKind{
	{Target: "suva/claims-hub/lodge", ArrivalFraction: 0.5, Deadline: 5 * time.Second, BodyBytes: 200, Keyed: true},
	{Target: "suva/claims-hub/status", ArrivalFraction: 0.5, Deadline: 5 * time.Second, BodyBytes: 200},
}

type commitOptions struct {
	changes int
	rate    float64
	span    time.Duration
}

// quantileOf returns a quantile of sorted durations.
func quantileOf(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted)))))]
}

// runCommit measures settings changes and keyed requests with real syncs, on
// three replicas in three failure domains.
func runCommit(bin string, o commitOptions) error {
	return withFleet(bin, func(f *harness.Fleet) error { return commit(f, o) })
}

func commit(f *harness.Fleet, o commitOptions) error {
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
	if err := awaitReplicas(f, 3); err != nil {
		return err
	}
	version, err := f.ApplySettings(f.Nodes[0], commitTree, nil)
	if err != nil {
		return err
	}
	times, err := changeLatencies(f, version, o.changes)
	if err != nil {
		return err
	}
	fmt.Printf("changes, one at a time: n=%d p50=%s p99=%s\n", len(times), quantileOf(times, 0.5), quantileOf(times, 0.99))
	if err := awaitServed(f, commitKinds); err != nil {
		return err
	}
	for _, rate := range []float64{o.rate / 8, o.rate} {
		r := load.Run(load.Options{Addrs: f.HTTPAddrs(), Kinds: commitKinds, Phases: []load.Phase{{Rate: rate, Duration: o.span}}})
		served := 0
		for _, out := range r.Outcomes {
			if out.OK {
				served++
			}
		}
		for i, k := range commitKinds {
			h := r.LatencyHistogram(i, 0, o.span)
			fmt.Printf("rate=%g %s served=%d of=%d p50=%dus p99=%dus\n", rate, k.Target, served, len(r.Outcomes), h.ValueAtQuantile(50), h.ValueAtQuantile(99))
		}
	}
	return nil
}

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
