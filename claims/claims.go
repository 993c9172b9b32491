// Package claims implements at-most-once execution of requests with idempotency keys: a
// deterministic state machine to which all replicas of a shard apply the same commands.
//
// Before a keyed request is sent to a backend server, its key is claimed by a command
// committed to a quorum. Only the claim's token may finish or release it, so at most one
// attempt runs a key at a time. While a claim is neither finished nor released after its
// lease, other attempts get the verdict OutcomeUnknown and the key is not granted to them.
//
// Keys are UUIDs of version 7 (RFC 9562), which contain their creation time. The keys of
// a kind are evicted in the order of that time, and a floor per kind records how far:
// keys at or below the floor are refused as expired. This bounds the memory, and no key
// can run again because it was evicted.
package claims

import (
	"container/heap"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
)

// Op is the operation of a command.
type Op uint8

// The operations.
const (
	// OpBegin claims a key for a token.
	OpBegin Op = iota + 1
	// OpFinish stores the outcome of a claimed key.
	OpFinish
	// OpRelease gives up the claim of a key whose request was certainly not executed.
	OpRelease
)

// Outcome is the stored response of a finished request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set if the body was too large and is not stored.
	Truncated bool
}

// MaxBodyBytes is the largest body that callers may store with an outcome.
const MaxBodyBytes = 16 << 10

// Command is an entry of the replicated log.
type Command struct {
	Op    Op
	Kind  string
	Key   string
	Token string
	// Fingerprint is a hash of the request; it must be the same whenever the key is used.
	Fingerprint uint64
	// NowMs is the proposer's clock in Unix milliseconds. The state machine's clock is
	// the highest value seen.
	NowMs int64
	// LeaseMs is the lease of the claim in milliseconds.
	LeaseMs int64
	// RetainMs is how long the key is retained after its creation time, in milliseconds.
	RetainMs int64
	Outcome  *Outcome
}

// Verdict is the result of applying a command.
type Verdict uint8

// The verdicts.
const (
	// Granted means that this token, and no other, may execute the request.
	Granted Verdict = iota + 1
	// Replay means that the request is finished; its outcome is attached.
	Replay
	// Running means that another attempt holds the key and its lease has not expired.
	Running
	// OutcomeUnknown means that the lease of another attempt expired; the request may
	// have been executed.
	OutcomeUnknown
	// KeyMismatch means that the key was used for a different request.
	KeyMismatch
	// Expired means that the key is older than the retention time or at or below the
	// eviction floor.
	Expired
	// NotHolder means that the token does not hold the key, or that the key to release is
	// already finished.
	NotHolder
	// Applied means that an OpFinish or OpRelease took effect.
	Applied
	// Malformed means that the key is not a UUID of version 7 or lies too far in the
	// future, or that the operation is unknown.
	Malformed
)

// verdictFaults maps the verdicts that refuse a request to their fault codes.
var verdictFaults = map[Verdict]fault.Code{
	Running: fault.KeyRunning, OutcomeUnknown: fault.OutcomeUnknown, KeyMismatch: fault.KeyMismatch,
	Expired: fault.KeyExpired, NotHolder: fault.KeyRunning, Malformed: fault.BadRequest,
}

// Code returns the fault code of a verdict, or None.
func (v Verdict) Code() fault.Code { return verdictFaults[v] }

// Result is a verdict, with the stored outcome if it is Replay.
type Result struct {
	Verdict Verdict
	Outcome *Outcome
}

// claim is the stored state of a key. Its exported fields are part of the snapshot
// encoding.
type claim struct {
	Kind string
	Key  string
	// MadeMs is the key's creation time, and ForgetMs the end of its retention, in Unix
	// milliseconds.
	MadeMs   int64
	ForgetMs int64
	// Token identifies the attempt that holds the key.
	Token       string
	Fingerprint uint64
	// LeaseEndMs is the end of the lease, in Unix milliseconds.
	LeaseEndMs int64
	Outcome    *Outcome

	// heapIndex is the position in the heap of the kind's claims.
	heapIndex int
}

// State is the content of a Store as encoded in a snapshot.
type State struct {
	ClockMs int64
	// Floors maps each kind to the creation time of the newest evicted key, in Unix
	// milliseconds.
	Floors map[string]int64
	Claims []*claim
}

// Store is the state machine of a shard. It is not safe for concurrent use.
type Store struct {
	// clock is the highest time seen, in Unix milliseconds.
	clock int64
	// evictionFloors is as State.Floors.
	evictionFloors map[string]int64
	claims         map[string]*claim
	// claimsByAge orders the claims of each kind by the creation time of their keys.
	claimsByAge map[string]*ageHeap
}

// New returns an empty store.
func New() *Store {
	return &Store{evictionFloors: map[string]int64{}, claims: map[string]*claim{}, claimsByAge: map[string]*ageHeap{}}
}

// Restore returns the store encoded in a snapshot.
func Restore(data []byte) (*Store, error) {
	var s State
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, fault.Wrap(fault.Corrupt, err, "malformed claims snapshot")
	}
	st := New()
	st.clock = s.ClockMs
	for k, v := range s.Floors {
		st.evictionFloors[k] = v
	}
	for _, c := range s.Claims {
		st.insert(c)
	}
	return st, nil
}

