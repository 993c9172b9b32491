package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	simTick     = 10 * time.Millisecond
	simInterval = 250 * time.Millisecond
	// simDetect is how long a fleet takes to agree on a new holder of a ledger.
	simDetect = time.Second
)

// simNode is a node with one workspace.
type simNode struct {
	domain  int
	account *Account
	ledger  *Ledger
	// boot is the start of its process; its clock starts there.
	boot, pausedUntil, deadUntil time.Duration
	admitted, asked              int
	phase                        time.Duration
}

// simFleet plays the quota of one workspace over a fleet in virtual time.
type simFleet struct {
	now       time.Duration
	nodes     []*simNode
	domains   int
	limit     Limit
	tolerance Tolerance
	rand      *rand.Rand
	// demand is the requests per second at each node.
	demand []float64
	// cut marks domains without a path to the others, lossy the share of lost messages.
	cut   map[int]time.Duration
	lossy float64
	// holder is the node with the ledger of each domain, lostAt when it was lost.
	holder []int
	lostAt []time.Duration
	// perTick is the number of admitted requests.
	perTick []int
	// asks counts the requests for which a ledger was asked.
	asks int
	// earlier are the limits that were replaced, with when they were.
	earlier []replacedLimit
}

// replacedLimit is a limit that was in force until a time.
type replacedLimit struct {
	Limit
	until time.Duration
}

func newSimFleet(seed uint64, domains, perDomain int, l Limit) *simFleet {
	f := &simFleet{
		domains: domains, limit: l, tolerance: Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		rand: rand.New(rand.NewPCG(seed, 1)), cut: map[int]time.Duration{}, demand: make([]float64, domains*perDomain),
	}
	for d := range domains {
		f.holder, f.lostAt = append(f.holder, d*perDomain), append(f.lostAt, -time.Hour)
		for range perDomain {
			n := &simNode{domain: d, phase: time.Duration(f.rand.Int64N(int64(simInterval))) / simTick * simTick}
			f.nodes = append(f.nodes, n)
			f.boot(n)
		}
	}
	return f
}

// boot starts a node's process with empty memory.
func (f *simFleet) boot(n *simNode) {
	n.boot = f.now
	n.account = NewAccount("w")
	n.ledger = NewLedger(fmt.Sprint(n.domain), f.domains, f.tolerance)
	n.account.SetLimit(0, f.limit, f.tolerance)
}

func (f *simFleet) clock(n *simNode) time.Duration { return f.now - n.boot }

func (f *simFleet) runs(n *simNode) bool { return f.now >= n.deadUntil && f.now >= n.pausedUntil }

func (f *simFleet) setLimit(l Limit) {
	f.earlier = append(f.earlier, replacedLimit{f.limit, f.now})
	f.limit = l
	for _, n := range f.nodes {
		n.account.SetLimit(f.clock(n), l, f.tolerance)
	}
}

// kill restarts a node after a time without power.
func (f *simFleet) kill(i int, down time.Duration) {
	n := f.nodes[i]
	n.deadUntil = f.now + down
	f.boot(n)
	n.boot = n.deadUntil
}

func (f *simFleet) lost() bool { return f.rand.Float64() < f.lossy }

func (f *simFleet) isCut(d int) bool { return f.now < f.cut[d] }

// electHolders moves the ledger of a domain whose holder does not run to the first node that
// does, after simDetect, and back to the first node when it returns.
func (f *simFleet) electHolders() {
	perDomain := len(f.nodes) / f.domains
	for d := range f.domains {
		want := -1
		for i := d * perDomain; i < (d+1)*perDomain; i++ {
			if f.runs(f.nodes[i]) {
				want = i
				break
			}
		}
		switch {
		case want < 0 || want == f.holder[d]:
			f.lostAt[d] = -time.Hour
		case f.lostAt[d] < 0:
			f.lostAt[d] = f.now
		case f.now-f.lostAt[d] >= simDetect:
			f.holder[d], f.lostAt[d] = want, -time.Hour
		}
	}
}

// report lets a node report to its ledger.
func (f *simFleet) report(i int) {
	n := f.nodes[i]
	demand := n.account.Demand(f.clock(n))
	h := f.nodes[f.holder[n.domain]]
	if !f.runs(h) || f.lost() {
		n.account.SetFloor(f.clock(n), Floor(len(f.nodes)))
		return
	}
	n.account.SetFloor(f.clock(n), 0)
	if demand < 0.02 {
		return
	}
	held, _ := n.account.CurrentShare(f.clock(n))
	if share, ok := h.ledger.Report(f.clock(h), fmt.Sprint(i, n.boot), "w", demand, held, f.limit); ok && !f.lost() {
		n.account.Grant(f.clock(n), share, f.clock(n)+ShareLifetime)
	}
}

