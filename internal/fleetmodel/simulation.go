package fleetmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
)

// indexedKind is a request kind with its index in the scenario.
type indexedKind struct {
	*RequestKind
	index uint8
}

// simulation is the state of a running scenario.
type simulation struct {
	eventLoop
	scenario   Scenario
	rng        *rand.Rand
	kinds      map[string]*indexedKind
	nodes      []*node
	nodesByID  map[string]*node
	executions map[*execution]bool
	// lastExecution and lastCall are the numbers of the latest execution and call.
	lastExecution, lastCall int
	retryLimits             budget.Limits
	// loadFactor multiplies the arrival rates.
	loadFactor float64
	// resendFraction is the fraction of callers that resend immediately, with
	// extraResends additional resends.
	resendFraction, extraResends float64
	result                       *Result
}

// Run simulates a scenario; the seed determines all random choices.
func Run(f Scenario, seed uint64) *Result {
	sim := &simulation{
		scenario: f, rng: rand.New(rand.NewPCG(seed, 1)), kinds: map[string]*indexedKind{}, nodesByID: map[string]*node{},
		executions: map[*execution]bool{}, loadFactor: 1, result: newResult(f),
		retryLimits: budget.Limits{Ratio: f.Policy.RetryRatio, Window: f.Policy.RetryWindow, Burst: f.Policy.RetryBurst},
	}
	for i := range f.Kinds {
		sim.kinds[f.Kinds[i].Name] = &indexedKind{&f.Kinds[i], uint8(i)}
	}
	sim.createNodes()
	sim.scheduleDisturbances()
	for i := range f.Kinds {
		if k := sim.kinds[f.Kinds[i].Name]; k.RatePerSecond > 0 {
			sim.scheduleArrival(k)
		}
	}
	sim.runUntil(f.Duration + drainTime)
	return sim.result
}

// drainTime is how long the simulation continues after the last arrival.
const drainTime = 20 * time.Second

// latency returns the one-way latency between two failure domains.
func (sim *simulation) latency(a, b int) time.Duration {
	if a == b {
		return sim.scenario.SameDomainLatency
	}
	return sim.scenario.CrossDomainLatency
}

func (sim *simulation) ejectOptions() route.EjectOptions {
	return route.EjectOptions{ConsecutiveFailures: sim.scenario.Policy.EjectFailures, Duration: sim.scenario.Policy.EjectTime}
}

// createNodes creates and starts the nodes with their servers.
func (sim *simulation) createNodes() {
	for i := range sim.scenario.Services {
		s := &sim.scenario.Services[i]
		for k := range s.Servers {
			n := &node{sim: sim, id: s.Name + strconv.Itoa(k), domain: k % sim.scenario.Domains}
			n.server = &server{spec: s, speedFactor: s.SpeedFactors[k%len(s.SpeedFactors)], slowdown: 1}
			sim.nodes = append(sim.nodes, n)
			sim.nodesByID[n.id] = n
		}
	}
	for _, n := range sim.nodes {
		n.start()
	}
}

// start starts a node with empty state and full knowledge of the servers.
func (n *node) start() {
	sim := n.sim
	n.incarnation++
	n.down = false
	pol := sim.scenario.Policy
	n.limiter = admission.New(admission.Options{
		Slots: n.server.spec.Slots, QueueMax: pol.QueueMax, QueueWait: pol.QueueWait, QueueTarget: pol.QueueTarget, Window: pol.Window,
	})
	n.server.inFlight = 0
	n.queued = map[*admission.Waiter]*execution{}
	n.retryThrottles = map[string]*budget.Throttle{}
	n.arrivals = &budget.Arrivals{}
	n.bulkheads = map[string]*admission.Bulkhead{}
	n.powerLossCallbacks = map[*call]func(){}
	n.ingressLevels, n.nestedLevels = &pathlevel.Table{}, &pathlevel.Table{}
	n.routes = sim.routingSnapshot(n)
	n.scheduleTick(n.incarnation)
}

// scheduleTick closes the limiter's windows while there is no traffic.
func (n *node) scheduleTick(incarnation int) {
	n.sim.schedule(n.sim.scenario.Policy.Window, func() {
		if n.incarnation == incarnation && !n.down {
			n.limiter.Tick(n.sim.now)
			n.scheduleTick(incarnation)
		}
	})
}

