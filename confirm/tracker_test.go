package confirm

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A confirmation of a version that the node lacks must not make its own version count as
// confirmed before it is replaced.
func TestConfirmationOfNewerVersionWaitsForIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var tr Tracker
	tr.Record(Confirmation{At: 1, Version: 5}, 5)
	tr.Record(Confirmation{At: 3, Version: 7}, 5)
	g.Expect(tr.ConfirmedAt()).To(gomega.Equal(time.Duration(1)))
	tr.Activate(6)
	g.Expect(tr.ConfirmedAt()).To(gomega.Equal(time.Duration(1)))
	tr.Activate(8)
	g.Expect(tr.ConfirmedAt()).To(gomega.Equal(time.Duration(3)))
	tr.Record(Confirmation{At: 2, Version: 8}, 8)
	g.Expect(tr.ConfirmedAt()).To(gomega.Equal(time.Duration(3)), "an earlier confirmation")
}

// At the time of a confirmation, nothing newer than the active version may have been accepted,
// whatever the order in which confirmations and versions arrive.
func TestConfirmedVersionWasTheNewest(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 7))
	for range 500 {
		acceptedAt := []time.Duration{0} // by version
		var tr Tracker
		var active uint64
		var late []Confirmation
		for now := time.Duration(1); now < 200; now++ {
			if rng.IntN(4) == 0 {
				acceptedAt = append(acceptedAt, now)
			}
			newest := uint64(len(acceptedAt) - 1)
			late = append(late, Confirmation{now, newest + uint64(rng.IntN(2))})
			if rng.IntN(2) == 0 {
				i := rng.IntN(len(late))
				tr.Record(late[i], active)
			}
			if rng.IntN(3) == 0 && active < newest {
				active += 1 + rng.Uint64N(newest-active)
				tr.Activate(active)
			}
			if at := tr.ConfirmedAt(); at > 0 && active < newest {
				g.Expect(acceptedAt[active+1]).To(gomega.BeNumerically(">", at))
			}
		}
	}
}