// admit decides a request at a node, which may ask its ledger.
func (f *simFleet) admit(n *simNode) bool {
	now := f.clock(n)
	if _, ok := n.account.Take(now); ok {
		return true
	}
	h := f.nodes[f.holder[n.domain]]
	want, ok := n.account.MayAsk(now)
	if !ok || !f.runs(h) || f.lost() {
		return false
	}
	f.asks++
	tokens, wait := h.ledger.Ask(f.clock(h), "w", want, f.limit)
	if f.lost() {
		return false
	}
	if tokens == 0 {
		n.account.Close(now + min(wait, simInterval))
		return false
	}
	n.account.Deposit(now, tokens)
	return true
}

// exchange lets a ledger exchange claims with the others.
func (f *simFleet) exchange(d int) {
	h := f.nodes[f.holder[d]]
	claims := h.ledger.Rebalance(f.clock(h), func(string) Limit { return f.limit })
	for o := range f.domains {
		other := f.nodes[f.holder[o]]
		if o == d || f.isCut(o) || f.isCut(d) || !f.runs(other) || f.lost() {
			continue
		}
		other.ledger.Merge(f.clock(other), fmt.Sprint(d), claims)
		if !f.lost() {
			h.ledger.Merge(f.clock(h), fmt.Sprint(o), other.ledger.Claims())
			h.ledger.Confirm(fmt.Sprint(o), h.ledger.Round())
		}
	}
}

// step plays one tick.
func (f *simFleet) step() {
	f.electHolders()
	admitted := 0
	for i, n := range f.nodes {
		if !f.runs(n) {
			continue
		}
		if (f.now+n.phase)%simInterval == 0 {
			f.report(i)
			if f.holder[n.domain] == i {
				f.exchange(n.domain)
			}
		}
		for range f.arrivals(f.demand[i]) {
			n.asked++
			if f.admit(n) {
				n.admitted++
				admitted++
			}
		}
	}
	f.perTick = append(f.perTick, admitted)
	f.now += simTick
}

// arrivals draws the number of requests in a tick, by a Poisson distribution.
func (f *simFleet) arrivals(perSecond float64) int {
	limit, p, k := math.Exp(-perSecond*simTick.Seconds()), 1.0, 0
	for {
		p *= f.rand.Float64()
		if p <= limit {
			return k
		}
		k++
	}
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// allowed is the most that may be admitted in a window that ends now. A lowered limit binds one
// window after it is in force everywhere.
func (f *simFleet) allowed() float64 {
	l := f.limit
	for _, e := range f.earlier {
		if f.now-e.until < 2*f.tolerance.Window+2*time.Second {
			l = Limit{max(l.Rate, e.Rate), max(l.Burst, e.Burst)}
		}
	}
	w := f.tolerance
	return (l.Rate*w.Window.Seconds()+l.Burst)*(1+w.Overshoot) + w.Slack
}

// inWindow returns what was admitted in the window that ends now.
func (f *simFleet) inWindow() int {
	sum := 0
	for _, v := range f.perTick[max(0, len(f.perTick)-int(f.tolerance.Window/simTick)):] {
		sum += v
	}
	return sum
}

// spreadDemand sets the demand of all nodes together, in random parts.
func (f *simFleet) spreadDemand(total float64) {
	sum := 0.0
	for i := range f.demand {
		f.demand[i] = f.rand.ExpFloat64() * f.rand.Float64()
		sum += f.demand[i]
	}
	for i := range f.demand {
		f.demand[i] *= total / sum
	}
}

// TestLimitHoldsThroughFailures checks each window of random fleets under kills, pauses, cuts,
// lost messages, demand that moves and limits that change.
func TestLimitHoldsThroughFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		perDomain := rapid.IntRange(1, 20).Draw(t, "nodes per domain")
		rate := rapid.Float64Range(2, 2000).Draw(t, "rate")
		f := newSimFleet(rapid.Uint64().Draw(t, "seed"), domains, perDomain, Limit{rate, rate * rapid.Float64Range(0, 1.5).Draw(t, "burst")})
		f.spreadDemand(rate * rapid.Float64Range(0.2, 4).Draw(t, "demand"))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				f.spreadDemand(f.limit.Rate * rapid.Float64Range(0.2, 5).Draw(t, "demand"))
			case 1:
				f.kill(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "killed"), 500*time.Millisecond)
			case 2:
				n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "paused")]
				n.pausedUntil = f.now + time.Duration(rapid.IntRange(1, 8).Draw(t, "pause"))*time.Second
			case 3:
				f.cut[rapid.IntRange(0, domains-1).Draw(t, "cut")] = f.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "cut for"))*time.Second
			case 4:
				f.lossy = rapid.Float64Range(0, 0.3).Draw(t, "lossy")
			case 5:
				k := rapid.Float64Range(0.05, 2).Draw(t, "change")
				f.setLimit(Limit{f.limit.Rate * k, f.limit.Burst * k})
			case 6:
				f.kill(f.holder[rapid.IntRange(0, domains-1).Draw(t, "holder")], 2*time.Second)
			default:
			}
			for range rapid.IntRange(20, 600).Draw(t, "ticks") {
				f.step()
				if got := f.inWindow(); float64(got) > f.allowed() {
					t.Fatalf("%d requests admitted in a window where %.0f are allowed, at %s", got, f.allowed(), f.now)
				}
			}
		}
	})
}

