package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is the kind of a step.
type StepKind string

// Kinds of steps. The first group acts on the process of a node.
const (
	PauseProcess StepKind = "freeze" // SIGSTOP, SIGCONT at the end
	KillProcess  StepKind = "kill"   // SIGKILL and a later start
	StopProcess  StepKind = "term"   // SIGTERM and a later start
	WipeDisk     StepKind = "wipe"   // SIGKILL, removal of the data folder and a later start
	TearLog      StepKind = "torn"   // SIGKILL, an incomplete record at the end of the log and a later start
	// ReplaceNode sends SIGKILL; an empty node starts later at other addresses.
	ReplaceNode StepKind = "replace"

	CutInbound         StepKind = "cut-there" // drops traffic to the node
	CutOutbound        StepKind = "cut-back"  // drops traffic from the node
	CutBoth            StepKind = "cut-both"
	SilenceConnections StepKind = "silence" // open connections deliver nothing more
	ResetConnections   StepKind = "reset"   // open connections are closed
	DelayTraffic       StepKind = "delay"   // delays traffic through the relays

	ServerCrash    StepKind = "server-lost" // a backend server stops without draining
	ServerDrain    StepKind = "server-drain"
	ServerSlowdown StepKind = "server-slow"
	ServerErrors   StepKind = "server-fail" // half of the requests fail

	StallDisk    StepKind = "stall"  // syncs of a replica's disk block
	RefuseWrites StepKind = "refuse" // a replica's disk refuses writes

	ChangeSettings     StepKind = "change" // one settings change
	ConflictingChanges StepKind = "race"   // two concurrent settings changes based on the same version
)

// plannableKinds are the kinds that a plan draws from; duplicates raise the
// probability of a kind.
var plannableKinds = []StepKind{
	PauseProcess, KillProcess, StopProcess, StopProcess, WipeDisk, ReplaceNode, TearLog, CutInbound, CutOutbound, CutBoth, SilenceConnections, ResetConnections, DelayTraffic,
	ServerCrash, ServerDrain, ServerSlowdown, ServerErrors, ChangeSettings, ChangeSettings, ConflictingChanges,
}

// losesDisk reports whether the kind destroys the data of a replica.
func (k StepKind) losesDisk() bool { return k == WipeDisk || k == ReplaceNode }

// requiresDisk reports whether the kind applies only to nodes with a disk.
func (k StepKind) requiresDisk() bool {
	return k.losesDisk() || k == TearLog || k == StallDisk || k == RefuseWrites
}

// stopsProcess reports whether the kind ends the process of a node.
func (k StepKind) stopsProcess() bool {
	return k == KillProcess || k == StopProcess || k.losesDisk() || k == TearLog
}

// disturbsNothing reports whether the kind leaves the other nodes undisturbed.
func (k StepKind) disturbsNothing() bool {
	return k == ChangeSettings || k == ConflictingChanges || k == StopProcess
}

// KnownFailure is a run that once violated a promise, kept as a regression test.
type KnownFailure struct {
	Seed     uint64
	Duration time.Duration
	// DiskStalls reports whether disks stalled.
	DiskStalls bool
	Cause      string
}

// causeStalledDisk occurs only if syncs take 0.5 s or more.
const causeStalledDisk = "groups lost their leader repeatedly while disks stalled"

// KnownFailures are the runs that violated a promise, with the cause. Each cause also
// has a test outside this package.
var KnownFailures = []KnownFailure{
	{8105, 25 * time.Second, false, "a replica that responded at two addresses was moved back and forth, and no lost disk was replaced"},
	{8240, 30 * time.Second, true, causeStalledDisk},
	{8302, 30 * time.Second, true, causeStalledDisk},
	{8308, 30 * time.Second, true, causeStalledDisk},
	{8309, 30 * time.Second, true, causeStalledDisk},
}

// Step is an injected fault or an operator's change.
type Step struct {
	At   time.Duration
	Kind StepKind
	// Target is the index of the node, or of the backend server beside it.
	Target int
	// For is the duration of the step; for kinds that stop a process, the time
	// until it is started again.
	For time.Duration
}

