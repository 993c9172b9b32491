package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/raft"
)

// history is what the log must hold: the state after the last call that returned, and the one
// after the call in progress.
type history struct {
	returned, next Contents
	// diverged is set while a snapshot replaces entries that may differ from what it covers.
	diverged bool
}

// crashScript calls a log at random, as a replica does, and records what it must hold.
type crashScript struct {
	rand *rand.Rand
	disk *disktest.Disk
	log  *WAL
	history
}

const crashFolder = "/group-0"

// newCrashDisk returns a disk with an empty folder for a log. Its own name is durable, for
// which callers of OpenFolder see.
func newCrashDisk() *disktest.Disk {
	d := disktest.New()
	_ = d.MkdirAll(crashFolder)
	_ = d.SyncFolder("/")
	return d
}

// open opens the log, without closing the one before, as after a kill.
func (s *crashScript) open() error {
	w, loaded, err := OpenFolder(s.disk.Folder(crashFolder))
	if err != nil {
		return err
	}
	if err := s.check(loaded); err != nil {
		return err
	}
	// What was loaded counts as saved, so it must be durable by now.
	s.log, s.history = w, history{returned: clone(loaded), next: clone(loaded)}
	return nil
}

// clone returns a copy whose entries may be changed.
func clone(c Contents) Contents {
	c.Entries = slices.Clone(c.Entries)
	return c
}

// check returns an error unless the loaded contents hold all that was saved.
func (h *history) check(got Contents) error {
	if tv := termVoteOf(got.State); tv != termVoteOf(h.returned.State) && tv != termVoteOf(h.next.State) {
		return fmt.Errorf("loaded state %+v, saved %+v, in progress %+v", got.State, h.returned.State, h.next.State)
	}
	if at := position(got.Snapshot); at != position(h.returned.Snapshot) && at != position(h.next.Snapshot) {
		return fmt.Errorf("loaded snapshot %v, saved %v, in progress %v", at, position(h.returned.Snapshot), position(h.next.Snapshot))
	}
	entries := positions(got.Entries, 0)
	after := got.Snapshot.Index
	inProgress := position(got.Snapshot) == position(h.next.Snapshot)
	switch {
	case slices.Equal(entries, positions(h.returned.Entries, after)):
	case inProgress && slices.Equal(entries, positions(h.next.Entries, after)):
	case inProgress && h.diverged && len(entries) == 0:
	default:
		return fmt.Errorf("loaded %v after %d, saved %v, in progress %v", entries, after, positions(h.returned.Entries, 0), positions(h.next.Entries, 0))
	}
	return nil
}

// logPosition identifies an entry.
type logPosition struct {
	index, term uint64
	data        string
}

// position returns the position of a snapshot.
func position(s raft.Snapshot) logPosition { return logPosition{s.Index, s.Term, string(s.Data)} }

// positions returns those of the entries with a higher index.
func positions(es []raft.Entry, after uint64) []logPosition {
	var out []logPosition
	for _, e := range es {
		if e.Index > after {
			out = append(out, logPosition{e.Index, e.Term, string(e.Data)})
		}
	}
	return out
}

// last returns the last index of the log.
func (s *crashScript) last() uint64 { return s.next.Snapshot.Index + uint64(len(s.next.Entries)) }

// newEntries returns entries of the current term from an index.
func (s *crashScript) newEntries(from uint64) []raft.Entry {
	var es []raft.Entry
	for i := range 1 + s.rand.Uint64N(3) {
		data := fmt.Sprintf("%0*d", 1+s.rand.IntN(40), s.rand.IntN(1000))
		es = append(es, raft.Entry{Index: from + i, Term: s.next.State.Term, Data: []byte(data)})
	}
	return es
}

// newSnapshot returns a snapshot of the current term.
func (s *crashScript) newSnapshot(index uint64) raft.Snapshot {
	return raft.Snapshot{Index: index, Term: s.next.State.Term, Data: fmt.Append(nil, "snapshot ", s.rand.IntN(1000))}
}

