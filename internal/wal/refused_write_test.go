package wal

import (
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
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

// refuseNth makes a disk refuse the nth call of a name, counted from 0, and returns whether it
// has.
func refuseNth(d *disktest.Disk, name string, nth int) func() bool {
	n := 0
	d.Refuse(func(c disktest.Call) error {
		if c.Name != name {
			return nil
		}
		n++
		if n == nth+1 {
			return syscall.EIO
		}
		return nil
	})
	return func() bool { return n > nth }
}

// changeNames are the names of the calls by which a log changes the disk.
var changeNames = []string{"OpenFile", "Read", "Write", "Truncate", "Sync", "Rename", "Remove", "SyncFolder"}

// afterEachRefusedCall runs a write on a log of 8 entries with each of its calls to the disk
// refused in turn, and then check, with a disk that refuses nothing.
func afterEachRefusedCall(t *testing.T, write func(w *WAL) error, check func(g *gomega.WithT, d *disktest.Disk, w *WAL)) {
	g := gomega.NewWithT(t)
	failed := 0
	for _, name := range changeNames {
		for nth, reached := 0, true; reached; nth++ {
			d := newCrashDisk()
			w, _, err := OpenFolder(d.Folder(crashFolder))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Save(&raft.Ready{State: &raft.HardState{Term: 1}, Entries: testEntries(1, 8, 1)})).To(gomega.Succeed())
			refused := refuseNth(d, name, nth)
			err = write(w)
			reached = refused()
			d.Refuse(nil)
			if !reached {
				break
			}
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused), "%s %d", name, nth)
			failed++
			check(g, d, w)
		}
	}
	g.Expect(failed).To(gomega.BeNumerically(">", 0))
}

// TestNoSaveSucceedsAfterARefusedWrite guards against confirming an entry or a vote that is
// written to a log that a rename has replaced, or behind a record that was written in part: the
// next start does not find it.
func TestNoSaveSucceedsAfterARefusedWrite(t *testing.T) {
	for name, write := range map[string]func(w *WAL) error{
		"reset": func(w *WAL) error {
			return w.Reset(raft.Snapshot{Index: 6, Term: 1}, raft.HardState{Term: 1}, testEntries(7, 8, 1))
		},
		"save": func(w *WAL) error { return w.Save(&raft.Ready{Entries: testEntries(9, 9, 1)}) },
	} {
		t.Run(name, func(t *testing.T) {
			afterEachRefusedCall(t, write, func(g *gomega.WithT, d *disktest.Disk, w *WAL) {
				next := raft.Ready{State: &raft.HardState{Term: 2, Vote: "a"}, Entries: testEntries(9, 9, 2)}
				g.Expect(fault.CodeOf(w.Save(&next))).To(gomega.Equal(fault.DiskRefused))
				commit := raft.Ready{State: &raft.HardState{Term: 1, Commit: 8}}
				g.Expect(fault.CodeOf(w.Save(&commit))).To(gomega.Equal(fault.DiskRefused))
				st := raft.HardState{Term: 2, Vote: "a"}
				g.Expect(w.Reset(raft.Snapshot{Index: 6, Term: 1}, st, testEntries(7, 8, 1))).To(gomega.Succeed())
				g.Expect(w.Save(&raft.Ready{Entries: testEntries(9, 9, 2)})).To(gomega.Succeed())
				_, got, err := OpenFolder(d.LoseUnsynced().Folder(crashFolder))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got.State).To(gomega.Equal(st))
				g.Expect(got.Entries).To(gomega.Equal(append(testEntries(7, 8, 1), testEntries(9, 9, 2)...)))
			})
		})
	}
}

// createTestLog refuses the nth call of a name while a group is created on a disk whose log has a
// vote, and returns whether the disk has refused it.
func createTestLog(g *gomega.WithT, name string, nth int) (d *disktest.Disk, w *WAL, refused bool, err error) {
	d = newCrashDisk()
	w, _, err = OpenFolder(d.Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for term := uint64(1); term <= testVote.Term; term++ {
		g.Expect(w.Save(&raft.Ready{State: &raft.HardState{Term: term, Vote: testVote.Vote}})).To(gomega.Succeed())
	}
	hasRefused := refuseNth(d, name, nth)
	err = w.Create(raft.InitialSnapshot(raft.Peer{ID: "a"}, nil), raft.HardState{Term: 1, Commit: 1})
	refused = hasRefused()
	d.Refuse(nil)
	return d, w, refused, err
}

// testVote is a vote that a replica gave before a group was created on it.
var testVote = raft.HardState{Term: 5, Vote: "b"}

// TestRefusedCreateLeavesNoGroup guards against a group that comes to life by a restart although
// its creation was refused: another node may have formed one meanwhile. Nor may the attempt lose a
// vote or look like a damaged disk.
func TestRefusedCreateLeavesNoGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	failed := 0
	for _, name := range changeNames {
		for nth := 0; ; nth++ {
			d, w, refused, err := createTestLog(g, name, nth)
			if !refused {
				break
			}
			failed++
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused), "%s %d", name, nth)
			g.Expect(fault.From(err).Execution).NotTo(gomega.Equal(fault.ExecutionUnknown), "%s %d", name, nth)
			for _, image := range []*disktest.Disk{d.LoseUnsynced(), d} {
				_, got, err := OpenFolder(image.Folder(crashFolder))
				g.Expect(err).NotTo(gomega.HaveOccurred(), "%s %d", name, nth)
				g.Expect(got.Snapshot.Conf.Voters).To(gomega.BeEmpty(), "%s %d", name, nth)
				g.Expect(got.State).To(gomega.Equal(testVote), "%s %d", name, nth)
			}
			g.Expect(w.Create(raft.InitialSnapshot(raft.Peer{ID: "a"}, nil), raft.HardState{Term: 1, Commit: 1})).To(gomega.Succeed())
			_, got, err := OpenFolder(d.LoseUnsynced().Folder(crashFolder))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Snapshot.Conf.Voters).To(gomega.HaveLen(1), "%s %d", name, nth)
		}
	}
	g.Expect(failed).To(gomega.BeNumerically(">", 5))
}

// TestCreateTellsWhenItsOutcomeIsUnknown guards against a refusal that sounds final while a restart
// brings the group to life, on a disk that refuses all calls from one on.
func TestCreateTellsWhenItsOutcomeIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	unknown := 0
	for stop, ended := 0, false; !ended; stop++ {
		d := newCrashDisk()
		w, _, err := OpenFolder(d.Folder(crashFolder))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d.StopAfter(stop)
		err = w.Create(raft.InitialSnapshot(raft.Peer{ID: "a"}, nil), raft.HardState{Term: 1, Commit: 1})
		ended = err == nil
		d.Resume()
		if ended || fault.From(err).Execution == fault.ExecutionUnknown {
			unknown++
			continue
		}
		for _, image := range []*disktest.Disk{d.LoseUnsynced(), d} {
			_, got, err := OpenFolder(image.Folder(crashFolder))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Snapshot.Conf.Voters).To(gomega.BeEmpty(), "stop %d", stop)
		}
	}
	g.Expect(unknown).To(gomega.BeNumerically(">", 1))
}