// String returns the start, kind, node and duration of the step.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s node %d for %s", s.At.Seconds(), s.Kind, s.Target+1, s.For.Round(10*time.Millisecond))
}

const (
	// initialDelay is the time of undisturbed traffic before the first step.
	initialDelay = 2 * time.Second
	// meanStepInterval is short enough for steps to overlap.
	meanStepInterval = 900 * time.Millisecond
	// minStepDuration and maxStepDuration bound the duration of a step.
	minStepDuration = 200 * time.Millisecond
	maxStepDuration = 3 * time.Second
	// seriesProbability is the probability that a step is repeated on subsequent
	// nodes, maxSeriesLength the maximum number of nodes.
	seriesProbability = 0.25
	maxSeriesLength   = 4
	// minDiskLossInterval is the minimum time between two lost disks, since a group
	// tolerates one loss at a time. Steps during a longer repair are skipped.
	minDiskLossInterval = 6 * time.Second
)

// Plan returns the steps for a seed, sorted by time. The first replicas nodes have a
// disk; series may run past the span.
func Plan(seed uint64, nodes, replicas int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := initialDelay; at < span; at += time.Duration(r.ExpFloat64() * float64(meanStepInterval)) {
		s := Step{At: at, Kind: plannableKinds[r.IntN(len(plannableKinds))], Target: r.IntN(nodes), For: minStepDuration + time.Duration(r.Int64N(int64(maxStepDuration-minStepDuration)))}
		length := 1
		if r.Float64() < seriesProbability {
			length = 2 + r.IntN(maxSeriesLength-1)
		}
		gap := time.Duration(r.Int64N(int64(maxStepDuration / 2)))
		for range length {
			steps = append(steps, s)
			s.Target = (s.Target + 1) % nodes
			s.At += gap
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return removeUnsafeSteps(steps, replicas)
}

const (
	// meanStallInterval is the mean time between two stalls, of any disk, and
	// maxStall the maximum duration, short enough that the replica is not replaced.
	meanStallInterval = 3 * time.Second
	maxStall          = 3500 * time.Millisecond
	// minStall is longer than the election timeout.
	minStall = 500 * time.Millisecond
)

// StallPlan returns the disk stalls for a seed, independently of Plan. Stalls of
// several disks may overlap.
func StallPlan(seed uint64, replicas int, span time.Duration) []Step {
	return diskPlan(StallDisk, seed, replicas, span, meanStallInterval, minStall, maxStall)
}

const (
	// meanRefusalInterval is the mean time between two refusals of any disk, minRefusal and
	// maxRefusal bound their duration.
	meanRefusalInterval = 4 * time.Second
	minRefusal          = 500 * time.Millisecond
	maxRefusal          = 4 * time.Second
)

// RefusalPlan returns the steps in which disks refuse writes for a seed, independently of the
// other plans. Refusals of several disks may overlap.
func RefusalPlan(seed uint64, replicas int, span time.Duration) []Step {
	return diskPlan(RefuseWrites, seed, replicas, span, meanRefusalInterval, minRefusal, maxRefusal)
}

// diskPlan returns steps of one kind, at the mean interval on any replica.
func diskPlan(kind StepKind, seed uint64, replicas int, span, interval, shortest, longest time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(interval)))
	var steps []Step
	for at := initialDelay; at < span; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		steps = append(steps, Step{At: at, Kind: kind, Target: r.IntN(replicas), For: shortest + time.Duration(r.Int64N(int64(longest-shortest)))})
	}
	return steps
}

// mergeSteps returns the steps of two plans sorted by time.
func mergeSteps(a, b []Step) []Step {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return all
}

// removeUnsafeSteps removes steps that require a disk on nodes without one, and disk
// losses less than minDiskLossInterval after the previous one.
func removeUnsafeSteps(steps []Step, replicas int) []Step {
	lost := -minDiskLossInterval
	return slices.DeleteFunc(steps, func(s Step) bool {
		if !s.Kind.requiresDisk() {
			return false
		}
		if s.Target >= replicas {
			return true
		}
		if !s.Kind.losesDisk() {
			return false
		}
		if s.At-lost < minDiskLossInterval {
			return true
		}
		lost = s.At
		return false
	})
}
