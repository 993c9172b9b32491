package raft

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/umberthread/umberthread/fault"
)

// Options are the settings of a Core. Times are in ticks.
type Options struct {
	// ID is this replica's identity.
	ID string
	// Election is the least time without a leader before an election; the
	// time is drawn between it and twice it.
	ElectionTicks int
	// Heartbeat is the time between a leader's heartbeats.
	HeartbeatTicks int
	// Rand is the source of election times.
	Rand *rand.Rand
	// MaxBatch bounds the entries of one message.
	MaxBatchEntries int
	// Stall is how long a save may take before a leader hands its lead to a voter
	// whose disk answers; 0 is for ever.
	StallTicks int
}

// progress is what a leader knows of another replica.
type progress struct {
	match uint64
	next  uint64
	// beatMatch is match at the response to the last round of heartbeats, and
	// beatNext next when the present round, beatRound, was sent.
	beatMatch, beatNext, beatRound uint64
	// round is the last heartbeat round that it answered.
	round uint64
	// heard is set by any message since the last quorum check.
	heard bool
	// silent counts the ticks since the last message.
	silent int
	// unsaved counts the ticks for which the replica has confirmed nothing of
	// what it lacks.
	unsaved int
	// snapshotWait counts down the ticks until a snapshot is sent again.
	snapshotWait int
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	opt   Options
	role  Role
	state HardState
	saved HardState
	log   raftLog
	conf  Conf
	// confIndex is the index of the entry that conf comes from.
	confIndex uint64
	leader    string

	elapsed int
	timeout int
	beat    int
	// preVotes are the answers to a pre-vote, and votes those of the current
	// term while this replica stands for it, nil else.
	preVotes, votes map[string]bool
	// yielded is set once this replica has left another the time to win.
	yielded bool
	peers   map[string]*progress
	round   uint64
	reads   []pendingRead

	// held is the last index known to be as in the leader's log.
	held uint64
	// saving tells whether a Ready is being persisted, and saveTicks for how long.
	saving    bool
	saveTicks int
	// heir is the voter to which this leader hands its lead, "" if to none, and
	// heirTicks for how long.
	heir      string
	heirTicks int

	early    []Message
	messages []Message
	done     []ReadResult
	restored *Snapshot
}

// New returns a replica with what it persisted: its state, its snapshot and
// the entries after it. A replica that is new has none of them; it waits for
// a leader to add it to a group.
func New(o Options, st HardState, snap Snapshot, entries []Entry) *Core {
	c := &Core{opt: o, state: st, saved: st}
	c.log = raftLog{snap: snap, entries: entries, commit: max(st.Commit, snap.Index), applied: snap.Index}
	c.log.stable = c.log.last()
	c.log.commit = min(c.log.commit, c.log.last())
	c.refreshConf()
	c.becomeFollower(st.Term, "")
	return c
}

// Form returns the snapshot from which the first replica of a group starts.
func InitialSnapshot(p Peer, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Conf: Conf{Voters: []Peer{p}}, Data: data}
}

// Role returns what the replica is.
func (c *Core) Role() Role { return c.role }

// Leader returns the identity of the leader as far as known, else "".
func (c *Core) Leader() string { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.state.Term }

// Conf returns the membership in force.
func (c *Core) Conf() Conf { return c.conf.clone() }

// Applied returns the last index handed out to be applied.
func (c *Core) Applied() uint64 { return c.log.applied }

// Commit returns the last committed index.
func (c *Core) Commit() uint64 { return c.log.commit }

// LogLen returns the number of entries after the snapshot.
func (c *Core) LogLen() int { return len(c.log.entries) }

// ConfPending tells whether a membership change is not yet committed.
func (c *Core) ConfPending() bool { return c.confIndex > c.log.commit }

// Unsaved returns for how many ticks another replica has confirmed nothing of what it
// lacks, though it may answer: its disk stalls. It is 0 if this is not the leader. Of the
// own disk SaveTicks tells.
func (c *Core) UnsavedTicks(id string) int {
	if p := c.peers[id]; c.role == Leader && p != nil && id != c.opt.ID {
		return p.unsaved
	}
	return 0
}

// Silent returns for how many ticks the leader has heard nothing of a
// replica, and how many entries it lacks; false if this is not the leader.
//
// A replica that has confirmed nothing yet lacks everything.
func (c *Core) PeerStatus(id string) (ticks int, lag uint64, ok bool) {
	p := c.peers[id]
	if c.role != Leader || p == nil {
		return 0, 0, false
	}
	if p.match == 0 {
		return p.silent, math.MaxUint64, true
	}
	return p.silent, c.log.last() - p.match, true
}

// Campaign starts an election at once; a test or a group of one uses it.
func (c *Core) Campaign() { c.preCampaign() }

// Propose appends a command. It returns the index and term under which it
// will be applied if it is ever committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	e := c.append(Entry{Type: EntryData, Data: data})
	c.broadcast()
	return e.Index, e.Term, nil
}

// mayPropose refuses what is proposed to a replica that does not lead, or hands its
// lead over: the next leader must have all entries.
func (c *Core) mayPropose() error {
	if c.role != Leader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	if c.heir != "" {
		return fault.New(fault.NotLeader, "this replica hands its lead over")
	}
	return nil
}

// ProposeConf appends a membership that differs by one replica from the one
// in force. It is refused while another change is under way, and until the
// leader has committed an entry of its own term.
func (c *Core) ProposeConf(next Conf) error {
	if err := c.mayPropose(); err != nil {
		return err
	}
	if t, _ := c.log.term(c.log.commit); c.ConfPending() || t != c.state.Term {
		return fault.New(fault.Conflict, "another membership change is under way")
	}
	if voterChanges(c.conf, next) > 1 || len(next.Voters) == 0 {
		return fault.New(fault.BadRequest, "one voter can be changed at a time")
	}
	next = next.clone()
	c.append(Entry{Type: EntryConf, Conf: &next})
	c.refreshConf()
	c.broadcast()
	return nil
}

