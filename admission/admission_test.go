package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// limiterModel tracks running, waiting and refused requests to check a limiter's
// invariants.
type limiterModel struct {
	t       *rapid.T
	limiter *Limiter
	now     time.Duration
	slots   int
	running int
	waiting map[*Waiter]bool
	refused map[*Waiter]bool
	// reversed breaks the queue order before each pop.
	reversed bool
	fail     func(format string, args ...any)
}

func (m *limiterModel) arrive(class rank.Class, cohort uint8, deadline time.Duration) {
	w := &Waiter{Request: Request{Rank: rank.Make(class, cohort), Deadline: m.now + deadline}}
	d := m.limiter.Arrive(m.now, w)
	switch d.Verdict {
	case Admitted:
		m.running++
	case Enqueued:
		m.waiting[w] = true
	case Refused:
		m.refused[w] = true
		m.checkRefusal(w, d.Code)
	}
	if d.Evicted != nil {
		if !m.waiting[d.Evicted] {
			m.fail("evicted request is not queued")
		}
		if d.Evicted.Request.Rank.Class() > class {
			m.fail("evicted a higher class for a lower one")
		}
		delete(m.waiting, d.Evicted)
		m.refused[d.Evicted] = true
	}
}

// checkRefusal checks that no request of a lower class waits while a request is
// refused because the queue is full.
func (m *limiterModel) checkRefusal(w *Waiter, code fault.Code) {
	if code != fault.Overload || !m.limiter.Level().Admits(w.Request.Rank, 0) {
		return
	}
	for o := range m.waiting {
		if o.Request.Rank.Class() < w.Request.Rank.Class() {
			m.fail("class %s was refused while class %s waits", w.Request.Rank.Class(), o.Request.Rank.Class())
		}
	}
}

func (m *limiterModel) done(took time.Duration) {
	if m.running == 0 {
		return
	}
	m.running--
	if m.reversed {
		m.reverse()
	}
	next, late := m.limiter.Finish(m.now, Outcome{ServiceTime: took}, nil)
	m.recordAdmission(next, late)
	for {
		next, late = m.limiter.AdmitNext(m.now, nil)
		m.recordAdmission(next, late)
		if next == nil {
			return
		}
	}
}

// reverse swaps the first and last entries of the queue.
func (m *limiterModel) reverse() {
	q := m.limiter.queue
	if n := len(q); n > 1 {
		q.Swap(0, n-1)
	}
}

func (m *limiterModel) recordAdmission(next *Waiter, late []*Waiter) {
	for _, w := range late {
		delete(m.waiting, w)
		m.refused[w] = true
	}
	if next == nil {
		return
	}
	if m.refused[next] || !m.waiting[next] {
		m.fail("admitted request was refused or is not queued")
	}
	for o := range m.waiting {
		if o.Request.Rank.Class() > next.Request.Rank.Class() {
			m.fail("a lower class is served before a higher one")
		}
	}
	if next.Request.Deadline <= m.now {
		m.fail("an expired request is admitted")
	}
	delete(m.waiting, next)
	m.running++
}

func (m *limiterModel) check() {
	if m.running > m.slots || m.running != m.limiter.InFlight() {
		m.fail("%d requests hold %d slots, InFlight returns %d", m.running, m.slots, m.limiter.InFlight())
	}
	if m.limiter.Limit() > m.slots {
		m.fail("limit %d exceeds %d slots", m.limiter.Limit(), m.slots)
	}
	if len(m.waiting) != m.limiter.Queued() {
		m.fail("%d requests wait, Queued returns %d", len(m.waiting), m.limiter.Queued())
	}
	for w := range m.waiting {
		if w.QueueDeadline() > w.Request.Deadline {
			m.fail("a request may wait beyond its deadline")
		}
	}
}

// TestLimiterInvariants checks a limiter's invariants under random traffic.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { driveLimiter(t, false, t.Fatalf) })
}

// TestInvariantsDetectWrongQueueOrder checks that a queue in the wrong order
// violates an invariant.
func TestInvariantsDetectWrongQueueOrder(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		if !found {
			driveLimiter(t, true, func(string, ...any) { found = true })
		}
	})
	if !found {
		t.Fatal("no invariant was violated")
	}
}

