package raft

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/umberthread/umberthread/fault"
)

// Options configures a Core. Durations are in ticks.
type Options struct {
	// ID is the identity of this replica.
	ID string
	// ElectionTicks is the minimum election timeout. The actual timeout is random between
	// ElectionTicks and twice that.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// Rand is the source of randomized election timeouts.
	Rand *rand.Rand
	// MaxBatchEntries limits the number of entries in one message.
	MaxBatchEntries int
	// MaxBatchBytes limits the size of the commands in one message, but for a single larger one.
	// 0 means no limit.
	MaxBatchBytes int
	// StallTicks is how long a save may take before a leader transfers leadership to a
	// voter whose disk still responds. 0 disables the transfer.
	StallTicks int
}

// progress is a leader's view of another replica.
type progress struct {
	// matchIndex is the highest index known to be persisted on the replica.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// resentFrom and resentUpTo are the first index from which entries were last resent, and the
	// last index that had been sent before.
	resentFrom, resentUpTo uint64
	// heartbeatMatchIndex is matchIndex as of the last answered heartbeat round, and
	// heartbeatNextIndex is nextIndex as of the sending of heartbeatRound, 0 once that round or
	// a later one is answered.
	heartbeatMatchIndex, heartbeatNextIndex, heartbeatRound uint64
	// ackedHeartbeatRound is the last heartbeat round that the replica answered.
	ackedHeartbeatRound uint64
	// recentlyActive is set by any message since the last quorum check.
	recentlyActive bool
	// silentTicks counts the ticks since the last message.
	silentTicks int
	// unsavedTicks counts the ticks during which the replica lacked entries and confirmed
	// none of them.
	unsavedTicks int
	// savedInTerm is set once the replica has confirmed an entry of the leader's term, and
	// savedTicks counts the ticks since the last such confirmation.
	savedInTerm bool
	savedTicks  int
	// snapshotWaitTicks counts down the ticks until a snapshot may be sent again, and
	// snapshotWaitElections is the length of that wait in election timeouts.
	snapshotWaitTicks, snapshotWaitElections int
}

// pendingRead is a linearizable read that waits for its heartbeat round to be confirmed.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is one replica of a Raft group. It is not safe for concurrent use.
type Core struct {
	options Options
	role    Role
	state   HardState
	// savedState is the last persisted state.
	savedState HardState
	log        raftLog
	conf       Conf
	// confIndex is the index of the entry that holds conf.
	confIndex uint64
	leaderID  string

	// ticks counts all ticks, and lastHeard is its value at the last message of each member.
	ticks     int
	lastHeard map[string]int

	// electionElapsed counts the ticks since the election timer was reset; on a leader, since
	// the last quorum check.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// preVotes holds the responses to a pre-vote. votes holds those of the current term
	// after this replica became a candidate in it, and is nil otherwise.
	preVotes, votes map[string]bool
	// electionDeferred is set once this replica has delayed its own election for a candidate.
	electionDeferred bool
	// peers holds the progress of all members; it is nil unless this replica leads.
	peers          map[string]*progress
	heartbeatRound uint64
	pendingReads   []pendingRead

	// leaderMatch is the last index known to match the leader's log.
	leaderMatch uint64
	// saving is set while a Ready is being persisted, for saveTicks so far.
	saving    bool
	saveTicks int
	// lastSaveTicks is how long the last completed save took.
	lastSaveTicks int
	// transferee is the voter to which this leader transfers leadership, "" if none, and
	// transferTicks is the age of the transfer.
	transferee    string
	transferTicks int

	// immediateMessages may be sent at once, messagesAfterSave only after the next save.
	immediateMessages []Message
	messagesAfterSave []Message
	readResults       []ReadResult
	restoredSnapshot  *Snapshot
}

// New returns a replica restored from its persisted state, snapshot and the entries after
// the snapshot. A new replica has none of them and waits for a leader to add it to a group.
func New(o Options, st HardState, snap Snapshot, entries []Entry) *Core {
	c := &Core{options: o, state: st, savedState: st, lastHeard: map[string]int{}}
	c.log = raftLog{snapshot: snap, entries: entries, commitIndex: max(st.Commit, snap.Index), appliedIndex: snap.Index}
	c.log.stableIndex = c.log.lastIndex()
	c.log.commitIndex = min(c.log.commitIndex, c.log.lastIndex())
	c.refreshConf()
	c.becomeFollower(st.Term, "")
	return c
}

// InitialSnapshot returns the snapshot from which the first replica of a group starts.
func InitialSnapshot(p Peer, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Conf: Conf{Voters: []Peer{p}}, Data: data}
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the identity of the known leader, or "".
func (c *Core) Leader() string { return c.leaderID }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.state.Term }

// Conf returns a copy of the current membership.
func (c *Core) Conf() Conf { return c.conf.clone() }

// Applied returns the last index that was returned for application.
func (c *Core) Applied() uint64 { return c.log.appliedIndex }

