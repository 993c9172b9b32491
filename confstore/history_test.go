package confstore

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

// op is what an operator asks: a change, or a read if ID is empty.
type op struct {
	id   string
	base uint64
}

// answer is what the operator is told; lost answers are not in the history's
// results but may have taken effect.
type answer struct {
	version uint64
	code    fault.Code
	lost    bool
}

// spec is the simple oracle: one register of the version and the results.
type spec struct {
	version uint64
	results string
}

func step(state, input, output any) (bool, any) {
	s, in, out := state.(spec), input.(op), output.(answer)
	if in.id == "" {
		return out.lost || out.version == s.version, s
	}
	first := find(s.results, in.id)
	if first == "" {
		first = "c"
		next := s
		if in.base == s.version {
			next.version++
			first = fmt.Sprint(next.version)
		}
		next.results += in.id + "=" + first + ";"
		s = next
	}
	if out.lost {
		return true, s
	}
	if first == "c" {
		return out.code == fault.Conflict, s
	}
	return out.code == fault.None && fmt.Sprint(out.version) == first, s
}

func find(results, id string) string {
	for i := 0; i < len(results); {
		eq := i
		for results[eq] != '=' {
			eq++
		}
		end := eq
		for results[end] != ';' {
			end++
		}
		if results[i:eq] == id {
			return results[eq+1 : end]
		}
		i = end + 1
	}
	return ""
}

var model = porcupine.Model{
	Init:  func() any { return spec{} },
	Step:  step,
	Equal: func(a, b any) bool { return a.(spec) == b.(spec) },
}

// member is one replica with its store.
type member struct {
	core  *raft.Core
	store *Store
	wait  map[uint64]pending
	reads map[uint64]int
	held  []raft.ReadResult
}

type pending struct {
	term uint64
	op   int
}

// group is three replicas in one process over a network that loses, delays,
// doubles and cuts.
type group struct {
	members []*member
	net     []raft.Message
	cut     map[string]bool
	rng     *rand.Rand
	events  []porcupine.Event
	open    map[int]bool
	nextOp  int
	readID  uint64
	// staleReads answers reads without asking a quorum: the broken variant.
	staleReads bool
}

func newGroup(seed uint64) *group {
	g := &group{cut: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 3)), open: map[int]bool{}}
	var conf raft.Conf
	for i := range 3 {
		conf.Voters = append(conf.Voters, raft.Peer{ID: fmt.Sprint(i)})
	}
	for i := range 3 {
		o := raft.Options{ID: fmt.Sprint(i), ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 8, Rand: g.rng}
		core := raft.New(o, raft.HardState{Term: 1, Commit: 1}, raft.Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
		g.members = append(g.members, &member{core: core, store: New(), wait: map[uint64]pending{}, reads: map[uint64]int{}})
	}
	return g
}

// elect makes the first member lead, so that the history begins with work.
func (g *group) elect() {
	g.members[0].core.Campaign()
	g.work(g.members[0])
	for len(g.net) > 0 {
		msg := g.net[0]
		g.net = g.net[1:]
		to := g.members[msg.To[0]-'0']
		to.core.Step(msg)
		g.work(to)
	}
}

func (g *group) begin(client int, in op) int {
	g.nextOp++
	g.open[g.nextOp] = true
	g.events = append(g.events, porcupine.Event{ClientId: client, Kind: porcupine.CallEvent, Value: in, Id: g.nextOp})
	return g.nextOp
}

func (g *group) end(id int, out answer) {
	if !g.open[id] {
		return
	}
	delete(g.open, id)
	g.events = append(g.events, porcupine.Event{ClientId: 0, Kind: porcupine.ReturnEvent, Value: out, Id: id})
}

func (g *group) work(m *member) {
	for {
		rd := m.core.Ready()
		if rd.Empty() {
			return
		}
		g.net = append(g.net, rd.ImmediateMessages...)
		m.core.Advance(rd)
		g.net = append(g.net, rd.Messages...)
		for _, e := range rd.Committed {
			g.apply(m, e)
		}
		m.held = append(m.held, rd.Reads...)
		g.answerReads(m)
	}
}

