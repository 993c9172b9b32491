package node

import (
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestAllGroupsAreFormedAfterAFailedAttempt guards against a fleet without a group for its
// idempotency keys: an attempt that fails between two groups must not look complete.
func TestAllGroupsAreFormedAfterAFailedAttempt(t *testing.T) {
	for failing := range 3 {
		g := gomega.NewWithT(t)
		var full atomic.Bool
		full.Store(true)
		opened := 0
		n := startNode(t, "a", nil, func(o *Options) {
			o.DataFolder, o.Replicas, o.Shards = t.TempDir(), 1, 2
			o.wrapLog = func(log replicaLog) replicaLog {
				opened++
				if opened-1 == failing {
					return &refusingLog{log, &full}
				}
				return log
			}
		})
		g.Expect(n.replicas.formGroups()).NotTo(gomega.Succeed(), "group %d has a full disk", failing)
		full.Store(false)
		g.Expect(n.replicas.formGroups()).To(gomega.Succeed(), "group %d", failing)
		for _, group := range n.replicas.groups {
			g.Eventually(group.leads.Load, "5s").Should(gomega.BeTrue(), "group %d, failed %d", group.id, failing)
		}
	}
}
