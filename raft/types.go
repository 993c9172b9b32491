// Package raft is a replicated log as a pure state machine: messages, ticks
// and proposals go in through Step, Tick and Propose; what must be persisted,
// sent and applied comes out of Ready. It does no I/O, reads no clock, starts
// no goroutine and draws from the random source it is given.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader
// that steps down when it hears no quorum, quorum-confirmed reads, snapshots,
// learners and membership changes of one replica at a time, in force from when
// they are appended (Ongaro's dissertation, chapter 4).
//
// The caller must persist a Ready's State, Snapshot and Entries before it
// sends its Messages and calls Advance; Early messages may go out before. While
// it persists one Ready it goes on with Step, Tick, Propose and Ready: what is to
// be persisted next gathers in the Core until Advance, so that at most one save
// is under way and the next one takes all that came meanwhile.
package raft

import "slices"

// Peer is one replica of the group.
type Peer struct {
	// ID is the replica's identity, made with its data folder: a replica
	// that lost its disk comes back as another.
	ID string
	// Addr is its control address.
	Addr string
	// Domain is its failure domain.
	Domain string
}

// Conf is the membership of the group.
type Conf struct {
	Voters   []Peer
	Learners []Peer
}

// clone returns a copy that shares nothing with c.
func (c Conf) clone() Conf {
	return Conf{slices.Clone(c.Voters), slices.Clone(c.Learners)}
}

// Voter tells whether id has a vote.
func (c Conf) IsVoter(id string) bool { return contains(c.Voters, id) }

// Learner tells whether id follows without a vote.
func (c Conf) IsLearner(id string) bool { return contains(c.Learners, id) }

func contains(ps []Peer, id string) bool {
	return slices.ContainsFunc(ps, func(p Peer) bool { return p.ID == id })
}

// With returns the membership in which p is a voter, or a learner.
func (c Conf) With(p Peer, voter bool) Conf {
	next := c.Without(p.ID)
	if voter {
		next.Voters = append(next.Voters, p)
	} else {
		next.Learners = append(next.Learners, p)
	}
	return next
}

// Without returns the membership less the replica id.
func (c Conf) Without(id string) Conf {
	is := func(p Peer) bool { return p.ID == id }
	n := c.clone()
	n.Voters = slices.DeleteFunc(n.Voters, is)
	n.Learners = slices.DeleteFunc(n.Learners, is)
	return n
}

// EntryType tells what an entry holds.
type EntryType uint8

const (
	// EntryData holds a command, or nothing: a new leader's first entry.
	EntryData EntryType = iota
	// EntryConf holds a membership.
	EntryConf
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
	Conf  *Conf
}

// State is what must survive a restart beside log and snapshot.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Conf  Conf
	Data  []byte
}

// MessageType tells messages apart.
type MessageType uint8

// The types of messages.
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
	// MsgTimeoutNow asks a voter to stand for election at once.
	MsgTimeoutNow
)

// Message is what replicas send each other. It may be lost, doubled, delayed
// and reordered.
type Message struct {
	Type     MessageType
	From, To string
	Term     uint64
	// Index and LogTerm name the entry before Entries, the candidate's last
	// entry, or the entry that a response is about.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the last index worth trying after a rejection, or the last one that
	// a follower holds of its leader, persisted or not, in a heartbeat's response.
	Hint uint64
	// Saved is the last index that a follower holds of its leader and has persisted,
	// in a heartbeat's response.
	Saved uint64
	// Transfer is set in the vote requests of a replica that its leader asked to
	// stand: voters that still hear the leader answer them.
	Transfer bool
	// Round numbers the heartbeats, to confirm reads.
	Round    uint64
	Snapshot *Snapshot
}

// Role is what a replica is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role in words.
func (r Role) String() string { return roleNames[r] }

// Read is a read that has been confirmed: the state machine may answer it
// once it has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	// OK is false if the replica stopped leading before it was confirmed.
	OK bool
}

// Ready is the work that the caller has to do. State, Snapshot, Entries and
// Messages are empty while an earlier Ready is being persisted.
type Ready struct {
	// State must be persisted if it is not nil.
	State *HardState
	// Snapshot replaces the log and the state machine if it is not nil.
	Snapshot *Snapshot
	// Entries must be persisted; they replace any with the same or a higher
	// index.
	Entries []Entry
	// Early may be sent before anything is persisted.
	ImmediateMessages []Message
	// Messages may be sent only after all of the above is synced.
	Messages []Message
	// Committed are the entries to apply. A quorum has persisted them; this
	// replica may not have yet.
	Committed []Entry
	// Reads are confirmed or failed reads.
	Reads []ReadResult
}

// MustSave tells whether there is something to persist.
func (r *Ready) MustSave() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSave() && len(r.ImmediateMessages) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}
