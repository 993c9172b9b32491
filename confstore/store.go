// Package confstore is the replicated state of the operators' settings: a
// pure state machine that every replica of the configuration group applies
// the same changes to.
//
// A change names its own id and the version that it is based on. Of racing
// changes under one version the first in the log wins; the others get a
// conflict that names the winner. A change that is sent again gets its first
// result, as long as the result is among the last KeptResults.
package confstore

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

const (
	// KeptResults is how many results are kept for changes sent again: more
	// than two days' worth at 29,000 changes a day.
	KeptResults = 65536
	// KeptChanges is how many changes are kept as history, from which nodes
	// that are a little behind catch up.
	KeptChanges = 1024
)

// Change is a proposed or accepted change of the settings.
type Change struct {
	// ID is made by the operator's tool, the same in every resend.
	ID string
	// Base is the version that the change was made on.
	Base uint64
	// Version is the version that it made, 0 while it is only proposed.
	Version uint64
	// Patch is what it sets and removes.
	Patch settings.Patch
	// Author and Note are for the history.
	Author, Note string
	// AtMs is when it was proposed, in Unix milliseconds.
	AtMs int64
	// Revision is the operators' own number of the document that the change
	// leads to, and BaseRevision the one that they made it on. Numbers grow
	// in uneven steps. A change with Revision 0 has none; it keeps the number.
	Revision, BaseRevision uint64
}

// Result is the outcome of a change.
type Result struct {
	// ID is the change's.
	ID string
	// Version is the version that it made, or 0.
	Version uint64
	// Code is None or Conflict.
	Code fault.Code
	// Winner is the id of the change that took the version, on a conflict.
	Winner string
	// Current is the version in force when the change was applied.
	Current uint64
	// Revision is the operators' number in force then.
	Revision uint64
}

// State is the content of a Store; a snapshot is its encoding.
type State struct {
	Version uint64
	// Revision is the operators' own number of the document, 0 for none.
	Revision uint64
	Entries  settings.Entries
	// Results are the last results, oldest first.
	Results []Result
	// Changes are the last accepted changes, oldest first.
	Changes []Change
}

// Store applies changes. It is not safe for concurrent use.
type Store struct {
	s    State
	byID map[string]Result
}

// New returns an empty store at version 0.
func New() *Store { return from(State{Entries: settings.Entries{}}) }

func from(s State) *Store {
	st := &Store{s: s, byID: make(map[string]Result, len(s.Results))}
	for _, r := range s.Results {
		st.byID[r.ID] = r
	}
	return st
}

// Restore returns the store of a snapshot.
func Restore(data []byte) (*Store, error) {
	var s State
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, fault.Wrap(fault.Corrupt, err, "malformed settings snapshot")
	}
	if s.Entries == nil {
		s.Entries = settings.Entries{}
	}
	return from(s), nil
}

// Snapshot encodes the store.
func (st *Store) Snapshot() ([]byte, error) { return msgpack.Marshal(&st.s) }

// Version returns the version in force.
func (st *Store) Version() uint64 { return st.s.Version }

// Revision returns the operators' own number of the document, 0 for none.
func (st *Store) Revision() uint64 { return st.s.Revision }

// Entries returns the document in force. It must not be changed.
func (st *Store) Entries() settings.Entries { return st.s.Entries }

// Since returns the changes after a version, oldest first; false if they are
// no longer all kept.
func (st *Store) ChangesSince(version uint64) ([]Change, bool) {
	behind := st.s.Version - min(version, st.s.Version)
	if behind > uint64(len(st.s.Changes)) {
		return nil, false
	}
	return st.s.Changes[uint64(len(st.s.Changes))-behind:], true
}

// Known returns the result of a change that was applied before.
func (st *Store) LookupResult(id string) (Result, bool) {
	r, ok := st.byID[id]
	return r, ok
}

// Apply applies a committed change. The patch was checked by the leader
// against the version that it is based on; it is not checked again, so that
// replicas of different releases stay the same.
func (st *Store) Apply(c Change) Result {
	if r, ok := st.byID[c.ID]; ok {
		return r
	}
	r := Result{ID: c.ID, Current: st.s.Version, Revision: st.s.Revision}
	if c.Base != st.s.Version || !st.numbered(&c) {
		r.Code = fault.Conflict
		r.Winner = st.winner(c.Base + 1)
		if c.Revision != 0 {
			// Only the proposing node's base was old, perhaps: it makes the
			// same change once more on the new one.
			return r
		}
	} else {
		st.accept(&c)
		r.Version = c.Version
		r.Current = c.Version
		r.Revision = st.s.Revision
	}
	st.remember(r)
	return r
}

// numbered tells whether the operators' number of a change follows the one in
// force.
func (st *Store) numbered(c *Change) bool {
	return c.Revision == 0 || c.BaseRevision == st.s.Revision && c.Revision > st.s.Revision
}

// accept copies the document, because nodes read the old one meanwhile.
func (st *Store) accept(c *Change) {
	next := make(settings.Entries, len(st.s.Entries)+len(c.Patch.Set))
	for id, v := range st.s.Entries {
		next[id] = v
	}
	for _, id := range c.Patch.Remove {
		delete(next, id)
	}
	for id, v := range c.Patch.Set {
		next[id] = v
	}
	st.s.Entries = next
	st.s.Version++
	c.Version = st.s.Version
	if c.Revision != 0 {
		st.s.Revision = c.Revision
	}
	st.s.Changes = append(st.s.Changes, *c)
	if n := len(st.s.Changes) - KeptChanges; n > 0 {
		st.s.Changes = append([]Change(nil), st.s.Changes[n:]...)
	}
}

// winner returns the id of the change that made a version, if it is kept.
func (st *Store) winner(version uint64) string {
	for i := len(st.s.Changes) - 1; i >= 0; i-- {
		if st.s.Changes[i].Version == version {
			return st.s.Changes[i].ID
		}
	}
	return ""
}

func (st *Store) remember(r Result) {
	st.s.Results = append(st.s.Results, r)
	st.byID[r.ID] = r
	if len(st.s.Results) > KeptResults {
		delete(st.byID, st.s.Results[0].ID)
		st.s.Results = st.s.Results[1:]
	}
}
