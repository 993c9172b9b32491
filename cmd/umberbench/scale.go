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

type scaleOptions struct {
	sizes        []int
	settle, span time.Duration
}

// usage is what a node process has used.
type usage struct {
	cpu   time.Duration
	bytes int64
	rss   int64
}

// runScale measures what a quiet fleet costs a node, and how long a change
// takes until it is in force everywhere, against the number of nodes.
func runScale(bin string, o scaleOptions) error {
	fmt.Println("nodes  cpu/node  control in+out/node  rss/node  change in force: median  worst of 10")
	for _, n := range o.sizes {
		if err := withFleet(bin, func(f *harness.Fleet) error { return scaleOne(f, n, o) }); err != nil {
			return err
		}
	}
	return nil
}

func scaleOne(f *harness.Fleet, size int, o scaleOptions) error {
	for i := range size {
		spec := harness.NodeSpec{Domain: kigaliDomains[i%len(kigaliDomains)], HasDisk: i < 3, ExtraSettings: []string{"replicas = 3"}}
		if _, err := f.StartNode(spec); err != nil {
			return err
		}
	}
	if err := f.FormReplicaGroups(f.Nodes[0]); err != nil {
		return err
	}
	if err := awaitReplicas(f, 3); err != nil {
		return err
	}
	if err := awaitMembers(f, size); err != nil {
		return err
	}
	time.Sleep(o.settle)
	before, err := used(f)
	if err != nil {
		return err
	}
	time.Sleep(o.span)
	after, err := used(f)
	if err != nil {
		return err
	}
	forces, err := changeTimes(f, 10)
	if err != nil {
		return err
	}
	nodes := float64(size)
	cpu := (after.cpu - before.cpu).Seconds() / nodes / o.span.Seconds()
	fmt.Printf("%5d  %7.2f%%  %10.0f B/s  %14.1f MB  %18s  %12s\n", size, 100*cpu,
		float64(after.bytes-before.bytes)/nodes/o.span.Seconds(), float64(after.rss)/nodes/(1<<20),
		forces[len(forces)/2].Round(time.Millisecond), forces[len(forces)-1].Round(time.Millisecond))
	return nil
}

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

func used(f *harness.Fleet) (usage, error) {
	var u usage
	for _, n := range f.Nodes {
		s, err := n.Status()
		if err != nil {
			return u, err
		}
		u.bytes += s.Control.In + s.Control.Out
		cpu, rss, err := procUsage(n.PID())
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.rss += rss
	}
	return u, nil
}

// clockTick is the unit of processor times in /proc, fixed on Linux.
const clockTick = 10 * time.Millisecond

// procUsage reads a process's processor time and resident memory.
func procUsage(pid int) (time.Duration, int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fault.Wrap(fault.NotFound, err, "cannot read the process's use")
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	num := func(i int) int64 {
		v, _ := strconv.ParseInt(fields[i], 10, 64)
		return v
	}
	return time.Duration(num(11)+num(12)) * clockTick, num(21) * int64(os.Getpagesize()), nil
}

// changeTimes makes changes one after another and returns, sorted, how long
// each took from when it was sent until it was in force on the last node.
func changeTimes(f *harness.Fleet, n int) ([]time.Duration, error) {
	c := ctl.NewClient(f.Nodes[0].Admin)
	var out []time.Duration
	for i := range n {
		d, err := c.Document(true)
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
		last, err := inForceAt(f, res.Version)
		if err != nil {
			return nil, err
		}
		out = append(out, last.Sub(sent))
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// inForceAt returns when the last node put a version in force, by its events.
func inForceAt(f *harness.Fleet, version uint64) (time.Time, error) {
	var last time.Time
	text := fmt.Sprintf("Version %d is in force.", version)
	for _, a := range ctl.AskAll[[]node.Event](f.AdminAddrs(), "/v1/events", nil) {
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
