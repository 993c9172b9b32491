package intake

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A crowd of bodies that stop short of their end is replayed beside proper uploads of a tenth of a
// second: only connections of the crowd are evicted.
func TestCrowdIsEvictedBesideProperUploads(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		limit, body = 32 << 20, 1 << 20
		upload      = 360 << 10
		crowdGap    = 2 * time.Millisecond
		uploadEvery = 25
		uploadTime  = 100 * time.Millisecond
	)
	type connection struct {
		Sender
		proper bool
	}
	var open []connection
	used, uploads := int64(0), 0
	for step := range 5000 {
		now := time.Duration(step) * crowdGap
		kept := open[:0]
		for _, c := range open {
			if c.proper && now-c.Since >= uploadTime {
				used -= c.Held
				uploads++
				continue
			}
			kept = append(kept, c)
		}
		next := connection{Sender: Sender{Held: body, Since: now}}
		if step%uploadEvery == 0 {
			next = connection{Sender{Held: upload, Since: now}, true}
		}
		open = append(kept, next)
		used += next.Held
		senders := make([]Sender, len(open))
		for i, c := range open {
			senders[i] = c.Sender
		}
		victims := map[int]bool{}
		for _, v := range Victims(senders, used-limit, now) {
			g.Expect(open[v].proper).To(gomega.BeFalse(), "a proper upload is evicted")
			victims[v] = true
		}
		remaining := open[:0]
		for i, c := range open {
			if victims[i] {
				used -= c.Held
				continue
			}
			remaining = append(remaining, c)
		}
		open = remaining
		g.Expect(used).To(gomega.BeNumerically("<=", limit))
	}
	g.Expect(uploads).To(gomega.BeNumerically(">", 190))
}

// Of connections that send nothing the oldest are evicted, before those that were served.
func TestSilentConnectionsAreEvictedBeforeServedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	senders := []Sender{{1, 3 * time.Second, true}, {1, 4 * time.Second, false}, {1, 9 * time.Second, false}, {0, 0, false}}
	g.Expect(Victims(senders, 1, 10*time.Second)).To(gomega.Equal([]int{1}))
	g.Expect(Victims(senders, 2, 10*time.Second)).To(gomega.Equal([]int{1, 0}))
	g.Expect(Victims(senders, 0, 10*time.Second)).To(gomega.BeEmpty())
}

// Whatever the senders hold, enough is freed if there is enough, and no more senders are evicted than
// that takes.
func TestVictimsFreeWhatIsNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Sender {
			return Sender{rapid.Int64Range(0, 1<<20).Draw(t, "held"), time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "since")), rapid.Bool().Draw(t, "served")}
		}), 0, 50).Draw(t, "senders")
		need := rapid.Int64Range(-5, 1<<24).Draw(t, "need")
		total, freed := int64(0), int64(0)
		for _, s := range senders {
			total += s.Held
		}
		victims := Victims(senders, need, 5*time.Second)
		for _, v := range victims {
			if freed >= need {
				t.Fatalf("%d is evicted though %d of %d are free", v, freed, need)
			}
			freed += senders[v].Held
		}
		if freed < min(need, total) {
			t.Fatalf("%d of %d are free, the senders hold %d", freed, need, total)
		}
	})
}
