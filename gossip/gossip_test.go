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

const tickInterval = 25 * time.Millisecond

// simNetwork connects cores in virtual time over a network with packet loss, cut links
// and frozen nodes.
type simNetwork struct {
	rng       *rand.Rand
	now       time.Duration
	cores     map[string]*Core
	ids       []string
	frozen    map[string]bool
	cutLinks  map[string]bool
	lossRate  float64
	bytesSent map[string]int
}

func testOptions(rng *rand.Rand) Options {
	return Options{
		ProbeInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 2 * time.Second,
		DepartedRetention: 30 * time.Second, IndirectProbes: 3, MaxPiggybackBytes: 1100, Rand: rng,
		IsUrgent: func(key string) bool { return strings.HasPrefix(key, urgentPrefix) },
	}
}

func newSimNetwork(n int, seed uint64) *simNetwork {
	w := &simNetwork{rng: rand.New(rand.NewPCG(seed, 5)), cores: map[string]*Core{}, frozen: map[string]bool{}, cutLinks: map[string]bool{}, bytesSent: map[string]int{}}
	for i := range n {
		w.addCore(fmt.Sprintf("n%03d", i))
	}
	return w
}

func (w *simNetwork) addCore(id string) {
	w.cores[id] = New(Member{ID: id, Addr: id}, testOptions(w.rng))
	if len(w.ids) > 0 {
		w.sync(id, w.ids[w.rng.IntN(len(w.ids))])
	}
	w.ids = append(w.ids, id)
}

// urgentPrefix is the key prefix of urgent records in these tests.
const urgentPrefix = "urgent/"

// sync exchanges differing records between two cores, as nodes do over TCP.
func (w *simNetwork) sync(a, b string) {
	if w.frozen[a] || w.frozen[b] || w.cutLinks[a+b] || w.cutLinks[b+a] {
		return
	}
	ca, cb := w.cores[a], w.cores[b]
	da, db := ca.Digest(), cb.Digest()
	ra, rb := ca.DifferingRecords(db), cb.DifferingRecords(da)
	ca.MergeRecords(w.now, rb)
	cb.MergeRecords(w.now, ra)
}

func (w *simNetwork) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tickInterval {
		for _, id := range w.ids {
			if w.frozen[id] {
				continue
			}
			w.cores[id].Tick(w.now)
			if w.rng.Float64() < float64(tickInterval)/float64(2*time.Second) {
				w.sync(id, w.ids[w.rng.IntN(len(w.ids))])
			}
		}
		w.deliverPackets()
	}
}

func (w *simNetwork) deliverPackets() {
	for more := true; more; {
		more = false
		for _, id := range w.ids {
			outs, _ := w.cores[id].TakeOutput()
			for _, o := range outs {
				more = true
				w.bytesSent[id] += len(EncodePacket(o.Packet))
				if w.frozen[o.Addr] || w.cutLinks[id+o.Addr] || w.rng.Float64() < w.lossRate {
					continue
				}
				w.cores[o.Addr].HandlePacket(w.now, id, o.Packet)
			}
		}
	}
}

// statusOf returns the status of a member as the viewer knows it, Dead if it is unknown.
func (w *simNetwork) statusOf(viewer, id string) Status {
	for _, m := range w.cores[viewer].Members() {
		if m.ID == id {
			return m.Status
		}
	}
	return Dead
}

func TestFrozenMemberIsDeclaredDeadAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(20, 1)
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

func TestOneWayCutKillsNoMember(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(12, 2)
	w.run(5 * time.Second)
	w.cutLinks["n001n002"] = true
	w.run(20 * time.Second)
	for _, id := range w.ids {
		g.Expect(w.cores[id].LiveCount()).To(gomega.Equal(11), id)
	}
}

func TestLeavingMemberIsNotDeclaredDead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(8, 3)
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

