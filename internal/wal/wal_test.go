package wal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/raft"
)

// testEntries returns entries with the indexes from to to.
func testEntries(from, to, term uint64) []raft.Entry {
	var es []raft.Entry
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Index: i, Term: term, Data: []byte("command")})
	}
	return es
}

// writeTestLog writes a log with the entries 2 to 9 and returns its directory.
func writeTestLog(t *testing.T) string {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	w, _, err := Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.Reset(raft.Snapshot{Index: 1, Term: 1}, raft.HardState{Term: 1}, nil)).To(gomega.Succeed())
	for i := uint64(2); i < 10; i++ {
		g.Expect(w.Save(&raft.Ready{State: &raft.HardState{Term: 1, Commit: i}, Entries: testEntries(i, i, 1)})).To(gomega.Succeed())
	}
	w.Close()
	return dir
}

func TestOpenLoadsSavedState(t *testing.T) {
	g := gomega.NewWithT(t)
	_, got, err := Open(writeTestLog(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Entries).To(gomega.Equal(testEntries(2, 9, 1)))
	g.Expect(got.State.Commit).To(gomega.Equal(uint64(9)))
}

// TestUnsyncedTailIsDropped checks that an incomplete record beyond the synced size does not
// prevent Open.
func TestUnsyncedTailIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := writeTestLog(t)
	f, err := os.OpenFile(filepath.Join(dir, logFileName), os.O_APPEND|os.O_WRONLY, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.Write([]byte{0, 0, 0, 50, 1, 2})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.Close()).To(gomega.Succeed())
	_, got, err := Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Entries).To(gomega.HaveLen(8))
}

// TestCorruptLogIsDetected checks that Open refuses a log that is damaged within its synced
// size.
func TestCorruptLogIsDetected(t *testing.T) {
	for name, damage := range map[string]func(b []byte) []byte{
		"flipped bit at the start": func(b []byte) []byte { b[10] ^= 1; return b },
		"flipped bit at the end":   func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
		"truncated":                func(b []byte) []byte { return b[:len(b)-3] },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := writeTestLog(t)
			path := filepath.Join(dir, logFileName)
			b, err := os.ReadFile(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(os.WriteFile(path, damage(b), 0o644)).To(gomega.Succeed())
			_, _, err = Open(dir)
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Corrupt))
		})
	}
}

func TestCorruptSnapshotIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := writeTestLog(t)
	path := filepath.Join(dir, snapshotFileName)
	b, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b[len(b)-1] ^= 1
	g.Expect(os.WriteFile(path, b, 0o644)).To(gomega.Succeed())
	_, _, err = Open(dir)
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Corrupt))
}

// TestCrashBetweenSnapshotAndLog opens a newer snapshot with an older log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	for name, c := range map[string]struct {
		term uint64
		want int
	}{
		"the log contains the snapshot's last entry": {1, 4},
		"the log diverges from the snapshot":         {2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := writeTestLog(t)
			old, err := os.ReadFile(filepath.Join(dir, logFileName))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			w, _, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Reset(raft.Snapshot{Index: 5, Term: c.term}, raft.HardState{Term: 2}, nil)).To(gomega.Succeed())
			w.Close()
			g.Expect(os.WriteFile(filepath.Join(dir, logFileName), old, 0o644)).To(gomega.Succeed())
			_, got, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Entries).To(gomega.HaveLen(c.want))
		})
	}
}

