package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/rank"
)

// saturatingServer is a backend server in virtual time with its load.
type saturatingServer struct {
	slots int
	work  time.Duration
	// knee is the fraction of the slots above which a starting request takes
	// slowdown times as long.
	knee, slowdown float64
	// slowFrom and slowTo delimit the period in which requests take three times as
	// long.
	slowFrom, slowTo time.Duration
	// arrivals is the number of requests per second.
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

// simulate returns the requests finished per second in the second half of the run,
// and the fraction of those that finished while the limit equaled the declared
// slots.
func (s saturatingServer) simulate(seed uint64, duration time.Duration) (finished, atDeclared float64) {
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
	count, declaredCount, total := 0, 0, 0
	for now := time.Duration(0); now < duration; {
		if len(running) > 0 && running[0].ends <= next {
			r := heap.Pop(&running).(execution)
			now = r.ends
			if w, _ := g.Finish(now, Outcome{Kind: r.kind, ServiceTime: r.took}, nil); w != nil {
				begin(now, w)
			}
			if now > duration/2 {
				count++
				total++
				if g.Limit() == s.slots {
					declaredCount++
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
	return float64(count) / (duration / 2).Seconds(), float64(declaredCount) / float64(max(1, total))
}

// TestLimitSearchRaisesThroughputOfSaturatingServer checks that the search finds a
// lower limit with more throughput for a server that slows down when nearly full.
func TestLimitSearchRaisesThroughputOfSaturatingServer(t *testing.T) {
	for _, slots := range []int{29, 43, 121} {
		g := gomega.NewWithT(t)
		s := saturatingServer{slots: slots, work: 30 * time.Millisecond, knee: 0.95, slowdown: 1.3}
		// Two request kinds, with 1 and 1.5 times the work.
		capacity := float64(slots) / s.slowdown / (1.25 * s.work.Seconds())
		s.arrivals = 1.6 * capacity
		sum := 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			finished, _ := s.simulate(seed, 30*time.Second)
			t.Logf("slots %d, seed %d: throughput %.3f of that with all slots", slots, seed, finished/capacity)
			g.Expect(finished/capacity).To(gomega.BeNumerically(">", 1.05), "slots %d, seed %d", slots, seed)
			sum += finished / capacity
		}
		g.Expect(sum/seeds).To(gomega.BeNumerically(">", 1.1), "slots %d", slots)
	}
}

// TestLimitSearchKeepsSlotsOfSteadyServer checks that trials cost little
// throughput, and that a server that was temporarily slow regains its slots.
func TestLimitSearchKeepsSlotsOfSteadyServer(t *testing.T) {
	for _, slots := range []int{29, 118} {
		for _, slow := range []time.Duration{0, 3 * time.Second} {
			g := gomega.NewWithT(t)
			s := saturatingServer{slots: slots, work: 30 * time.Millisecond, knee: 2, slowFrom: 3 * time.Second, slowTo: 3*time.Second + slow}
			capacity := float64(slots) / (1.25 * s.work.Seconds())
			s.arrivals = 1.6 * capacity
			for seed := range uint64(5) {
				finished, atDeclared := s.simulate(seed, 40*time.Second)
				t.Logf("slots %d, slow %v, seed %d: throughput %.3f of the capacity, declared limit at %.2f of the finishes", slots, slow, seed, finished/capacity, atDeclared)
				g.Expect(finished/capacity).To(gomega.BeNumerically(">", 0.93), "slots %d, seed %d", slots, seed)
				g.Expect(atDeclared).To(gomega.BeNumerically(">", 0.6), "slots %d, seed %d", slots, seed)
			}
		}
	}
}
