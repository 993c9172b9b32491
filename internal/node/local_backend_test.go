package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
)

// Guards against failing requests when the local backend server no longer accepts connections:
// they were not executed, and may be retried for every request kind.
func TestEntryRetriesElsewhereWhenLocalBackendIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startNode(t, "a", nil, nil)
	other := startNode(t, "a", []string{entry.opt.Control}, nil)
	const doc = "[fleet.f.service.s]\nretry_ratio = 1.0\n[fleet.f.service.s.kind.k]\nretry_budget = 3"
	useSettings(t, doc, entry, other)
	kinds := map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond, ResponseBytes: 64}}
	own := startStandin(t, entry, "f/s", 4, kinds)
	startStandin(t, other, "f/s", 4, kinds)
	entry.awaitInstances("f/s", 2)
	own.Stop()
	for range 30 {
		r := entry.call("f/s/k", "", nil, nil)
		g.Expect(r.status).To(gomega.Equal(200), r.body)
	}
}
