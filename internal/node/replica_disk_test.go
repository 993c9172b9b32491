package node

import (
	"bytes"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk/disktest"
)

const testDataFolder = "/srv/data"

// openTestReplicas opens a data folder on a disk as a starting node does.
func openTestReplicas(d *disktest.Disk, logger log.Logger) (*replicas, error) {
	o := DefaultOptions()
	o.Name, o.Domain = "a-1", "a"
	o.HTTP, o.Data, o.Control, o.Admin = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
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
