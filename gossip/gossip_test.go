package gossip

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const tick = 25 * time.Millisecond

// world is many cores in one process over a network that loses.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	cores  map[string]*Core
	ids    []string
	frozen map[string]bool
	cut    map[string]bool
	loss   float64
	bytes  map[string]int
}

func options(rng *rand.Rand) Options {
	return Options{
		ProbeInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 2 * time.Second,
		DepartedRetention: 30 * time.Second, IndirectProbes: 3, MaxPiggybackBytes: 1100, Rand: rng,
		IsUrgent: func(key string) bool { return strings.HasPrefix(key, urgentPrefix) },
	}
}

func newWorld(n int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 5)), cores: map[string]*Core{}, frozen: map[string]bool{}, cut: map[string]bool{}, bytes: map[string]int{}}
	for i := range n {
		w.add(fmt.Sprintf("n%03d", i))
	}
	return w
}

func (w *world) add(id string) {
	w.cores[id] = New(Member{ID: id, Addr: id}, options(w.rng))
	if len(w.ids) > 0 {
		w.sync(id, w.ids[w.rng.IntN(len(w.ids))])
	}
	w.ids = append(w.ids, id)
}

// urgentPrefix begins the keys of urgent records here.
const urgentPrefix = "urgent/"

// sync is what the daemon does over TCP.
func (w *world) sync(a, b string) {
	if w.frozen[a] || w.frozen[b] || w.cut[a+b] || w.cut[b+a] {
		return
	}
	ca, cb := w.cores[a], w.cores[b]
	da, db := ca.Digest(), cb.Digest()
	ra, rb := ca.DifferingRecords(db), cb.DifferingRecords(da)
	ca.MergeRecords(w.now, rb)
	cb.MergeRecords(w.now, ra)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		for _, id := range w.ids {
			if w.frozen[id] {
				continue
			}
			w.cores[id].Tick(w.now)
			if w.rng.Float64() < float64(tick)/float64(2*time.Second) {
				w.sync(id, w.ids[w.rng.IntN(len(w.ids))])
			}
		}
		w.flush()
	}
}

func (w *world) flush() {
	for more := true; more; {
		more = false
		for _, id := range w.ids {
			outs, _ := w.cores[id].TakeOutput()
			for _, o := range outs {
				more = true
				w.bytes[id] += len(EncodePacket(o.Packet))
				if w.frozen[o.Addr] || w.cut[id+o.Addr] || w.rng.Float64() < w.loss {
					continue
				}
				w.cores[o.Addr].HandlePacket(w.now, id, o.Packet)
			}
		}
	}
}

// statusOf returns how a core sees a member.
func (w *world) statusOf(viewer, id string) Status {
	for _, m := range w.cores[viewer].Members() {
		if m.ID == id {
			return m.Status
		}
	}
	return Dead
}

func TestAFrozenMemberIsFoundAndTakenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(20, 1)
	w.run(10 * time.Second)
	for _, id := range w.ids {
		g.Expect(w.cores[id].LiveCount()).To(gomega.Equal(19), id)
	}
	w.frozen["n007"] = true
	w.run(12 * time.Second)
	for _, id := range w.ids {
		if id != "n007" {
			g.Expect(w.statusOf(id, "n007")).To(gomega.Equal(Dead), id)
		}
	}
	w.frozen["n007"] = false
	w.run(10 * time.Second)
	for _, id := range w.ids {
		if id != "n007" {
			g.Expect(w.statusOf(id, "n007")).To(gomega.Equal(Alive), id)
		}
	}
}

func TestOneWayCutToOneMemberUnseatsNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(12, 2)
	w.run(5 * time.Second)
	w.cut["n001n002"] = true
	w.run(20 * time.Second)
	for _, id := range w.ids {
		g.Expect(w.cores[id].LiveCount()).To(gomega.Equal(11), id)
	}
}

func TestLeavingIsNotDying(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8, 3)
	w.run(3 * time.Second)
	w.cores["n003"].Leave()
	w.cores["n003"].PingRandom(3)
	w.run(time.Second)
	for _, id := range w.ids {
		if id != "n003" {
			g.Expect(w.statusOf(id, "n003")).To(gomega.Equal(Leaving), id)
		}
	}
}

