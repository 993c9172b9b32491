// Package claims is the replicated state behind at-most-once execution: a
// pure state machine that every replica of a shard applies the same commands
// to.
//
// Before a keyed request is sent to a backend server, its key is claimed by a
// command that a quorum has made durable. Only the claim's token may finish or
// release it, so a key is run by one attempt at a time, and a claim that is
// neither finished nor released within its lease is an unknown outcome: it is
// said to be unknown and never granted again.
//
// Keys are UUIDs of version 7 (RFC 9562), which carry the time at which they
// were made. A kind's keys are forgotten in the order of that time, and a
// floor per kind remembers how far: what lies at or below the floor is refused
// as expired. So memory is bounded and no key can be run again because it was
// forgotten.
package claims

import (
	"container/heap"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
)

// Op tells commands apart.
type Op uint8

// The commands.
const (
	// Begin claims a key for a token.
	Begin Op = iota + 1
	// Finish stores the outcome.
	Finish
	// Release gives a key up that certainly was not run.
	Release
)

// Outcome is the stored answer of a finished request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set if the body was too large to be kept.
	Truncated bool
}

// MaxBody is the largest body kept with an outcome, in bytes.
const MaxBody = 16 << 10

// Command is one step of the replicated log.
type Command struct {
	Op    Op
	Kind  string
	Key   string
	Token string
	// Fingerprint is a hash of the request; a key must not be used for two.
	Fingerprint uint64
	// NowMs is the proposer's time, in Unix milliseconds; the state machine's
	// clock is the highest that it has seen.
	NowMs int64
	// LeaseMs is how long the claim may be in work.
	LeaseMs int64
	// RetainMs is how long the key is kept.
	RetainMs int64
	Outcome  *Outcome
}

// Verdict is the answer to a command.
type Verdict uint8

// The verdicts.
const (
	// Granted means that this token, and no other, may run the request.
	Granted Verdict = iota + 1
	// Replay means that the request has run; its outcome is attached.
	Replay
	// Running means that another attempt is running it.
	Running
	// Unknown means that an attempt did not report in time: it may have run.
	OutcomeUnknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// Expired means that the key is older than what is remembered.
	Expired
	// Stale means that the token does not hold the key.
	Stale
	// Stored means that a Finish or a Release took effect.
	Stored
	// Malformed means that the key is not a UUID of version 7, or lies in the
	// future.
	Malformed
)

var verdictCodes = map[Verdict]fault.Code{
	Running: fault.KeyRunning, OutcomeUnknown: fault.OutcomeUnknown, Mismatch: fault.KeyMismatch,
	Expired: fault.KeyExpired, Stale: fault.KeyRunning, Malformed: fault.BadRequest,
}

// Code returns the failure that a verdict stands for, or None.
func (v Verdict) Code() fault.Code { return verdictCodes[v] }

// Result is a verdict with the outcome to replay.
type Result struct {
	Verdict Verdict
	Outcome *Outcome
}

// claim is what is remembered of a key.
type claim struct {
	Kind        string
	Key         string
	MadeMs      int64
	ForgetMs    int64
	Token       string
	Fingerprint uint64
	LeaseEndMs  int64
	Outcome     *Outcome

	index int
}

// State is the content of a Store; a snapshot is its encoding.
type State struct {
	ClockMs int64
	// Floors is, per kind, the time of the newest key that was forgotten.
	Floors map[string]int64
	Claims []*claim
}

// Store applies commands. It is not safe for concurrent use.
type Store struct {
	clock  int64
	floors map[string]int64
	claims map[string]*claim
	// byAge orders each kind's claims by the time their keys were made.
	byAge map[string]*ageHeap
}

// New returns an empty store.
func New() *Store {
	return &Store{floors: map[string]int64{}, claims: map[string]*claim{}, byAge: map[string]*ageHeap{}}
}

