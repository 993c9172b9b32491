package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Instance is a backend server as its callers see it: the announced part, which is
// immutable, and the observations, which are atomic so that requests share them without a
// lock.
type Instance struct {
	// ID identifies the node beside the backend server.
	ID string
	// Addr is the address at which the node accepts requests of other nodes.
	Addr string
	// Domain is the failure domain.
	Domain string
	// Slots is the announced concurrency limit.
	Slots int
	// Weight scales the instance's share of the load; 1 is normal.
	Weight float64
	// ServingSince is when the backend server began to serve, on the clock of Query.Now.
	ServingSince time.Duration

	// Observed holds the observations; it is shared by successive snapshots.
	Observed *Observations
}

// IsAnyOf reports whether the instance is one of others, which may come from an earlier
// snapshot.
func (i *Instance) IsAnyOf(others []*Instance) bool {
	for _, o := range others {
		if o.Observed == i.Observed {
			return true
		}
	}
	return false
}

// Observations holds what callers have observed of an instance. The zero value describes
// an instance without observations. It is safe for concurrent use.
type Observations struct {
	inflight            atomic.Int32
	remoteLoad          atomic.Uint32 // in flight << 16 | limit, as last reported
	admissionLevel      atomic.Uint32
	admissionLevelAt    atomic.Int64
	consecutiveFailures atomic.Int32
	ejectedUntil        atomic.Int64
	probing             atomic.Bool
	meanLatency         atomic.Uint64 // float64 bits of a moving mean, in seconds
	drainingUntil       atomic.Int64
	failureShareBits    atomic.Uint64 // float64 bits of the moving share of failed attempts
	failureShareAt      atomic.Int64
	unreachable         atomic.Bool
	ejectionReported    atomic.Bool
}

// ConsumeEjection reports true once for each ejection of the instance.
func (o *Observations) ConsumeEjection() bool {
	return o.Ejected() && o.ejectionReported.CompareAndSwap(false, true)
}

// SetUnreachable records whether the node beside the instance is unreachable. An
// unreachable instance gets no requests, even while most other instances are ejected.
func (o *Observations) SetUnreachable(unreachable bool) { o.unreachable.Store(unreachable) }

// RecordSend counts a request sent to the instance, until RecordOutcome. A request to an
// ejected instance is its probe.
func (o *Observations) RecordSend() {
	o.inflight.Add(1)
	if o.Ejected() {
		o.probing.Store(true)
	}
}

// SetDraining records the announced draining state, which overrides that of earlier
// refusals.
func (o *Observations) SetDraining(draining bool) {
	until := int64(0)
	if draining {
		until = math.MaxInt64
	}
	o.drainingUntil.Store(until)
}

// drainingFor is how long an instance that refused a request as draining gets no further ones.
// Gossip tells of the drain and of its end much sooner. If the refusal arrives after the end was
// told, nothing else would end the observation.
const drainingFor = 2 * time.Second

// isDraining reports whether the instance is believed to be draining.
func (o *Observations) isDraining(now time.Duration) bool {
	return now < time.Duration(o.drainingUntil.Load())
}

// InFlight returns the number of requests that this node has in flight at the instance.
func (o *Observations) InFlight() int { return int(o.inflight.Load()) }

// Outcome describes the result of a request to an instance, answered or not.
type Outcome struct {
	// Failed is set if the instance, not the request, was at fault.
	Failed bool
	// Rejected is set if the backend server itself rejected the request.
	Rejected bool
	// Draining is set if the instance refused the request because it is draining.
	Draining bool
	// HasLoad is set if the answer carried Level, InFlight and Limit.
	HasLoad bool
	// Level is the instance's own admission level.
	Level rank.Level
	// InFlight and Limit are the instance's reported load and concurrency limit.
	InFlight, Limit uint16
	// Latency is the time until the answer, zero without an answer.
	Latency time.Duration
	// TimedOutAfter is how long the request waited for an answer before it timed out, zero
	// if it did not time out.
	TimedOutAfter time.Duration
}

// latencyDecay is the weight of the old mean latency when a sample is added. It is high
// because the request kinds of a service differ in latency up to twenty times: the mean of
// fewer samples would show their mix and not the instance.
const latencyDecay = 0.97

// RecordOutcome records the outcome of a request counted by RecordSend.
func (o *Observations) RecordOutcome(now time.Duration, r Outcome, e EjectOptions) {
	o.inflight.Add(-1)
	o.probing.Store(false)
	o.updateFailureShare(now, r)
	if r.HasLoad {
		o.remoteLoad.Store(uint32(r.InFlight)<<16 | uint32(r.Limit))
		o.admissionLevel.Store(uint32(r.Level))
		o.admissionLevelAt.Store(int64(now))
	}
	if r.Draining {
		o.drainingUntil.Store(int64(now + drainingFor))
	}
	if r.Failed {
		o.recordFailure(now, e)
		return
	}
	if r.HasLoad || r.Latency > 0 {
		o.consecutiveFailures.Store(0)
	}
	if r.Latency > 0 {
		old := math.Float64frombits(o.meanLatency.Load())
		mean := r.Latency.Seconds()
		if old > 0 {
			mean = old*latencyDecay + mean*(1-latencyDecay)
		}
		o.meanLatency.Store(math.Float64bits(mean))
	}
}

const (
	// failureShareDecay is the weight of the old failure share when an attempt is added. A
	// server that fails half of its requests shows after five.
	failureShareDecay = 0.85
	// failureShareLifetime is the time in which the failure share decays to 1/e, so that
	// an avoided instance is tried again.
	failureShareLifetime = 3 * time.Second
	// minPenalizedFailureShare is the failure share from which an instance is penalized.
	// Healthy servers fail well under one request in twenty.
	minPenalizedFailureShare = 0.12
	// maxFailurePenalty is the load added to an instance that always fails, in multiples
	// of its capacity. It exceeds the load of a full instance.
	maxFailurePenalty = 3
)

