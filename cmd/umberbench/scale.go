package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// scaleOptions are the flags of the scale command: the fleet sizes, the wait
// after each start and the time of observation.
type scaleOptions struct {
	sizes                               []int
	settleDuration, observationDuration time.Duration
}

// resourceUsage is the processor time, control traffic in both directions and
// resident memory of node processes.
type resourceUsage struct {
	cpu          time.Duration
	controlBytes int64
	rssBytes     int64
}

// runScale measures the resource usage per node of an idle fleet, and the time
// until a settings change is active on all nodes, by fleet size.
func runScale(bin string, o scaleOptions) error {
	fmt.Println("nodes  cpu/node  control in+out/node  rss/node  change in force: median  worst of 10")
	for _, n := range o.sizes {
		if err := withFleet(bin, func(f *harness.Fleet) error { return measureFleetSize(f, n, o) }); err != nil {
			return err
		}
	}
	return nil
}

// measureFleetSize measures an empty fleet grown to size nodes and prints a row.
func measureFleetSize(f *harness.Fleet, size int, o scaleOptions) error {
	for i := range size {
		spec := harness.NodeSpec{Domain: kigaliDomains[i%len(kigaliDomains)], HasDisk: i < 3, ExtraSettings: []string{"replicas = 3"}}
		if _, err := f.StartNode(spec); err != nil {
			return err
		}
	}
	if err := f.FormReplicaGroups(f.Nodes[0]); err != nil {
		return err
	}
	if err := awaitVoters(f, 3); err != nil {
		return err
	}
	if err := awaitMembers(f, size); err != nil {
		return err
	}
	time.Sleep(o.settleDuration)
	before, err := totalUsage(f)
	if err != nil {
		return err
	}
	time.Sleep(o.observationDuration)
	after, err := totalUsage(f)
	if err != nil {
		return err
	}
	activations, err := changeActivationTimes(f, 10)
	if err != nil {
		return err
	}
	nodes := float64(size)
	cpu := (after.cpu - before.cpu).Seconds() / nodes / o.observationDuration.Seconds()
	fmt.Printf("%5d  %7.2f%%  %10.0f B/s  %14.1f MB  %18s  %12s\n", size, 100*cpu,
		float64(after.controlBytes-before.controlBytes)/nodes/o.observationDuration.Seconds(), float64(after.rssBytes)/nodes/(1<<20),
		activations[len(activations)/2].Round(time.Millisecond), activations[len(activations)-1].Round(time.Millisecond))
	return nil
}

// awaitMembers waits until every node sees at least size/len(kigaliDomains)
// members.
func awaitMembers(f *harness.Fleet, size int) error {
	want := size / len(kigaliDomains)
	return harness.Await(60*time.Second, func() error {
		for _, n := range f.Nodes {
			s, err := n.Status()
			if err != nil {
				return err
			}
			if s.Members < want {
				return fault.Newf(fault.NotFound, "%s sees %d members of %d", s.Name, s.Members, want)
			}
		}
		return nil
	})
}

// totalUsage adds up the resource usage of all nodes.
func totalUsage(f *harness.Fleet) (resourceUsage, error) {
	var u resourceUsage
	for _, n := range f.Nodes {
		s, err := n.Status()
		if err != nil {
			return u, err
		}
		u.controlBytes += s.Control.In + s.Control.Out
		cpu, rss, err := processUsage(n.PID())
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.rssBytes += rss
	}
	return u, nil
}

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// processUsage reads the processor time and the resident memory in bytes of a
// process from /proc.
func processUsage(pid int) (time.Duration, int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fault.Wrap(fault.NotFound, err, "cannot read the resource usage of the process")
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	num := func(i int) int64 {
		v, _ := strconv.ParseInt(fields[i], 10, 64)
		return v
	}
	return time.Duration(num(11)+num(12)) * clockTick, num(21) * int64(os.Getpagesize()), nil
}

// changeActivationTimes makes n settings changes one after another and returns,
// in ascending order, the time from sending each to its activation on the last
// node.
func changeActivationTimes(f *harness.Fleet, n int) ([]time.Duration, error) {
	c := ctl.NewClient(f.Nodes[0].Admin)
	var out []time.Duration
	for i := range n {
		d, err := c.Settings(true)
		if err != nil {
			return nil, err
		}
		sent := time.Now()
		var res node.ChangeResult
		set := settings.Entries{"#deadline": fmt.Sprintf("%dms", 1000+i)}
		if err := c.Post("/v1/config", node.ChangeRequest{ID: uuid.NewString(), Base: d.Version, Set: set}, &res); err != nil {
			return nil, err
		}
		if err := f.AwaitVersion(res.Version, 20*time.Second); err != nil {
			return nil, err
		}
		last, err := lastActivation(f, res.Version)
		if err != nil {
			return nil, err
		}
		out = append(out, last.Sub(sent))
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// lastActivation returns when the last node activated a version, from the nodes'
// event logs.
func lastActivation(f *harness.Fleet, version uint64) (time.Time, error) {
	var last time.Time
	text := fmt.Sprintf("Version %d is in force.", version)
	for _, a := range ctl.QueryAll[[]node.Event](f.AdminAddrs(), "/v1/events", nil) {
		if a.Err != nil {
			return last, a.Err
		}
		for _, e := range a.Value {
			if e.Text == text && e.Time.After(last) {
				last = e.Time
			}
		}
	}
	return last, nil
}
