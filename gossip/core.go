package gossip

import (
	"bytes"
	"hash/fnv"
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// Status is the liveness state of a member.
type Status uint8

// The statuses in order of precedence: within one incarnation a later one overrides an
// earlier one.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Member describes a node of the failure domain.
type Member struct {
	// ID identifies the process; a restarted node has a new one.
	ID string
	// Addr is the address at which the member receives packets.
	Addr string
	// Status is the member's liveness state.
	Status Status
	// Incarnation is the version of the member's own record; only the member raises it.
	Incarnation uint64
	// Meta is the application data that the member publishes about itself.
	Meta []byte
}

// memberPrefix is the key prefix of member records.
const memberPrefix = "m/"

// Options configures a Core. All durations must be positive.
type Options struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// AckTimeout bounds a direct probe. It must be less than ProbeInterval.
	AckTimeout time.Duration
	// SuspicionTimeout is the time within which a suspected member must refute the
	// suspicion before it is declared dead.
	SuspicionTimeout time.Duration
	// DepartedRetention is how long a leaving member stays in that status before it
	// counts as dead, and how long a dead member is kept so that late packets do not
	// bring it back.
	DepartedRetention time.Duration
	// IndirectProbes is the number of members that are asked to probe one that did not
	// acknowledge a direct probe.
	IndirectProbes int
	// MaxPiggybackBytes bounds the records that one packet carries.
	MaxPiggybackBytes int
	// IsUrgent reports whether a record that does not describe a member is forwarded on
	// receipt, as changes of members are. If nil, no such record is.
	IsUrgent func(key string) bool
	// Rand is the source of randomness.
	Rand *rand.Rand
}

// PacketKind is the type of a packet.
type PacketKind uint8

// The kinds of packets.
const (
	// Ping asks the receiver for an Ack.
	Ping PacketKind = iota + 1
	// Ack answers a Ping, a PingReq or a Query.
	Ack
	// PingReq asks the receiver to probe the address in Target.
	PingReq
	// Query is a Ping from a node that need not be of the same failure domain. Neither it nor
	// its Ack carries records, which would merge the memberships of two domains.
	Query
)

// Packet is one datagram between members.
type Packet struct {
	Kind PacketKind
	// From is the ID of the sender.
	From string
	// Seq matches an Ack with the Ping or PingReq that it answers.
	Seq uint64
	// Target is the address to probe, in a PingReq.
	Target string
	// By is the ID of the member that answered, in a relayed Ack.
	By string
	// Records are the records piggybacked on the packet.
	Records []Record
	// Config is the version of the settings that the sender has. The core does not
	// interpret it.
	Config uint64
	// ConfigAge is how long ago, in milliseconds and at least 1, a quorum of replicas
	// confirmed that no version was newer than Config, 0 if the sender does not know. The
	// core does not interpret it. It follows the encoded packet, as earlier releases reject one
	// with another number of fields.
	ConfigAge uint32 `msgpack:"-"`
}

// OutgoingPacket is a packet to send to an address.
type OutgoingPacket struct {
	Addr   string
	Packet Packet
}

// Answer is an ack of a ping or query that the node sent.
type Answer struct {
	// Addr is the address to which that was sent.
	Addr string
	// SentAt is a time before it was sent, less than one tick before.
	SentAt time.Duration
	Packet Packet
}

// Event reports a new or changed record. Member is set if the record describes a member.
type Event struct {
	Record Record
	Member *Member
}

// Core is the gossip and failure detection state machine of one node. It performs no
// I/O and is not safe for concurrent use.
type Core struct {
	opt        Options
	self       Member
	members    map[string]*memberState
	probeOrder []string
	probeIndex int
	store      *store
	broadcasts []broadcast
	outgoing   []OutgoingPacket
	events     []Event
	answers    []Answer
	// urgentChanges counts the changes applied since the last call of
	// forwardUrgentChanges that affect routing.
	urgentChanges int

	// now is the time of the last tick or packet.
	now time.Duration
	seq uint64
	// pings are the pings and queries that the node sent for itself and that are not answered.
	pings       map[uint64]sentPing
	nextProbeAt time.Duration
	probe       *activeProbe
	relays      map[uint64]relay
	lastExpiry  time.Duration
}