// Snapshot encodes the store.
func (st *Store) Snapshot() ([]byte, error) {
	s := State{ClockMs: st.clock, Floors: st.evictionFloors}
	for _, c := range st.claims {
		s.Claims = append(s.Claims, c)
	}
	return msgpack.Marshal(&s)
}

// Len returns the number of stored keys.
func (st *Store) Len() int { return len(st.claims) }

// claimID returns the map key of a claim; idempotency keys are unique per kind.
func claimID(kind, key string) string { return kind + "\x00" + key }

// maxFutureMs is how far a key's creation time may be ahead of the state machine's clock,
// in milliseconds.
const maxFutureMs = int64(5 * time.Minute / time.Millisecond)

// KeyTime returns the creation time of a key in Unix milliseconds, and false if the key
// is not a UUID of version 7.
func KeyTime(key string) (int64, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	sec, nsec := u.Time().UnixTime()
	return sec*1000 + nsec/int64(time.Millisecond), true
}

// Apply applies a committed command.
func (st *Store) Apply(c *Command) Result {
	st.clock = max(st.clock, c.NowMs)
	st.evictExpired(c.Kind)
	held := st.claims[claimID(c.Kind, c.Key)]
	switch c.Op {
	case OpBegin:
		return st.begin(c, held)
	case OpFinish:
		return st.finish(c, held)
	case OpRelease:
		return st.release(c, held)
	}
	return Result{Verdict: Malformed}
}

func (st *Store) begin(c *Command, held *claim) Result {
	if held != nil {
		return st.beginExisting(c, held)
	}
	made, ok := KeyTime(c.Key)
	if !ok || made > st.clock+maxFutureMs {
		return Result{Verdict: Malformed}
	}
	if made <= st.evictionFloors[c.Kind] || made+c.RetainMs <= st.clock {
		return Result{Verdict: Expired}
	}
	st.insert(&claim{
		Kind: c.Kind, Key: c.Key, MadeMs: made, ForgetMs: made + c.RetainMs, Token: c.Token,
		Fingerprint: c.Fingerprint, LeaseEndMs: c.NowMs + c.LeaseMs,
	})
	return Result{Verdict: Granted}
}

// beginExisting returns the verdict on an OpBegin for a stored key. The holder's own token
// is granted again, since its command may have been duplicated.
func (st *Store) beginExisting(c *Command, held *claim) Result {
	switch {
	case held.Fingerprint != c.Fingerprint:
		return Result{Verdict: KeyMismatch}
	case held.Outcome != nil:
		return Result{Verdict: Replay, Outcome: held.Outcome}
	case held.Token == c.Token:
		return Result{Verdict: Granted}
	case st.clock > held.LeaseEndMs:
		return Result{Verdict: OutcomeUnknown}
	default:
		return Result{Verdict: Running}
	}
}

func (st *Store) finish(c *Command, held *claim) Result {
	if held == nil || held.Token != c.Token {
		return Result{Verdict: NotHolder}
	}
	if held.Outcome == nil {
		held.Outcome = c.Outcome
	}
	return Result{Verdict: Applied}
}

// release removes the claim of a key whose request was not executed. Only a new OpBegin can
// claim the key again.
func (st *Store) release(c *Command, held *claim) Result {
	if held == nil || held.Token != c.Token || held.Outcome != nil {
		return Result{Verdict: NotHolder}
	}
	st.remove(held)
	return Result{Verdict: Applied}
}

// maxEvictionsPerCommand bounds the keys evicted by one command.
const maxEvictionsPerCommand = 4

// evictExpired evicts keys of a kind whose retention is over, strictly in order of
// creation, and raises the floor so that every evicted key is at or below it.
func (st *Store) evictExpired(kind string) {
	h := st.claimsByAge[kind]
	if h == nil {
		return
	}
	for range maxEvictionsPerCommand {
		if len(*h) == 0 || (*h)[0].ForgetMs > st.clock {
			return
		}
		c := (*h)[0]
		st.evictionFloors[kind] = max(st.evictionFloors[kind], c.MadeMs)
		st.remove(c)
	}
}

func (st *Store) insert(c *claim) {
	st.claims[claimID(c.Kind, c.Key)] = c
	h := st.claimsByAge[c.Kind]
	if h == nil {
		h = &ageHeap{}
		st.claimsByAge[c.Kind] = h
	}
	heap.Push(h, c)
}

func (st *Store) remove(c *claim) {
	delete(st.claims, claimID(c.Kind, c.Key))
	heap.Remove(st.claimsByAge[c.Kind], c.heapIndex)
}

// ageHeap is a heap of claims, the oldest key first.
type ageHeap []*claim

// Len implements heap.Interface.
func (h ageHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ageHeap) Less(i, j int) bool {
	if h[i].MadeMs != h[j].MadeMs {
		return h[i].MadeMs < h[j].MadeMs
	}
	return h[i].Key < h[j].Key
}

// Swap implements heap.Interface.
func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	n := len(old) - 1
	c := old[n]
	old[n] = nil
	*h = old[:n]
	return c
}
