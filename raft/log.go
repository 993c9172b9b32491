package raft

import "slices"

// raftLog holds the snapshot and the entries after it.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// stableIndex is the last persisted index, and savingIndex the last index included in the
	// save in progress.
	stableIndex, savingIndex uint64
	commitIndex              uint64
	// appliedIndex is the last index returned for application.
	appliedIndex uint64
}

// firstIndex returns the index after the snapshot.
func (l *raftLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

// lastIndex returns the index of the last entry, or of the snapshot if there is none.
func (l *raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term of an index; false if the index is compacted or beyond the log.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term, true
	case i < l.snapshot.Index || i > l.lastIndex():
		return 0, false
	default:
		return l.entries[i-l.firstIndex()].Term, true
	}
}

// lastTerm returns the term at lastIndex.
func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// slice returns the entries from lo to hi, inclusive.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.firstIndex() : hi-l.firstIndex()+1]
}

// isUpToDate reports whether a log with the given last entry is at least as up to date as l.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// mergeEntries adds entries from a leader. Entries that match are kept, so that a delayed message
// does not truncate newer entries.
func (l *raftLog) mergeEntries(es []Entry) {
	for i, e := range es {
		if e.Index <= l.snapshot.Index {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
			// Clip the capacity so that the append copies instead of overwriting shared entries.
			l.entries = slices.Clip(l.entries)
		}
		l.entries = append(l.entries, es[i:]...)
		return
	}
}

// dataBytes returns the size of the commands in entries.
func dataBytes(es []Entry) int {
	size := 0
	for i := range es {
		size += len(es[i].Data)
	}
	return size
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = l.entries[:index-l.firstIndex()]
	l.stableIndex = min(l.stableIndex, index-1)
	l.savingIndex = min(l.savingIndex, index-1)
}

// lastConf returns the latest membership in the log and its index.
func (l *raftLog) lastConf() (Conf, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Type == EntryConf && l.entries[i].Conf != nil {
			return *l.entries[i].Conf, l.entries[i].Index
		}
	}
	return l.snapshot.Conf, l.snapshot.Index
}

// confAt returns the membership in effect at an index.
func (l *raftLog) confAt(index uint64) Conf {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Index <= index && e.Type == EntryConf && e.Conf != nil {
			return *e.Conf
		}
	}
	return l.snapshot.Conf
}

// compact replaces the entries up to snap.Index by the snapshot.
func (l *raftLog) compact(snap Snapshot) {
	keep := l.slice(snap.Index+1, l.lastIndex())
	l.entries = append([]Entry(nil), keep...)
	l.snapshot = snap
}

// restore replaces the whole log by a snapshot that is not persisted yet.
func (l *raftLog) restore(snap Snapshot) {
	l.snapshot = snap
	l.entries = nil
	l.stableIndex, l.savingIndex = 0, 0
	l.commitIndex = snap.Index
	l.appliedIndex = snap.Index
}