// memberState is a member and the time of its last change.
type memberState struct {
	Member
	updatedAt time.Duration
}

// activeProbe is the probe in progress. Indirect probes are sent at ackDeadline; the
// member is suspected at deadline.
type activeProbe struct {
	memberID     string
	seq          uint64
	indirectSent bool
	ackDeadline  time.Duration
	deadline     time.Duration
}

// sentPing is a ping or query that the node sent for itself.
type sentPing struct {
	addr string
	at   time.Duration
}

// relay is a ping sent on behalf of another member, to which the ack is relayed.
type relay struct {
	requesterAddr string
	requesterSeq  uint64
	deadline      time.Duration
}

// broadcast is a record queued for piggybacking.
type broadcast struct {
	key            string
	remainingSends int
}

// New returns a Core that knows only the node itself.
func New(self Member, o Options) *Core {
	self.Status = Alive
	c := &Core{opt: o, self: self, members: map[string]*memberState{}, store: newStore(), pings: map[uint64]sentPing{}, relays: map[uint64]relay{}}
	c.seq = firstSeq(self.ID)
	c.publishSelf()
	return c
}

// firstSeq returns the number after which a process numbers its pings. It differs between processes:
// an ack that arrives late for an earlier one at the same address must not match a ping of this one.
func firstSeq(id string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return uint64(h.Sum32())
}

// Self returns the node's own member entry.
func (c *Core) Self() Member { return c.self }

// SetMeta replaces the node's metadata and publishes it.
func (c *Core) SetMeta(meta []byte) {
	c.self.Meta = meta
	c.self.Incarnation++
	c.publishSelf()
}

// Leave announces that the node is leaving. The node still answers probes.
func (c *Core) Leave() {
	c.self.Status = Leaving
	c.self.Incarnation++
	c.publishSelf()
}

// Publish stores and broadcasts a record that does not describe a member. It reports
// whether the record was newer than the stored one.
func (c *Core) Publish(r Record) bool { return c.storeAndBroadcast(r) }

// Get returns the record with the given key.
func (c *Core) Get(key string) (Record, bool) {
	r, ok := c.store.records[key]
	return r, ok
}

// Members returns the other members, including dead ones, sorted by ID.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// LiveCount returns the number of other members that are not dead.
func (c *Core) LiveCount() int {
	n := 0
	for _, m := range c.members {
		if m.Status != Dead {
			n++
		}
	}
	return n
}

// TakeOutput returns the packets to send and the events since the last call.
func (c *Core) TakeOutput() ([]OutgoingPacket, []Event) {
	outs, events := c.outgoing, c.events
	c.outgoing, c.events = nil, nil
	return outs, events
}

// TakeAnswers returns the acks of the node's pings and queries since the last call.
func (c *Core) TakeAnswers() []Answer {
	answers := c.answers
	c.answers = nil
	return answers
}

// Query asks the node at an address, of any failure domain, for its version of the settings.
func (c *Core) Query(addr string) {
	c.outgoing = append(c.outgoing, OutgoingPacket{addr, Packet{Kind: Query, From: c.self.ID, Seq: c.nextSeq(addr)}})
}

// PingRandom pings n random members, so that queued records do not wait for the next
// probe.
func (c *Core) PingRandom(n int) {
	if len(c.probeOrder) == 0 {
		return
	}
	from := c.opt.Rand.IntN(len(c.probeOrder))
	for i := 0; i < len(c.probeOrder) && n > 0; i++ {
		s := c.members[c.probeOrder[(from+i)%len(c.probeOrder)]]
		if s.Status == Dead {
			continue
		}
		n--
		c.ping(s.Addr)
	}
}

// Digest returns the bucket hashes of the records, for a sync.
func (c *Core) Digest() Digest { return c.store.digest }

// DifferingRecords returns the records that a node with digest d may lack.
func (c *Core) DifferingRecords(d Digest) []Record { return c.store.differing(d) }

