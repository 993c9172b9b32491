package raft

// raftLog holds the entries after a snapshot.
type raftLog struct {
	snap    Snapshot
	entries []Entry
	// stable is the last index that is persisted, and saving the last one that
	// is once the save under way ends.
	stable, saving uint64
	commit         uint64
	// applied is the last index handed out to be applied.
	applied uint64
}

func (l *raftLog) first() uint64 { return l.snap.Index + 1 }

func (l *raftLog) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

// term returns the term of an index; false if it is compacted or not there.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.snap.Index:
		return l.snap.Term, true
	case i < l.snap.Index || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.first()].Term, true
	}
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries from lo to hi, both included.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.first() : hi-l.first()+1]
}

// upToDate tells whether a log with that last entry may win over this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// merge takes over entries from a leader. Entries already held are left, so
// that a late, shorter message does not cut off newer ones.
func (l *raftLog) merge(es []Entry) {
	for i, e := range es {
		if e.Index <= l.snap.Index {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		l.truncate(e.Index)
		// The message's slice must not be shared with later appends.
		l.entries = append(l.entries[:len(l.entries):len(l.entries)], es[i:]...)
		return
	}
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	l.entries = l.entries[:index-l.first()]
	l.stable = min(l.stable, index-1)
	l.saving = min(l.saving, index-1)
}

// conf returns the last membership in the log.
func (l *raftLog) conf() (Conf, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Type == EntryConf && l.entries[i].Conf != nil {
			return *l.entries[i].Conf, l.entries[i].Index
		}
	}
	return l.snap.Conf, l.snap.Index
}

// confAt returns the membership in force at an index.
func (l *raftLog) confAt(index uint64) Conf {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Index <= index && e.Type == EntryConf && e.Conf != nil {
			return *e.Conf
		}
	}
	return l.snap.Conf
}

// compact replaces the entries up to snap.Index by the snapshot.
func (l *raftLog) compact(snap Snapshot) {
	keep := l.slice(snap.Index+1, l.last())
	l.entries = append([]Entry(nil), keep...)
	l.snap = snap
}

// restore replaces everything by a snapshot, which has yet to be persisted.
func (l *raftLog) restore(snap Snapshot) {
	l.snap = snap
	l.entries = nil
	l.stable, l.saving = 0, 0
	l.commit = snap.Index
	l.applied = snap.Index
}
