package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/raft"
)

func entries(from, to, term uint64) []raft.Entry {
	var es []raft.Entry
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Index: i, Term: term, Data: []byte("command")})
	}
	return es
}

func filled(t *testing.T) string {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	w, _, err := Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.Reset(raft.Snapshot{Index: 1, Term: 1}, raft.HardState{Term: 1}, nil)).To(gomega.Succeed())
	for i := uint64(2); i < 10; i++ {
		g.Expect(w.Save(&raft.Ready{State: &raft.HardState{Term: 1, Commit: i}, Entries: entries(i, i, 1)})).To(gomega.Succeed())
	}
	w.Close()
	return dir
}

func TestReopenFindsAll(t *testing.T) {
	g := gomega.NewWithT(t)
	_, got, err := Open(filled(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Entries).To(gomega.Equal(entries(2, 9, 1)))
	g.Expect(got.State.Commit).To(gomega.Equal(uint64(9)))
}

func TestTailThatWasNeverSyncedIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := filled(t)
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_APPEND|os.O_WRONLY, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.Write([]byte{0, 0, 0, 50, 1, 2})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.Close()).To(gomega.Succeed())
	_, got, err := Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Entries).To(gomega.HaveLen(8))
}

func TestDamageIsFound(t *testing.T) {
	for name, damage := range map[string]func(b []byte) []byte{
		"flipped bit at the start": func(b []byte) []byte { b[10] ^= 1; return b },
		"flipped bit in the last":  func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
		"cut off":                  func(b []byte) []byte { return b[:len(b)-3] },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := filled(t)
			path := filepath.Join(dir, logName)
			b, err := os.ReadFile(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(os.WriteFile(path, damage(b), 0o644)).To(gomega.Succeed())
			_, _, err = Open(dir)
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Corrupt))
		})
	}
}

func TestDamagedSnapshotIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := filled(t)
	path := filepath.Join(dir, snapshotName)
	b, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b[len(b)-1] ^= 1
	g.Expect(os.WriteFile(path, b, 0o644)).To(gomega.Succeed())
	_, _, err = Open(dir)
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Corrupt))
}

// TestCrashBetweenSnapshotAndLog puts a newer snapshot beside an older log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	for name, c := range map[string]struct {
		term uint64
		want int
	}{
		"the log leads through the snapshot": {1, 4},
		"the log is of another history":      {2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := filled(t)
			old, err := os.ReadFile(filepath.Join(dir, logName))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			w, _, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Reset(raft.Snapshot{Index: 5, Term: c.term}, raft.HardState{Term: 2}, nil)).To(gomega.Succeed())
			w.Close()
			g.Expect(os.WriteFile(filepath.Join(dir, logName), old, 0o644)).To(gomega.Succeed())
			_, got, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Entries).To(gomega.HaveLen(c.want))
		})
	}
}
