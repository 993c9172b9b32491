// Package wal keeps the state of one replica group in a folder: a snapshot
// file and a log of checksummed records, synced before Save returns.
//
// A record is a length (4 bytes), a CRC-32C (4 bytes) and a msgpack payload.
// Beside the log stands a mark of how much of it was synced. A record that is
// cut off or damaged behind the mark was never promised and is dropped;
// damage before the mark means that the disk lost what it had promised, and
// Open fails with fault.Corrupt: the caller must treat the disk as lost.
package wal

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/raft"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	markName     = "synced"
	headerSize   = 8
	maxRecord    = 64 << 20
	markSize     = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one step of the log. The entries replace any with the same or a
// higher index.
type record struct {
	// Base is set in a log's first record: the index of the snapshot that
	// the log continues.
	Base    uint64
	State   *raft.HardState
	Entries []raft.Entry
}

// Loaded is what was found on opening.
type Contents struct {
	State    raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
}

// WAL is the open folder of one replica group. It is not safe for concurrent
// use.
type WAL struct {
	dir  string
	f    *os.File
	mark *os.File
	size int64
	base uint64
	buf  []byte
	last Contents
	// voted is the term and vote that are synced.
	voted vote
	// hold is called before each sync; nil for nothing.
	hold func()
}

// vote is the part of a state that must be synced before it is acted on.
type vote struct {
	term uint64
	id   string
}

func voteOf(s raft.HardState) vote { return vote{s.Term, s.Vote} }

// Open opens or creates the folder and returns what it holds.
func Open(dir string) (*WAL, Contents, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Contents{}, fault.Wrap(fault.Internal, err, "cannot make the data folder")
	}
	w := &WAL{dir: dir}
	if err := w.load(); err != nil {
		return nil, Contents{}, err
	}
	return w, w.last, nil
}

func (w *WAL) load() error {
	if err := w.loadSnapshot(); err != nil {
		return err
	}
	var err error
	if w.mark, err = os.OpenFile(w.path(markName), os.O_RDWR|os.O_CREATE, 0o644); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot open the mark")
	}
	if w.f, err = os.OpenFile(w.path(logName), os.O_RDWR|os.O_CREATE, 0o644); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot open the log")
	}
	good, err := w.replay()
	if err != nil {
		return err
	}
	if promised := w.readMark(); good < promised {
		return fault.Newf(fault.Corrupt, "the log is damaged at byte %d of %d that were synced", good, promised)
	}
	w.align()
	if err := w.f.Truncate(good); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot cut the log")
	}
	w.size = good
	w.voted = voteOf(w.last.State)
	if _, err := w.f.Seek(good, io.SeekStart); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot seek in the log")
	}
	return syncDir(w.dir)
}

func (w *WAL) path(name string) string { return filepath.Join(w.dir, name) }

