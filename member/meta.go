// Package member defines what a node says of itself and of its failure
// domain to others: the payloads of gossip records.
package member

import (
	"hash/fnv"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/umberthread/umberthread/internal/codec"
)

// State is the state of the backend server beside a node.
type State uint8

// The states of a backend server.
const (
	// Absent means that none has announced itself, or its lease ran out.
	Absent State = iota
	// Starting means that it is not ready for requests.
	Starting
	// Serving means that it takes requests.
	Serving
	// Draining means that it finishes what it has and takes nothing new.
	Draining
)

var stateNames = [...]string{"absent", "starting", "serving", "draining"}

// String returns the state's name in announcements.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Absent, false
}

// Meta is what a node says of itself to its failure domain.
type Meta struct {
	// Name is the node's name in its settings.
	Name string
	// Data, HTTP and Admin are its addresses; Control is the member's own.
	Data, HTTP, Admin string
	// Service is fleet/service of the backend server beside it.
	Service string
	// Slots and Weight are as announced.
	Slots  int
	Weight float64
	// State is the backend server's.
	State State
	// Replica is the identity of the replica on this node's disk, or "".
	Replica string
	// Start counts the starts of backend servers beside the node: what was
	// observed of an earlier one says nothing of the next.
	Start uint32
	// Ended is the last start that ended with requests in work, or nil.
	Ended *Termination
	// Answered are marks of requests that were suspected and then answered.
	Answered []AnsweredRequest
}

// Answer tells that a request was answered.
type AnsweredRequest struct {
	Mark uint64
	// AtMs is when, in milliseconds of the Unix time by the node's clock.
	AtMs int64
}

// MaxAnswers bounds the answers that one record names: the last ones.
const MaxAnswers = 4

// End tells of a backend server that ended with requests in work.
type Termination struct {
	// Start is as in Meta, and Service the backend server's.
	Start   uint32
	Service string
	// AtMs is when it ended, in milliseconds of the Unix time by its node's clock.
	AtMs int64
	// Marks are of requests that it had in work, at most MaxEndMarks: see package
	// quarantine.
	Marks []uint64
}

// MaxEndMarks bounds the marks of one End, which ride in one packet with the rest.
const MaxFingerprints = 48

// RemoteEnd is an End beside a node of another failure domain.
type RemoteTermination struct {
	// ID is the node's.
	ID string
	Termination
}

// Encode returns the payload of a member record.
func (m *Meta) Encode() []byte { return codec.Encode(m) }

// DecodeMeta reads the payload of a member record. One that names a backend
// server which cannot be used is taken as naming none.
func DecodeMeta(b []byte) (*Meta, error) {
	var m Meta
	if err := codec.Decode(b, &m); err != nil {
		return nil, err
	}
	if m.State == Serving && !usable(m.Data, m.Slots, m.Weight) {
		// The node is a member all the same; no backend server is named.
		m.State = Absent
	}
	if m.Ended != nil {
		m.Ended.Marks = bounded(m.Ended.Marks)
	}
	m.Answered = m.Answered[:min(len(m.Answered), MaxAnswers)]
	return &m, nil
}

// bounded cuts what no node of this kind says down to what one may say.
func bounded(marks []uint64) []uint64 { return marks[:min(len(marks), MaxFingerprints)] }

const (
	// MaxSlots and MaxWeight bound what a backend server may announce; a record
	// beyond them is not of a node of this kind.
	MaxSlots  = 1 << 14
	MaxWeight = 100
)

// usable tells whether a record names a backend server that requests can be
// sent to.
func usable(addr string, slots int, weight float64) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != "" &&
		slots >= 1 && slots <= MaxSlots && weight > 0 && weight <= MaxWeight
}

// ReplicaService is the pseudo service under which the nodes with a disk are
// summarised.
const ReplicaService = "_replica"

// endedService begins the pseudo services under which a failure domain tells the others
// which of its backend servers ended lately. Each takes one end, which fits in a packet.
const endedService = "_ended."

