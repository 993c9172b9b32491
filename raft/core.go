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
	Election int
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat int
	// Rand is the source of election times.
	Rand *rand.Rand
	// MaxBatch bounds the entries of one message.
	MaxBatch int
}

// progress is what a leader knows of another replica.
type progress struct {
	match uint64
	next  uint64
	// beatMatch is match at the last heartbeat response.
	beatMatch uint64
	// round is the last heartbeat round that it answered.
	round uint64
	// heard is set by any message since the last quorum check.
	heard bool
	// silent counts the ticks since the last message.
	silent int
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
	state State
	saved State
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
	peers           map[string]*progress
	round           uint64
	reads           []pendingRead

	early    []Message
	messages []Message
	done     []Read
	restored *Snapshot
}

// New returns a replica with what it persisted: its state, its snapshot and
// the entries after it. A replica that is new has none of them; it waits for
// a leader to add it to a group.
func New(o Options, st State, snap Snapshot, entries []Entry) *Core {
	c := &Core{opt: o, state: st, saved: st}
	c.log = raftLog{snap: snap, entries: entries, commit: max(st.Commit, snap.Index), applied: snap.Index}
	c.log.stable = c.log.last()
	c.log.commit = min(c.log.commit, c.log.last())
	c.refreshConf()
	c.becomeFollower(st.Term, "")
	return c
}

// Form returns the snapshot from which the first replica of a group starts.
func Form(p Peer, data []byte) Snapshot {
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

// Silent returns for how many ticks the leader has heard nothing of a
// replica, and how many entries it lacks; false if this is not the leader.
//
// A replica that has confirmed nothing yet lacks everything.
func (c *Core) Silent(id string) (ticks int, lag uint64, ok bool) {
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
	if c.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "this replica does not lead")
	}
	e := c.append(Entry{Type: EntryData, Data: data})
	c.broadcast()
	return e.Index, e.Term, nil
}

// ProposeConf appends a membership that differs by one replica from the one
// in force. It is refused while another change is under way, and until the
// leader has committed an entry of its own term.
func (c *Core) ProposeConf(next Conf) error {
	if c.role != Leader {
		return fault.New(fault.NotLeader, "this replica does not lead")
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
		if !b.Voter(p.ID) {
			n++
		}
	}
	for _, p := range b.Voters {
		if !a.Voter(p.ID) {
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
		c.done = append(c.done, Read{ID: id})
		return
	}
	c.round++
	c.reads = append(c.reads, pendingRead{id, c.log.commit, c.round})
	c.sendHeartbeats()
	c.confirmReads()
}

// Compact replaces the log up to an applied index by a snapshot.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied || index <= c.log.snap.Index {
		return Snapshot{}, false
	}
	snap := Snapshot{Index: index, Term: term, Conf: c.log.confAt(index).clone(), Data: data}
	c.log.compact(snap)
	return snap, true
}

// Ready returns the work to do. Advance must be called when it is done.
func (c *Core) Ready() Ready {
	var r Ready
	c.state.Commit = c.log.commit
	if c.state != c.saved {
		st := c.state
		r.State = &st
	}
	r.Snapshot = c.restored
	r.Entries = slices.Clone(c.log.slice(max(c.log.stable+1, c.log.first()), c.log.last()))
	r.Early, r.Messages, r.Reads = c.early, c.messages, c.done
	if c.state.Term != c.saved.Term {
		// A term must not be led twice with different entries: until it is
		// persisted, nothing is sent in it.
		r.Messages = append(r.Early, r.Messages...)
		r.Early = nil
	}
	c.early, c.messages, c.done, c.restored = nil, nil, nil, nil
	// Entries are applied only once they are persisted here as well.
	upTo := min(c.log.commit, c.log.stable)
	r.Committed = slices.Clone(c.log.slice(max(c.log.applied+1, c.log.first()), upTo))
	c.log.applied = max(c.log.applied, upTo)
	return r
}

// Advance tells that the last Ready was persisted.
func (c *Core) Advance(r Ready) {
	if r.State != nil {
		c.saved = *r.State
	}
	for _, e := range r.Entries {
		// An entry may have been replaced since it was handed out.
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			break
		}
		c.log.stable = max(c.log.stable, e.Index)
	}
	if c.role == Leader && len(r.Entries) > 0 {
		c.advanceCommit()
	}
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
		if !c.conf.Voter(id) && !c.conf.Learner(id) {
			delete(c.peers, id)
		}
	}
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.state.Term {
		c.state.Term = term
		c.state.Vote = ""
	}
	c.role = Follower
	c.leader = leader
	c.elapsed = 0
	c.preVotes, c.votes = nil, nil
	c.peers = nil
	c.timeout = c.opt.Election + c.opt.Rand.IntN(c.opt.Election)
	for _, r := range c.reads {
		c.done = append(c.done, Read{ID: r.id})
	}
	c.reads = nil
}

func (c *Core) quorum() int { return len(c.conf.Voters)/2 + 1 }

// Tail returns the entries after the snapshot, for a caller that rewrites its
// log.
func (c *Core) Tail() []Entry { return slices.Clone(c.log.entries) }
