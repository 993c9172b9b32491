package node

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
)

// fleetModel simulates in virtual time how nodes learn of an overload: callers, entry nodes
// that keep path levels, a chain of middle services without limits, and a deepest service with
// real admission limiters.
type fleetModel struct {
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	deepServers []*deepServer

	entries [modelEntries]pathlevel.Table
	// middle holds the path levels at the nodes of the middle services.
	middle [modelMiddleServices][modelNodesPerService]pathlevel.Table

	// countFrom and countUntil bound the start times of the requests that are counted;
	// countUntil is 0 while it is open.
	countFrom, countUntil time.Duration
	sent, served          [modelKinds]int
	failed, refused       [modelKinds]int
}

// The dimensions of the model: a deep chain under a high load.
const (
	modelEntries = 14
	// modelMeanBurst is the mean number of requests that arrive together, less one.
	modelMeanBurst       = 3
	modelMiddleServices  = 3
	modelNodesPerService = 3
	modelCallsPerRequest = 5
	modelHopDelay        = time.Millisecond
	modelDeadline        = 6 * time.Second
	modelCallDeadline    = 700 * time.Millisecond
)

// Request kinds: modelDirectRead reads the deepest service directly. modelChainRead, a read,
// and modelChainWrite, a protected write, call it at the end of the chain.
const (
	modelDirectRead = iota
	modelChainRead
	modelChainWrite
	modelKinds
)

var modelKindNames = [modelKinds]string{"read", "check", "lodge"}

var modelKindClasses = [modelKinds]rank.Class{rank.Normal, rank.Normal, rank.Protected}

// modelDeepWork is the mean work of each call at the deepest service.
var modelDeepWork = [modelKinds]time.Duration{360 * time.Millisecond, 22 * time.Millisecond, 22 * time.Millisecond}

// modelUpstreamWork is the mean work in the middle services before the calls.
var modelUpstreamWork = [modelKinds]time.Duration{0, 400 * time.Millisecond, 400 * time.Millisecond}

// modelEvent is a function to run at a virtual time. Events at the same time run by seq.
type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// schedule runs do after a delay in virtual time.
func (m *fleetModel) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now + d, m.seq, do})
}

// deepServer is a backend server of the deepest service with its admission limiter.
type deepServer struct {
	limiter   *admission.Limiter
	speed     float64
	down      bool
	callbacks map[*admission.Waiter]func(fault.Code)
	kinds     map[*admission.Waiter]int
}

// modelRequest is a request of a caller.
type modelRequest struct {
	kind      int
	rank      rank.Rank
	entry     int
	path      [modelMiddleServices]int
	calls     int
	startedAt time.Duration
	retried   bool
}

// newFleetModel returns a model with a server of the deepest service for each given speed.
func newFleetModel(seed uint64, slots int, speeds ...float64) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(seed, seed))}
	for _, speed := range speeds {
		m.deepServers = append(m.deepServers, &deepServer{
			speed: speed, callbacks: map[*admission.Waiter]func(fault.Code){}, kinds: map[*admission.Waiter]int{},
			limiter: admission.New(admission.Options{
				Slots: slots, QueueMax: 128, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond,
			}),
		})
	}
	return m
}

// addLoad makes callers send requests of a kind at a rate, in bursts.
func (m *fleetModel) addLoad(kind int, perSecond float64) {
	var next func()
	next = func() {
		burst := 1 + int(m.rng.ExpFloat64()*modelMeanBurst)
		for range burst {
			m.arrive(&modelRequest{kind: kind})
		}
		m.schedule(time.Duration(m.rng.ExpFloat64()*(modelMeanBurst+0.5)/perSecond*float64(time.Second)), next)
	}
	m.schedule(0, next)
}

// isCounted reports whether a request started within the counted period.
func (m *fleetModel) isCounted(r *modelRequest) bool {
	return r.startedAt >= m.countFrom && (m.countUntil == 0 || r.startedAt < m.countUntil)
}