// voterChanges counts the voters in only one of two memberships.
func voterChanges(a, b Conf) int {
	n := 0
	for _, p := range a.Voters {
		if !b.IsVoter(p.ID) {
			n++
		}
	}
	for _, p := range b.Voters {
		if !a.IsVoter(p.ID) {
			n++
		}
	}
	return n
}

// ReadIndex asks for a read that reflects everything committed before it. The
// result comes in Ready.Reads under the given id.
func (c *Core) ReadIndex(id uint64) {
	t, _ := c.log.term(c.log.commit)
	if c.role != Leader || t != c.state.Term {
		c.done = append(c.done, ReadResult{ID: id})
		return
	}
	c.round++
	c.reads = append(c.reads, pendingRead{id, c.log.commit, c.round})
	c.sendHeartbeats()
	c.confirmReads()
}

// Compact replaces the log up to an applied index by a snapshot, unless a save is
// under way or the index is not persisted.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index > min(c.log.applied, c.log.stable) || index <= c.log.snap.Index || c.saving {
		return Snapshot{}, false
	}
	snap := Snapshot{Index: index, Term: term, Conf: c.log.confAt(index).clone(), Data: data}
	c.log.compact(snap)
	return snap, true
}

// Ready returns the work to do. Advance must be called once what it has to persist
// is persisted.
func (c *Core) Ready() Ready {
	r := Ready{ImmediateMessages: c.early, Reads: c.done}
	c.early, c.done = nil, nil
	if c.state.Term != c.saved.Term {
		// A term must not be led twice with different entries: until it is
		// persisted, nothing is sent in it.
		c.messages = append(c.messages, r.ImmediateMessages...)
		r.ImmediateMessages = nil
	}
	if !c.saving {
		c.handOut(&r)
	}
	// What a quorum has persisted is applied though the own disk has yet to answer:
	// one that stalls holds up nobody. A snapshot comes before what follows it.
	if c.restored == nil {
		r.Committed = slices.Clone(c.log.slice(max(c.log.applied+1, c.log.first()), c.log.commit))
		c.log.applied = max(c.log.applied, c.log.commit)
	}
	return r
}

// handOut adds to r what has to be persisted, and what has to wait for it.
func (c *Core) handOut(r *Ready) {
	c.state.Commit = c.log.commit
	if c.state != c.saved {
		st := c.state
		r.State = &st
	}
	r.Snapshot, r.Messages = c.restored, c.messages
	c.restored, c.messages = nil, nil
	r.Entries = slices.Clone(c.log.slice(max(c.log.stable+1, c.log.first()), c.log.last()))
	c.log.saving = c.log.last()
	c.saving = r.MustSave()
	c.saveTicks = 0
}

// Advance tells that what a Ready had to persist is persisted.
func (c *Core) Advance(r Ready) {
	if !r.MustSave() {
		return
	}
	c.saving = false
	if r.State != nil {
		c.saved = *r.State
	}
	c.log.stable = max(c.log.stable, c.log.saving)
	if c.role == Leader && len(r.Entries) > 0 {
		c.advanceCommit()
	}
}

// Saving tells whether a Ready is being persisted.
func (c *Core) Saving() bool { return c.saving }

// SaveTicks returns for how many ticks the save under way has taken, 0 if there is
// none.
func (c *Core) SaveTicks() int {
	if !c.saving {
		return 0
	}
	return c.saveTicks
}

func (c *Core) append(e Entry) Entry {
	e.Term = c.state.Term
	e.Index = c.log.last() + 1
	c.log.entries = append(c.log.entries, e)
	return e
}

// refreshConf takes the membership from the log, in force from when it is
// appended, or given up again when the log is cut.
func (c *Core) refreshConf() {
	c.conf, c.confIndex = c.log.conf()
	if c.role != Leader {
		return
	}
	for _, p := range slices.Concat(c.conf.Voters, c.conf.Learners) {
		if c.peers[p.ID] == nil {
			c.peers[p.ID] = &progress{next: c.log.last() + 1}
		}
	}
	for id := range c.peers {
		if !c.conf.IsVoter(id) && !c.conf.IsLearner(id) {
			delete(c.peers, id)
		}
	}
}

// raiseTerm begins a term. Answers that still wait for the disk are dropped: what
// they promise in their own term may be replaced before it is persisted.
func (c *Core) raiseTerm(term uint64) {
	c.state.Term = term
	c.state.Vote = ""
	c.messages = nil
	c.held = 0
	c.yielded = false
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.state.Term {
		c.raiseTerm(term)
	}
	if leader != c.leader {
		c.held = 0
	}
	c.role = Follower
	c.leader = leader
	c.elapsed = 0
	c.preVotes, c.votes = nil, nil
	c.peers = nil
	c.heir = ""
	c.timeout = c.opt.ElectionTicks + c.opt.Rand.IntN(c.opt.ElectionTicks)
	for _, r := range c.reads {
		c.done = append(c.done, ReadResult{ID: r.id})
	}
	c.reads = nil
}

func (c *Core) quorum() int { return len(c.conf.Voters)/2 + 1 }

// Tail returns the entries after the snapshot, for a caller that rewrites its
// log.
func (c *Core) EntriesAfterSnapshot() []Entry { return slices.Clone(c.log.entries) }