// served returns the share of the requests that were admitted since the last call.
func (f *simFleet) served() float64 {
	asked, admitted := 0, 0
	for _, n := range f.nodes {
		asked, admitted = asked+n.asked, admitted+n.admitted
		n.asked, n.admitted = 0, 0
	}
	return float64(admitted) / float64(asked)
}

func TestDemandWithinLimitIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		name               string
		domains, perDomain int
		rate, skew         float64
	}{
		{"spread", 4, 23, 345, 0},
		{"one node has nine tenths", 4, 23, 345, 0.9},
		{"small workspace at few nodes", 4, 23, 8, 0.9},
		{"300 nodes", 4, 75, 1000, 0.5},
		{"one domain", 1, 10, 100, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSimFleet(7, c.domains, c.perDomain, Limit{c.rate, c.rate})
			f.spreadDemand(c.rate / 1.6 * (1 - c.skew))
			f.demand[3] += c.rate / 1.6 * c.skew
			f.run(5 * time.Second)
			f.served()
			f.run(100 * time.Second)
			t.Log(f.asks, "asks")
			g.Expect(f.served()).To(BeNumerically(">=", 0.99))
		})
	}
}

func TestInvalidClaimsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("a", 2, Tolerance{})
	for _, c := range []Claim{{"w", math.NaN(), 0.5}, {"w", math.Inf(1), 0.5}, {"w", -1, 0.5}, {"w", 1, 1.5}, {"w", 1, math.NaN()}} {
		l.Merge(time.Second, "b", []Claim{c})
	}
	g.Expect(l.Claims()).To(BeEmpty())
}

func TestSharesFollowAfterHeal(t *testing.T) {
	g := NewWithT(t)
	f := newSimFleet(3, 4, 10, Limit{400, 400})
	f.spreadDemand(200)
	f.run(5 * time.Second)
	f.cut[1] = f.now + 6*time.Second
	f.run(time.Second)
	// Callers move into the domain that is cut off.
	for i := range f.demand {
		f.demand[i] = 1
		if f.nodes[i].domain == 1 {
			f.demand[i] = 25
		}
	}
	f.run(7 * time.Second)
	f.served()
	f.run(5 * time.Second)
	g.Expect(f.served()).To(BeNumerically(">=", 0.99))
}

func TestSmallWorkspaceKeepsItsOwnBesideGreedyOne(t *testing.T) {
	// Workspaces do not share accounts, so each is a fleet of its own.
	g := NewWithT(t)
	small := newSimFleet(1, 4, 10, Limit{10, 10})
	small.spreadDemand(6)
	greedy := newSimFleet(2, 4, 10, Limit{100, 100})
	greedy.spreadDemand(1000)
	small.run(5 * time.Second)
	greedy.run(5 * time.Second)
	small.served()
	greedy.served()
	small.run(200 * time.Second)
	greedy.run(20 * time.Second)
	g.Expect(small.served()).To(BeNumerically(">=", 0.99))
	g.Expect(greedy.served()).To(BeNumerically("~", 0.11, 0.015))
}

// TestSaturatedWorkspaceUsesItsWindows replays a demand of 1.7 times the rate: after the burst
// is spent, each window still admits what rate and burst allow together.
func TestSaturatedWorkspaceUsesItsWindows(t *testing.T) {
	g := NewWithT(t)
	f := newSimFleet(5, 4, 23, Limit{345, 345})
	f.spreadDemand(1.7 * 345)
	f.run(12 * time.Second)
	for range 100 {
		f.run(100 * time.Millisecond)
		g.Expect(f.inWindow()).To(And(BeNumerically(">=", 0.9*6*345), BeNumerically("<=", 1.05*6*345)))
	}
}

// TestLimitDownDuringBurst replays a limit that falls to a tenth in a burst, with a failure
// domain cut off and nodes killed again and again.
func TestLimitDownDuringBurst(t *testing.T) {
	g := NewWithT(t)
	f := newSimFleet(11, 4, 23, Limit{345, 345})
	f.spreadDemand(215)
	f.run(3 * time.Second)
	f.spreadDemand(600)
	f.cut[2] = f.now + 6*time.Second
	f.run(time.Second)
	f.setLimit(Limit{34, 34})
	for i := range 30 {
		f.kill(i%5, 200*time.Millisecond)
		for range 50 {
			f.step()
			g.Expect(float64(f.inWindow())).To(BeNumerically("<=", f.allowed()), "at %s", f.now)
		}
	}
}