// TestMembersAgreeAfterFaults freezes, cuts and loses at random, then checks
// that all members see all others once the faults end, and that no record's
// stamp ever falls.
func TestMembersAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(3, 8).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
		w.loss = 0.1
		stamps := map[string]uint64{}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			a := rapid.SampledFrom(w.ids).Draw(t, "a")
			b := rapid.SampledFrom(w.ids).Draw(t, "b")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.frozen[a] = !w.frozen[a]
			case 1:
				w.cut[a+b] = !w.cut[a+b]
			case 2:
				w.cores[a].Publish(Record{Key: "s/x", Stamp: uint64(w.now) + 1, Payload: []byte(a)})
			}
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond)
			for _, id := range w.ids {
				r, _ := w.cores[id].Get("s/x")
				if r.Stamp < stamps[id] {
					t.Fatalf("%s went back from stamp %d to %d", id, stamps[id], r.Stamp)
				}
				stamps[id] = r.Stamp
			}
		}
		w.frozen, w.cut, w.loss = map[string]bool{}, map[string]bool{}, 0
		w.run(40 * time.Second)
		first, _ := w.cores[w.ids[0]].Get("s/x")
		for _, id := range w.ids {
			if n := w.cores[id].LiveCount(); n != len(w.ids)-1 {
				t.Fatalf("%s sees %d of %d", id, n, len(w.ids)-1)
			}
			if r, _ := w.cores[id].Get("s/x"); r.Stamp != first.Stamp {
				t.Fatalf("%s has stamp %d, %s has %d", id, r.Stamp, w.ids[0], first.Stamp)
			}
		}
	})
}

// TestBytesDoNotGrowWithTheMembers measures what a quiet member sends.
func TestBytesDoNotGrowWithTheMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	perSecond := func(n int) float64 {
		w := newWorld(n, 4)
		w.run(20 * time.Second)
		clear(w.bytes)
		w.run(10 * time.Second)
		sum := 0
		for _, b := range w.bytes {
			sum += b
		}
		return float64(sum) / float64(n) / 10
	}
	small, large := perSecond(10), perSecond(80)
	t.Logf("bytes per second and member: %.0f of 10, %.0f of 80", small, large)
	g.Expect(large).To(gomega.BeNumerically("<", 2*small+200))
}

func FuzzDecodePacket(f *testing.F) {
	f.Add(EncodePacket(Packet{Kind: Ping, From: "a", Records: []Record{{Key: "m/b", Stamp: 4, Payload: []byte{1}}}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		p, err := DecodePacket(b)
		if err != nil {
			return
		}
		c := New(Member{ID: "x", Addr: "x"}, options(rand.New(rand.NewPCG(1, 1))))
		c.HandlePacket(0, "y", p)
		c.Tick(time.Second)
	})
}

// TestAMemberReplacedAtItsAddressIsDead: a process restarts faster than it takes to
// suspect it. Its successor answers at the same address, under another identity, and
// must not pass for the one before, which would stay alive for good.
func TestAMemberReplacedAtItsAddressIsDead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 1)
	w.run(5 * time.Second)
	w.cores["n003"] = New(Member{ID: "n003-again", Addr: "n003"}, options(w.rng))
	w.sync("n003", "n001")
	w.run(5 * time.Second)
	for _, id := range w.ids {
		if id == "n003" {
			continue
		}
		g.Expect(w.statusOf(id, "n003")).To(gomega.Equal(Dead), id)
		g.Expect(w.statusOf(id, "n003-again")).To(gomega.Equal(Alive), id)
	}
}

// TestASuccessorThatIsAskedThroughOthersDoesNotPassForItsPredecessor: the direct
// probe is lost on the way; who is asked to probe passes on who answered.
func TestASuccessorThatIsAskedThroughOthersDoesNotPassForItsPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(3, 1)
	w.run(5 * time.Second)
	w.cores["n002"] = New(Member{ID: "n002-again", Addr: "n002"}, options(w.rng))
	w.cut["n000n002"] = true
	w.run(5 * time.Second)
	g.Expect(w.statusOf("n000", "n002")).To(gomega.Equal(Dead))
}

// An urgent record reaches nearly all members with the packets that are sent at once; the
// next probes, half a second later, are not waited for.
func TestUrgentRecordDoesNotWaitForProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	const members = 200
	reached := func(key string) int {
		w := newWorld(members, 7)
		w.run(20 * time.Second)
		first := w.cores[w.ids[0]]
		first.Publish(Record{Key: key, Stamp: 1, Payload: make([]byte, 500)})
		first.PingRandom(3)
		w.run(4 * tick)
		n := 0
		for _, c := range w.cores {
			if _, ok := c.Get(key); ok {
				n++
			}
		}
		return n
	}
	g.Expect(reached(urgentPrefix + "x")).To(gomega.BeNumerically(">", members*3/4))
	g.Expect(reached("s/x")).To(gomega.BeNumerically("<", members/2))
}
