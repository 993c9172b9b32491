package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/settings"
)

// Refusals come in the same moments as attempts that end without a response, and must not take
// their lines.
func TestUnansweredAttemptIsLoggedAmongRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	n := startLoggingNode(t, log.NewLogfmtLogger(log.NewSyncWriter(&out)), "a", nil, nil)
	c := &call{id: "sent", target: "f/s/read", policy: &settings.Policy{Idempotent: true}, scope: scope.New(time.Now().Add(time.Second))}
	for range 2 * notableLinesPerSecond {
		n.logFailedPeerRequest(&call{id: "refused", scope: c.scope}, fault.New(fault.Draining, "refused"))
	}
	n.recordUnanswered(c, hopServer, "10.0.0.1:80", time.Now(), fault.New(fault.BackendLost, "reset").WithUnknownExecution())
	n.recordUnanswered(c, hopPeer, "10.0.0.1:80", time.Now(), fault.New(fault.PeerLost, "refused connection"))
	g.Expect(out.String()).To(gomega.ContainSubstring("id=sent"))
	g.Expect(out.String()).To(gomega.MatchRegexp(`part=server msg="Ended an attempt without a response." id=sent .*reason=backend-lost waited_ms=\d+ remaining_ms=\d+ idempotent=true stopping=false`))
	g.Expect(n.Status().Unanswered).To(gomega.Equal(map[string]int64{"server/backend-lost": 1}), "one was certainly not executed")
}