// routingSnapshot returns the initial routing table of a node, with all servers.
func (sim *simulation) routingSnapshot(of *node) *route.Snapshot {
	s := &route.Snapshot{Services: map[string]*route.Service{}}
	domains := map[string][][]*route.Instance{}
	for _, n := range sim.nodes {
		name := n.server.spec.Name
		if domains[name] == nil {
			domains[name] = make([][]*route.Instance, sim.scenario.Domains)
		}
		// In the past, so that no server is in its ramp-up at the start.
		in := &route.Instance{
			ID: n.id, Domain: strconv.Itoa(n.domain), Slots: n.server.spec.Slots, Weight: 1, ServingSince: -time.Hour, Observed: &route.Observations{},
		}
		domains[name][n.domain] = append(domains[name][n.domain], in)
	}
	for name, byDomain := range domains {
		svc := &route.Service{}
		for d, ins := range byDomain {
			switch {
			case d == of.domain:
				svc.LocalInstances = ins
			case len(ins) > 0:
				svc.RemoteDomains = append(svc.RemoteDomains, ins)
			}
		}
		s.Services[name] = svc
	}
	return s
}

// scheduleArrival schedules the next request of a kind, with exponential
// interarrival times.
func (sim *simulation) scheduleArrival(k *indexedKind) {
	gap := time.Duration(sim.rng.ExpFloat64() / (k.RatePerSecond * sim.loadFactor) * float64(time.Second))
	sim.schedule(gap, func() {
		if sim.now >= sim.scenario.Duration {
			return
		}
		sim.scheduleArrival(k)
		r := &callerRequest{kind: k, firstSent: sim.now, resendsLeft: k.MaxResends}
		if sim.rng.Float64() < sim.resendFraction {
			r.resendsLeft += int(sim.extraResends)
			r.ignoresRetryAfter = true
		}
		sim.result.recordSent(r)
		sim.sendRequest(r)
	})
}

// callerRequest is a request of a caller over all its attempts.
type callerRequest struct {
	kind      *indexedKind
	firstSent time.Duration
	// resendsLeft is the number of resends left to the caller.
	resendsLeft int
	// ignoresRetryAfter is set if the caller resends after immediateResendDelay.
	ignoresRetryAfter bool
}

// immediateResendDelay is the delay of callers that ignore the time until they may retry.
const immediateResendDelay = 50 * time.Millisecond

// sendRequest sends an attempt of a caller to a random running node.
func (sim *simulation) sendRequest(r *callerRequest) {
	n := sim.ingressNode()
	if n == nil {
		sim.result.recordOutcome(r, outcome{code: fault.NoBackend, execution: fault.NotExecuted}, sim.now)
		return
	}
	sim.lastCall++
	c := &call{
		number: sim.lastCall, kind: r.kind, rootKind: r.kind, rank: rank.Make(r.kind.Class, uint8(sim.rng.IntN(rank.Cohorts))), retryPool: &budget.Pool{},
		deadline:   sim.now + r.kind.Deadline,
		retryState: retry.Call{Replayable: true, Idempotent: r.kind.Idempotent, MaxOffered: r.kind.MaxOffered},
	}
	c.retryPool.Reset(sim.scenario.Policy.RetryBudget)
	c.onComplete = func(o outcome) { sim.handleOutcome(r, o) }
	// A caller detects the power loss of its node immediately.
	n.powerLossCallbacks[c] = func() {
		c.completed = true
		sim.handleOutcome(r, outcome{code: fault.PeerLost, execution: fault.ExecutionUnknown})
	}
	n.startCall(c)
}

// ingressNode returns a random running node, or nil if it finds none.
func (sim *simulation) ingressNode() *node {
	const tries = 20
	for range tries {
		if n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; !n.down {
			return n
		}
	}
	return nil
}

// handleOutcome records the outcome of a caller's attempt or schedules a resend.
func (sim *simulation) handleOutcome(r *callerRequest, o outcome) {
	again := r.resendsLeft > 0 && (o.execution == fault.NotExecuted || r.kind.Idempotent)
	if o.succeeded() || !again {
		sim.result.recordOutcome(r, o, sim.now)
		return
	}
	r.resendsLeft--
	pause := immediateResendDelay
	if !r.ignoresRetryAfter {
		pause = retry.RetryAfterWithin(o.admissionLevel, r.kind.LatencyObjective, sim.rng.Float64())
	}
	sim.schedule(pause, func() { sim.sendRequest(r) })
}
