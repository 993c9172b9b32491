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

// operation is a change, or a read if id is empty.
type operation struct {
	id   string
	base uint64
}

// response is the result of an operation. The operation of a lost response
// may have taken effect.
type response struct {
	version uint64
	code    fault.Code
	lost    bool
}

// specState is the state of the sequential specification: the version, and the
// result of each change as "id=result;".
type specState struct {
	version uint64
	results string
}

// specStep reports whether the specification allows a response, and the state
// after the operation.
func specStep(state, input, output any) (bool, any) {
	s, in, out := state.(specState), input.(operation), output.(response)
	if in.id == "" {
		return out.lost || out.version == s.version, s
	}
	first := findResult(s.results, in.id)
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

// findResult returns a change's result in specState.results, or "".
func findResult(results, id string) string {
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
	Init:  func() any { return specState{} },
	Step:  specStep,
	Equal: func(a, b any) bool { return a.(specState) == b.(specState) },
}

// replica is one Raft node with its store.
type replica struct {
	core            *raft.Core
	store           *Store
	proposals       map[uint64]proposal
	reads           map[uint64]int
	unansweredReads []raft.ReadResult
}

// proposal is an operation that waits for its log entry to be applied.
type proposal struct {
	term uint64
	op   int
}

// cluster is three replicas in one process on a simulated network that drops,
// delays, duplicates and blocks messages.
type cluster struct {
	replicas []*replica
	inFlight []raft.Message
	blocked  map[string]bool
	rng      *rand.Rand
	events   []porcupine.Event
	openOps  map[int]bool
	nextOp   int
	readID   uint64
	// staleReads answers reads from the local store without a quorum, which is
	// not linearizable.
	staleReads bool
}

// newCluster returns three replicas without a leader.
func newCluster(seed uint64) *cluster {
	g := &cluster{blocked: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 3)), openOps: map[int]bool{}}
	var conf raft.Conf
	for i := range 3 {
		conf.Voters = append(conf.Voters, raft.Peer{ID: fmt.Sprint(i)})
	}
	for i := range 3 {
		o := raft.Options{ID: fmt.Sprint(i), ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchEntries: 8, Rand: g.rng}
		core := raft.New(o, raft.HardState{Term: 1, Commit: 1}, raft.Snapshot{Index: 1, Term: 1, Conf: conf}, nil)
		g.replicas = append(g.replicas, &replica{core: core, store: New(), proposals: map[uint64]proposal{}, reads: map[uint64]int{}})
	}
	return g
}

// elect makes the first replica leader.
func (g *cluster) elect() {
	g.replicas[0].core.Campaign()
	g.processReady(g.replicas[0])
	for len(g.inFlight) > 0 {
		msg := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		to := g.replicas[msg.To[0]-'0']
		to.core.Step(msg)
		g.processReady(to)
	}
}

// recordCall adds the start of an operation to the history and returns its id.
func (g *cluster) recordCall(client int, in operation) int {
	g.nextOp++
	g.openOps[g.nextOp] = true
	g.events = append(g.events, porcupine.Event{ClientId: client, Kind: porcupine.CallEvent, Value: in, Id: g.nextOp})
	return g.nextOp
}

// recordReturn adds the end of an operation to the history, once.
func (g *cluster) recordReturn(id int, out response) {
	if !g.openOps[id] {
		return
	}
	delete(g.openOps, id)
	g.events = append(g.events, porcupine.Event{ClientId: 0, Kind: porcupine.ReturnEvent, Value: out, Id: id})
}

// processReady sends the replica's messages, applies its committed entries and
// answers its reads.
func (g *cluster) processReady(m *replica) {
	for {
		rd := m.core.Ready()
		if rd.Empty() {
			return
		}
		g.inFlight = append(g.inFlight, rd.ImmediateMessages...)
		m.core.Advance(rd)
		g.inFlight = append(g.inFlight, rd.Messages...)
		for _, e := range rd.Committed {
			g.apply(m, e)
		}
		m.unansweredReads = append(m.unansweredReads, rd.Reads...)
		g.answerReads(m)
	}
}

