package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
)

// TestConfirmationOfNewerSettingsIsNotAdopted guards against a node that accepts a revoked key
// for as long as it cannot fetch the settings: what its ledger has confirmed is not what the
// node judges keys by.
func TestConfirmationOfNewerSettingsIsNotAdopted(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, func(o *Options) { o.KeyTrust = Duration{time.Minute} })
	const settings = "[fleet.f.service.s]\n"
	useSettings(t, settings, n)
	confirmed := func(version uint64) bool {
		n.quotas.adoptConfirmation(&control.DemandReply{Confirmed: true, ConfirmedVersion: version}, n.clock())
		return n.quotas.keysTrusted(n.clock())
	}
	g.Expect(confirmed(2)).To(gomega.BeFalse(), "version 2 is confirmed, version 1 in force")
	useSettings(t, settings, n)
	g.Expect(confirmed(2)).To(gomega.BeTrue())
}
