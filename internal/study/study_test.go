package study

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against results that differ for the same seed, undetected losses, and false
// deaths.
func TestRunIsDeterministicAndDetectsLosses(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{Members: 24, Seed: 3, Loss: 0.01}
	f := Run(o)
	t.Logf("%+v", f)
	g.Expect(Run(o)).To(gomega.Equal(f))
	g.Expect(f.FalseDeathsPerHour).To(gomega.BeZero())
	g.Expect(f.FullDetectionTime.Max).To(gomega.BeNumerically("<", lossInterval))
	g.Expect(f.SettingsPropagationTime.Max).To(gomega.BeNumerically("<", 2*time.Second))
}