// TestSavesAfterCrashBetweenSnapshotAndLogAreKept guards against the loss of entries that are
// saved after Open found a newer snapshot with an older log.
func TestSavesAfterCrashBetweenSnapshotAndLogAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		index, term uint64
		emptyLog    bool
	}{
		"the log contains the snapshot's last entry": {5, 1, false},
		"the log diverges from the snapshot":         {5, 2, false},
		"the log ends before the snapshot":           {20, 2, false},
		"the log is empty":                           {20, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := writeTestLog(t)
			if c.emptyLog {
				g.Expect(os.RemoveAll(dir)).To(gomega.Succeed())
			}
			w, _, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			old := map[string][]byte{}
			for _, file := range []string{logFileName, syncedFileName} {
				old[file], err = os.ReadFile(filepath.Join(dir, file))
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(w.Reset(raft.Snapshot{Index: c.index, Term: c.term}, raft.HardState{Term: 2}, nil)).To(gomega.Succeed())
			w.Close()
			for file, contents := range old {
				g.Expect(os.WriteFile(filepath.Join(dir, file), contents, 0o644)).To(gomega.Succeed())
			}
			w, got, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			next := c.index + uint64(len(got.Entries)) + 1
			saved := append(got.Entries, testEntries(next, next+2, 2)...)
			g.Expect(w.Save(&raft.Ready{Entries: testEntries(next, next+2, 2)})).To(gomega.Succeed())
			w.Close()
			_, got, err = Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Entries).To(gomega.Equal(saved))
		})
	}
}

// TestMissingSnapshotIsDetected guards against taking a log without the snapshot that it
// continues for an empty one.
func TestMissingSnapshotIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := writeTestLog(t)
	g.Expect(os.Remove(filepath.Join(dir, snapshotFileName))).To(gomega.Succeed())
	_, _, err := Open(dir)
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Corrupt))
}

// TestTornSyncedSizeIsIgnored guards against a synced size that a torn write mixed from two
// others: if it were higher than both, a sound log would count as corrupt.
func TestTornSyncedSizeIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	var written [][]byte
	for _, base := range []uint64{0, 1, 2, 255, 256, 257, 511, 512, 4096, 65536} {
		for _, size := range []int64{0, 1, 255, 256, 257, 511, 512, 4095, 4097, 65535, 65537} {
			written = append(written, encodeSyncedSize(base, size))
		}
	}
	for _, before := range written {
		for _, after := range written {
			for cut := range after {
				torn := slices.Concat(after[:cut], before[cut:])
				if slices.Equal(torn, before) || slices.Equal(torn, after) {
					continue
				}
				_, _, ok := decodeSyncedSize(torn)
				g.Expect(ok).To(gomega.BeFalse(), "%x from %x and %x", torn, before, after)
			}
		}
	}
}

// TestLargeRecordsAreLoaded guards against saving what the next Open takes for corrupt.
func TestLargeRecordsAreLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	data := make([]byte, 65<<20)
	d := newCrashDisk()
	w, _, err := OpenFolder(d.Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.Reset(raft.Snapshot{Index: 1, Term: 1, Data: data}, raft.HardState{Term: 1}, nil)).To(gomega.Succeed())
	g.Expect(w.Save(&raft.Ready{Entries: []raft.Entry{{Index: 2, Term: 1, Data: data}}})).To(gomega.Succeed())
	_, got, err := OpenFolder(d.Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Snapshot.Data).To(gomega.HaveLen(len(data)))
	g.Expect(got.Entries).To(gomega.HaveLen(1))
}

// TestSnapshotOfUnknownFormatIsNoCorruption guards against giving up a sound disk that a later
// version has written.
func TestSnapshotOfUnknownFormatIsNoCorruption(t *testing.T) {
	for name, c := range map[string]struct {
		file []byte
		want fault.Code
	}{
		"unknown format": {appendFrame(nil, []byte("a format of a later version")), fault.UnknownFormat},
		"empty file":     {nil, fault.Corrupt},
		"zeros":          {make([]byte, headerBytes), fault.Corrupt},
		"cut off":        {appendFrame(nil, []byte("a format of a later version"))[:20], fault.Corrupt},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := writeTestLog(t)
			g.Expect(os.WriteFile(filepath.Join(dir, snapshotFileName), c.file, 0o644)).To(gomega.Succeed())
			_, _, err := Open(dir)
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(c.want), "%v", err)
		})
	}
}
