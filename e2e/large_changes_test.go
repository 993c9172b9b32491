package e2e

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// largeChanges is the number of changes of TestLargeChangesTakeBoundedMemory. Longer runs:
// go test ./e2e -run LargeChanges -args -large-changes 1000.
var largeChanges = flag.Int("large-changes", 300, "number of large changes of the settings")

const (
	// largeKinds is the number of request kinds that a large change sets anew.
	largeKinds = 350
	// largeKindPadding is the length, in bytes, of what makes a document of them some 60 kB large.
	largeKindPadding = 60
	// maxPeakBytes bounds the memory of each process.
	maxPeakBytes = 150 << 20
	// maxReadTime bounds how long operators wait for the current settings, also after the loss of
	// the leader.
	maxReadTime = 4 * time.Second
	// roundChanges is the number of changes between two kills, downChanges how many of them are made
	// while the killed replica is down.
	roundChanges = 25
	downChanges  = 10
)

// largeChange returns the entries that move all kinds to another path prefix.
func largeChange(i int) settings.Entries {
	set := settings.Entries{}
	padding := strings.Repeat("p", largeKindPadding)
	for k := range largeKinds {
		scope := fmt.Sprintf("suva/cover-desk/large-%03d", k)
		set[scope+"#path_prefix"] = fmt.Sprintf("/%d/%03d/%s/", i, k, padding)
	}
	return set
}

// peakMemory matches the most memory that a process has had, in kB.
var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakBytes returns the most memory that the running process of a node has had.
func (f *testFleet) peakBytes(n *harness.Node) int {
	f.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	f.noError(err)
	m := peakMemory.FindSubmatch(status)
	f.g.Expect(m).NotTo(gomega.BeNil())
	kb, err := strconv.Atoi(string(m[1]))
	f.noError(err)
	return kb << 10
}

// expectCurrent checks that each running node returns the current settings in time.
func (f *testFleet) expectCurrent(version uint64) {
	f.t.Helper()
	for _, n := range f.Nodes {
		if n.WaitExit(0) {
			continue
		}
		f.g.Eventually(func() (uint64, error) {
			d, err := ctl.NewClient(n.Admin).Settings(true)
			return d.Version, err
		}, maxReadTime, 20*time.Millisecond).Should(gomega.BeNumerically(">=", version), n.Name)
	}
}

// TestLargeChangesTakeBoundedMemory makes large changes while the replicas are killed and
// restarted in turn, and restarts all of them at the end. It guards against replicas whose memory
// grows with the size of the changes, or that cannot read back what their disk has.
func TestLargeChangesTakeBoundedMemory(t *testing.T) {
	f := newFleet(t)
	f.startThreeReplicas()
	f.startNode("suva-a", false)
	peak := map[string]int{}
	measure := func(n *harness.Node) {
		b := f.peakBytes(n)
		peak[n.Name] = max(peak[n.Name], b)
		f.g.Expect(b).To(gomega.BeNumerically("<=", maxPeakBytes), n.Name)
	}
	d, err := ctl.NewClient(f.Nodes[0].Admin).Settings(true)
	f.noError(err)
	version := d.Version
	for i := range *largeChanges {
		victim := f.Nodes[i/roundChanges%3]
		switch i % roundChanges {
		case roundChanges - downChanges:
			measure(victim)
			f.kill(victim)
			f.expectCurrent(version)
		case 0:
			if i > 0 {
				f.noError(f.RestartNode(f.Nodes[(i/roundChanges-1)%3]))
				f.expectCurrent(version)
			}
		}
		c := ctl.NewClient(f.nextNode(i / roundChanges % 3).Admin)
		res := f.retryChange(c, node.ChangeRequest{ID: uuid.NewString(), Base: version, Set: largeChange(i)})
		f.g.Expect(res.Version).To(gomega.Equal(version+1), res.Reason)
		version++
	}
	for _, n := range f.Nodes {
		if !n.WaitExit(0) {
			measure(n)
			f.kill(n)
		}
	}
	for _, n := range f.Nodes {
		f.noError(f.RestartNode(n))
	}
	f.noError(f.AwaitVersion(version, 10*time.Second))
	f.expectCurrent(version)
	for _, n := range f.Nodes {
		measure(n)
	}
	d, err = ctl.NewClient(f.Nodes[0].Admin).Settings(true)
	f.noError(err)
	for k, v := range largeChange(*largeChanges - 1) {
		f.g.Expect(d.Entries).To(gomega.HaveKeyWithValue(k, v))
	}
	t.Logf("%d changes, most memory of a process by node, in bytes: %v", *largeChanges, peak)
}
