package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/settings"
)

// A caller refused for overload must be told to retry within half of its latency
// objective, at any admission level; without an instance, after at least a second.
func TestRetryAfterIsBoundedByObjective(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, objective := range []time.Duration{150 * time.Millisecond, 1500 * time.Millisecond, time.Minute} {
		c := &call{policy: &settings.Policy{ObjectiveWithin: objective}}
		for level := rank.Level(0); level < rank.Count; level += 64 {
			for range 50 {
				retryAfter := c.refusal(fault.Overload, "", level).RetryAfter
				g.Expect(retryAfter).To(gomega.BeNumerically(">", 0))
				g.Expect(retryAfter).To(gomega.BeNumerically("<=", objective/2))
				g.Expect(retryAfter).To(gomega.BeNumerically("<=", 3*retry.MaxRetryAfter/2))
			}
		}
		retryAfterNoInstance := c.refusal(fault.NoBackend, "", rank.Count/2).RetryAfter
		g.Expect(retryAfterNoInstance).To(gomega.BeNumerically(">=", time.Second))
	}
}