// Commit returns the last committed index.
func (c *Core) Commit() uint64 { return c.log.commitIndex }

// LogLen returns the number of entries after the snapshot.
func (c *Core) LogLen() int { return len(c.log.entries) }

// ConfPending reports whether a membership change is uncommitted.
func (c *Core) ConfPending() bool { return c.confIndex > c.log.commitIndex }

// UnsavedTicks returns the number of ticks during which another replica lacked entries and
// confirmed none of them, which indicates a stalled disk even if the replica responds. It
// returns 0 if this replica is not the leader. SaveTicks covers the local disk.
func (c *Core) UnsavedTicks(id string) int {
	if p := c.peers[id]; c.role == Leader && p != nil && id != c.options.ID {
		return p.unsavedTicks
	}
	return 0
}

// SavedTicks returns the number of ticks since another replica last confirmed an entry of this
// leader's term: entries that it had before say nothing about its disk now. It returns
// math.MaxInt if there is no such confirmation or this replica is not the leader.
func (c *Core) SavedTicks(id string) int {
	if p := c.peers[id]; c.role == Leader && p != nil && p.savedInTerm {
		return p.savedTicks
	}
	return math.MaxInt
}

// PeerStatus returns the ticks since the leader last heard from a replica and the number of
// entries that the replica lacks; ok is false if this replica is not the leader or does not
// know the other. The lag of a replica that has confirmed nothing is math.MaxUint64.
func (c *Core) PeerStatus(id string) (silentTicks int, lag uint64, ok bool) {
	peer := c.peers[id]
	if c.role != Leader || peer == nil {
		return 0, 0, false
	}
	if peer.matchIndex == 0 {
		return peer.silentTicks, math.MaxUint64, true
	}
	return peer.silentTicks, c.log.lastIndex() - peer.matchIndex, true
}

// TicksSinceHeard returns the ticks since the last message of another replica, or since the
// start of this one if there was none. Followers hear nothing of each other while a leader
// is known.
func (c *Core) TicksSinceHeard(id string) int { return c.ticks - c.lastHeard[id] }

// Campaign starts an election immediately, for tests and groups of one replica.
func (c *Core) Campaign() { c.preCampaign() }

// Propose appends a command to the log. It returns the index and term at which the command
// is applied if it commits. It fails with fault.NotLeader on a replica that does not lead.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	e := c.append(Entry{Type: EntryData, Data: data})
	c.broadcastAppend()
	return e.Index, e.Term, nil
}

// checkCanPropose returns an error unless this replica leads and is not transferring
// leadership: the next leader must have all entries.
func (c *Core) checkCanPropose() error {
	if c.role != Leader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	if c.transferee != "" {
		return fault.New(fault.NotLeader, "this replica is transferring leadership")
	}
	return nil
}

// ProposeConf appends a membership that differs from the current one by at most one voter.
// It is refused while another change is uncommitted and until the leader has committed an
// entry of its own term. If nothing differs, an empty entry is appended: as a membership, it
// would hold up the next change until it is committed.
func (c *Core) ProposeConf(next Conf) error {
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if t, _ := c.log.term(c.log.commitIndex); c.ConfPending() || t != c.state.Term {
		return fault.New(fault.Conflict, "another membership change is in progress")
	}
	if voterChanges(c.conf, next) > 1 || len(next.Voters) == 0 {
		return fault.New(fault.BadRequest, "only one voter can be changed at a time")
	}
	if c.conf.equal(next) {
		c.append(Entry{Type: EntryData})
	} else {
		next = next.clone()
		c.append(Entry{Type: EntryConf, Conf: &next})
		c.refreshConf()
	}
	c.broadcastAppend()
	return nil
}

// voterChanges counts the voters that are in only one of two memberships.
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

// ReadIndex requests a linearizable read. The result appears in Ready.Reads under the given
// ID.
func (c *Core) ReadIndex(id uint64) {
	t, _ := c.log.term(c.log.commitIndex)
	if c.role != Leader || t != c.state.Term {
		c.readResults = append(c.readResults, ReadResult{ID: id})
		return
	}
	c.heartbeatRound++
	c.pendingReads = append(c.pendingReads, pendingRead{id, c.log.commitIndex, c.heartbeatRound})
	c.sendHeartbeats()
	c.confirmReads()
}

// Compact replaces the log up to an applied index by a snapshot. It returns false while a
// save is in progress or if the index is not persisted.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index > min(c.log.appliedIndex, c.log.stableIndex) || index <= c.log.snapshot.Index || c.saving {
		return Snapshot{}, false
	}
	snap := Snapshot{Index: index, Term: term, Conf: c.log.confAt(index).clone(), Data: data}
	c.log.compact(snap)
	return snap, true
}

