package node

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// folderBytes returns the size of the files in a folder.
func folderBytes(dir string) int64 {
	var size int64
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := d.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}

// TestLargeChangesAreCompactedBySize guards against a log of few but large changes that fills the disk,
// and the memory after a restart.
func TestLargeChangesAreCompactedBySize(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := startReplicas(t, "a", "b", "c")
	const changes, services, valueBytes, fixedBytes = 40, 350, 500, 4 << 20
	document := settings.Entries{}
	for i := range changes {
		for s := range services {
			document[fmt.Sprintf("fleet.f.service.s%d#health_path", s)] = "/" + strings.Repeat(fmt.Sprint(i%10), valueBytes)
		}
		status, r := nodes[0].proposeChange(fmt.Sprint("large-", i), uint64(i), document)
		g.Expect(status).To(gomega.Equal(200), r.Reason)
	}
	for _, n := range nodes {
		n.awaitConfigVersion(changes)
		var documentBytes int64
		for id, v := range document {
			documentBytes += int64(len(id) + len(v))
		}
		g.Eventually(func() int64 { return folderBytes(n.opt.DataFolder) }, "10s", "50ms").Should(gomega.BeNumerically("<=", 3*documentBytes+fixedBytes))
	}
}
