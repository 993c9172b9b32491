package wal

import (
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/raft"
)

// A replica whose disk refused a write replaces its log. Nothing that was saved before the
// refusal, and nothing of the replacement, may be lost.
func TestResetAfterRefusedWrite(t *testing.T) {
	for name, refuse := range map[string]func(g *gomega.WithT, w *WAL){
		"the write of a record was refused": func(g *gomega.WithT, w *WAL) {
			readOnly, err := os.Open(w.path(logFileName))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.logFile.Close()).To(gomega.Succeed())
			w.logFile = readOnly
		},
		"a part of the record was written": func(g *gomega.WithT, w *WAL) {
			_, err := w.logFile.Write([]byte{0, 0, 1, 0, 7, 7, 7})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.logFile.Close()).To(gomega.Succeed())
		},
		"the log was replaced but not opened": func(g *gomega.WithT, w *WAL) {
			g.Expect(w.Reset(raft.Snapshot{Index: 8, Term: 1}, raft.HardState{Term: 1}, testEntries(9, 9, 1))).To(gomega.Succeed())
			g.Expect(w.logFile.Close()).To(gomega.Succeed())
		},
		"the snapshot cannot be replaced": func(g *gomega.WithT, w *WAL) {
			blocked := w.path(snapshotFileName + ".new")
			g.Expect(os.Mkdir(blocked, 0o755)).To(gomega.Succeed())
			g.Expect(w.Reset(raft.Snapshot{Index: 8, Term: 1}, raft.HardState{Term: 1}, testEntries(9, 9, 1))).NotTo(gomega.Succeed())
			g.Expect(os.Remove(blocked)).To(gomega.Succeed())
			g.Expect(w.logFile.Close()).To(gomega.Succeed())
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := writeTestLog(t)
			w, before, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			refuse(g, w)
			failed := raft.Ready{State: &raft.HardState{Term: 2, Vote: "a"}, Entries: testEntries(10, 11, 2)}
			g.Expect(w.Save(&failed)).NotTo(gomega.Succeed())
			entries := append(before.Entries[:len(before.Entries):len(before.Entries)], testEntries(10, 12, 2)...)
			st := raft.HardState{Term: 2, Vote: "a", Commit: 9}
			g.Expect(w.Reset(raft.Snapshot{Index: 1, Term: 1}, st, entries)).To(gomega.Succeed())
			g.Expect(w.Save(&raft.Ready{Entries: testEntries(13, 13, 2)})).To(gomega.Succeed())
			w.Close()
			_, got, err := Open(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.State).To(gomega.Equal(st))
			g.Expect(got.Entries).To(gomega.Equal(append(entries, testEntries(13, 13, 2)...)))
		})
	}
}
