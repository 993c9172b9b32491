package budget

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/rank"
)

const (
	simTick   = 10 * time.Millisecond
	simLength = 45 * time.Second
	simWindow = 10 * time.Second
	// simRatio is the operators' bound on the repeats of a service.
	simRatio = 0.2
	// maxSimRetries is the retry budget of a request.
	maxSimRetries = 6
	// maxSimOffers is the number of nodes beside backend servers that a repeat is offered to.
	maxSimOffers = 2
)

// simSlack returns the repeats that the operators allow beside the ratio, as the platform does
// for 15 and for 201 nodes.
func simSlack(nodes int) float64 { return 33 + 13*float64(nodes)/15 }

// simRequest is a request with its retries.
type simRequest struct {
	entry   int
	rank    rank.Rank
	retries int
}

// simFleet plays the requests to one service over a fleet in virtual time. Callers move between
// entry nodes and requests between backend servers, nodes are killed and paused, and the load
// and the failure ratio change.
type simFleet struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*Throttle
	// weights is the distribution of callers over the entries.
	weights []float64
	// pausedUntil is the end of the pause of each entry.
	pausedUntil []time.Duration
	// arrivals are the nodes beside the backend servers, the first ones of which serve only
	// if all others are cut off.
	arrivals  []*Arrivals
	cutOff    int
	perSecond float64
	failRatio float64
	pending   map[time.Duration][]*simRequest
	// sent and repeated are the times at which callers sent requests and at which backend
	// servers got repeats, in ascending order.
	sent, repeated []time.Duration
}

func newSimFleet(rng *rand.Rand, entries int) *simFleet {
	f := &simFleet{rng: rng, pending: map[time.Duration][]*simRequest{}, pausedUntil: make([]time.Duration, entries)}
	for range entries {
		f.entries = append(f.entries, &Throttle{})
	}
	for range (entries + 2) / 3 {
		f.arrivals = append(f.arrivals, &Arrivals{})
	}
	f.moveCallers()
	f.changeLoad()
	return f
}

func (f *simFleet) entryLimits() Limits {
	return Limits{Ratio: simRatio, Window: simWindow, Burst: 1}
}

func (f *simFleet) arrivalLimits() Limits {
	return Limits{Ratio: simRatio, Window: simWindow, Burst: 1}
}

// moveRequests cuts off a part of the backend servers.
func (f *simFleet) moveRequests() {
	f.cutOff = f.rng.IntN(len(f.arrivals))
	f.rng.Shuffle(len(f.arrivals), func(i, j int) { f.arrivals[i], f.arrivals[j] = f.arrivals[j], f.arrivals[i] })
}

// pickServer returns the node beside one of the backend servers that are not cut off.
func (f *simFleet) pickServer() *Arrivals {
	return f.arrivals[f.cutOff+f.rng.IntN(len(f.arrivals)-f.cutOff)]
}

// moveCallers distributes the callers anew, sometimes to a few entries only.
func (f *simFleet) moveCallers() {
	f.weights = make([]float64, len(f.entries))
	used := 1 + f.rng.IntN(len(f.entries))
	total := 0.0
	for i := range f.weights {
		w := 0.02
		if i < used {
			w = f.rng.Float64()
		}
		total += w
		f.weights[i] = total
	}
	f.rng.Shuffle(len(f.entries), func(i, j int) {
		f.entries[i], f.entries[j] = f.entries[j], f.entries[i]
		f.pausedUntil[i], f.pausedUntil[j] = f.pausedUntil[j], f.pausedUntil[i]
	})
}

func (f *simFleet) changeLoad()     { f.perSecond = []float64{0, 20, 60, 300, 300, 800}[f.rng.IntN(6)] }
func (f *simFleet) changeFailures() { f.failRatio = []float64{0, 0.1, 0.6, 0.6, 1}[f.rng.IntN(5)] }

// killNodes starts a part of the nodes anew.
func (f *simFleet) killNodes() {
	share := f.rng.Float64()
	for i := range f.entries {
		if f.rng.Float64() < share {
			f.entries[i] = &Throttle{}
		}
	}
	for i := range f.arrivals {
		if f.rng.Float64() < share {
			f.arrivals[i] = &Arrivals{}
		}
	}
}