func (g *group) apply(m *member, e raft.Entry) {
	if e.Type != raft.EntryData || len(e.Data) == 0 {
		return
	}
	var c Change
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		panic(err)
	}
	r := m.store.Apply(c)
	if p, ok := m.wait[e.Index]; ok {
		delete(m.wait, e.Index)
		if p.term == e.Term {
			g.end(p.op, answer{version: r.Version, code: r.Code})
		}
	}
}

func (g *group) answerReads(m *member) {
	kept := m.held[:0]
	for _, r := range m.held {
		if r.OK && r.Index > m.core.Applied() {
			kept = append(kept, r)
			continue
		}
		if r.OK {
			g.end(m.reads[r.ID], answer{version: m.store.Version()})
		}
		delete(m.reads, r.ID)
	}
	m.held = kept
}

func (g *group) step(t *rapid.T) {
	m := g.members[rapid.IntRange(0, 2).Draw(t, "member")]
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1:
		for range rapid.IntRange(1, 12).Draw(t, "ticks") {
			m.core.Tick()
			g.work(m)
		}
	case 2, 3, 4, 5:
		for range 6 {
			g.deliver(t)
		}
	case 6:
		key := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
		g.cut[key] = !g.cut[key]
	case 7, 8:
		g.change(t, m)
	case 9:
		g.read(m)
	}
}

func (g *group) deliver(t *rapid.T) {
	if len(g.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.net)-1).Draw(t, "message")
	msg := g.net[i]
	if rapid.IntRange(0, 9).Draw(t, "doubled") > 0 {
		g.net[i] = g.net[len(g.net)-1]
		g.net = g.net[:len(g.net)-1]
	}
	if g.cut[msg.From+" "+msg.To] {
		return
	}
	to := g.members[msg.To[0]-'0']
	to.core.Step(msg)
	g.work(to)
}

// change proposes a change, sometimes one whose answer was lost, again.
func (g *group) change(t *rapid.T, m *member) {
	if m.core.Role() != raft.Leader || len(g.open) > 12 {
		return
	}
	id := fmt.Sprintf("c%d", rapid.IntRange(0, 20).Draw(t, "id"))
	base := m.store.Version()
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && base > 0 {
		base--
	}
	c := Change{ID: id, Base: base, Patch: settings.Patch{Set: settings.Entries{"#deadline": "1s"}}}
	data, err := msgpack.Marshal(&c)
	if err != nil {
		t.Fatal(err)
	}
	opID := g.begin(1, op{id, base})
	index, term, err := m.core.Propose(data)
	if err != nil {
		t.Fatal(err)
	}
	m.wait[index] = pending{term, opID}
	g.work(m)
}

func (g *group) read(m *member) {
	if len(g.open) > 12 {
		return
	}
	opID := g.begin(2, op{})
	if g.staleReads {
		g.end(opID, answer{version: m.store.Version()})
		return
	}
	g.readID++
	m.reads[g.readID] = opID
	m.core.ReadIndex(g.readID)
	g.work(m)
}

// history closes what is still open as lost and returns all events.
func (g *group) history() []porcupine.Event {
	for id := range g.open {
		g.end(id, answer{lost: true})
	}
	return g.events
}

func check(t *rapid.T, stale bool) porcupine.CheckResult {
	g := newGroup(rapid.Uint64().Draw(t, "seed"))
	g.staleReads = stale
	g.elect()
	for range rapid.IntRange(60, 260).Draw(t, "steps") {
		g.step(t)
	}
	return porcupine.CheckEventsTimeout(model, g.history(), 5*time.Second)
}

// TestHistoriesAreLinearizable checks the histories of operators who race and
// resend against one register: one winner per version, first results for
// resends, and reads that are never behind.
func TestHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if check(t, false) == porcupine.Illegal {
			t.Fatal("the history is not linearizable")
		}
	})
}

// TestReadsWithoutQuorumAreFound shows that the check finds replicas that
// answer reads from what they have.
func TestReadsWithoutQuorumAreFound(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = found || check(t, true) == porcupine.Illegal
	})
	if !found {
		t.Fatal("no check failed")
	}
}