// changeState changes the state in progress and returns it.
func (s *crashScript) changeState() *raft.HardState {
	st := &s.next.State
	switch s.rand.IntN(3) {
	case 0:
		st.Term, st.Vote = st.Term+1, ""
	case 1:
		st.Term, st.Vote = st.Term+1, string(rune('a'+s.rand.IntN(3)))
	default:
		st.Commit = max(st.Commit, s.last())
	}
	out := *st
	return &out
}

// step makes one call.
func (s *crashScript) step() error {
	snapshot := s.next.Snapshot.Index
	var err error
	switch kind := s.rand.IntN(11); {
	case kind < 4:
		r := raft.Ready{Entries: s.newEntries(s.last() + 1)}
		if s.rand.IntN(2) == 0 {
			r.State = s.changeState()
		}
		s.next.Entries = append(s.next.Entries, r.Entries...)
		err = s.log.Save(&r)
	case kind < 5:
		err = s.log.Save(&raft.Ready{State: s.changeState()})
	case kind < 6 && len(s.next.Entries) > 0:
		// Another leader replaces the end of the log.
		s.next.State.Term++
		st := s.next.State
		from := snapshot + 1 + s.rand.Uint64N(s.last()-snapshot)
		r := raft.Ready{State: &st, Entries: s.newEntries(from)}
		s.next.Entries = append(s.next.Entries[:from-snapshot-1], r.Entries...)
		err = s.log.Save(&r)
	case kind < 7 && len(s.next.Entries) > 0:
		// A compaction.
		at := s.rand.IntN(len(s.next.Entries))
		s.next.Snapshot = s.newSnapshot(s.next.Entries[at].Index)
		s.next.Snapshot.Term = s.next.Entries[at].Term
		s.next.Entries = s.next.Entries[at+1:]
		err = s.log.Reset(s.next.Snapshot, s.next.State, slices.Clone(s.next.Entries))
	case kind < 9:
		// A leader sends its snapshot.
		s.diverged = true
		s.next.State.Term++
		st := s.next.State
		s.next.Snapshot = s.newSnapshot(snapshot + 1 + s.rand.Uint64N(s.last()-snapshot+3))
		s.next.Entries = nil
		if s.rand.IntN(2) == 0 {
			s.next.Entries = s.newEntries(s.next.Snapshot.Index + 1)
		}
		snap := s.next.Snapshot
		err = s.log.Save(&raft.Ready{State: &st, Snapshot: &snap, Entries: slices.Clone(s.next.Entries)})
	case kind < 10:
		// The log is written anew, without what was replaced in it.
		err = s.log.Reset(s.next.Snapshot, s.next.State, slices.Clone(s.next.Entries))
	default:
		return s.open()
	}
	if err == nil {
		s.returned, s.diverged = clone(s.next), false
	}
	return err
}

