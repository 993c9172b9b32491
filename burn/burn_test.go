package burn

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

func TestOldRequestsLeaveWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewTracker()
	start := time.Unix(1_790_000_000, 0)
	for i := range 600 {
		code := fault.None
		if i%10 == 0 {
			code = fault.Overload
		}
		b.Record("f/s/k", start.Add(time.Duration(i)*time.Second), code == fault.None, code)
	}
	k := b.Report(start.Add(600 * time.Second))[0]
	g.Expect(k.Counts[0].Total).To(gomega.BeNumerically("~", 60, 10))
	g.Expect(k.Counts[2].Total).To(gomega.Equal(uint64(600)))
	g.Expect(k.Counts[2].BurnRate(0.99)).To(gomega.BeNumerically("~", 10, 0.01))
	g.Expect(k.FailuresByCode).To(gomega.Equal(map[string]int64{"overload": 60}))
	later := b.Report(start.Add(2 * time.Hour))[0]
	g.Expect(later.Counts[2].Total).To(gomega.BeZero())
	g.Expect(later.Counts[3].Total).To(gomega.Equal(uint64(600)))
}
