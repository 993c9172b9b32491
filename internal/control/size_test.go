package control

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/quota"
)

// steadySize returns the bytes of a message on a connection that has carried one before.
func steadySize(g *gomega.WithT, message any) int {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	g.Expect(enc.Encode(message)).To(gomega.Succeed())
	b.Reset()
	g.Expect(enc.Encode(message)).To(gomega.Succeed())
	return b.Len()
}

// TestReportOfDemandIsSmall bounds what a node with fifty workspaces in use sends to its
// ledger, and what the ledgers of two domains tell each other of as many.
func TestReportOfDemandIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	req := DemandRequest{Node: "5f0c9a1e77d3b2a4", Domain: "nyarugenge"}
	var reply DemandReply
	var claims ClaimsRequest
	for i := range 50 {
		name, part := fmt.Sprintf("workspace%d", i), 1/float64(i+3)
		req.Workspaces = append(req.Workspaces, name)
		req.Demand = append(req.Demand, 100*part)
		req.Held = append(req.Held, quota.Share{Rate: part, Burst: part / 2})
		reply.Shares = append(reply.Shares, quota.Share{Rate: part, Burst: part / 2})
		claims.Claims = append(claims.Claims, quota.Claim{Workspace: name, Demand: 100 * part, Fraction: part})
	}
	report, shares, told := steadySize(g, req), steadySize(g, reply), steadySize(g, claims)
	t.Logf("report %d B, shares %d B, claims %d B", report, shares, told)
	g.Expect(report).To(gomega.BeNumerically("<", 50*48))
	g.Expect(shares).To(gomega.BeNumerically("<", 50*24))
	g.Expect(told).To(gomega.BeNumerically("<", 50*36))
}