// run processes the events before until and advances the virtual time to it.
func (m *fleetModel) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at < until {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// arrive handles the arrival of a request at a random entry node.
func (m *fleetModel) arrive(r *modelRequest) {
	r.rank = rank.Make(modelKindClasses[r.kind], uint8(m.rng.IntN(rank.Cohorts)))
	r.entry = m.rng.IntN(modelEntries)
	for i := range r.path {
		r.path[i] = m.rng.IntN(modelNodesPerService)
	}
	r.calls = 1
	if r.kind != modelDirectRead {
		r.calls = modelCallsPerRequest
	}
	if !r.retried {
		r.startedAt = m.now
		if m.isCounted(r) {
			m.sent[r.kind]++
		}
	}
	l := m.entries[r.entry].Level(modelKindNames[r.kind], m.now)
	if !l.Admits(r.rank, 0) {
		m.handleRefusal(r, retry.RetryAfter(l, 0.5))
		return
	}
	m.schedule(m.drawWorkTime(modelUpstreamWork[r.kind]), func() { m.callDeepService(r) })
}

// handleRefusal makes the caller of a refused request retry once.
func (m *fleetModel) handleRefusal(r *modelRequest, wait time.Duration) {
	if r.retried {
		if m.isCounted(r) {
			m.refused[r.kind]++
		}
		return
	}
	r.retried = true
	wait = time.Duration(float64(wait) * (0.5 + m.rng.Float64()))
	remaining := modelDeadline - (m.now - r.startedAt)
	m.schedule(min(wait, remaining/3), func() { m.arrive(r) })
}

// drawWorkTime draws a work time: half of the mean is fixed, half exponential.
func (m *fleetModel) drawWorkTime(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + 0.5*m.rng.ExpFloat64()))
}

// callDeepService sends the next call of a request to the less loaded of two random servers.
func (m *fleetModel) callDeepService(r *modelRequest) {
	var up []*deepServer
	for _, s := range m.deepServers {
		if !s.down {
			up = append(up, s)
		}
	}
	s := up[m.rng.IntN(len(up))]
	if o := up[m.rng.IntN(len(up))]; o.limiter.InFlight()+o.limiter.Queued() < s.limiter.InFlight()+s.limiter.Queued() {
		s = o
	}
	depth, deadline := uint8(0), modelDeadline-(m.now-r.startedAt)
	if r.kind != modelDirectRead {
		depth = uint8(3 + modelCallsPerRequest - r.calls)
		deadline = min(deadline, modelCallDeadline)
	}
	m.schedule(modelHopDelay, func() {
		w := &admission.Waiter{Request: admission.Request{Rank: r.rank, Depth: depth, Kind: uint8(r.kind), Deadline: m.now + deadline}}
		s.callbacks[w] = func(code fault.Code) { m.handleResponse(r, s, code) }
		s.kinds[w] = r.kind
		d := s.limiter.Arrive(m.now, w)
		if d.Evicted != nil {
			m.finishWork(s, d.Evicted, fault.Overload)
		}
		switch d.Verdict {
		case admission.Admitted:
			m.startWork(s, w)
		case admission.Refused:
			m.finishWork(s, w, d.Code)
		case admission.Enqueued:
			m.schedule(w.QueueDeadline()-m.now, func() {
				if s.limiter.RemoveWaiter(m.now, w) {
					m.finishWork(s, w, fault.QueueTimeout)
				}
			})
		}
	})
}

// startWork simulates the execution of an admitted call, after which waiting calls are admitted.
func (m *fleetModel) startWork(s *deepServer, w *admission.Waiter) {
	kind := s.kinds[w]
	slow := 1.0
	if float64(s.limiter.InFlight()) >= 0.95*float64(s.limiter.Limit()) {
		slow = 1.3
	}
	took := time.Duration(float64(m.drawWorkTime(modelDeepWork[kind])) * slow / s.speed)
	m.schedule(took, func() {
		next, expired := s.limiter.Finish(m.now, admission.Outcome{Kind: uint8(kind), ServiceTime: took}, nil)
		for next != nil || len(expired) > 0 {
			for _, l := range expired {
				m.finishWork(s, l, fault.Deadline)
			}
			if next == nil {
				break
			}
			m.startWork(s, next)
			next, expired = s.limiter.AdmitNext(m.now, nil)
		}
		m.finishWork(s, w, fault.None)
	})
}

// finishWork delivers the outcome of a call after the delay of a hop.
func (m *fleetModel) finishWork(s *deepServer, w *admission.Waiter, code fault.Code) {
	done := s.callbacks[w]
	delete(s.callbacks, w)
	delete(s.kinds, w)
	m.schedule(modelHopDelay, func() { done(code) })
}

// handleResponse applies a response of the deepest service and propagates its level up to the
// entry.
func (m *fleetModel) handleResponse(r *modelRequest, s *deepServer, code fault.Code) {
	root := modelKindNames[r.kind]
	s.limiter.Tick(m.now)
	l := s.limiter.Level()
	if r.kind != modelDirectRead {
		m.middle[modelMiddleServices-1][r.path[modelMiddleServices-1]].Observe(root, "deep", l, m.now)
	}
	if r.calls--; r.calls > 0 && code == fault.None {
		m.callDeepService(r)
		return
	}
	if r.kind != modelDirectRead {
		l = m.middle[modelMiddleServices-1][r.path[modelMiddleServices-1]].Level(root, m.now)
		for i := modelMiddleServices - 2; i >= 0; i-- {
			p := &m.middle[i][r.path[i]]
			p.Observe(root, "next", l, m.now)
			l = p.Level(root, m.now)
		}
	}
	m.entries[r.entry].Observe(root, "first", l, m.now)
	if code != fault.None && modelKindClasses[r.kind] != rank.Protected && !r.retried {
		// The caller of a request that may be repeated retries at once.
		r.retried = true
		m.arrive(r)
		return
	}
	if !m.isCounted(r) {
		return
	}
	if code == fault.None {
		m.served[r.kind]++
		return
	}
	m.failed[r.kind]++
}

