package node

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/wal"
	"github.com/umberthread/umberthread/raft"
)

// Guards against a drill that writes part of a refused write, or refuses writes after its end.
func TestRefusedWritesLeaveTheDiskUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	dir, file := t.TempDir(), filepath.Join(t.TempDir(), "full")
	disk, _, err := wal.Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	log := &fullDiskLog{disk, file}
	save := func(index uint64) error {
		return log.Save(&raft.Ready{State: &raft.HardState{Term: 1}, Entries: []raft.Entry{{Index: index, Term: 1}}})
	}
	g.Expect(save(1)).To(gomega.Succeed())
	g.Expect(os.WriteFile(file, nil, 0o600)).To(gomega.Succeed())
	g.Expect(save(2)).To(gomega.MatchError(syscall.ENOSPC))
	g.Expect(log.Reset(raft.Snapshot{Index: 9, Term: 9}, raft.HardState{Term: 9}, nil)).To(gomega.MatchError(syscall.ENOSPC))
	g.Expect(os.Remove(file)).To(gomega.Succeed())
	g.Expect(save(2)).To(gomega.Succeed())
	log.Close()
	_, loaded, err := wal.Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.State.Term).To(gomega.Equal(uint64(1)))
	g.Expect(loaded.Entries).To(gomega.HaveLen(2))
}
