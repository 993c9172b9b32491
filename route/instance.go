package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Instance is a backend server as its callers see it: what it announced and
// what they observed. The announced part is immutable; the observed part is
// atomic, so that requests share it without a lock.
type Instance struct {
	// ID is the id of the node beside the backend server.
	ID string
	// Addr is where the node takes requests of other nodes.
	Addr string
	// Domain is the failure domain.
	Domain string
	// Slots is the announced concurrency.
	Slots int
	// Weight scales the share of load; 1 is normal.
	Weight float64
	// Since is when the backend server began to serve, on the picker's clock.
	Since time.Duration

	// Seen is the observed part; it survives new snapshots.
	Observed *Observations
}

// In tells whether the instance is one of others, which may be of an earlier
// snapshot.
func (i *Instance) IsAnyOf(others []*Instance) bool {
	for _, o := range others {
		if o.Observed == i.Observed {
			return true
		}
	}
	return false
}

// Observed is what callers have seen of an instance. The zero value is an
// instance of which nothing is known.
type Observations struct {
	inflight   atomic.Int32
	remoteLoad atomic.Uint32 // in flight << 16 | limit, as last reported
	level      atomic.Uint32
	levelAt    atomic.Int64
	failures   atomic.Int32
	ejectedTo  atomic.Int64
	probing    atomic.Bool
	latency    atomic.Uint64 // float64 bits of a moving mean, in seconds
	draining   atomic.Bool
	failing    atomic.Uint64 // float64 bits of the share of failed attempts
	failingAt  atomic.Int64
	cutOff     atomic.Bool
	told       atomic.Bool
}

// JustEjected tells once that the instance was ejected.
func (o *Observations) ConsumeEjection() bool {
	return o.Ejected() && o.told.CompareAndSwap(false, true)
}

// CutOff takes in whether the node beside the instance can be reached at all.
// One that cannot gets no requests, however many others fail.
func (o *Observations) SetUnreachable(cut bool) { o.cutOff.Store(cut) }

// Begin counts a request sent to the instance. The first one to an ejected
// instance is its probe.
func (o *Observations) Begin() {
	o.inflight.Add(1)
	if o.Ejected() {
		o.probing.Store(true)
	}
}

// Announced takes in what the instance says of itself, which overrides what a
// refusal said earlier.
func (o *Observations) SetDraining(draining bool) { o.draining.Store(draining) }

// InFlight returns the requests that this node has at the instance.
func (o *Observations) InFlight() int { return int(o.inflight.Load()) }

// Report is what an answer, or its absence, says of an instance.
type Outcome struct {
	// Failed is set if the instance, not the request, was at fault.
	Failed bool
	// Rejected is set if the backend server itself turned the request away.
	Rejected bool
	// Draining is set if the instance refused because it is leaving.
	Draining bool
	// HasLoad is set if Level, InFlight and Limit came with the answer.
	HasLoad bool
	// Level is the instance's own admission level.
	Level rank.Level
	// InFlight and Limit are its load.
	InFlight, Limit uint16
	// Took is the time until the answer, zero if there was none.
	Took time.Duration
	// Waited is how long an answer was waited for that did not come in time, else
	// zero.
	Waited time.Duration
}

// latencyKeep is the share of the old mean that a new sample leaves. The kinds
// of one service differ in time up to twenty times, so that fewer samples
// would show the mix and not the instance.
const latencyKeep = 0.97

// End takes in the outcome of a request begun with Begin.
func (o *Observations) End(now time.Duration, r Outcome, e EjectOptions) {
	o.inflight.Add(-1)
	o.probing.Store(false)
	o.observeFailure(now, r)
	if r.HasLoad {
		o.remoteLoad.Store(uint32(r.InFlight)<<16 | uint32(r.Limit))
		o.level.Store(uint32(r.Level))
		o.levelAt.Store(int64(now))
	}
	if r.Draining {
		o.draining.Store(true)
	}
	if r.Failed {
		o.fail(now, e)
		return
	}
	if r.HasLoad || r.Took > 0 {
		o.failures.Store(0)
	}
	if r.Took > 0 {
		old := math.Float64frombits(o.latency.Load())
		mean := r.Took.Seconds()
		if old > 0 {
			mean = old*latencyKeep + mean*(1-latencyKeep)
		}
		o.latency.Store(math.Float64bits(mean))
	}
}

const (
	// failingKeep is the share of the old share of failures that an attempt
	// leaves: a server that fails half of its requests shows after five.
	failingKeep = 0.85
	// failingLife is the time in which the share fades to a third, so that an
	// instance that is avoided is tried again.
	failingLife = 3 * time.Second
	// failingFrom is the share from which an instance is avoided. Sound
	// servers fail well under one request in twenty.
	failingFrom = 0.12
	// failingLoad is the load that an instance that always fails seems to
	// have beside its own: more than another at full load.
	failingLoad = 3
)

