// Package wal persists the state of a replica group in a directory: a snapshot file and a
// write-ahead log of checksummed records.
//
// A record is a length (4 bytes), a CRC-32C (4 bytes) and a msgpack payload. A separate file
// stores the synced size of the log. An incomplete or corrupt record beyond the synced size was
// never acknowledged and is dropped. Corruption below it means that the disk lost acknowledged
// data: Open fails with fault.Corrupt, and the caller must treat the disk as lost. A disk that
// refuses a call is no such loss: the code is fault.DiskRefused, and another Open may succeed. Nor
// is a snapshot of an unknown format whose checksum holds: the code is fault.UnknownFormat.
package wal

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk"
	"github.com/umberthread/umberthread/raft"
)

const (
	logFileName      = "log"
	snapshotFileName = "snapshot"
	syncedFileName   = "synced"
	headerBytes      = 8
	syncedFileBytes  = 16 + crc32.Size
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one update in the log. Its entries replace those with the same or a higher index.
type record struct {
	// Base is set in the first record of a log: the index of the snapshot that the log
	// continues.
	Base    uint64
	State   *raft.HardState
	Entries []raft.Entry
}

// Contents is the persisted state that Open loads.
type Contents struct {
	State    raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
}

// WAL is the open directory of a replica group. It is not safe for concurrent use.
type WAL struct {
	dir        disk.Folder
	logFile    disk.File
	syncedFile disk.File
	// logSize is the size of the log, and baseIndex the snapshot index that it continues.
	logSize   int64
	baseIndex uint64
	buf       []byte
	// incomplete is set while a write is in progress and after one that failed: what the files
	// hold is unknown then, and logFile may be a file that a rename has replaced.
	incomplete bool
	// contents is what Open returned, with State and Snapshot updated by each save.
	contents Contents
	// syncedVote is the last synced term and vote.
	syncedVote termVote
	// beforeSync, if not nil, is called before each sync.
	beforeSync func()
}

// termVote is the part of the state that must be synced before it is acted on.
type termVote struct {
	term uint64
	id   string
}

// termVoteOf returns the term and vote of a state.
func termVoteOf(s raft.HardState) termVote { return termVote{s.Term, s.Vote} }

// Open opens or creates a directory of the operating system; see OpenFolder.
func Open(dir string) (*WAL, Contents, error) {
	return OpenFolder(disk.Folder{FS: disk.OS{}, Path: dir})
}

// OpenFolder opens or creates the directory and returns its contents. The caller syncs the parent,
// which makes the name of a new directory durable.
func OpenFolder(dir disk.Folder) (*WAL, Contents, error) {
	if err := dir.Create(); err != nil {
		return nil, Contents{}, fault.Wrap(fault.DiskRefused, err, "cannot create the data directory")
	}
	w := &WAL{dir: dir}
	if err := w.load(); err != nil {
		w.Close()
		return nil, Contents{}, err
	}
	return w, w.contents, nil
}

// load reads the snapshot and the log, and truncates the log after its last valid record.
func (w *WAL) load() error {
	if err := w.loadSnapshot(); err != nil {
		return err
	}
	var err error
	if w.syncedFile, err = w.dir.OpenFile(w.path(syncedFileName), os.O_RDWR|os.O_CREATE, 0o644); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot open the file with the synced size")
	}
	if w.logFile, err = w.dir.OpenFile(w.path(logFileName), os.O_RDWR|os.O_CREATE, 0o644); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot open the log")
	}
	validSize, err := w.replay()
	if err != nil {
		return err
	}
	synced, err := w.readSyncedSize()
	if err != nil {
		return err
	}
	if validSize < synced {
		return fault.Newf(fault.Corrupt, "the log is corrupt at byte %d, but %d bytes were synced", validSize, synced)
	}
	if err := w.dropCoveredEntries(); err != nil {
		return err
	}
	if !w.logContinuesSnapshot(validSize) {
		return w.Reset(w.contents.Snapshot, w.contents.State, w.contents.Entries)
	}
	if err := w.truncateLog(validSize); err != nil {
		return err
	}
	w.syncedVote = termVoteOf(w.contents.State)
	if _, err := w.logFile.Seek(validSize, io.SeekStart); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot seek in the log")
	}
	return syncDir(w.dir)
}

