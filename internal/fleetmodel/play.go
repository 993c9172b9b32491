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

// kind is a Kind with its number.
type kind struct {
	*Kind
	index uint8
}

// play is a fleet that is played.
type play struct {
	clock
	fleet  Fleet
	rng    *rand.Rand
	kinds  map[string]*kind
	nodes  []*node
	byID   map[string]*node
	works  map[*work]bool
	limits budget.Limits
	// load is what the bursts multiply the load by.
	load float64
	// resend is the share of the callers that send again without being told, and
	// resendTimes how often.
	resend, resendTimes float64
	res                 *Result
}

// Run plays a fleet.
func Run(f Fleet, seed uint64) *Result {
	p := &play{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), kinds: map[string]*kind{}, byID: map[string]*node{},
		works: map[*work]bool{}, load: 1, res: newResult(f),
		limits: budget.Limits{Ratio: f.Policy.RetryRatio, Window: f.Policy.RetryWindow, Burst: f.Policy.RetryBurst},
	}
	for i := range f.Kinds {
		p.kinds[f.Kinds[i].Name] = &kind{&f.Kinds[i], uint8(i)}
	}
	p.build()
	p.disturb()
	for i := range f.Kinds {
		if k := p.kinds[f.Kinds[i].Name]; k.PerSecond > 0 {
			p.nextArrival(k)
		}
	}
	p.until(f.Length + drainTime)
	return p.res
}

// drainTime is how long after the last request answers are waited for.
const drainTime = 20 * time.Second

func (p *play) way(a, b int) time.Duration {
	if a == b {
		return p.fleet.Within
	}
	return p.fleet.Between
}

func (p *play) eject() route.EjectOptions {
	return route.EjectOptions{ConsecutiveFailures: p.fleet.Policy.EjectFailures, Duration: p.fleet.Policy.EjectTime}
}

func (p *play) build() {
	for i := range p.fleet.Services {
		s := &p.fleet.Services[i]
		for k := range s.Servers {
			n := &node{p: p, id: s.Name + strconv.Itoa(k), domain: k % p.fleet.Domains}
			n.server = &server{spec: s, speed: s.Speeds[k%len(s.Speeds)], slow: 1}
			p.nodes = append(p.nodes, n)
			p.byID[n.id] = n
		}
	}
	for _, n := range p.nodes {
		n.start()
	}
}

// start begins the node anew: it knows of nothing but the servers.
func (n *node) start() {
	p := n.p
	n.boot++
	n.down = false
	pol := p.fleet.Policy
	n.guard = admission.New(admission.Options{
		Slots: n.server.spec.Slots, QueueMax: pol.QueueMax, QueueWait: pol.QueueWait, QueueTarget: pol.QueueTarget, Window: pol.Window,
	})
	n.server.busy = 0
	n.waiting = map[*admission.Waiter]*work{}
	n.retries = map[string]*budget.Throttle{}
	n.waits = map[string]*admission.Bulkhead{}
	n.callers = map[*call]func(){}
	n.entered, n.nested = &pathlevel.Table{}, &pathlevel.Table{}
	n.routes = p.snapshot(n)
	n.tick(n.boot)
}

// tick closes the guard's windows also where there is no traffic.
func (n *node) tick(boot int) {
	n.p.after(n.p.fleet.Policy.Window, func() {
		if n.boot == boot && !n.down {
			n.guard.Tick(n.p.now)
			n.tick(boot)
		}
	})
}

// snapshot is the routing table of a node: all servers, each as this node sees it.
func (p *play) snapshot(of *node) *route.Snapshot {
	s := &route.Snapshot{Services: map[string]*route.Service{}}
	domains := map[string][][]*route.Instance{}
	for _, n := range p.nodes {
		name := n.server.spec.Name
		if domains[name] == nil {
			domains[name] = make([][]*route.Instance, p.fleet.Domains)
		}
		// Servers have served for long when the play begins.
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

// nextArrival has the next request of a kind sent.
func (p *play) nextArrival(k *kind) {
	gap := time.Duration(p.rng.ExpFloat64() / (k.PerSecond * p.load) * float64(time.Second))
	p.after(gap, func() {
		if p.now >= p.fleet.Length {
			return
		}
		p.nextArrival(k)
		r := &request{kind: k, first: p.now, left: k.Resends}
		if p.rng.Float64() < p.resend {
			r.left += int(p.resendTimes)
			r.hasty = true
		}
		p.res.sent(r)
		p.ask(r)
	})
}

// request is what a caller wants, over all its attempts.
type request struct {
	kind  *kind
	first time.Duration
	// left is how often it is sent again.
	left int
	// hasty is set if the caller does not wait as it is told.
	hasty bool
}

// hastyPause is the time after which a hasty caller sends again.
const hastyPause = 50 * time.Millisecond

// ask sends a request to a node, by which it enters.
func (p *play) ask(r *request) {
	n := p.entry()
	if n == nil {
		p.res.ended(r, answer{code: fault.NoBackend, run: fault.NotExecuted}, p.now)
		return
	}
	c := &call{
		kind: r.kind, root: r.kind, rank: rank.Make(r.kind.Class, uint8(p.rng.IntN(rank.Cohorts))), pool: &budget.Pool{},
		deadline: p.now + r.kind.Deadline,
		state:    retry.Call{Replayable: true, Idempotent: r.kind.Idempotent, MaxOffered: r.kind.OfferMax},
	}
	c.pool.Reset(p.fleet.Policy.RetryBudget)
	c.done = func(a answer) { p.answered(r, a) }
	// A caller whose node lost power finds out at once.
	n.callers[c] = func() {
		c.ended = true
		p.answered(r, answer{code: fault.PeerLost, run: fault.ExecutionUnknown})
	}
	n.begin(c)
}

// entry is the node by which a request enters: any that runs.
func (p *play) entry() *node {
	const tries = 20
	for range tries {
		if n := p.nodes[p.rng.IntN(len(p.nodes))]; !n.down {
			return n
		}
	}
	return nil
}

// answered ends an attempt of a caller.
func (p *play) answered(r *request, a answer) {
	again := r.left > 0 && (a.run == fault.NotExecuted || r.kind.Idempotent)
	if a.ok() || !again {
		p.res.ended(r, a, p.now)
		return
	}
	r.left--
	pause := hastyPause
	if !r.hasty {
		pause = retry.RetryAfterWithin(a.level, r.kind.Objective, p.rng.Float64())
	}
	p.after(pause, func() { p.ask(r) })
}