// EndSlots is how many ends a failure domain tells the others at once.
const TerminationSlots = 4

// EndSlot returns the slot of an end beside the node with an id: the same for all that
// tell of it.
func TerminationSlot(id string, start uint32) int {
	return int((weigh(id) + uint64(start)) % TerminationSlots)
}

// EndedService returns the pseudo service of a slot.
func TerminationService(slot int) string { return endedService + strconv.Itoa(slot) }

// IsEnded tells whether a record holds a Summary of ends.
func IsTerminationSummary(key string) bool {
	return IsSummary(key) && strings.Contains(key, "/"+endedService)
}

// SummaryInstances is how many instances of a service a summary names.
const SummaryInstances = 8

// Remote is an instance of another failure domain.
type RemoteInstance struct {
	ID     string
	Addr   string
	Slots  int
	Weight float64
	// Start is as in Meta.
	Start uint32
}

// Summary is what a failure domain tells the others about one service.
type Summary struct {
	Domain  string
	Service string
	// Instances are some that serve, at most SummaryInstances.
	Instances []RemoteInstance
	// End and Answered, at most MaxAnswers, are told under EndedService alone.
	End      *RemoteTermination
	Answered []AnsweredRequest
}

// Blank tells whether the summary names nothing.
func (s *Summary) IsEmpty() bool {
	return len(s.Instances) == 0 && s.End == nil && len(s.Answered) == 0
}

// Link is what one linking member knows of another failure domain.
type Link struct {
	Domain string
	// By is the id of the linking member.
	By string
	// Reachable is false while the domain does not answer it.
	Reachable bool
	// Control are the control addresses of its linking members.
	Control []string
}

const (
	summaryPrefix = "s/"
	linkPrefix    = "d/"
)

// SummaryKey returns the record key of a summary.
func SummaryKey(domain, service string) string { return summaryPrefix + domain + "/" + service }

// LinkKey returns the record key of what the member by knows of a domain.
func LinkKey(domain, by string) string { return linkPrefix + domain + "/" + by }

// IsSummary tells whether a record holds a Summary.
func IsSummary(key string) bool { return strings.HasPrefix(key, summaryPrefix) }

// IsLink tells whether a record holds a Link.
func IsLink(key string) bool { return strings.HasPrefix(key, linkPrefix) }

// Linking returns the n of the ids that link their failure domain to the
// others. Every member works it out alone from the ids it holds alive
// ("rendezvous hashing", Thaler and Ravishankar, 1998): where two members
// differ for a moment a domain has a link more, which does no harm.
func SelectLinkMembers(ids []string, n int) []string {
	out := append([]string(nil), ids...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weigh(out[i]), weigh(out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out[:min(n, len(out))]
}

func weigh(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	v := h.Sum64()
	// FNV spreads short ids badly in the high bits.
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	return v ^ v>>32
}

// Encode returns the payload of a summary record.
func (s *Summary) Encode() []byte { return codec.Encode(s) }

// Encode returns the payload of a link record.
func (l *Link) Encode() []byte { return codec.Encode(l) }

// DecodeSummary reads the payload of a summary record. Instances that cannot be
// used are left out; the others hold.
func DecodeSummary(b []byte) (*Summary, error) {
	var s Summary
	if err := codec.Decode(b, &s); err != nil {
		return nil, err
	}
	s.Answered = s.Answered[:min(len(s.Answered), MaxAnswers)]
	if s.End != nil {
		s.End.Marks = bounded(s.End.Marks)
	}
	if s.Service != ReplicaService {
		s.Instances = slices.DeleteFunc(s.Instances, func(r RemoteInstance) bool { return !usable(r.Addr, r.Slots, r.Weight) })
	}
	return &s, nil
}

// DecodeLink reads the payload of a link record.
func DecodeLink(b []byte) (*Link, error) {
	var l Link
	if err := codec.Decode(b, &l); err != nil {
		return nil, err
	}
	return &l, nil
}