// Ready returns the pending work. The caller must call Advance once the State, Snapshot and
// Entries of the result are persisted.
func (c *Core) Ready() Ready {
	r := Ready{ImmediateMessages: c.immediateMessages, Reads: c.readResults}
	c.immediateMessages, c.readResults = nil, nil
	if c.state.Term != c.savedState.Term {
		// Nothing may be sent in a new term before the term is persisted, or the replica
		// could lead the term again with different entries after a restart.
		c.messagesAfterSave = append(c.messagesAfterSave, r.ImmediateMessages...)
		r.ImmediateMessages = nil
	}
	if !c.saving {
		c.takeUnsaved(&r)
	}
	// Entries persisted by a quorum are applied even if the local save is in progress, so
	// a stalled local disk blocks nobody. A snapshot must be applied before later entries.
	if c.restoredSnapshot == nil {
		r.Committed = slices.Clone(c.log.slice(max(c.log.appliedIndex+1, c.log.firstIndex()), c.log.commitIndex))
		c.log.appliedIndex = max(c.log.appliedIndex, c.log.commitIndex)
	}
	return r
}

// takeUnsaved moves to r everything that must be persisted and the messages that depend on it.
func (c *Core) takeUnsaved(r *Ready) {
	c.state.Commit = c.log.commitIndex
	if c.state != c.savedState {
		st := c.state
		r.State = &st
	}
	r.Snapshot, r.Messages = c.restoredSnapshot, c.messagesAfterSave
	c.restoredSnapshot, c.messagesAfterSave = nil, nil
	r.Entries = slices.Clone(c.log.slice(max(c.log.stableIndex+1, c.log.firstIndex()), c.log.lastIndex()))
	c.log.savingIndex = c.log.lastIndex()
	c.saving = r.MustSave()
	c.saveTicks = 0
}

// Advance records that the contents of a Ready are persisted.
func (c *Core) Advance(r Ready) {
	if !r.MustSave() {
		return
	}
	c.saving = false
	c.lastSaveTicks = c.saveTicks
	if r.State != nil {
		c.savedState = *r.State
	}
	c.log.stableIndex = max(c.log.stableIndex, c.log.savingIndex)
	if c.role == Leader && len(r.Entries) > 0 {
		c.advanceCommit()
	}
}

// Saving reports whether a Ready is being persisted.
func (c *Core) Saving() bool { return c.saving }

// SaveTicks returns the age of the save in progress in ticks, 0 if there is none.
func (c *Core) SaveTicks() int {
	if !c.saving {
		return 0
	}
	return c.saveTicks
}

// append adds an entry of the current term to the log.
func (c *Core) append(e Entry) Entry {
	e.Term = c.state.Term
	e.Index = c.log.lastIndex() + 1
	c.log.entries = append(c.log.entries, e)
	return e
}

// refreshConf updates the membership from the log. A membership takes effect when it is
// appended and is reverted when its entry is truncated.
func (c *Core) refreshConf() {
	c.conf, c.confIndex = c.log.lastConf()
	maps.DeleteFunc(c.lastHeard, func(id string, _ int) bool { return !c.conf.IsVoter(id) && !c.conf.IsLearner(id) })
	if c.role != Leader {
		return
	}
	for _, p := range slices.Concat(c.conf.Voters, c.conf.Learners) {
		if c.peers[p.ID] == nil {
			c.peers[p.ID] = &progress{nextIndex: c.log.lastIndex() + 1}
		}
	}
	for id := range c.peers {
		if !c.conf.IsVoter(id) && !c.conf.IsLearner(id) {
			delete(c.peers, id)
		}
	}
}

// startTerm enters a new term. It drops messages that wait for a save: what they confirm may
// be replaced in the new term before it is persisted.
func (c *Core) startTerm(term uint64) {
	c.state.Term = term
	c.state.Vote = ""
	c.messagesAfterSave = nil
	c.leaderMatch = 0
	c.electionDeferred = false
}

// becomeFollower follows leader, "" if unknown, in the given term and fails pending reads.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.state.Term {
		c.startTerm(term)
	}
	if leader != c.leaderID {
		c.leaderMatch = 0
	}
	c.role = Follower
	c.leaderID = leader
	c.electionElapsed = 0
	c.preVotes, c.votes = nil, nil
	c.peers = nil
	c.transferee = ""
	c.electionTimeout = c.options.ElectionTicks + c.options.Rand.IntN(c.options.ElectionTicks)
	for _, r := range c.pendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id})
	}
	c.pendingReads = nil
}

// quorum returns the number of voters that form a majority.
func (c *Core) quorum() int { return len(c.conf.Voters)/2 + 1 }

// PersistentState returns everything that must be on disk, including what is not saved yet: a
// log that is replaced by it holds at least the contents of the save in progress.
func (c *Core) PersistentState() (HardState, Snapshot, []Entry) {
	return c.state, c.log.snapshot, c.EntriesAfterSnapshot()
}

// EntriesAfterSnapshot returns a copy of the uncompacted log.
func (c *Core) EntriesAfterSnapshot() []Entry { return slices.Clone(c.log.entries) }
