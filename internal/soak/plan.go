package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does.
type StepKind string

// The kinds of steps. The first group acts on the process of a node.
const (
	Freeze StepKind = "freeze" // SIGSTOP, and SIGCONT later
	Kill   StepKind = "kill"   // SIGKILL, and a start later
	Term   StepKind = "term"   // SIGTERM, and a start later
	Wipe   StepKind = "wipe"   // SIGKILL, the folder is lost, and a start later
	Torn   StepKind = "torn"   // SIGKILL, the log ends in half a record, and a start later
	// Replace is SIGKILL for good; another comes later, empty and at other addresses.
	Replace StepKind = "replace"

	CutThere StepKind = "cut-there" // nothing reaches the node
	CutBack  StepKind = "cut-back"  // nothing of the node's answers gets out
	CutBoth  StepKind = "cut-both"
	Silence  StepKind = "silence" // connections that are open go silent for good
	Reset    StepKind = "reset"   // connections that are open are closed
	Delay    StepKind = "delay"   // what is sent to the node comes late

	ServerLost  StepKind = "server-lost" // a backend server ends without a word
	ServerDrain StepKind = "server-drain"
	ServerSlow  StepKind = "server-slow"
	ServerFail  StepKind = "server-fail" // it fails half of the requests

	Stall StepKind = "stall" // syncs of a replica's disk do not return

	Change StepKind = "change" // an operator changes the settings
	Race   StepKind = "race"   // two do so at once, on the same version
)

// kinds are the kinds that a plan draws from; one that stands twice comes twice
// as often.
var kinds = []StepKind{
	Freeze, Kill, Term, Term, Wipe, Replace, Torn, CutThere, CutBack, CutBoth, Silence, Reset, Delay,
	ServerLost, ServerDrain, ServerSlow, ServerFail, Change, Change, Race,
}

// takesDisk tells whether the kind costs a replica its disk.
func (k StepKind) takesDisk() bool { return k == Wipe || k == Replace }

// needsDisk tells whether the kind is for nodes with a disk.
func (k StepKind) needsDisk() bool { return k.takesDisk() || k == Torn || k == Stall }

// stopsProcess tells whether the kind ends the process of a node.
func (k StepKind) stopsProcess() bool {
	return k == Kill || k == Term || k.takesDisk() || k == Torn
}

// harmless tells whether the kind disturbs no node.
func (k StepKind) harmless() bool { return k == Change || k == Race || k == Term }

// Failure is a run that once broke a promise, kept to be played again.
type Failure struct {
	Seed     uint64
	Duration time.Duration
	// Stalls tells whether disks stalled.
	DiskStalls bool
	Cause      string
}

// stalled is a cause that shows only where syncs take 0.5 s and more.
const stalled = "groups lost their leader again and again while disks stalled"

// Failures are the runs that broke a promise of the product, with the cause. A test
// without the soak brings each cause about as well.
var KnownFailures = []Failure{
	{8105, 25 * time.Second, false, "a replica that answered at two addresses was moved to and fro, and no lost disk replaced"},
	{8240, 30 * time.Second, true, stalled},
	{8302, 30 * time.Second, true, stalled},
	{8308, 30 * time.Second, true, stalled},
	{8309, 30 * time.Second, true, stalled},
}

// Step is one injected fault, or one planned act of an operator.
type Step struct {
	At   time.Duration
	Kind StepKind
	// Target is the index of the node, or of the backend server beside it.
	Target int
	// For is how long it lasts: until the process is started again, for those
	// that end one.
	For time.Duration
}

// String describes the step.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s node %d for %s", s.At.Seconds(), s.Kind, s.Target+1, s.For.Round(10*time.Millisecond))
}

const (
	// quietStart is the time before the first step: a few seconds of traffic.
	quietStart = 2 * time.Second
	// stepEvery is the mean time between steps, so that they overlap.
	stepEvery = 900 * time.Millisecond
	// shortest and longest bound how long a step lasts.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// seriesShare is the share of steps that come in a series, and seriesMost
	// how many nodes it takes, one after the other.
	seriesShare = 0.25
	seriesMost  = 4
	// repairTime is kept between two lost disks: the group bears one at a time. It
	// is a little more than a repair takes on a fleet that nothing else disturbs; a
	// step that finds the group still under repair is left out.
	repairTime = 6 * time.Second
)

// Plan returns the steps for a seed: for so many nodes, of which the first
// replicas have a disk, over a span.
func Plan(seed uint64, nodes, replicas int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := quietStart; at < span; at += time.Duration(r.ExpFloat64() * float64(stepEvery)) {
		s := Step{At: at, Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(nodes), For: shortest + time.Duration(r.Int64N(int64(longest-shortest)))}
		length := 1
		if r.Float64() < seriesShare {
			length = 2 + r.IntN(seriesMost-1)
		}
		gap := time.Duration(r.Int64N(int64(longest / 2)))
		for range length {
			steps = append(steps, s)
			s.Target = (s.Target + 1) % nodes
			s.At += gap
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return bearable(steps, replicas)
}

const (
	// stallEvery is the mean time between two stalls, of any disk, and stallMost how
	// long the longest lasts: one replica may be held silent for it, and is not replaced.
	stallEvery = 3 * time.Second
	stallMost  = 3500 * time.Millisecond
	// stallLeast is longer than the time that a replica waits for a leader.
	stallLeast = 500 * time.Millisecond
)

// StallPlan returns the stalls of disks for a seed, apart from the other steps: these
// are the same with stalls and without. Stalls of several disks overlap.
func StallPlan(seed uint64, replicas int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(stallEvery)))
	var steps []Step
	for at := quietStart; at < span; at += time.Duration(r.ExpFloat64() * float64(stallEvery)) {
		steps = append(steps, Step{At: at, Kind: Stall, Target: r.IntN(replicas), For: stallLeast + time.Duration(r.Int64N(int64(stallMost-stallLeast)))})
	}
	return steps
}

// together returns the steps of two plans in the order of their times.
func together(a, b []Step) []Step {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return all
}

// bearable leaves out what would lose more disks than the replicas bear, and
// puts what needs a disk on a node that has one.
func bearable(steps []Step, replicas int) []Step {
	lost := -repairTime
	return slices.DeleteFunc(steps, func(s Step) bool {
		if !s.Kind.needsDisk() {
			return false
		}
		if s.Target >= replicas {
			return true
		}
		if !s.Kind.takesDisk() {
			return false
		}
		if s.At-lost < repairTime {
			return true
		}
		lost = s.At
		return false
	})
}
