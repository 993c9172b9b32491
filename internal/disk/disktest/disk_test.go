package disktest

import (
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/disk"
)

// writeFile writes a file, and syncs it if sync is set.
func writeFile(g *gomega.WithT, f disk.Folder, name, data string, sync bool) {
	w, err := f.OpenFile(f.Join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = w.Write([]byte(data))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if sync {
		g.Expect(w.Sync()).To(gomega.Succeed())
	}
}

// Guards against tests on a disk that keeps more than a real one, or loses what it must keep.
func TestPowerLossKeepsOnlyWhatWasSynced(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	dir := d.Folder("/data")
	g.Expect(dir.Create()).To(gomega.Succeed())
	g.Expect(d.Folder("/").Sync()).To(gomega.Succeed())
	writeFile(g, dir, "synced", "first", true)
	g.Expect(dir.ReplaceFile("replaced", []byte("first"))).To(gomega.Succeed())
	writeFile(g, dir, "unsynced", "first", false)
	g.Expect(dir.Folder("lost").Create()).To(gomega.Succeed())
	writeFile(g, dir.Folder("lost"), "synced", "first", true)
	writeFile(g, dir, "synced", "second", false)
	g.Expect(dir.Rename(dir.Join("replaced"), dir.Join("renamed"))).To(gomega.Succeed())

	lost := d.LoseUnsynced().Folder("/data")
	g.Expect(lost.Names()).To(gomega.Equal([]string{"replaced", "synced"}))
	g.Expect(lost.ReadFile("/data/synced")).To(gomega.Equal([]byte("first")))

	seen := map[string]bool{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		left := d.PowerLoss(r).Folder("/data")
		names, err := left.Names()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, name := range names {
			seen[name] = true
		}
		data, err := left.ReadFile("/data/synced")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seen[string(data)] = true
	}
	for _, want := range []string{"unsynced", "replaced", "renamed", "lost", "first", "second", "", "sec", "\x00\x00\x00ond", "firstd"} {
		g.Expect(seen).To(gomega.HaveKey(want), "%q", want)
	}
}

// Guards against a partial file that takes the last free bytes of a full disk from other writes,
// and against the loss of the file that was to be replaced.
func TestRefusedReplacementLeavesNoPartialFile(t *testing.T) {
	for _, refused := range []string{"Write", "Sync", "Rename"} {
		g := gomega.NewWithT(t)
		d := New()
		dir := d.Folder("/data")
		g.Expect(dir.Create()).To(gomega.Succeed())
		g.Expect(dir.ReplaceFile("file", []byte("first"))).To(gomega.Succeed())
		d.Refuse(func(c Call) error {
			if c.Name == refused {
				return syscall.ENOSPC
			}
			return nil
		})
		g.Expect(dir.ReplaceFile("file", []byte("second"))).To(gomega.MatchError(syscall.ENOSPC), refused)
		g.Expect(dir.Names()).To(gomega.Equal([]string{"file"}), refused)
		g.Expect(dir.ReadFile("/data/file")).To(gomega.Equal([]byte("first")), refused)
	}
}

// Guards against a removal that a simulated loss of power keeps before the folder was synced, or
// takes back afterwards.
func TestRemovalIsDurableOnceTheFolderIsSynced(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	dir := d.Folder("/data")
	g.Expect(dir.Create()).To(gomega.Succeed())
	g.Expect(d.Folder("/").Sync()).To(gomega.Succeed())
	g.Expect(dir.ReplaceFile("file", []byte("first"))).To(gomega.Succeed())
	g.Expect(dir.Remove("/data/file")).To(gomega.Succeed())
	g.Expect(dir.Names()).To(gomega.BeEmpty())
	g.Expect(dir.Remove("/data/file")).To(gomega.MatchError(os.ErrNotExist))
	g.Expect(d.LoseUnsynced().Folder("/data").Names()).To(gomega.Equal([]string{"file"}))
	g.Expect(dir.Sync()).To(gomega.Succeed())
	g.Expect(d.LoseUnsynced().Folder("/data").Names()).To(gomega.BeEmpty())
}
