package gossip

import (
	"bytes"
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// Status is what is known of a member.
type Status uint8

// The statuses, in the order in which a later one overrides an earlier one of
// the same incarnation.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the status in words.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Member is a node as the others know it.
type Member struct {
	// ID is unique to the process, not to the instance.
	ID string
	// Addr is where the member takes packets.
	Addr string
	// Status is what is known of it.
	Status Status
	// Incarnation is raised only by the member itself.
	Incarnation uint64
	// Meta is what the member says of itself.
	Meta []byte
}

// memberPrefix begins the keys of member records.
const memberPrefix = "m/"

// Options are the settings of a Core. All durations must be positive.
type Options struct {
	// Period is the time between two probes.
	ProbeInterval time.Duration
	// AckTimeout is how long a direct probe may take, less than Period.
	AckTimeout time.Duration
	// Suspicion is how long a suspect may object.
	SuspicionTimeout time.Duration
	// Forget is how long a dead member is remembered, so that late packets
	// do not bring it back.
	DepartedRetention time.Duration
	// Indirect is how many others are asked to probe a silent member.
	IndirectProbes int
	// PacketBytes bounds the records that ride on one packet.
	MaxPiggybackBytes int
	// Urgent tells by its key which record that is not about a member is handed on at
	// once, as news of members is; nil for none.
	IsUrgent func(key string) bool
	// Rand is the source of choices.
	Rand *rand.Rand
}

// Kind tells packets apart.
type Kind uint8

// The kinds of packets.
const (
	Ping Kind = iota + 1
	Ack
	PingFor
)

// Packet is one datagram between members.
type Packet struct {
	Kind Kind
	From string
	Seq  uint64
	// Target is, in a PingFor, the address to probe.
	Target string
	// By is, in an Ack that is passed on, the id of the member that answered.
	By      string
	Records []Record
	// Config is the version of the settings that the sender has; the core
	// only carries it.
	Config uint64
}

// Out is a packet to send.
type OutgoingPacket struct {
	Addr   string
	Packet Packet
}

// Event is a change of a record; for members, Member is set.
type Event struct {
	Record Record
	Member *Member
}

// Core is the state of one node. It is not safe for concurrent use.
type Core struct {
	opt     Options
	self    Member
	members map[string]*state
	order   []string
	next    int
	store   *store
	queue   []broadcast
	outs    []OutgoingPacket
	events  []Event
	// news counts the changes learnt that decide over routing.
	news int

	seq       uint64
	nextProbe time.Duration
	probe     *probe
	relays    map[uint64]relay
	scanned   time.Duration
}

type state struct {
	Member
	since time.Duration
}

type probe struct {
	id      string
	seq     uint64
	asked   bool
	ackBy   time.Duration
	periodE time.Duration
}

type relay struct {
	addr string
	seq  uint64
	by   time.Duration
}

type broadcast struct {
	key  string
	left int
}

// New returns the core of a node that knows only itself.
func New(self Member, o Options) *Core {
	self.Status = Alive
	c := &Core{opt: o, self: self, members: map[string]*state{}, store: newStore(), relays: map[uint64]relay{}}
	c.publishSelf()
	return c
}

// Self returns the node's own record.
func (c *Core) Self() Member { return c.self }

// SetMeta changes what the node says of itself.
func (c *Core) SetMeta(meta []byte) {
	c.self.Meta = meta
	c.self.Incarnation++
	c.publishSelf()
}

// Leave announces that the node is going; it keeps answering.
func (c *Core) Leave() {
	c.self.Status = Leaving
	c.self.Incarnation++
	c.publishSelf()
}

// Publish spreads a record that is not about a member.
func (c *Core) Publish(r Record) bool { return c.accept(r) }

// Get returns the record with the key.
func (c *Core) Get(key string) (Record, bool) {
	r, ok := c.store.records[key]
	return r, ok
}

// Members returns the other members, dead ones included, sorted by id.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of other members that are not dead.
func (c *Core) LiveCount() int {
	n := 0
	for _, m := range c.members {
		if m.Status != Dead {
			n++
		}
	}
	return n
}

// Take returns the packets to send and the events since the last call.
func (c *Core) TakeOutput() ([]OutgoingPacket, []Event) {
	outs, events := c.outs, c.events
	c.outs, c.events = nil, nil
	return outs, events
}

// Nudge sends a packet to n random members at once, so that news does not wait
// for the next probe.
func (c *Core) PingRandom(n int) {
	if len(c.order) == 0 {
		return
	}
	from := c.opt.Rand.IntN(len(c.order))
	for i := 0; i < len(c.order) && n > 0; i++ {
		s := c.members[c.order[(from+i)%len(c.order)]]
		if s.Status == Dead {
			continue
		}
		n--
		c.seq++
		c.send(s.Addr, Packet{Kind: Ping, Seq: c.seq})
	}
}

// Digest summarises the records for a Sync.
func (c *Core) Digest() Digest { return c.store.digest }

// Differing returns the records that a node with digest d may lack.
func (c *Core) DifferingRecords(d Digest) []Record { return c.store.differing(d) }

// Merge takes over the records of a Sync.
func (c *Core) MergeRecords(now time.Duration, rs []Record) {
	for _, r := range rs {
		c.receive(now, r)
	}
	c.handOnNews()
}

// stamp orders the records of one member: incarnation first, then status.
func stamp(m Member) uint64 { return m.Incarnation<<2 | uint64(m.Status) }

func (c *Core) publishSelf() { c.accept(memberRecord(c.self)) }

// accept stores a newer record, queues it for spreading and reports it.
func (c *Core) accept(r Record) bool {
	if !c.store.put(r) {
		return false
	}
	c.enqueue(r.Key)
	if !isMember(r.Key) {
		c.events = append(c.events, Event{Record: r})
	}
	return true
}

func isMember(key string) bool {
	return len(key) > len(memberPrefix) && key[:len(memberPrefix)] == memberPrefix
}

// spreadMore is how much more often than log2 of the members a record is sent
// on by each member that has it. What that misses a Sync brings.
const spreadMore = 3

func (c *Core) enqueue(key string) {
	n := bits.Len(uint(len(c.members))) + spreadMore
	for i := range c.queue {
		if c.queue[i].key == key {
			c.queue[i].left = n
			return
		}
	}
	c.queue = append(c.queue, broadcast{key, n})
}

// receive takes over a record from another node.
func (c *Core) receive(now time.Duration, r Record) {
	if !isMember(r.Key) {
		if c.accept(r) && c.opt.IsUrgent != nil && c.opt.IsUrgent(r.Key) {
			c.news++
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
	c.learn(now, m)
}

// refute objects to a claim about this node that is not its own.
func (c *Core) refute(m Member) {
	if stamp(m) <= stamp(c.self) {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.publishSelf()
}

func (c *Core) learn(now time.Duration, m Member) {
	if !c.accept(memberRecord(m)) {
		return
	}
	s := c.members[m.ID]
	if s == nil || m.Status == Leaving || !bytes.Equal(s.Meta, m.Meta) {
		c.news++
	}
	if s == nil {
		s = &state{}
		c.members[m.ID] = s
		at := c.opt.Rand.IntN(len(c.order) + 1)
		c.order = append(c.order, "")
		copy(c.order[at+1:], c.order[at:])
		c.order[at] = m.ID
	}
	s.Member = m
	s.since = now
	c.events = append(c.events, Event{Record: memberRecord(m), Member: &m})
}

const (
	// handOn is how many members a node hands news on to at once: what
	// decides over routing must not wait for the next probe.
	handOn = 2
	// fewNews is how many changes count as news; more of them are what a
	// node that joins or comes back has missed.
	fewNews = 8
)

// handOnNews hands on what was learnt with one packet or Sync.
func (c *Core) handOnNews() {
	if c.news > 0 && c.news <= fewNews {
		c.PingRandom(handOn)
	}
	c.news = 0
}

// setStatus changes a member's status as seen by this node.
func (c *Core) setStatus(now time.Duration, s *state, st Status) {
	m := s.Member
	m.Status = st
	c.learn(now, m)
}
