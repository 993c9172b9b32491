// Package member defines the payloads of gossip records: what a node publishes about itself
// within its failure domain, and what a failure domain publishes to the others.
package member

import (
	"cmp"
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/umberthread/umberthread/internal/codec"
)

// State is the state of the backend server of a node.
type State uint8

// The states of a backend server.
const (
	// Absent means that none is registered or that its lease has expired.
	Absent State = iota
	// Starting means that it is not ready for requests yet.
	Starting
	// Serving means that it accepts requests.
	Serving
	// Draining means that it completes its requests and accepts no new ones.
	Draining
)

// stateNames holds the names of the states, indexed by State.
var stateNames = [...]string{"absent", "starting", "serving", "draining"}

// String returns the name of the state as used in announcements.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name, or false if there is none.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Absent, false
}

// Meta describes a node to its failure domain.
type Meta struct {
	// Name is the name of the node in its settings.
	Name string
	// Data, HTTP and Admin are addresses of the node. Its control address is the member
	// address.
	Data, HTTP, Admin string
	// Service is the fleet/service of its backend server.
	Service string
	// Slots and Weight are as announced by the backend server.
	Slots  int
	Weight float64
	// State is the state of the backend server.
	State State
	// Replica is the identity of the replica on this node's disk, or "".
	Replica string
	// Start numbers the runs of backend servers on the node. Observations of an earlier run
	// do not apply to a later one.
	Start uint32
	// Ended is the last backend server that terminated with requests in flight, or nil.
	Ended *Termination
	// Answered lists requests that were suspected of terminating backend servers and then
	// answered.
	Answered []AnsweredRequest
}

// AnsweredRequest reports that a suspected request was answered. Mark is its fingerprint.
type AnsweredRequest struct {
	Mark uint64
	// AtMs is the time of the answer by the node's clock, in Unix milliseconds.
	AtMs int64
}

// MaxAnswers limits the answers in one record, which holds the latest ones.
const MaxAnswers = 4

// Termination reports a backend server that terminated with requests in flight.
type Termination struct {
	// Start is as in Meta, and Service the service of the backend server.
	Start   uint32
	Service string
	// AtMs is the time of the termination by the node's clock, in Unix milliseconds.
	AtMs int64
	// Marks holds the fingerprints of the requests in flight, at most MaxFingerprints;
	// see package quarantine.
	Marks []uint64
}

// MaxFingerprints limits the fingerprints of one Termination, so that it fits into a packet.
const MaxFingerprints = 48

// RemoteTermination is a Termination on a node of another failure domain.
type RemoteTermination struct {
	// ID is the ID of the node.
	ID string
	Termination
}

// Encode returns the payload of a member record.
func (m *Meta) Encode() []byte { return codec.Encode(m) }

// DecodeMeta decodes the payload of a member record. If the record's serving backend server is
// not usable, it sets the state to Absent.
func DecodeMeta(b []byte) (*Meta, error) {
	var m Meta
	if err := codec.Decode(b, &m); err != nil {
		return nil, err
	}
	if m.State == Serving && !isUsableBackend(m.Data, m.Slots, m.Weight) {
		// The node itself remains a member.
		m.State = Absent
	}
	if m.Ended != nil {
		m.Ended.Marks = truncateFingerprints(m.Ended.Marks)
	}
	m.Answered = m.Answered[:min(len(m.Answered), MaxAnswers)]
	return &m, nil
}

// truncateFingerprints limits the fingerprints to the number that a valid node sends.
func truncateFingerprints(marks []uint64) []uint64 { return marks[:min(len(marks), MaxFingerprints)] }

const (
	// MaxSlots and MaxWeight limit what a backend server may announce. Records that exceed
	// them are invalid.
	MaxSlots  = 1 << 14
	MaxWeight = 100
)

// isUsableBackend reports whether requests can be sent to a backend server with the given
// address, slots and weight.
func isUsableBackend(addr string, slots int, weight float64) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != "" &&
		slots >= 1 && slots <= MaxSlots && weight > 0 && weight <= MaxWeight
}

// ReplicaService is the pseudo-service under which a failure domain publishes its nodes with
// replicas.
const ReplicaService = "_replica"

// terminationServicePrefix begins the pseudo-services under which a failure domain publishes
// recent terminations of its backend servers. Each holds one, so that it fits into a packet.
const terminationServicePrefix = "_ended."

// TerminationSlots is the number of terminations that a failure domain publishes at a time.
const TerminationSlots = 4

