// Package raft implements the Raft consensus algorithm as a deterministic state machine.
// Messages, ticks and proposals go in through Step, Tick and Propose; Ready returns what
// must be persisted, sent and applied. The package does no I/O, reads no clock, starts no
// goroutines and uses only the random source that it is given.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, leaders that step down
// without a responsive quorum, quorum-confirmed reads, snapshots, learners, leadership
// transfer and single-server membership changes, which take effect when they are appended
// (Ongaro's dissertation, chapter 4).
//
// The caller must persist a Ready's State, Snapshot and Entries before it sends its Messages
// and calls Advance; ImmediateMessages may be sent earlier. During a save the caller keeps
// using Step, Tick, Propose and Ready. The Core collects what has to be persisted next, so
// at most one save is in progress and the next one includes everything that accumulated.
package raft

import "slices"

// Peer identifies a replica of the group.
type Peer struct {
	// ID is the identity of the replica, created with its data directory: a replica
	// that lost its disk returns under a new ID.
	ID string
	// Addr is its control address.
	Addr string
	// Domain is its failure domain.
	Domain string
}

// Conf is the membership of a group.
type Conf struct {
	Voters   []Peer
	Learners []Peer
}

// clone returns a copy that shares no memory with c.
func (c Conf) clone() Conf {
	return Conf{slices.Clone(c.Voters), slices.Clone(c.Learners)}
}

// equal reports whether c and other have the same members with the same addresses.
func (c Conf) equal(other Conf) bool {
	return slices.Equal(c.Voters, other.Voters) && slices.Equal(c.Learners, other.Learners)
}

// IsVoter reports whether id is a voter.
func (c Conf) IsVoter(id string) bool { return containsPeer(c.Voters, id) }

// IsLearner reports whether id is a learner, which receives entries but has no vote.
func (c Conf) IsLearner(id string) bool { return containsPeer(c.Learners, id) }

// containsPeer reports whether ps has a peer with the given ID.
func containsPeer(ps []Peer, id string) bool {
	return slices.ContainsFunc(ps, func(p Peer) bool { return p.ID == id })
}

// With returns a copy of the membership with p as a voter or as a learner.
func (c Conf) With(p Peer, voter bool) Conf {
	next := c.Without(p.ID)
	if voter {
		next.Voters = append(next.Voters, p)
	} else {
		next.Learners = append(next.Learners, p)
	}
	return next
}

// Without returns a copy of the membership without the replica id.
func (c Conf) Without(id string) Conf {
	matchesID := func(p Peer) bool { return p.ID == id }
	n := c.clone()
	n.Voters = slices.DeleteFunc(n.Voters, matchesID)
	n.Learners = slices.DeleteFunc(n.Learners, matchesID)
	return n
}

// EntryType distinguishes commands from membership changes.
type EntryType uint8

const (
	// EntryData holds a command; it is empty in the first entry of a new leader.
	EntryData EntryType = iota
	// EntryConf holds a membership.
	EntryConf
)

// Entry is an entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
	Conf  *Conf
}

// HardState is the state that must be persisted in addition to the log and the snapshot.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Conf  Conf
	Data  []byte
}

// MessageType is the kind of a Message.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	// MsgTimeoutNow asks a voter to start an election immediately.
	MsgTimeoutNow
)

// Message is a message between replicas. The network may lose, duplicate, delay and reorder
// messages.
type Message struct {
	Type     MessageType
	From, To string
	Term     uint64
	// Index and LogTerm identify the entry before Entries, the candidate's last entry, or
	// the entry that a response refers to.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the last index worth trying after a rejection. In a heartbeat response it is
	// the last index, persisted or not, known to match the leader's log.
	Hint uint64
	// Saved is the last persisted index known to match the leader's log, in a heartbeat
	// response.
	Saved uint64
	// Transfer is set in the vote requests of a leadership transfer, which voters answer
	// even if they have an active leader.
	Transfer bool
	// Round numbers heartbeat rounds, which confirm reads.
	Round    uint64
	Snapshot *Snapshot
}

// DataBytes returns the size of the commands and of the snapshot in a message.
func (m *Message) DataBytes() int {
	size := dataBytes(m.Entries)
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// Role is the current role of a replica.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// roleNames holds the names of the roles, indexed by Role.
var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// ReadResult is the outcome of a ReadIndex request. A successful read may be served once the
// state machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	// OK is false if the replica was not, or ceased to be, a leader that can confirm the read.
	OK bool
}

// Ready holds the pending work for the caller. State, Snapshot, Entries and Messages are empty
// while an earlier Ready is being persisted.
type Ready struct {
	// State must be persisted if not nil.
	State *HardState
	// Snapshot, if not nil, replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries must be persisted. They replace entries with the same or a higher index.
	Entries []Entry
	// ImmediateMessages may be sent before anything is persisted.
	ImmediateMessages []Message
	// Messages may be sent only after State, Snapshot and Entries are synced.
	Messages []Message
	// Committed holds the entries to apply. A quorum has persisted them, but possibly not
	// this replica.
	Committed []Entry
	// Reads holds confirmed and failed reads.
	Reads []ReadResult
}

// MustSave reports whether there is anything to persist.
func (r *Ready) MustSave() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return !r.MustSave() && len(r.ImmediateMessages) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}