func (w *WAL) loadSnapshot() error {
	data, err := os.ReadFile(w.path(snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot read the snapshot")
	}
	payload, n := next(data)
	if n == 0 || n != len(data) || msgpack.Unmarshal(payload, &w.last.Snapshot) != nil {
		return fault.New(fault.Corrupt, "the snapshot is damaged")
	}
	return nil
}

// next returns the first record's payload and its whole size, 0 if damaged.
func next(data []byte) ([]byte, int) {
	if len(data) < headerSize {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(data))
	if n > maxRecord || len(data) < headerSize+n {
		return nil, 0
	}
	payload := data[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	return payload, headerSize + n
}

// replay reads the log and returns how many bytes of it are whole records.
func (w *WAL) replay() (int64, error) {
	data, err := io.ReadAll(bufio.NewReader(w.f))
	if err != nil {
		return 0, fault.Wrap(fault.Corrupt, err, "cannot read the log")
	}
	var good int64
	w.base = w.last.Snapshot.Index
	for {
		payload, n := next(data[good:])
		if n == 0 {
			return good, nil
		}
		var r record
		if err := msgpack.Unmarshal(payload, &r); err != nil {
			return good, nil
		}
		if good == 0 {
			w.base = r.Base
		}
		w.take(r)
		good += int64(n)
	}
}

// take applies a record of a log that begins after base.
func (w *WAL) take(r record) {
	if r.State != nil {
		w.last.State = *r.State
	}
	for _, e := range r.Entries {
		at := int64(e.Index) - int64(w.base) - 1
		if at < 0 || at > int64(len(w.last.Entries)) {
			continue
		}
		w.last.Entries = append(w.last.Entries[:at], e)
	}
}

// align drops the entries that the snapshot covers, where a crash came between
// writing a snapshot and the log that continues it. Entries that do not lead
// through the snapshot's last one belong to a history that it replaced.
func (w *WAL) align() {
	snap := &w.last.Snapshot
	if w.base == snap.Index {
		return
	}
	at := int64(snap.Index) - int64(w.base) - 1
	if at < 0 || at >= int64(len(w.last.Entries)) || w.last.Entries[at].Term != snap.Term {
		w.last.Entries = nil
		return
	}
	w.last.Entries = append([]raft.Entry(nil), w.last.Entries[at+1:]...)
}

// readMark returns how many bytes of this log were synced; 0 if the mark is
// damaged or belongs to another log, which says nothing about this one.
func (w *WAL) readMark() int64 {
	var b [markSize]byte
	if _, err := w.mark.ReadAt(b[:], 0); err != nil {
		return 0
	}
	base, n := binary.BigEndian.Uint64(b[:]), binary.BigEndian.Uint64(b[8:])
	if base != w.base || base^n != ^binary.BigEndian.Uint64(b[16:]) {
		return 0
	}
	return int64(n)
}

// writeMark needs no sync: after a loss of power an older mark only
// means that less is held to have been promised.
func (w *WAL) writeMark() error {
	var b [markSize]byte
	binary.BigEndian.PutUint64(b[:], w.base)
	binary.BigEndian.PutUint64(b[8:], uint64(w.size))
	binary.BigEndian.PutUint64(b[16:], ^(w.base ^ uint64(w.size)))
	_, err := w.mark.WriteAt(b[:], 0)
	return err
}

// HoldSyncs has hold called before each sync: what is not synced is delayed with it, as
// on a disk that does not answer. It is set before the log is used.
func (w *WAL) SetBeforeSync(hold func()) { w.hold = hold }

func (w *WAL) awaitDisk() {
	if w.hold != nil {
		w.hold()
	}
}

// Save persists a Ready and syncs it.
func (w *WAL) Save(r *raft.Ready) error {
	if r.Snapshot != nil {
		st := w.last.State
		if r.State != nil {
			st = *r.State
		}
		return w.Reset(*r.Snapshot, st, r.Entries)
	}
	if r.State == nil && len(r.Entries) == 0 {
		return nil
	}
	if r.State != nil {
		w.last.State = *r.State
	}
	return w.appendRecord(record{State: r.State, Entries: r.Entries}, onlyCommit(r))
}

// onlyCommit tells whether a Ready moves no more than the commit index, which
// need not last: it is learnt again from the leader.
func onlyCommit(r *raft.Ready) bool { return len(r.Entries) == 0 && r.State != nil }

func (w *WAL) appendRecord(rec record, lazy bool) error {
	payload, err := msgpack.Marshal(&rec)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a record")
	}
	w.buf = frame(w.buf[:0], payload)
	if _, err := w.f.Write(w.buf); err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot write the log")
	}
	w.size += int64(len(w.buf))
	if lazy && voteOf(*rec.State) == w.voted {
		return nil
	}
	w.awaitDisk()
	if err := w.f.Sync(); err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot sync the log")
	}
	w.voted = voteOf(w.last.State)
	return w.writeMark()
}

// Reset replaces the folder's content by a snapshot, a state and the entries
// after the snapshot. The new files take the place of the old ones whole.
func (w *WAL) Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error {
	w.awaitDisk()
	payload, err := msgpack.Marshal(&snap)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a snapshot")
	}
	// The log is replaced after the snapshot. A crash between the two leaves
	// a log whose entries the snapshot covers or continues.
	if err := replaceFile(w.dir, snapshotName, frame(nil, payload)); err != nil {
		return err
	}
	payload, err = msgpack.Marshal(&record{snap.Index, &st, entries})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a record")
	}
	log := frame(nil, payload)
	if err := replaceFile(w.dir, logName, log); err != nil {
		return err
	}
	return w.reopen(snap, st, int64(len(log)))
}

func (w *WAL) reopen(snap raft.Snapshot, st raft.HardState, size int64) error {
	_ = w.f.Close()
	f, err := os.OpenFile(w.path(logName), os.O_RDWR, 0o644)
	if err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot open the log")
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot seek in the log")
	}
	w.f = f
	w.size = size
	w.base = snap.Index
	w.last.Snapshot = snap
	w.last.State = st
	w.voted = voteOf(st)
	return w.writeMark()
}

// Close closes the files.
func (w *WAL) Close() {
	_ = w.f.Close()
	_ = w.mark.Close()
}

func frame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// replaceFile writes a file beside the old one, syncs it and puts it in place.
func replaceFile(dir, name string, data []byte) error {
	tmp := filepath.Join(dir, name+".new")
	f, err := os.Create(tmp)
	if err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot create "+name)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp, filepath.Join(dir, name))
	}
	if err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot replace "+name)
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot open the data folder")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fault.Wrap(fault.Corrupt, err, "cannot sync the data folder")
	}
	return nil
}

// State returns the state last saved.
func (w *WAL) State() raft.HardState { return w.last.State }

// WriteFile puts a file into a folder whole and synced.
func WriteFileAtomic(dir, name string, data []byte) error { return replaceFile(dir, name, data) }