// truncateLog drops the end of the log and syncs the rest: a killed process may have left
// records unsynced, and what Open returns is acted on.
func (w *WAL) truncateLog(size int64) error {
	if size < w.logSize {
		if err := w.logFile.Truncate(size); err != nil {
			return fault.Wrap(fault.DiskRefused, err, "cannot truncate the log")
		}
		w.logSize = size
	}
	if err := w.logFile.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot sync the log")
	}
	return nil
}

// path returns the path of a file in the directory.
func (w *WAL) path(name string) string { return w.dir.Join(name) }

// loadSnapshot reads the snapshot file, if there is one.
func (w *WAL) loadSnapshot() error {
	data, err := w.dir.ReadFile(w.path(snapshotFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot read the snapshot")
	}
	payload, n := nextRecord(data)
	if n != len(data) || len(payload) == 0 {
		return fault.New(fault.Corrupt, "the snapshot is corrupt")
	}
	if err := msgpack.Unmarshal(payload, &w.contents.Snapshot); err != nil {
		return fault.Wrap(fault.UnknownFormat, err, "this version cannot read the snapshot")
	}
	return nil
}

// nextRecord returns the payload and the total size of the first record; the size is 0 if the
// record is incomplete or corrupt.
func nextRecord(data []byte) ([]byte, int) {
	if len(data) < headerBytes {
		return nil, 0
	}
	n := int64(binary.BigEndian.Uint32(data))
	if int64(len(data)) < headerBytes+n {
		return nil, 0
	}
	payload := data[headerBytes : headerBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	return payload, headerBytes + int(n)
}

// replay reads the log and returns the size of its valid records.
func (w *WAL) replay() (int64, error) {
	data, err := io.ReadAll(bufio.NewReader(w.logFile))
	if err != nil {
		return 0, fault.Wrap(fault.DiskRefused, err, "cannot read the log")
	}
	w.logSize = int64(len(data))
	var validSize int64
	w.baseIndex = w.contents.Snapshot.Index
	for {
		payload, n := nextRecord(data[validSize:])
		if n == 0 {
			return validSize, nil
		}
		var r record
		if err := msgpack.Unmarshal(payload, &r); err != nil {
			return validSize, nil
		}
		if validSize == 0 {
			w.baseIndex = r.Base
		}
		if !w.applyRecord(r) {
			return validSize, nil
		}
		validSize += int64(n)
	}
}

// applyRecord updates the contents with a record of the log that starts after baseIndex. It
// reports false if the record does not continue the entries before it.
func (w *WAL) applyRecord(r record) bool {
	for _, e := range r.Entries {
		at := int64(e.Index) - int64(w.baseIndex) - 1
		if at > int64(len(w.contents.Entries)) {
			return false
		}
		if at >= 0 {
			w.contents.Entries = append(w.contents.Entries[:at], e)
		}
	}
	if r.State != nil {
		w.contents.State = *r.State
	}
	return true
}

// dropCoveredEntries drops the entries covered by the snapshot, after a crash between writing
// the snapshot and replacing the log. If the log does not match the snapshot's last entry, it
// drops all entries.
func (w *WAL) dropCoveredEntries() error {
	snap := &w.contents.Snapshot
	if w.baseIndex == snap.Index {
		return nil
	}
	if w.baseIndex > snap.Index {
		return fault.Newf(fault.Corrupt, "the log continues a snapshot of index %d, but the snapshot's index is %d", w.baseIndex, snap.Index)
	}
	at := int64(snap.Index) - int64(w.baseIndex) - 1
	if at >= int64(len(w.contents.Entries)) || w.contents.Entries[at].Term != snap.Term {
		w.contents.Entries = nil
		return nil
	}
	w.contents.Entries = append([]raft.Entry(nil), w.contents.Entries[at+1:]...)
	return nil
}

// logContinuesSnapshot reports whether records may be appended to a log of the given size. The
// next Open would take them for entries after another snapshot otherwise, and drop them.
func (w *WAL) logContinuesSnapshot(size int64) bool {
	if size == 0 {
		return w.contents.Snapshot.Index == 0
	}
	return w.baseIndex == w.contents.Snapshot.Index
}

// readSyncedSize returns the synced size of the log, or 0 if the stored size is corrupt or
// belongs to another log.
func (w *WAL) readSyncedSize() (int64, error) {
	var b [syncedFileBytes]byte
	switch _, err := w.syncedFile.ReadAt(b[:], 0); {
	case errors.Is(err, io.EOF):
		return 0, nil
	case err != nil:
		return 0, fault.Wrap(fault.DiskRefused, err, "cannot read the synced size")
	}
	base, size, ok := decodeSyncedSize(b[:])
	if !ok || base != w.baseIndex {
		return 0, nil
	}
	return size, nil
}

// writeSyncedSize stores the synced size of the log. It needs no sync: an outdated size only
// makes Open accept the loss of more records.
func (w *WAL) writeSyncedSize() error {
	if _, err := w.syncedFile.WriteAt(encodeSyncedSize(w.baseIndex, w.logSize), 0); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot write the synced size")
	}
	return nil
}

// forgetSyncedSize removes the synced size before a log is replaced by one that continues the
// same snapshot. After a loss of power the size of the former log could exceed the new one's.
func (w *WAL) forgetSyncedSize() error {
	if err := w.syncedFile.Truncate(0); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot remove the synced size")
	}
	if err := w.syncedFile.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot remove the synced size")
	}
	return nil
}