// runRestart simulates a fleet that restarts with one of three servers while all callers
// return at once. The model counts the first six seconds.
func runRestart(seed uint64) *fleetModel {
	m := newFleetModel(seed, 43, 0.7)
	m.addLoad(modelDirectRead, 52)
	m.addLoad(modelChainRead, 294)
	m.addLoad(modelChainWrite, 119)
	for kind, n := range []int{50, 250, 100} {
		for range n {
			m.arrive(&modelRequest{kind: kind})
		}
	}
	m.run(6 * time.Second)
	m.countUntil = m.now
	m.run(12 * time.Second)
	return m
}

// runServerLoss simulates ten seconds of normal load and twenty after the loss of two of three
// servers. The model counts from two seconds after the loss.
func runServerLoss(seed uint64) *fleetModel {
	m := newFleetModel(seed, 43, 0.7, 1.6, 0.7)
	m.addLoad(modelDirectRead, 52)
	m.addLoad(modelChainRead, 294)
	m.addLoad(modelChainWrite, 119)
	m.run(10 * time.Second)
	m.deepServers[1].down, m.deepServers[2].down = true, true
	m.countFrom = 12 * time.Second
	m.run(24 * time.Second)
	m.countUntil = m.now
	m.run(30 * time.Second)
	return m
}

// totals adds up the counts of several runs.
type totals struct {
	sent, served, failed, refused [modelKinds]int
}

func (c *totals) add(m *fleetModel) {
	for k := range modelKinds {
		c.sent[k] += m.sent[k]
		c.served[k] += m.served[k]
		c.failed[k] += m.failed[k]
		c.refused[k] += m.refused[k]
	}
}

// shareOfSent returns a count of a request kind as a share of the requests sent.
func (c *totals) shareOfSent(n [modelKinds]int, kind int) float64 {
	return float64(n[kind]) / float64(c.sent[kind])
}

func (c *totals) log(t *testing.T) {
	for k := range modelKinds {
		t.Logf("%s: sent %d served %.3f failed %.3f refused %.3f", modelKindNames[k], c.sent[k], c.shareOfSent(c.served, k), c.shareOfSent(c.failed, k), c.shareOfSent(c.refused, k))
	}
}

// Guards against protected requests losing to a queue that fills before any caller has learned
// of an overload.
func TestProtectedRequestsAreServedAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	var c totals
	for seed := range uint64(10) {
		c.add(runRestart(seed))
	}
	c.log(t)
	g.Expect(c.shareOfSent(c.served, modelChainRead)).To(gomega.BeNumerically(">", 0.13))
	g.Expect(c.shareOfSent(c.served, modelChainWrite)).To(gomega.BeNumerically(">", 0.87))
}

// Guards against protected requests failing when two of three servers of the deepest service
// are lost.
func TestProtectedRequestsAreServedAfterServerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	var c totals
	for seed := range uint64(6) {
		c.add(runServerLoss(seed))
	}
	c.log(t)
	g.Expect(c.shareOfSent(c.served, modelChainWrite)).To(gomega.BeNumerically(">", 0.97))
	g.Expect(c.shareOfSent(c.served, modelChainRead)).To(gomega.BeNumerically(">", 0.5))
}

// Guards against refusing more than necessary when demand is close to capacity.
func TestProtectedRequestsAreServedAtMildOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	var c totals
	for seed := range uint64(6) {
		m := newFleetModel(seed, 43, 0.7, 1.6, 0.7)
		m.addLoad(modelDirectRead, 90)
		m.addLoad(modelChainRead, 520)
		m.addLoad(modelChainWrite, 210)
		m.countFrom = 4 * time.Second
		m.run(16 * time.Second)
		m.countUntil = m.now
		m.run(22 * time.Second)
		c.add(m)
	}
	c.log(t)
	g.Expect(c.shareOfSent(c.served, modelChainWrite)).To(gomega.BeNumerically(">", 0.99))
	g.Expect(c.shareOfSent(c.served, modelChainRead)).To(gomega.BeNumerically(">", 0.97))
}
