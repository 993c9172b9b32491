package budget

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/rank"
)

// TestArrivalsBoundEachWindow checks for random loads of one backend server that the repeats
// of every window are at most the ratio of the mean of its first arrivals and of those of the
// window before, and the burst, however fine the windows slide.
func TestArrivalsBoundEachWindow(t *testing.T) {
	l := Limits{Ratio: 0.3, Window: time.Second, Burst: 2}
	rapid.Check(t, func(t *rapid.T) {
		var a Arrivals
		var firsts, repeats []time.Duration
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * time.Millisecond
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Millisecond
			for range rapid.IntRange(0, 9).Draw(t, "firsts") {
				a.RecordFirst(now, l)
				firsts = append(firsts, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "repeats") {
				if a.AllowRepeat(now, rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "rank")), l) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, from := range repeats {
			got := countBetween(repeats, from, from+l.Window)
			paid := countBetween(firsts, from, from+l.Window) + countBetween(firsts, from-l.Window, from)
			if float64(got) > l.Ratio*float64(paid)/2+float64(l.Burst) {
				t.Fatalf("%d repeats in the window from %s, %d first arrivals in it and the one before", got, from, paid)
			}
		}
	})
}

func TestArrivalsUseTheRatioOfASteadyLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	l := Limits{Ratio: 0.2, Window: 10 * time.Second}
	var a Arrivals
	allowed := 0
	for now := time.Duration(0); now < 40*time.Second; now += 5 * time.Millisecond {
		a.RecordFirst(now, l)
		if now >= 30*time.Second && a.AllowRepeat(now, topRank, l) {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.BeNumerically(">=", 2000*2/10*9/10))
	g.Expect(allowed).To(gomega.BeNumerically("<=", 2000*2/10))
}

func TestWithdrawnArrivalsDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	l := Limits{Ratio: 0.2, Window: 10 * time.Second, Burst: 1}
	var a Arrivals
	g.Expect(a.AllowRepeat(time.Second, topRank, l)).To(gomega.BeTrue())
	g.Expect(a.AllowRepeat(time.Second, topRank, l)).To(gomega.BeFalse(), "the burst is used")
	a.Withdraw(time.Second, true, l)
	g.Expect(a.AllowRepeat(2*time.Second, topRank, l)).To(gomega.BeTrue())
	for range 100 {
		a.RecordFirst(2*time.Second, l)
		a.Withdraw(2*time.Second, false, l)
	}
	g.Expect(a.AllowRepeat(4*time.Second, topRank, l)).To(gomega.BeFalse(), "withdrawn first arrivals pay for nothing")
}

// Guards against lower classes that use up the repeats before protected requests ask.
func TestRepeatsAreKeptForProtectedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	l := Limits{Ratio: 0.2, Window: 10 * time.Second}
	allowed := func(protectedEvery int) (protected, normal, protectedAsked int) {
		var a Arrivals
		for i := range 8000 {
			now := time.Duration(i) * 5 * time.Millisecond
			a.RecordFirst(now, l)
			if protectedEvery > 0 && i%protectedEvery == 0 {
				protectedAsked++
				if a.AllowRepeat(now, topRank, l) {
					protected++
				}
			}
			if a.AllowRepeat(now, rank.Make(rank.Normal, 0), l) {
				normal++
			}
		}
		return protected, normal, protectedAsked
	}
	protected, normal, asked := allowed(20)
	g.Expect(protected).To(gomega.BeNumerically(">=", asked*8/10))
	g.Expect(normal).To(gomega.BeNumerically(">", 0))
	_, all, _ := allowed(0)
	g.Expect(all).To(gomega.BeNumerically("~", protected+normal, 80), "nothing is kept that nobody asks for")
}

func BenchmarkAllowRepeat(b *testing.B) {
	l := Limits{Ratio: 0.2, Window: 10 * time.Second, Burst: 1}
	var a Arrivals
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		a.RecordFirst(now, l)
		a.AllowRepeat(now, topRank, l)
	}
}

func BenchmarkRecordFirst(b *testing.B) {
	l := Limits{Ratio: 0.2, Window: 10 * time.Second, Burst: 1}
	var a Arrivals
	b.ReportAllocs()
	for i := range b.N {
		a.RecordFirst(time.Duration(i)*time.Microsecond, l)
	}
}
