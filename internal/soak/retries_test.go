package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/harness"
)

// The check of retries must report repeats beyond the ratio and the bursts, and none within.
func TestRetryCheckReportsViolations(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	const requests, starts = 200, 3
	for repeats, broken := range map[int]int{0: 0, requests/5 + starts: 0, requests/5 + starts + 1: 1} {
		r := &soakRun{callers: &callers{}, fleet: &fleet{members: []*member{{Node: &harness.Node{}, processStarts: starts}}}}
		var arrived []time.Time
		for i := range requests {
			at := start.Add(time.Duration(i) * frontRetryWindow / (2 * requests))
			r.callers.attempts = append(r.callers.attempts, attempt{id: fmt.Sprint(i), sentAt: at})
			if i < repeats {
				arrived = append(arrived, at)
			}
		}
		r.checkRepeats(arrived)
		g.Expect(r.violations).To(gomega.HaveLen(broken), fmt.Sprint(repeats))
	}
}