// observeFailure keeps the share of attempts that failed at the instance,
// whatever its load. A server that turns away or fails some of its requests
// cannot be told by failures in a row.
func (o *Observations) observeFailure(now time.Duration, r Outcome) {
	x := 0.0
	if r.Failed || r.Rejected || o.late(r) {
		x = 1
	} else if o.Ejected() {
		// A probe went well: the ejected instance starts afresh.
		o.failing.Store(0)
		return
	}
	share := o.failingShare(now)
	if x == 0 && share == 0 {
		return
	}
	// A lost race drops one attempt of many.
	o.failing.Store(math.Float64bits(share*failingKeep + x*(1-failingKeep)))
	o.failingAt.Store(int64(now))
}

// late tells whether the instance, not the time that the request had left, was the
// reason that an answer did not come: it was waited for longer than answers usually
// take. A server that has become too slow for the deadlines of its callers has no
// answers by which it could be told.
func (o *Observations) late(r Outcome) bool {
	return r.Waited.Seconds() > math.Float64frombits(o.latency.Load())
}

func (o *Observations) failingShare(now time.Duration) float64 {
	share := math.Float64frombits(o.failing.Load())
	if share == 0 {
		return 0
	}
	age := now - time.Duration(o.failingAt.Load())
	return share * math.Exp(-age.Seconds()/failingLife.Seconds())
}

// penalty is the load that the instance's failures stand for.
// While it is ejected, probing decides alone.
func (o *Observations) penalty(now time.Duration) float64 {
	if o.Ejected() {
		return 0
	}
	share := o.failingShare(now)
	if share < failingFrom {
		return 0
	}
	return failingLoad * share
}

// EjectOptions say when an instance is ejected.
type EjectOptions struct {
	// Failures in a row that eject.
	Failures int
	// Time until an ejected instance is probed.
	Time time.Duration
}

func (o *Observations) fail(now time.Duration, e EjectOptions) {
	failures := int(o.failures.Add(1))
	if failures == e.Failures {
		o.told.Store(false)
	}
	if failures >= e.Failures {
		o.ejectedTo.Store(int64(now + e.Time))
	}
}

// Ejected tells whether the instance is ejected, probing included.
func (o *Observations) Ejected() bool { return o.ejectedTo.Load() != 0 && o.failures.Load() > 0 }

// usable tells whether a request may go to the instance: it is not ejected,
// or its time is over and no other request probes it.
func (o *Observations) usable(now time.Duration) bool {
	if o.draining.Load() || o.cutOff.Load() {
		return false
	}
	if !o.Ejected() {
		return true
	}
	return now >= time.Duration(o.ejectedTo.Load()) && !o.probing.Load()
}

// levelLife is how long a reported level is believed; then it fades, so that
// an instance that is sent nothing is tried again.
const levelLife = 500 * time.Millisecond

// Level returns the admission level as far as it is still believed.
func (o *Observations) Level(now time.Duration) rank.Level {
	return DecayLevel(rank.Level(o.level.Load()), now-time.Duration(o.levelAt.Load()))
}

// Fade returns what is left of a level of the given age: all of it for half
// a second, then linearly less until none is left after another second.
func DecayLevel(l rank.Level, age time.Duration) rank.Level {
	if age <= levelLife {
		return l
	}
	left := 1 - float64(age-levelLife)/float64(2*levelLife)
	if left <= 0 {
		return 0
	}
	return rank.Level(float64(l) * left)
}

// load is the expected occupation of the instance: the greater of the
// requests that this node has there and those that it reported, over its
// limit, which grows while it is new.
func (i *Instance) load(now, ramp time.Duration) float64 {
	word := i.Observed.remoteLoad.Load()
	reported, limit := float64(word>>16), float64(word&0xffff)
	if limit == 0 {
		limit = float64(max(i.Slots, 1))
	}
	own := float64(i.Observed.inflight.Load())
	return (max(own, reported)+own/limit)/(limit*i.Weight*i.rampFactor(now, ramp)) + i.Observed.penalty(now)
}

// latency is the mean time of the instance's answers, 0 while unknown.
func (i *Instance) latency() float64 { return math.Float64frombits(i.Observed.latency.Load()) }

// rampStart is the share with which a new instance begins.
const rampStart = 0.1

func (i *Instance) rampFactor(now, ramp time.Duration) float64 {
	age := now - i.Since
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return max(rampStart, float64(age)/float64(ramp))
}
