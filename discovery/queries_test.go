package discovery

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/gossip"
)

const (
	// queryCountTime is for how long queries are counted.
	queryCountTime = 10 * time.Second
	// maxQueryRate bounds the queries per second of an undisturbed node.
	maxQueryRate = 1.5
)

// queryRate returns the queries per second and node in an undisturbed cluster.
func (s *lateScenario) queryRate() float64 {
	before := s.queriesSent
	s.run(queryCountTime)
	return float64(s.queriesSent-before) / queryCountTime.Seconds() / float64(len(s.nodes))
}

// TestUndisturbedNodesAskRarely checks how often nodes ask for a confirmation, without changes and
// with four changes a second, which carry confirmations.
func TestUndisturbedNodesAskRarely(t *testing.T) {
	g := gomega.NewWithT(t)
	size := len(gossip.EncodePacket(gossip.Packet{Kind: gossip.Query, From: "0123456789abcdef", Seq: 1 << 20, Config: 1 << 20, ConfigAge: 1000}))
	for _, nodesPerDomain := range []int{5, 30} {
		s := newLateScenario(1, nodesPerDomain)
		calm := s.queryRate()
		for at := changeInterval; at < queryCountTime; at += changeInterval {
			s.after(at, s.change)
		}
		changing := s.queryRate()
		t.Logf("%d nodes a domain: %.2f queries a second and node without changes, %.2f with; %d bytes each way", nodesPerDomain, calm, changing, size)
		g.Expect(calm).To(gomega.BeNumerically("<=", maxQueryRate))
		g.Expect(changing).To(gomega.BeNumerically("<=", maxQueryRate))
	}
}