// updateFailureShare updates the moving share of failed attempts, which include rejections
// and slow timeouts. It detects an instance that fails some of its requests but never
// enough in a row to be ejected.
func (o *Observations) updateFailureShare(now time.Duration, r Outcome) {
	x := 0.0
	if r.Failed || r.Rejected || o.exceededMeanLatency(r) {
		x = 1
	} else if o.Ejected() {
		// An attempt without failure at an ejected instance resets the failure share.
		o.failureShareBits.Store(0)
		return
	}
	share := o.failureShare(now)
	if x == 0 && share == 0 {
		return
	}
	// A concurrent update may be lost; each is one attempt of many.
	o.failureShareBits.Store(math.Float64bits(share*failureShareDecay + x*(1-failureShareDecay)))
	o.failureShareAt.Store(int64(now))
}

// exceededMeanLatency reports whether a request timed out after waiting longer than the mean
// latency, so that the instance and not a short deadline is to blame. It detects an
// instance too slow to answer any request before its deadline.
func (o *Observations) exceededMeanLatency(r Outcome) bool {
	return r.TimedOutAfter.Seconds() > math.Float64frombits(o.meanLatency.Load())
}

// failureShare returns the share of failed attempts, decayed since its last update.
func (o *Observations) failureShare(now time.Duration) float64 {
	share := math.Float64frombits(o.failureShareBits.Load())
	if share == 0 {
		return 0
	}
	age := now - time.Duration(o.failureShareAt.Load())
	return share * math.Exp(-age.Seconds()/failureShareLifetime.Seconds())
}

// failurePenalty returns the load added for the instance's failures, zero while the
// instance is ejected.
func (o *Observations) failurePenalty(now time.Duration) float64 {
	if o.Ejected() {
		return 0
	}
	share := o.failureShare(now)
	if share < minPenalizedFailureShare {
		return 0
	}
	return maxFailurePenalty * share
}

// EjectOptions configures when an instance is ejected and for how long.
type EjectOptions struct {
	// ConsecutiveFailures is the number of failures in a row that eject an instance.
	ConsecutiveFailures int
	// Duration is how long an instance stays ejected before it is probed.
	Duration time.Duration
}

// recordFailure counts a consecutive failure and ejects the instance at the limit.
func (o *Observations) recordFailure(now time.Duration, e EjectOptions) {
	failures := int(o.consecutiveFailures.Add(1))
	if failures == e.ConsecutiveFailures {
		o.ejectionReported.Store(false)
	}
	if failures >= e.ConsecutiveFailures {
		o.ejectedUntil.Store(int64(now + e.Duration))
	}
}

// Ejected reports whether the instance is ejected, including while it is probed.
func (o *Observations) Ejected() bool {
	return o.ejectedUntil.Load() != 0 && o.consecutiveFailures.Load() > 0
}

// isUsable reports whether a request may go to the instance: it is neither draining nor
// unreachable, and not ejected unless it is due for a probe and not being probed.
func (o *Observations) isUsable(now time.Duration) bool {
	if o.isDraining(now) || o.unreachable.Load() {
		return false
	}
	if !o.Ejected() {
		return true
	}
	return now >= time.Duration(o.ejectedUntil.Load()) && !o.probing.Load()
}

// levelFreshFor is how long a reported admission level counts in full before it decays,
// so that an instance that gets no requests is tried again.
const levelFreshFor = 500 * time.Millisecond

// Level returns the reported admission level, decayed by its age.
func (o *Observations) Level(now time.Duration) rank.Level {
	return DecayLevel(rank.Level(o.admissionLevel.Load()), now-time.Duration(o.admissionLevelAt.Load()))
}

// DecayLevel returns an admission level decayed by its age: undiminished for half a
// second, then falling linearly to zero within another second.
func DecayLevel(l rank.Level, age time.Duration) rank.Level {
	if age <= levelFreshFor {
		return l
	}
	left := 1 - float64(age-levelFreshFor)/float64(2*levelFreshFor)
	if left <= 0 {
		return 0
	}
	return rank.Level(float64(l) * left)
}

// load returns the expected utilisation of the instance: the larger of its reported
// requests and those that this node has in flight there, divided by its weighted limit,
// which is reduced while the instance ramps up. A small term for this node's own requests
// breaks ties, and failures add a penalty.
func (i *Instance) load(now, ramp time.Duration) float64 {
	word := i.Observed.remoteLoad.Load()
	reported, limit := float64(word>>16), float64(word&0xffff)
	if limit == 0 {
		limit = float64(max(i.Slots, 1))
	}
	own := float64(i.Observed.inflight.Load())
	return (max(own, reported)+own/limit)/(limit*i.Weight*i.rampFactor(now, ramp)) + i.Observed.failurePenalty(now)
}

// latency returns the mean latency of the instance's answers in seconds, 0 if unknown.
func (i *Instance) latency() float64 { return math.Float64frombits(i.Observed.meanLatency.Load()) }

// minRampFactor is the share of its capacity with which a new instance starts.
const minRampFactor = 0.1

// rampFactor returns the share of its capacity that a new instance is given, 1 after the
// ramp-up time.
func (i *Instance) rampFactor(now, ramp time.Duration) float64 {
	age := now - i.ServingSince
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return max(minRampFactor, float64(age)/float64(ramp))
}
