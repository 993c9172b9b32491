package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// nearlyFull is a backend server in virtual time, and the demand on it.
type saturatingServer struct {
	slots int
	work  time.Duration
	// knee is the share of the slots above which a request that begins takes
	// slowdown times as long.
	knee, slowdown float64
	// slowFrom and slowTo are when all requests take three times as long.
	slowFrom, slowTo time.Duration
	// arrivals are how many requests come in a second.
	arrivals float64
}

type execution struct {
	ends time.Duration
	took time.Duration
	kind uint8
}

type executionHeap []execution

func (r executionHeap) Len() int           { return len(r) }
func (r executionHeap) Less(i, j int) bool { return r[i].ends < r[j].ends }
func (r executionHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *executionHeap) Push(x any)        { *r = append(*r, x.(execution)) }
func (r *executionHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// play returns how many requests a second were finished in the second half, and
// the share of that time in which the limit was the declared one.
func (s saturatingServer) simulate(seed uint64, lasts time.Duration) (finished, whole float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	g := New(Options{Slots: s.slots, QueueMax: 128, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond})
	var running executionHeap
	begin := func(now time.Duration, w *Waiter) {
		took := time.Duration(float64(s.work) * (0.5 + rng.ExpFloat64()/2))
		if w.Request.Kind == 1 {
			took = took * 3 / 2
		}
		if float64(g.InFlight()) > s.knee*float64(s.slots) {
			took = time.Duration(float64(took) * s.slowdown)
		}
		if now >= s.slowFrom && now < s.slowTo {
			took *= 3
		}
		heap.Push(&running, execution{now + took, took, w.Request.Kind})
	}
	next := time.Duration(0)
	count, full, looked := 0, 0, 0
	for now := time.Duration(0); now < lasts; {
		if len(running) > 0 && running[0].ends <= next {
			r := heap.Pop(&running).(execution)
			now = r.ends
			if w, _ := g.Finish(now, Outcome{Kind: r.kind, ServiceTime: r.took}, nil); w != nil {
				begin(now, w)
			}
			if now > lasts/2 {
				count++
				looked++
				if g.Limit() == s.slots {
					full++
				}
			}
			continue
		}
		now = next
		next += time.Duration(rng.ExpFloat64() / s.arrivals * float64(time.Second))
		w := &Waiter{Request: Request{Rank: rank.Make(rank.Normal, uint8(rng.IntN(256))), Kind: uint8(rng.IntN(2)), Deadline: now + 700*time.Millisecond}}
		if g.Arrive(now, w).Verdict == Admitted {
			begin(now, w)
		}
	}
	return float64(count) / (lasts / 2).Seconds(), float64(full) / float64(max(1, looked))
}

// TestAServerThatSlowsDownWhenNearlyFullFinishesMore replays demand of 1.3
// times the capacity: with all 29 slots taken each request takes 1.3 times as
// long; 27 finish more.
func TestLimitSearchRaisesThroughputOfSaturatingServer(t *testing.T) {
	for _, slots := range []int{29, 43, 121} {
		g := gomega.NewWithT(t)
		s := saturatingServer{slots: slots, work: 30 * time.Millisecond, knee: 0.95, slowdown: 1.3}
		// Two kinds of one and one and a half times the work.
		capacity := float64(slots) / s.slowdown / (1.25 * s.work.Seconds())
		s.arrivals = 1.6 * capacity
		sum := 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			finished, _ := s.simulate(seed, 30*time.Second)
			t.Logf("slots %d, seed %d: %.3f of what all slots finish", slots, seed, finished/capacity)
			g.Expect(finished/capacity).To(gomega.BeNumerically(">", 1.05), "slots %d, seed %d", slots, seed)
			sum += finished / capacity
		}
		g.Expect(sum/seeds).To(gomega.BeNumerically(">", 1.1), "slots %d", slots)
	}
}

// TestAServerThatDoesNotSlowDownKeepsItsSlots: the trials cost next to nothing,
// and a server that was slow for another reason gets its slots back.
func TestLimitSearchKeepsSlotsOfSteadyServer(t *testing.T) {
	for _, slots := range []int{29, 118} {
		for _, slow := range []time.Duration{0, 3 * time.Second} {
			g := gomega.NewWithT(t)
			s := saturatingServer{slots: slots, work: 30 * time.Millisecond, knee: 2, slowFrom: 3 * time.Second, slowTo: 3*time.Second + slow}
			capacity := float64(slots) / (1.25 * s.work.Seconds())
			s.arrivals = 1.6 * capacity
			for seed := range uint64(5) {
				finished, whole := s.simulate(seed, 40*time.Second)
				t.Logf("slots %d, slow %v, seed %d: %.3f of the capacity, %.2f of the time whole", slots, slow, seed, finished/capacity, whole)
				g.Expect(finished/capacity).To(gomega.BeNumerically(">", 0.93), "slots %d, seed %d", slots, seed)
				g.Expect(whole).To(gomega.BeNumerically(">", 0.6), "slots %d, seed %d", slots, seed)
			}
		}
	}
}
