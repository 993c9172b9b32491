package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

const servingSinceLongAgo = -time.Hour

func instances(domain string, n int) []*Instance {
	var out []*Instance
	for i := range n {
		out = append(out, &Instance{ID: fmt.Sprintf("%s%d", domain, i), Domain: domain, Slots: 10, Weight: 1, ServingSince: servingSinceLongAgo, Observed: &Observations{}})
	}
	return out
}

func snapshot(own []*Instance, others ...[]*Instance) *Snapshot {
	return &Snapshot{Services: map[string]*Service{"s": {LocalInstances: own, RemoteDomains: others}}}
}

func query(now time.Duration) *Query {
	return &Query{Service: "s", Rank: rank.Make(rank.Normal, 9), Now: now, Options: Options{SpillAt: 0.7, EjectMax: 0.5}}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func TestLocalDomainIsPreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	own, other := instances("a", 3), instances("b", 3)
	s := snapshot(own, other)
	r := rng()
	for range 1000 {
		in, code := s.Pick(query(0), r)
		g.Expect(code).To(gomega.Equal(fault.None))
		g.Expect(in.Domain).To(gomega.Equal("a"))
	}
}

// The share of spilled requests must grow step by step with the load of the own domain.
func TestSpilloverGrowsWithUtilisation(t *testing.T) {
	g := gomega.NewWithT(t)
	last := -1
	for busy := 7; busy <= 10; busy++ {
		own, other := instances("a", 3), instances("b", 3)
		for _, in := range own {
			in.Observed.RecordSend()
			in.Observed.RecordOutcome(0, Outcome{HasLoad: true, InFlight: uint16(busy), Limit: 10}, EjectOptions{ConsecutiveFailures: 5})
		}
		s, r, spilled := snapshot(own, other), rng(), 0
		for range 1000 {
			if in, _ := s.Pick(query(0), r); in.Domain == "b" {
				spilled++
			}
		}
		g.Expect(spilled).To(gomega.BeNumerically(">", last))
		last = spilled
	}
	g.Expect(last).To(gomega.Equal(1000))
}

// The only instance that admits requests is in one of several remote domains.
func TestAllDomainsAreTried(t *testing.T) {
	g := gomega.NewWithT(t)
	var others [][]*Instance
	for _, d := range []string{"b", "c", "d", "e"} {
		ins := instances(d, 2)
		for _, in := range ins {
			in.Observed.SetDraining(d != "d")
		}
		others = append(others, ins)
	}
	s, r := snapshot(nil, others...), rng()
	for range 200 {
		in, code := s.Pick(query(0), r)
		g.Expect(code).To(gomega.Equal(fault.None))
		g.Expect(in.Domain).To(gomega.Equal("d"))
	}
}

func TestEjectedInstanceIsProbedAndReadmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 4)
	s, r := snapshot(own), rng()
	bad := own[0]
	e := EjectOptions{ConsecutiveFailures: 3, Duration: time.Second}
	for range 3 {
		bad.Observed.RecordSend()
		bad.Observed.RecordOutcome(0, Outcome{Failed: true}, e)
	}
	picks := func(now time.Duration) int {
		n := 0
		for range 400 {
			if in, _ := s.Pick(query(now), r); in == bad {
				n++
			}
		}
		return n
	}
	g.Expect(picks(500 * time.Millisecond)).To(gomega.BeZero())
	g.Expect(picks(1100 * time.Millisecond)).To(gomega.BeNumerically(">", 0))
	bad.Observed.RecordSend()
	g.Expect(picks(1100 * time.Millisecond)).To(gomega.BeZero())
	bad.Observed.RecordOutcome(1100*time.Millisecond, Outcome{HasLoad: true, Limit: 10, Latency: time.Millisecond}, e)
	g.Expect(picks(1200 * time.Millisecond)).To(gomega.BeNumerically(">", 50))
}

func TestEjectedInstancesAreUsedIfTooManyAreEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 4)
	for _, in := range own {
		in.Observed.RecordSend()
		in.Observed.RecordOutcome(0, Outcome{Failed: true}, EjectOptions{ConsecutiveFailures: 1, Duration: time.Hour})
	}
	_, code := snapshot(own).Pick(query(0), rng())
	g.Expect(code).To(gomega.Equal(fault.None))
}

func TestNewInstanceRampsUp(t *testing.T) {
	g := gomega.NewWithT(t)
	own := instances("a", 2)
	own[1].ServingSince = 0
	for _, in := range own {
		in.Observed.RecordSend()
		in.Observed.RecordOutcome(0, Outcome{HasLoad: true, InFlight: 1, Limit: 10, Latency: time.Millisecond}, EjectOptions{ConsecutiveFailures: 5})
	}
	s, r := snapshot(own), rng()
	share := func(now time.Duration) int {
		n := 0
		for range 1000 {
			q := query(now)
			q.Options.Ramp = 2 * time.Second
			if in, _ := s.Pick(q, r); in == own[1] {
				n++
			}
		}
		return n
	}
	young := share(100 * time.Millisecond)
	g.Expect(young).To(gomega.BeNumerically("<", 350))
	g.Expect(share(3 * time.Second)).To(gomega.BeNumerically(">", young))
}