// Restore returns the store of a snapshot.
func Restore(data []byte) (*Store, error) {
	var s State
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, fault.Wrap(fault.Corrupt, err, "malformed claims snapshot")
	}
	st := New()
	st.clock = s.ClockMs
	for k, v := range s.Floors {
		st.floors[k] = v
	}
	for _, c := range s.Claims {
		st.insert(c)
	}
	return st, nil
}

// Snapshot encodes the store.
func (st *Store) Snapshot() ([]byte, error) {
	s := State{ClockMs: st.clock, Floors: st.floors}
	for _, c := range st.claims {
		s.Claims = append(s.Claims, c)
	}
	return msgpack.Marshal(&s)
}

// Len returns the number of keys remembered.
func (st *Store) Len() int { return len(st.claims) }

func mapKey(kind, key string) string { return kind + "\x00" + key }

// futureMs is how far a key's time may lie ahead of the state machine's.
const futureMs = int64(5 * time.Minute / time.Millisecond)

// KeyTime returns when a key was made, in Unix milliseconds; false if it is
// not a UUID of version 7.
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
	st.forget(c.Kind)
	held := st.claims[mapKey(c.Kind, c.Key)]
	switch c.Op {
	case Begin:
		return st.begin(c, held)
	case Finish:
		return st.finish(c, held)
	case Release:
		return st.release(c, held)
	}
	return Result{Verdict: Malformed}
}

func (st *Store) begin(c *Command, held *claim) Result {
	if held != nil {
		return st.again(c, held)
	}
	made, ok := KeyTime(c.Key)
	if !ok || made > st.clock+futureMs {
		return Result{Verdict: Malformed}
	}
	if made <= st.floors[c.Kind] || made+c.RetainMs <= st.clock {
		return Result{Verdict: Expired}
	}
	st.insert(&claim{
		Kind: c.Kind, Key: c.Key, MadeMs: made, ForgetMs: made + c.RetainMs, Token: c.Token,
		Fingerprint: c.Fingerprint, LeaseEndMs: c.NowMs + c.LeaseMs,
	})
	return Result{Verdict: Granted}
}

// again answers a key that is known. The same token gets the grant again: its
// command was doubled on the way.
func (st *Store) again(c *Command, held *claim) Result {
	switch {
	case held.Fingerprint != c.Fingerprint:
		return Result{Verdict: Mismatch}
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
		return Result{Verdict: Stale}
	}
	if held.Outcome == nil {
		held.Outcome = c.Outcome
	}
	return Result{Verdict: Stored}
}

// release forgets a key whose request was not run. The grant can come again
// only from a new Begin.
func (st *Store) release(c *Command, held *claim) Result {
	if held == nil || held.Token != c.Token || held.Outcome != nil {
		return Result{Verdict: Stale}
	}
	st.remove(held)
	return Result{Verdict: Stored}
}

// forgetBatch bounds the keys forgotten with one command.
const forgetBatch = 4

// forget drops the oldest keys of a kind whose time is over, and raises the
// floor to them. A younger key is never dropped before an older one, so that
// the floor tells the whole truth.
func (st *Store) forget(kind string) {
	h := st.byAge[kind]
	if h == nil {
		return
	}
	for range forgetBatch {
		if len(*h) == 0 || (*h)[0].ForgetMs > st.clock {
			return
		}
		c := (*h)[0]
		st.floors[kind] = max(st.floors[kind], c.MadeMs)
		st.remove(c)
	}
}

func (st *Store) insert(c *claim) {
	st.claims[mapKey(c.Kind, c.Key)] = c
	h := st.byAge[c.Kind]
	if h == nil {
		h = &ageHeap{}
		st.byAge[c.Kind] = h
	}
	heap.Push(h, c)
}

func (st *Store) remove(c *claim) {
	delete(st.claims, mapKey(c.Kind, c.Key))
	heap.Remove(st.byAge[c.Kind], c.index)
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
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) {
	c := x.(*claim)
	c.index = len(*h)
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
