package node

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
	"github.com/umberthread/umberthread/internal/wal"
)

const testDataFolder = "/srv/data"

// testOptions returns the options of a node that is not started.
func testOptions() Options {
	o := DefaultOptions()
	o.Name, o.Domain = "a-1", "a"
	o.HTTP, o.Data, o.Control, o.Admin = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	return o
}

// openTestReplicas opens a data folder on a disk as a starting node does.
func openTestReplicas(d *disktest.Disk, logger log.Logger) (*replicas, error) {
	o := testOptions()
	o.DataFolder, o.disk = testDataFolder, d
	n, err := New(o, logger)
	if err != nil {
		return nil, err
	}
	return n.replicas, nil
}

// formedDisk returns a disk of a replica that has formed its groups, and its identity. All names
// in its folders are durable.
func formedDisk(g *gomega.WithT) (*disktest.Disk, string) {
	d := disktest.New()
	g.Expect(d.MkdirAll(testDataFolder)).To(gomega.Succeed())
	r, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	formTestGroups(g, r)
	for _, path := range []string{"/", "/srv", testDataFolder} {
		g.Expect(d.SyncFolder(path)).To(gomega.Succeed())
	}
	return d, r.id
}

// formTestGroups forms the groups of replicas that have not been started.
func formTestGroups(g *gomega.WithT, r *replicas) {
	var wg sync.WaitGroup
	for _, group := range r.groups {
		r.node.startTask("log writer", func() { group.writer.run(r.node.stop) })
		wg.Add(1)
		go func() {
			defer wg.Done()
			(<-group.inbox.C())()
		}()
	}
	g.Expect(r.formGroups()).To(gomega.Succeed())
	wg.Wait()
	close(r.node.stop)
	r.node.wg.Wait()
}

// damagedFolders returns the names of the folders that were set aside.
func damagedFolders(g *gomega.WithT, d *disktest.Disk) []string {
	names, err := d.List(testDataFolder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var out []string
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			out = append(out, name)
		}
	}
	return out
}

// Guards against taking a sound disk that refuses a call at the start for a lost one. The start
// tries again.
func TestRefusedCallAtStartSetsNothingAside(t *testing.T) {
	g := gomega.NewWithT(t)
	formed, id := formedDisk(g)
	for refused, reached := 0, true; reached; refused++ {
		d := formed.LoseUnsynced()
		calls := 0
		d.Refuse(func(disktest.Call) error {
			calls++
			if calls == refused+1 {
				return syscall.EMFILE
			}
			return nil
		})
		r, err := openTestReplicas(d, log.NewNopLogger())
		reached = calls > refused
		d.Refuse(nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "call %d", refused)
		g.Expect(r.id).To(gomega.Equal(id), "call %d", refused)
		g.Expect(r.groups).To(gomega.HaveLen(r.node.opt.Shards + 1))
		g.Expect(r.groups[configGroup].core.Conf().IsVoter(id)).To(gomega.BeTrue(), "call %d", refused)
		g.Expect(damagedFolders(g, d)).To(gomega.BeEmpty(), "call %d", refused)
	}
}

// Guards against a start on a full disk that leaves half of a data folder, or never ends.
func TestStartOnFullDiskFailsWithinBound(t *testing.T) {
	g := gomega.NewWithT(t)
	d := disktest.New()
	d.Refuse(func(c disktest.Call) error {
		if c.Name == "Write" {
			return syscall.ENOSPC
		}
		return nil
	})
	var lines bytes.Buffer
	begun := time.Now()
	_, err := openTestReplicas(d, log.NewLogfmtLogger(&lines))
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.DiskRefused))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", openRetryTime, time.Second))
	g.Expect(damagedFolders(g, d)).To(gomega.BeEmpty())
	g.Expect(strings.Count(lines.String(), "level=warn")).To(gomega.Equal(1), lines.String())

	d.Refuse(nil)
	r, err := openTestReplicas(d, log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.groups).To(gomega.HaveLen(r.node.opt.Shards + 1))
}

// newTestReplicas returns replicas whose data folder on a disk is not open yet.
func newTestReplicas(g *gomega.WithT, d *disktest.Disk) *replicas {
	n, err := New(testOptions(), log.NewNopLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.opt.DataFolder, n.opt.disk = testDataFolder, d
	n.replicas.node = n
	return n.replicas
}

// Guards against an identity that outlives its groups: a replica would vote and confirm entries
// again as if it had never done so. Nor may the whole folder be lost.
func TestFormedGroupsSurvivePowerLoss(t *testing.T) {
	for name, exists := range map[string]bool{"folder that the start created": false, "folder that existed": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := disktest.New()
			if exists {
				g.Expect(d.MkdirAll(testDataFolder)).To(gomega.Succeed())
				g.Expect(d.SyncFolder("/")).To(gomega.Succeed())
				g.Expect(d.SyncFolder("/srv")).To(gomega.Succeed())
			}
			first, err := openTestReplicas(d, log.NewNopLogger())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			formTestGroups(g, first)
			d = d.LoseUnsynced()
			second, err := openTestReplicas(d, log.NewNopLogger())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(second.id).To(gomega.Equal(first.id))
			for _, group := range second.groups {
				g.Expect(group.core.Conf().IsVoter(first.id)).To(gomega.BeTrue(), "group %d", group.id)
			}
			g.Expect(damagedFolders(g, d)).To(gomega.BeEmpty())
		})
	}
}