// Over random tables, no request goes to an instance that is draining, avoided, or sheds
// its rank.
func TestPickKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := instances("a", rapid.IntRange(0, 4).Draw(t, "own"))
		other := instances("b", rapid.IntRange(1, 4).Draw(t, "other"))
		for _, in := range append(append([]*Instance(nil), own...), other...) {
			in.Observed.SetDraining(rapid.Bool().Draw(t, "draining"))
			in.Observed.RecordSend()
			in.Observed.RecordOutcome(0, Outcome{
				Failed: rapid.Bool().Draw(t, "failed"), HasLoad: true, Limit: 10,
				InFlight: uint16(rapid.IntRange(0, 12).Draw(t, "load")), Level: rank.Level(rapid.IntRange(0, rank.Count).Draw(t, "level")),
			}, EjectOptions{ConsecutiveFailures: 1, Duration: time.Second})
		}
		q := query(time.Millisecond)
		q.Avoid = other[0]
		in, code := snapshot(own, other).Pick(q, rng())
		if code != fault.None {
			return
		}
		if in == q.Avoid || in.Observed.isDraining(q.Now) || !in.Observed.Level(q.Now).Admits(q.Rank, 0) {
			t.Fatalf("picked %s", in.ID)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	s := snapshot(instances("a", 8), instances("b", 8), instances("c", 8))
	q, r := query(0), rng()
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(q, r)
	}
}

func TestServiceMayReturnAfterLosingItsInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	with, without := snapshot(instances("a", 1)), &Snapshot{}
	without.InheritUnavailable(with, 5*time.Second)
	g.Expect(without.MayReturn("s", 5500*time.Millisecond, time.Second)).To(gomega.BeTrue())
	later := &Snapshot{}
	later.InheritUnavailable(without, 5900*time.Millisecond)
	g.Expect(later.MayReturn("s", 6*time.Second, time.Second)).To(gomega.BeFalse(), "lost more than a second ago")
	g.Expect(later.MayReturn("other", 6*time.Second, time.Second)).To(gomega.BeFalse(), "unknown service")
	with.InheritUnavailable(later, 7*time.Second)
	g.Expect(with.UnavailableSince).To(gomega.BeEmpty())
}

func TestHasUsableInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	own, other := instances("a", 1), instances("b", 1)
	s := snapshot(own, other)
	g.Expect(s.HasUsableInstance("s", own[0].ID, 0)).To(gomega.BeTrue())
	other[0].Observed.SetUnreachable(true)
	g.Expect(s.HasUsableInstance("s", own[0].ID, 0)).To(gomega.BeFalse())
	g.Expect(s.HasUsableInstance("t", "", 0)).To(gomega.BeFalse())
}

// A request limited to the instances it was sent to before must go to one of them, also
// if they come from an earlier snapshot.
func TestOnlyAllowedInstancesAreChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	own, other := instances("a", 3), instances("b", 3)
	s, r := snapshot(own, other), rng()
	q := query(0)
	previous := *other[1]
	q.Allowed = []*Instance{&previous, own[2]}
	q.Avoid = &previous
	for range 50 {
		in, _ := s.Pick(q, r)
		g.Expect(in).To(gomega.BeIdenticalTo(own[2]))
	}
	q.Allowed = []*Instance{&previous}
	_, code := s.Pick(q, r)
	g.Expect(code).To(gomega.Equal(fault.NoBackend))
	q.AvoidIfPossible = true
	in, _ := s.Pick(q, r)
	g.Expect(in).To(gomega.BeIdenticalTo(other[1]))
}

// A limited instance must not hide that another one of its service has room.
func TestLowestLevelIsThatOfTheInstanceWithMostRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Second
	limited, free, gone := newLevelInstance("a", 900, now), newLevelInstance("b", 300, now), newLevelInstance("c", 0, now)
	gone.Observed.SetUnreachable(true)
	s := &Snapshot{Services: map[string]*Service{"f/s": {LocalInstances: []*Instance{limited, gone}, RemoteDomains: [][]*Instance{{free}}}}}
	g.Expect(s.LowestLevel("f/s", now)).To(gomega.Equal(rank.Level(300)))
	g.Expect(s.LowestLevel("f/other", now)).To(gomega.BeZero())
	g.Expect(s.PathLevel("f/s", 100, 900, now)).To(gomega.Equal(rank.Level(300)))
	g.Expect(s.PathLevel("f/s", 400, 900, now)).To(gomega.Equal(rank.Level(400)))
	g.Expect(s.PathLevel("f/s", 400, 200, now)).To(gomega.Equal(rank.Level(400)))
	free.Observed.SetUnreachable(true)
	g.Expect(s.LowestLevel("f/s", now)).To(gomega.Equal(rank.Level(900)))
}

// newLevelInstance returns an instance that has reported an admission level.
func newLevelInstance(id string, l rank.Level, now time.Duration) *Instance {
	in := &Instance{ID: id, Slots: 8, Weight: 1, Observed: &Observations{}}
	in.Observed.RecordSend()
	in.Observed.RecordOutcome(now, Outcome{HasLoad: true, Level: l, Limit: 8}, EjectOptions{})
	return in
}

// TestDrainingRefusalIsForgotten guards against an instance that gets no requests any more
// because its refusal arrived after the news that its drain had ended.
func TestDrainingRefusalIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &Observations{}
	o.SetDraining(false)
	o.RecordSend()
	o.RecordOutcome(time.Second, Outcome{Draining: true}, EjectOptions{})
	g.Expect(o.isUsable(time.Second + drainingFor/2)).To(gomega.BeFalse())
	g.Expect(o.isUsable(time.Second + drainingFor)).To(gomega.BeTrue())
	o.RecordSend()
	o.RecordOutcome(time.Second+drainingFor, Outcome{Draining: true}, EjectOptions{})
	g.Expect(o.isUsable(time.Second + drainingFor)).To(gomega.BeFalse())
	o.SetDraining(false)
	g.Expect(o.isUsable(time.Second + drainingFor)).To(gomega.BeTrue())
}