// MergeRecords applies the records received in a sync.
func (c *Core) MergeRecords(now time.Duration, rs []Record) {
	for _, r := range rs {
		c.applyRecord(now, r)
	}
	c.forwardUrgentChanges()
}

// memberStamp returns the stamp of a member's record, which orders by incarnation and
// then by status.
func memberStamp(m Member) uint64 { return m.Incarnation<<2 | uint64(m.Status) }

func (c *Core) publishSelf() { c.storeAndBroadcast(memberRecord(c.self)) }

// storeAndBroadcast stores a record if it is newer, queues it for broadcast and, unless
// it describes a member, emits an event. It reports whether the record was newer.
func (c *Core) storeAndBroadcast(r Record) bool {
	if !c.store.putIfNewer(r) {
		return false
	}
	c.enqueueBroadcast(r.Key)
	if !isMemberKey(r.Key) {
		c.events = append(c.events, Event{Record: r})
	}
	return true
}

func isMemberKey(key string) bool {
	return len(key) > len(memberPrefix) && key[:len(memberPrefix)] == memberPrefix
}

// extraSends is how many times more than log2 of the member count each member sends a
// record. Syncs deliver what these broadcasts miss.
const extraSends = 3

func (c *Core) enqueueBroadcast(key string) {
	n := bits.Len(uint(len(c.members))) + extraSends
	for i := range c.broadcasts {
		if c.broadcasts[i].key == key {
			c.broadcasts[i].remainingSends = n
			return
		}
	}
	c.broadcasts = append(c.broadcasts, broadcast{key, n})
}

// applyRecord applies a record received from another node.
func (c *Core) applyRecord(now time.Duration, r Record) {
	if !isMemberKey(r.Key) {
		if c.storeAndBroadcast(r) && c.opt.IsUrgent != nil && c.opt.IsUrgent(r.Key) {
			c.urgentChanges++
		}
		return
	}
	m, ok := decodeMember(r)
	if !ok {
		return
	}
	if m.ID == c.self.ID {
		c.refute(m)
		return
	}
	c.applyMember(now, m)
}

// refute overrides another node's newer record about this node with a higher
// incarnation.
func (c *Core) refute(m Member) {
	if memberStamp(m) <= memberStamp(c.self) {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.publishSelf()
}

// applyMember records a member's state if it is newer than the known one, and emits an
// event.
func (c *Core) applyMember(now time.Duration, m Member) {
	if !c.storeAndBroadcast(memberRecord(m)) {
		return
	}
	s := c.members[m.ID]
	if s == nil || m.Status == Leaving || !bytes.Equal(s.Meta, m.Meta) {
		c.urgentChanges++
	}
	if s == nil {
		s = &memberState{}
		c.members[m.ID] = s
		at := c.opt.Rand.IntN(len(c.probeOrder) + 1)
		c.probeOrder = append(c.probeOrder, "")
		copy(c.probeOrder[at+1:], c.probeOrder[at:])
		c.probeOrder[at] = m.ID
	}
	s.Member = m
	s.updatedAt = now
	c.events = append(c.events, Event{Record: memberRecord(m), Member: &m})
}

const (
	// urgentFanout is the number of members pinged when a change that affects routing
	// arrives, so that it does not wait for the next probe.
	urgentFanout = 2
	// maxUrgentChanges is the largest number of changes in one packet or sync that is
	// forwarded urgently. A node that joins or reconnects receives more.
	maxUrgentChanges = 8
)

// forwardUrgentChanges forwards the urgent changes received in one packet or sync.
func (c *Core) forwardUrgentChanges() {
	if c.urgentChanges > 0 && c.urgentChanges <= maxUrgentChanges {
		c.PingRandom(urgentFanout)
	}
	c.urgentChanges = 0
}

// setStatus applies a status that this node has detected to a member.
func (c *Core) setStatus(now time.Duration, s *memberState, st Status) {
	m := s.Member
	m.Status = st
	c.applyMember(now, m)
}