// TerminationSlot returns the slot of a termination on the node with the given ID. It is the
// same on all members that publish the termination.
func TerminationSlot(id string, start uint32) int {
	return int((hashID(id) + uint64(start)) % TerminationSlots)
}

// TerminationService returns the pseudo-service of a slot.
func TerminationService(slot int) string { return terminationServicePrefix + strconv.Itoa(slot) }

// IsTerminationSummary reports whether a record key belongs to a Summary of a termination.
func IsTerminationSummary(key string) bool {
	return IsSummary(key) && strings.Contains(key, "/"+terminationServicePrefix)
}

// SummaryInstances is the maximum number of instances in a Summary.
const SummaryInstances = 8

// RemoteInstance is an instance of a service in another failure domain.
type RemoteInstance struct {
	ID     string
	Addr   string
	Slots  int
	Weight float64
	// Start is as in Meta.
	Start uint32
}

// Summary describes a service of one failure domain to the others.
type Summary struct {
	Domain  string
	Service string
	// Instances are some of the serving instances, at most SummaryInstances.
	Instances []RemoteInstance
	// End and Answered, at most MaxAnswers, are set only under TerminationService.
	End      *RemoteTermination
	Answered []AnsweredRequest
}

// IsEmpty reports whether the summary has no instances, termination or answers.
func (s *Summary) IsEmpty() bool {
	return len(s.Instances) == 0 && s.End == nil && len(s.Answered) == 0
}

// Link is the view that a member, usually a link member, has of another failure domain.
type Link struct {
	Domain string
	// By is the ID of the member.
	By string
	// Reachable is false while the domain does not respond to the member.
	Reachable bool
	// Control lists the control addresses of the domain's link members.
	Control []string
	// AddressesOnly is set if By is no link member. It then does not hear of the domain
	// regularly, and Reachable is not set.
	AddressesOnly bool
}

const (
	// Prefixes of record keys.
	summaryPrefix = "s/"
	linkPrefix    = "d/"
)

// SummaryKey returns the record key of a summary.
func SummaryKey(domain, service string) string { return summaryPrefix + domain + "/" + service }

// LinkKey returns the record key of the Link from the member by to a domain.
func LinkKey(domain, by string) string { return linkPrefix + domain + "/" + by }

// IsSummary reports whether a record key belongs to a Summary.
func IsSummary(key string) bool { return strings.HasPrefix(key, summaryPrefix) }

// IsLink reports whether a record key belongs to a Link.
func IsLink(key string) bool { return strings.HasPrefix(key, linkPrefix) }

// SelectLinkMembers selects the n of the ids that link their failure domain to the others by
// rendezvous hashing (Thaler and Ravishankar, 1998). Each member selects from its own view;
// where views differ, a domain temporarily has an additional link, which is harmless.
func SelectLinkMembers(ids []string, n int) []string {
	type candidate struct {
		id   string
		hash uint64
	}
	order := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	}
	// first are the first candidates so far, in order. n is small.
	first := make([]candidate, 0, n+1)
	for _, id := range ids {
		c := candidate{id, hashID(id)}
		if len(first) == n && (n == 0 || order(c, first[n-1]) >= 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, c, order)
		first = slices.Insert(first, at, c)
		first = first[:min(n, len(first))]
	}
	out := make([]string, len(first))
	for i, c := range first {
		out[i] = c.id
	}
	return out
}

// hashID returns the rendezvous hash of an ID.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	v := h.Sum64()
	// Mix the bits: FNV distributes short IDs poorly in the high bits.
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	return v ^ v>>32
}

// Encode returns the payload of a summary record.
func (s *Summary) Encode() []byte { return codec.Encode(s) }

// Encode returns the payload of a link record.
func (l *Link) Encode() []byte { return codec.Encode(l) }

// DecodeSummary decodes the payload of a summary record. It omits unusable instances,
// except under ReplicaService, whose instances have no slots.
func DecodeSummary(b []byte) (*Summary, error) {
	var s Summary
	if err := codec.Decode(b, &s); err != nil {
		return nil, err
	}
	s.Answered = s.Answered[:min(len(s.Answered), MaxAnswers)]
	if s.End != nil {
		s.End.Marks = truncateFingerprints(s.End.Marks)
	}
	if s.Service != ReplicaService {
		s.Instances = slices.DeleteFunc(s.Instances, func(r RemoteInstance) bool { return !isUsableBackend(r.Addr, r.Slots, r.Weight) })
	}
	return &s, nil
}

// DecodeLink decodes the payload of a link record.
func DecodeLink(b []byte) (*Link, error) {
	var l Link
	if err := codec.Decode(b, &l); err != nil {
		return nil, err
	}
	return &l, nil
}