// TestMembersConvergeAfterFaults checks that after random freezes, cuts and packet loss
// all members see all others, and that no record's stamp ever decreases.
func TestMembersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimNetwork(rapid.IntRange(3, 8).Draw(t, "n"), rapid.Uint64().Draw(t, "seed"))
		w.lossRate = 0.1
		stamps := map[string]uint64{}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			a := rapid.SampledFrom(w.ids).Draw(t, "a")
			b := rapid.SampledFrom(w.ids).Draw(t, "b")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.frozen[a] = !w.frozen[a]
			case 1:
				w.cutLinks[a+b] = !w.cutLinks[a+b]
			case 2:
				w.cores[a].Publish(Record{Key: "s/x", Stamp: uint64(w.now) + 1, Payload: []byte(a)})
			}
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond)
			for _, id := range w.ids {
				r, _ := w.cores[id].Get("s/x")
				if r.Stamp < stamps[id] {
					t.Fatalf("the stamp at %s decreased from %d to %d", id, stamps[id], r.Stamp)
				}
				stamps[id] = r.Stamp
			}
		}
		w.frozen, w.cutLinks, w.lossRate = map[string]bool{}, map[string]bool{}, 0
		w.run(40 * time.Second)
		first, _ := w.cores[w.ids[0]].Get("s/x")
		for _, id := range w.ids {
			if n := w.cores[id].LiveCount(); n != len(w.ids)-1 {
				t.Fatalf("%s sees %d of %d members", id, n, len(w.ids)-1)
			}
			if r, _ := w.cores[id].Get("s/x"); r.Stamp != first.Stamp {
				t.Fatalf("%s has stamp %d, %s has %d", id, r.Stamp, w.ids[0], first.Stamp)
			}
		}
	})
}

// TestTrafficPerMemberIsBounded checks that what an idle member sends does not grow with
// the number of members.
func TestTrafficPerMemberIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	perSecond := func(n int) float64 {
		w := newSimNetwork(n, 4)
		w.run(20 * time.Second)
		clear(w.bytesSent)
		w.run(10 * time.Second)
		sum := 0
		for _, b := range w.bytesSent {
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
		c := New(Member{ID: "x", Addr: "x"}, testOptions(rand.New(rand.NewPCG(1, 1))))
		c.HandlePacket(0, "y", p)
		c.Tick(time.Second)
	})
}

// TestMemberReplacedAtSameAddressIsDeclaredDead guards against the acks of a restarted
// process keeping its predecessor at the same address alive.
func TestMemberReplacedAtSameAddressIsDeclaredDead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(10, 1)
	w.run(5 * time.Second)
	w.cores["n003"] = New(Member{ID: "n003-again", Addr: "n003"}, testOptions(w.rng))
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

// TestIndirectAckFromReplacementMarksPredecessorDead guards against a relayed ack of a
// restarted process keeping its predecessor alive when direct probes are lost.
func TestIndirectAckFromReplacementMarksPredecessorDead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(3, 1)
	w.run(5 * time.Second)
	w.cores["n002"] = New(Member{ID: "n002-again", Addr: "n002"}, testOptions(w.rng))
	w.cutLinks["n000n002"] = true
	w.run(5 * time.Second)
	g.Expect(w.statusOf("n000", "n002")).To(gomega.Equal(Dead))
}

// TestUrgentRecordSpreadsBetweenProbes checks that an urgent record reaches most members
// before the next probes, which other records wait for.
func TestUrgentRecordSpreadsBetweenProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	const members, networks = 200, 5
	// The order of equal records is random, so that one network tells little.
	reached := func(key string) int {
		n := 0
		for seed := range uint64(networks) {
			w := newSimNetwork(members, seed)
			w.run(20 * time.Second)
			first := w.cores[w.ids[0]]
			first.Publish(Record{Key: key, Stamp: 1, Payload: make([]byte, 500)})
			first.PingRandom(3)
			w.run(4 * tickInterval)
			for _, c := range w.cores {
				if _, ok := c.Get(key); ok {
					n++
				}
			}
		}
		return n / networks
	}
	g.Expect(reached(urgentPrefix + "x")).To(gomega.BeNumerically(">", members*3/4))
	g.Expect(reached("s/x")).To(gomega.BeNumerically("<", members/2))
}