// Guards against a first start that was cut off, at any call to the disk, and leaves a folder
// that counts as damaged, or an identity that the next loss of power takes away.
func TestFirstStartCutOffLeavesSoundFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	const mixes = 20
	r := rand.New(rand.NewPCG(1, 1))
	for stop, ended := 0, false; !ended; stop++ {
		for mix := range mixes {
			d := disktest.New()
			d.StopAfter(stop)
			first := newTestReplicas(g, d)
			ended = first.openOrSetAside() == nil
			if mix == 0 {
				d.Resume()
			} else {
				d = d.PowerLoss(r)
			}
			second := newTestReplicas(g, d)
			g.Expect(second.openOrSetAside()).To(gomega.Succeed())
			if ended {
				g.Expect(second.id).To(gomega.Equal(first.id))
			}
			formTestGroups(g, second)
			d = d.PowerLoss(r)
			third := newTestReplicas(g, d)
			g.Expect(third.openOrSetAside()).To(gomega.Succeed())
			g.Expect(third.id).To(gomega.Equal(second.id))
			for _, group := range third.groups {
				g.Expect(group.core.Conf().IsVoter(third.id)).To(gomega.BeTrue(), "call %d, group %d", stop, group.id)
			}
			g.Expect(damagedFolders(g, d)).To(gomega.BeEmpty(), "call %d", stop)
		}
	}
}

// damageSnapshot overwrites the snapshot of a group.
func damageSnapshot(g *gomega.WithT, d *disktest.Disk, group int) {
	dir := d.Folder(testDataFolder).Folder(groupFolder(group))
	g.Expect(dir.ReplaceFile("snapshot", []byte("damaged"))).To(gomega.Succeed())
}

// Guards against a damaged folder that is set aside in part: the old identity without its groups,
// or a group of the old identity under the new one. The starts are cut off at any call to the
// disk, several in a row.
func TestSettingAsideThatIsCutOffMixesNoIdentities(t *testing.T) {
	g := gomega.NewWithT(t)
	const mixes, cutStarts = 8, 3
	formed, oldID := formedDisk(g)
	groups := DefaultOptions().Shards + 1
	r := rand.New(rand.NewPCG(1, 1))
	for damaged := range groups {
		for stop, ended := 0, false; !ended; stop++ {
			for range mixes {
				d := formed.LoseUnsynced()
				damageSnapshot(g, d, damaged)
				after := stop
				for cut := range cutStarts {
					d.StopAfter(after)
					done := newTestReplicas(g, d).openOrSetAside() == nil
					if cut == 0 {
						ended = done
					}
					if r.IntN(3) == 0 {
						d.Resume()
					} else {
						d = d.PowerLoss(r)
					}
					after = r.IntN(2 * (stop + 1))
				}
				last := newTestReplicas(g, d)
				g.Expect(last.openOrSetAside()).To(gomega.Succeed())
				g.Expect(last.id).NotTo(gomega.Equal(oldID), "call %d", stop)
				for _, group := range last.groups {
					g.Expect(group.core.Conf().Voters).To(gomega.BeEmpty(), "call %d, group %d", stop, group.id)
				}
				if !ended {
					continue
				}
				for _, name := range []string{identityFile, groupFolder(0), groupFolder(groups - 1)} {
					g.Expect(setAside(g, d, name)).To(gomega.BeTrue(), name)
				}
			}
		}
	}
}

// setAside reports whether a name is in one of the folders that were set aside.
func setAside(g *gomega.WithT, d *disktest.Disk, name string) bool {
	for _, folder := range damagedFolders(g, d) {
		names, err := d.Folder(testDataFolder).Folder(folder).Names()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if slices.Contains(names, name) {
			return true
		}
	}
	return false
}

// Guards against a downgrade that, restarted node by node, sets every sound disk aside: a start
// that cannot read the format of a snapshot ends and leaves the folder as it is.
func TestSnapshotOfUnknownFormatIsNotSetAside(t *testing.T) {
	for id := range DefaultOptions().Shards + 1 {
		g := gomega.NewWithT(t)
		d, identity := formedDisk(g)
		w, loaded, err := wal.OpenFolder(d.Folder(testDataFolder).Folder(groupFolder(id)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		later := loaded.Snapshot
		later.Data = []byte("a format of a later version")
		g.Expect(w.Reset(later, loaded.State, loaded.Entries)).To(gomega.Succeed())
		begun := time.Now()
		_, err = openTestReplicas(d, log.NewNopLogger())
		g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.UnknownFormat), "group %d: %v", id, err)
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", openRetryTime), "trying again does not help")
		g.Expect(damagedFolders(g, d)).To(gomega.BeEmpty(), "group %d", id)

		g.Expect(w.Reset(loaded.Snapshot, loaded.State, loaded.Entries)).To(gomega.Succeed())
		r, err := openTestReplicas(d, log.NewNopLogger())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.id).To(gomega.Equal(identity))
	}
}