// encodeSyncedSize returns the contents of the file with the synced size of a log.
func encodeSyncedSize(base uint64, size int64) []byte {
	b := make([]byte, 0, syncedFileBytes)
	b = binary.BigEndian.AppendUint64(b, base)
	b = binary.BigEndian.AppendUint64(b, uint64(size))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeSyncedSize reads what encodeSyncedSize returned, and reports false if it is torn.
func decodeSyncedSize(b []byte) (base uint64, size int64, ok bool) {
	data, sum := b[:syncedFileBytes-crc32.Size], b[syncedFileBytes-crc32.Size:]
	ok = crc32.Checksum(data, castagnoli) == binary.BigEndian.Uint32(sum)
	return binary.BigEndian.Uint64(data), int64(binary.BigEndian.Uint64(data[8:])), ok
}

// SetBeforeSync sets a function that is called before each sync; tests use it to simulate a
// stalled disk. It must be called before the WAL is used.
func (w *WAL) SetBeforeSync(hold func()) { w.beforeSync = hold }

// callBeforeSync calls the function set by SetBeforeSync, if any.
func (w *WAL) callBeforeSync() {
	if w.beforeSync != nil {
		w.beforeSync()
	}
}

// Save persists a Ready. It syncs the log unless at most the commit index changes. After a failed
// Save or Reset it fails with fault.DiskRefused until a Reset succeeds.
func (w *WAL) Save(r *raft.Ready) error {
	if r.Snapshot != nil {
		st := w.contents.State
		if r.State != nil {
			st = *r.State
		}
		return w.Reset(*r.Snapshot, st, r.Entries)
	}
	if r.State == nil && len(r.Entries) == 0 {
		return nil
	}
	if w.incomplete {
		return fault.New(fault.DiskRefused, "an earlier write failed, and the log must be replaced first")
	}
	if r.State != nil {
		w.contents.State = *r.State
	}
	return w.appendRecord(record{State: r.State, Entries: r.Entries}, isStateOnly(r))
}

// isStateOnly reports whether a Ready holds only a state. If its term and vote are already
// synced, no sync is needed: the commit index is learned again from the leader.
func isStateOnly(r *raft.Ready) bool { return len(r.Entries) == 0 && r.State != nil }

// appendRecord appends a record to the log and syncs it, unless it is stateOnly and its term
// and vote are already synced.
func (w *WAL) appendRecord(rec record, stateOnly bool) error {
	payload, err := msgpack.Marshal(&rec)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a record")
	}
	w.buf = appendFrame(w.buf[:0], payload)
	w.incomplete = true
	if _, err := w.logFile.Write(w.buf); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot write the log")
	}
	w.logSize += int64(len(w.buf))
	if stateOnly && termVoteOf(*rec.State) == w.syncedVote {
		w.incomplete = false
		return nil
	}
	w.callBeforeSync()
	if err := w.logFile.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot sync the log")
	}
	w.syncedVote = termVoteOf(w.contents.State)
	return w.completeWrite()
}

// completeWrite ends a synced write.
func (w *WAL) completeWrite() error {
	if err := w.writeSyncedSize(); err != nil {
		return err
	}
	w.incomplete = false
	return nil
}

