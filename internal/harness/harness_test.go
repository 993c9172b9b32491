package harness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an exited process that counts as running: a check without a wait then asks it
// until its time is up.
func TestExitedProcessIsSeenWithoutAWait(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Fleet{Dir: t.TempDir(), Bin: "/bin"}
	p, err := f.startProcess("exits", "true")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.WaitExit(10 * time.Second)).To(gomega.BeTrue())
	for range 100 {
		g.Expect(p.WaitExit(0)).To(gomega.BeTrue())
	}
}