// apply applies a committed entry and ends the operation that proposed it.
func (g *cluster) apply(m *replica, e raft.Entry) {
	if e.Type != raft.EntryData || len(e.Data) == 0 {
		return
	}
	var c Change
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		panic(err)
	}
	r := m.store.Apply(c)
	if p, ok := m.proposals[e.Index]; ok {
		delete(m.proposals, e.Index)
		if p.term == e.Term {
			g.recordReturn(p.op, response{version: r.Version, code: r.Code})
		}
	}
}

// answerReads ends the reads whose index the replica has applied.
func (g *cluster) answerReads(m *replica) {
	kept := m.unansweredReads[:0]
	for _, r := range m.unansweredReads {
		if r.OK && r.Index > m.core.Applied() {
			kept = append(kept, r)
			continue
		}
		if r.OK {
			g.recordReturn(m.reads[r.ID], response{version: m.store.Version()})
		}
		delete(m.reads, r.ID)
	}
	m.unansweredReads = kept
}

// step makes one random move: ticks, deliveries, a change of connectivity, a
// change of the settings or a read.
func (g *cluster) step(t *rapid.T) {
	m := g.replicas[rapid.IntRange(0, 2).Draw(t, "member")]
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1:
		for range rapid.IntRange(1, 12).Draw(t, "ticks") {
			m.core.Tick()
			g.processReady(m)
		}
	case 2, 3, 4, 5:
		for range 6 {
			g.deliver(t)
		}
	case 6:
		key := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
		g.blocked[key] = !g.blocked[key]
	case 7, 8:
		g.proposeChange(t, m)
	case 9:
		g.startRead(m)
	}
}

// deliver delivers a random message in flight, or drops it on a blocked link.
// Sometimes it also stays in flight and may arrive again.
func (g *cluster) deliver(t *rapid.T) {
	if len(g.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
	msg := g.inFlight[i]
	if rapid.IntRange(0, 9).Draw(t, "doubled") > 0 {
		g.inFlight[i] = g.inFlight[len(g.inFlight)-1]
		g.inFlight = g.inFlight[:len(g.inFlight)-1]
	}
	if g.blocked[msg.From+" "+msg.To] {
		return
	}
	to := g.replicas[msg.To[0]-'0']
	to.core.Step(msg)
	g.processReady(to)
}

// proposeChange proposes a change on the leader, sometimes with an id used
// before or an outdated base.
func (g *cluster) proposeChange(t *rapid.T, m *replica) {
	if m.core.Role() != raft.Leader || len(g.openOps) > 12 {
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
	opID := g.recordCall(1, operation{id, base})
	index, term, err := m.core.Propose(data)
	if err != nil {
		t.Fatal(err)
	}
	m.proposals[index] = proposal{term, opID}
	g.processReady(m)
}

// startRead starts a read at a replica.
func (g *cluster) startRead(m *replica) {
	if len(g.openOps) > 12 {
		return
	}
	opID := g.recordCall(2, operation{})
	if g.staleReads {
		g.recordReturn(opID, response{version: m.store.Version()})
		return
	}
	g.readID++
	m.reads[g.readID] = opID
	m.core.ReadIndex(g.readID)
	g.processReady(m)
}

// history ends open operations as lost and returns all events.
func (g *cluster) history() []porcupine.Event {
	for id := range g.openOps {
		g.recordReturn(id, response{lost: true})
	}
	return g.events
}

// checkHistory runs a random simulation and checks that its history is
// linearizable.
func checkHistory(t *rapid.T, stale bool) porcupine.CheckResult {
	g := newCluster(rapid.Uint64().Draw(t, "seed"))
	g.staleReads = stale
	g.elect()
	for range rapid.IntRange(60, 260).Draw(t, "steps") {
		g.step(t)
	}
	return porcupine.CheckEventsTimeout(model, g.history(), 5*time.Second)
}

// TestHistoriesAreLinearizable checks for one winner per version, the first
// result on resends, and reads that are never stale.
func TestHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if checkHistory(t, false) == porcupine.Illegal {
			t.Fatal("the history is not linearizable")
		}
	})
}

// TestModelDetectsReadsWithoutQuorum checks that reads without a quorum give
// histories that the check rejects.
func TestModelDetectsReadsWithoutQuorum(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = found || checkHistory(t, true) == porcupine.Illegal
	})
	if !found {
		t.Fatal("no history with stale reads was rejected")
	}
}