// pauseEntries pauses a part of the entries.
func (f *simFleet) pauseEntries() {
	for i := range f.entries {
		if f.rng.Float64() < 0.3 {
			f.pausedUntil[i] = f.now + time.Duration(f.rng.IntN(3000))*time.Millisecond
		}
	}
}

// disturb makes one random change.
func (f *simFleet) disturb() {
	switch f.rng.IntN(7) {
	case 0, 1:
		f.moveCallers()
	case 2:
		f.changeLoad()
	case 3:
		f.changeFailures()
	case 4:
		f.killNodes()
	case 5:
		f.pauseEntries()
	case 6:
		f.moveRequests()
	}
}

func (f *simFleet) pickEntry() int {
	x := f.rng.Float64() * f.weights[len(f.weights)-1]
	return min(sort.SearchFloat64s(f.weights, x), len(f.weights)-1)
}

// arrive sends the requests of one tick.
func (f *simFleet) arrive() {
	n := f.perSecond * simTick.Seconds()
	for ; n > 0; n-- {
		if n < 1 && f.rng.Float64() >= n {
			return
		}
		class := rank.Normal
		if f.rng.IntN(3) == 0 {
			class = rank.Protected
		}
		r := &simRequest{entry: f.pickEntry(), rank: rank.Make(class, uint8(f.rng.IntN(rank.Cohorts)))}
		f.sent = append(f.sent, f.now)
		f.entries[r.entry].RecordFirstAttempt(f.now, f.entryLimits())
		f.pickServer().RecordFirst(f.now, f.arrivalLimits())
		f.attempt(r)
	}
}

// attempt lets a backend server fail the request or not, and schedules the retry.
func (f *simFleet) attempt(r *simRequest) {
	if f.rng.Float64() >= f.failRatio || r.retries == maxSimRetries {
		return
	}
	r.retries++
	at := f.now + time.Duration(1+f.rng.IntN(10))*simTick
	f.pending[at] = append(f.pending[at], r)
}

// retry asks for the retry of a request and makes it.
func (f *simFleet) retry(r *simRequest) {
	if until := f.pausedUntil[r.entry]; until > f.now {
		at := until.Truncate(simTick) + simTick
		f.pending[at] = append(f.pending[at], r)
		return
	}
	if !f.entries[r.entry].AllowRetry(f.now, r.rank, f.entryLimits()) {
		return
	}
	for range maxSimOffers {
		if f.pickServer().AllowRepeat(f.now, r.rank, f.arrivalLimits()) {
			f.repeated = append(f.repeated, f.now)
			f.attempt(r)
			return
		}
	}
}

// run plays the fleet to its end, with a disturbance every two seconds on average.
func (f *simFleet) run() {
	for ; f.now < simLength; f.now += simTick {
		if f.rng.IntN(200) == 0 {
			f.disturb()
		}
		f.arrive()
		due := f.pending[f.now]
		delete(f.pending, f.now)
		for _, r := range due {
			f.retry(r)
		}
	}
}

// countBetween returns the number of times in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	search := func(at time.Duration) int {
		return sort.Search(len(times), func(i int) bool { return times[i] >= at })
	}
	return search(to) - search(from)
}

// worstExcess returns by how much the repeats of any window exceed the ratio of the requests of
// the best window, of that one, the previous one and the one half a window earlier.
func (f *simFleet) worstExcess() (excess float64, at time.Duration) {
	excess = -1
	for t := -simWindow; t < f.now; t += simTick {
		best := 0
		for _, earlier := range []time.Duration{0, simWindow / 2, simWindow} {
			best = max(best, countBetween(f.sent, t-earlier, t-earlier+simWindow))
		}
		if e := float64(countBetween(f.repeated, t, t+simWindow)) - simRatio*float64(best); e > excess {
			excess, at = e, t
		}
	}
	return excess, at
}

// TestRetriesOfAFleetStayWithinRatio checks, under random schedules, that the backend servers of
// a service get no more repeats in any window than its requests allow.
func TestRetriesOfAFleetStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 3, 15, 201}).Draw(t, "nodes")
		f := newSimFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), nodes)
		f.run()
		if excess, at := f.worstExcess(); excess > simSlack(nodes) {
			t.Fatalf("%d nodes: %.0f repeats beyond the ratio in the window from %s, allowed are %.0f", nodes, excess, at, simSlack(nodes))
		}
	})
}