// Reset replaces the contents by a snapshot, a state and the entries after the snapshot. Each
// file is replaced atomically.
func (w *WAL) Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error {
	w.incomplete = true
	w.callBeforeSync()
	payload, err := msgpack.Marshal(&snap)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a snapshot")
	}
	// The log is replaced after the snapshot. A crash in between leaves an older log, which
	// load aligns with the snapshot.
	if err := replaceFile(w.dir, snapshotFileName, appendFrame(nil, payload)); err != nil {
		return err
	}
	payload, err = msgpack.Marshal(&record{snap.Index, &st, entries})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a record")
	}
	log := appendFrame(nil, payload)
	if snap.Index == w.baseIndex {
		if err := w.forgetSyncedSize(); err != nil {
			return err
		}
	}
	if err := replaceFile(w.dir, logFileName, log); err != nil {
		return err
	}
	return w.reopen(snap, st, int64(len(log)))
}

// Create replaces the contents of a log that has no snapshot and no entries by the first
// snapshot of a new group, with its state. If that fails, a restart finds nothing of the group;
// if that cannot be achieved either, the error's Execution is unknown.
func (w *WAL) Create(snap raft.Snapshot, st raft.HardState) error {
	before := w.contents.State
	err := w.Reset(snap, st, nil)
	if err == nil {
		return nil
	}
	if undoErr := w.undoCreate(before); undoErr != nil {
		return fault.Wrap(fault.DiskRefused, errors.CombineErrors(err, undoErr), "a restart may find the new group").WithUnknownExecution()
	}
	return err
}

// undoCreate removes what a failed Create has written. The log goes first: one that continues a
// missing snapshot would count as corrupt after a crash in between.
func (w *WAL) undoCreate(before raft.HardState) error {
	replaced, err := w.logContinuesASnapshot()
	if err != nil {
		return err
	}
	if replaced {
		if err := w.replaceLogByState(before); err != nil {
			return err
		}
	}
	if err := w.dir.Remove(w.path(snapshotFileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fault.Wrap(fault.DiskRefused, err, "cannot remove the snapshot")
	}
	if err := syncDir(w.dir); err != nil {
		return err
	}
	w.baseIndex, w.contents.State, w.contents.Snapshot = 0, before, raft.Snapshot{}
	return nil
}

// logContinuesASnapshot reports whether the log on the disk continues a snapshot. A full disk may
// refuse its replacement, so undoCreate avoids that if it is not necessary.
func (w *WAL) logContinuesASnapshot() (bool, error) {
	data, err := w.dir.ReadFile(w.path(logFileName))
	if err != nil {
		return false, fault.Wrap(fault.DiskRefused, err, "cannot read the log")
	}
	var first record
	payload, n := nextRecord(data)
	if n == 0 {
		return false, nil
	}
	if err := msgpack.Unmarshal(payload, &first); err != nil {
		return false, fault.Wrap(fault.Internal, err, "cannot decode a record")
	}
	return first.Base > 0, nil
}

// replaceLogByState replaces the log by one without a snapshot and entries.
func (w *WAL) replaceLogByState(st raft.HardState) error {
	payload, err := msgpack.Marshal(&record{State: &st})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode a record")
	}
	if err := w.forgetSyncedSize(); err != nil {
		return err
	}
	return replaceFile(w.dir, logFileName, appendFrame(nil, payload))
}

// reopen switches to a replaced log of the given size.
func (w *WAL) reopen(snap raft.Snapshot, st raft.HardState, size int64) error {
	_ = w.logFile.Close()
	f, err := w.dir.OpenFile(w.path(logFileName), os.O_RDWR, 0o644)
	if err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot open the log")
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot seek in the log")
	}
	w.logFile = f
	w.logSize = size
	w.baseIndex = snap.Index
	w.contents.Snapshot = snap
	w.contents.State = st
	w.syncedVote = termVoteOf(st)
	return w.completeWrite()
}

// Close closes the files without a sync.
func (w *WAL) Close() {
	for _, f := range []disk.File{w.logFile, w.syncedFile} {
		if f != nil {
			_ = f.Close()
		}
	}
}

// appendFrame appends the record of a payload to b.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// replaceFile atomically replaces a file with synced contents.
func replaceFile(dir disk.Folder, name string, data []byte) error {
	if err := dir.ReplaceFile(name, data); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot replace "+name)
	}
	return nil
}

// syncDir syncs a directory, which persists renames in it.
func syncDir(dir disk.Folder) error {
	if err := dir.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot sync the data directory")
	}
	return nil
}

// State returns the last saved state.
func (w *WAL) State() raft.HardState { return w.contents.State }