// driveLimiter drives a limiter with random traffic and checks its invariants.
func driveLimiter(t *rapid.T, reversed bool, fail func(string, ...any)) {
	m := &limiterModel{
		t: t, slots: rapid.IntRange(1, 8).Draw(t, "slots"), waiting: map[*Waiter]bool{}, refused: map[*Waiter]bool{},
		reversed: reversed, fail: fail,
	}
	m.limiter = New(Options{Slots: m.slots, QueueMax: rapid.IntRange(0, 6).Draw(t, "queue"), QueueWait: 200 * time.Millisecond, QueueTarget: 3 * time.Millisecond, Window: 50 * time.Millisecond})
	for range rapid.IntRange(10, 200).Draw(t, "steps") {
		m.now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond
		for w := range m.waiting {
			if w.QueueDeadline() <= m.now && m.limiter.RemoveWaiter(m.now, w) {
				delete(m.waiting, w)
				m.refused[w] = true
			}
		}
		if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
			m.done(time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond)
		} else {
			class := rank.Class(rapid.IntRange(0, rank.Classes-1).Draw(t, "class"))
			m.arrive(class, rapid.Uint8().Draw(t, "cohort"), time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline"))*time.Millisecond)
		}
		m.check()
	}
}

// fakeServer simulates a backend server under open load.
type fakeServer struct {
	limiter *Limiter
	rng     *rand.Rand
	service time.Duration
	now     time.Duration
	busy    []time.Duration
	waiting map[*Waiter]bool

	asked, served, askedProtected, servedProtected int
}

func (s *fakeServer) start(w *Waiter) {
	delete(s.waiting, w)
	s.busy = append(s.busy, s.now+time.Duration(float64(s.service)*(0.5+s.rng.Float64())))
	s.served++
	if w.Request.Rank.Class() == rank.Protected {
		s.servedProtected++
	}
}

func (s *fakeServer) finish() {
	still := s.busy[:0:0]
	ended := 0
	for _, end := range s.busy {
		if end <= s.now {
			ended++
		} else {
			still = append(still, end)
		}
	}
	s.busy = still
	for range ended {
		next, late := s.limiter.Finish(s.now, Outcome{ServiceTime: s.service}, nil)
		for _, w := range late {
			delete(s.waiting, w)
		}
		if next != nil {
			s.start(next)
		}
	}
	for w := range s.waiting {
		if w.QueueDeadline() <= s.now && s.limiter.RemoveWaiter(s.now, w) {
			delete(s.waiting, w)
		}
	}
}

func (s *fakeServer) arrive() {
	s.asked++
	class := rank.Class(s.rng.IntN(3))
	if s.rng.Float64() < 0.1 {
		class = rank.Protected
		s.askedProtected++
	}
	w := &Waiter{Request: Request{Rank: rank.Make(class, uint8(s.rng.IntN(256))), Deadline: s.now + 2*time.Second}}
	d := s.limiter.Arrive(s.now, w)
	delete(s.waiting, d.Evicted)
	switch d.Verdict {
	case Admitted:
		s.start(w)
	case Enqueued:
		s.waiting[w] = true
	}
}

// drive applies a load of demand times the capacity for a span. It returns the
// served fraction of the load or the capacity, whichever is less, and the served
// fraction of the protected class.
func (s *fakeServer) drive(span time.Duration, demand float64) (used, protected float64) {
	s.asked, s.served, s.askedProtected, s.servedProtected = 0, 0, 0, 0
	perSecond := float64(s.limiter.opt.Slots) / s.service.Seconds()
	for end := s.now + span; s.now < end; s.now += time.Millisecond {
		s.finish()
		for n := demand * perSecond / 1000; s.rng.Float64() < n; n-- {
			s.arrive()
		}
	}
	capacity := perSecond * span.Seconds()
	return float64(s.served) / min(capacity, float64(s.asked)), float64(s.servedProtected) / float64(max(1, s.askedProtected))
}

func TestLevelTracksLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := New(Options{Slots: 16, QueueMax: 32, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond})
	s := &fakeServer{limiter: limiter, rng: rand.New(rand.NewPCG(1, 2)), service: 20 * time.Millisecond, waiting: map[*Waiter]bool{}}
	s.drive(5*time.Second, 0.6)
	g.Expect(limiter.Level()).To(gomega.BeZero())
	used, protected := s.drive(5*time.Second, 4)
	g.Expect(used).To(gomega.BeNumerically(">", 0.9))
	g.Expect(protected).To(gomega.BeNumerically(">", 0.99))
	g.Expect(limiter.Level()).To(gomega.BeNumerically(">", 256))
	s.drive(1500*time.Millisecond, 0.6)
	g.Expect(limiter.Level()).To(gomega.BeZero())
}

func BenchmarkArriveDone(b *testing.B) {
	g := New(Options{Slots: 64, QueueMax: 32, QueueWait: time.Second, QueueTarget: time.Millisecond, Window: 100 * time.Millisecond})
	w := &Waiter{Request: Request{Rank: rank.Make(rank.Normal, 7), Deadline: 1 << 60}}
	now := time.Duration(0)
	var late []*Waiter
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		g.Arrive(now, w)
		_, late = g.Finish(now, Outcome{ServiceTime: time.Millisecond}, late[:0])
	}
}