// run opens the log and makes calls until the disk stops the process.
func (s *crashScript) run(steps int) error {
	if err := s.open(); err != nil {
		return err
	}
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

// crash ends the process: it is killed, or the disk loses power.
func (s *crashScript) crash() {
	if s.rand.IntN(4) == 0 {
		s.disk.Resume()
		return
	}
	s.disk = s.disk.PowerLoss(s.rand)
}

// TestCrashesLoseNothingSaved guards against a loss of power or a kill, at any call to the disk
// and several in a row, after which the log lacks something saved or counts as corrupt.
func TestCrashesLoseNothingSaved(t *testing.T) {
	const (
		lives    = 4
		maxSteps = 8
		// mixes is how many losses are tried at each call of the first life.
		mixes = 4
	)
	rapid.Check(t, func(rt *rapid.T) {
		scriptSeed := rapid.Uint64().Draw(rt, "script")
		steps := rapid.IntRange(0, maxSteps).Draw(rt, "steps")
		for stop, ended := 0, false; !ended; stop++ {
			for mix := range uint64(mixes) {
				s := &crashScript{rand: rand.New(rand.NewPCG(scriptSeed, 0)), disk: newCrashDisk()}
				s.disk.StopAfter(stop)
				err := s.run(steps)
				ended = err == nil
				s.rand = rand.New(rand.NewPCG(scriptSeed, 1+mix))
				for life := 1; ; life++ {
					if err != nil && !stopped(err) {
						rt.Fatalf("stop %d, mix %d, life %d: %v", stop, mix, life, err)
					}
					if life > lives {
						break
					}
					s.crash()
					if life < lives {
						s.disk.StopAfter(s.rand.IntN(30))
					}
					err = s.run(s.rand.IntN(maxSteps))
				}
			}
		}
	})
}

// stopped reports whether an error comes from the end of the process.
func stopped(err error) bool { return errors.Is(err, disktest.ErrStopped) }

// TestLoadedRecordsAreDurable guards against confirming entries and a vote that a killed process
// had written but not synced: once Open has returned them, a loss of power must not take them.
func TestLoadedRecordsAreDurable(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newCrashDisk()
	w, _, err := OpenFolder(d.Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.Save(&raft.Ready{State: &raft.HardState{Term: 1, Vote: "a"}, Entries: testEntries(1, 2, 1)})).To(gomega.Succeed())
	d.StopAfter(1)
	g.Expect(stopped(w.Save(&raft.Ready{State: &raft.HardState{Term: 2, Vote: "b"}, Entries: testEntries(3, 4, 2)}))).To(gomega.BeTrue())
	d.Resume()
	_, killed, err := OpenFolder(d.Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(killed.Entries).To(gomega.HaveLen(4))
	_, got, err := OpenFolder(d.LoseUnsynced().Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(killed))
}

// refusedCalls opens the log in turn with each call to the disk refused, until none is.
func refusedCalls(t *testing.T, image *disktest.Disk) {
	g := gomega.NewWithT(t)
	_, want, err := OpenFolder(image.LoseUnsynced().Folder(crashFolder))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for refused, reached := 0, true; reached; refused++ {
		d := image.LoseUnsynced()
		calls := 0
		d.Refuse(func(disktest.Call) error {
			calls++
			if calls == refused+1 {
				return syscall.ENOSPC
			}
			return nil
		})
		_, _, err := OpenFolder(d.Folder(crashFolder))
		reached = calls > refused
		if reached {
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused), "call %d: %v", refused, err)
		}
		d.Refuse(nil)
		_, got, err := OpenFolder(d.Folder(crashFolder))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want), "call %d", refused)
	}
}

// TestRefusedCallsAreNoCorruption guards against taking a disk that is full, or refuses calls for
// another reason, for one that lost data.
func TestRefusedCallsAreNoCorruption(t *testing.T) {
	for name, change := range map[string]func(g *gomega.WithT, d *disktest.Disk, w *WAL){
		"sound": func(*gomega.WithT, *disktest.Disk, *WAL) {},
		"incomplete record": func(g *gomega.WithT, d *disktest.Disk, w *WAL) {
			_, err := w.logFile.Write([]byte{0, 0, 0, 50, 1, 2})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.logFile.Sync()).To(gomega.Succeed())
		},
		"snapshot newer than the log": func(g *gomega.WithT, d *disktest.Disk, w *WAL) {
			const callsToReplaceSnapshot = 5
			d.StopAfter(callsToReplaceSnapshot)
			err := w.Reset(raft.Snapshot{Index: 9, Term: 2}, raft.HardState{Term: 2}, nil)
			g.Expect(stopped(err)).To(gomega.BeTrue())
			d.Resume()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := newCrashDisk()
			w, _, err := OpenFolder(d.Folder(crashFolder))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Reset(raft.Snapshot{Index: 1, Term: 1}, raft.HardState{Term: 1}, testEntries(2, 5, 1))).To(gomega.Succeed())
			change(g, d, w)
			refusedCalls(t, d)
		})
	}
}
