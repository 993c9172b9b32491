package study

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestAStudyFollowsFromItsSeed, notices each lost process, and holds none dead that
// runs.
func TestAStudyFollowsFromItsSeed(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{Members: 24, Seed: 3, Loss: 0.01}
	f := Run(o)
	t.Logf("%+v", f)
	g.Expect(Run(o)).To(gomega.Equal(f))
	g.Expect(f.FalseDeathsPerHour).To(gomega.BeZero())
	g.Expect(f.FullDetectionTime.Max).To(gomega.BeNumerically("<", lossEvery))
	g.Expect(f.SettingsPropagationTime.Max).To(gomega.BeNumerically("<", 2*time.Second))
}
