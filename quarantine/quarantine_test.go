package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func newTable() *Table { return New(rand.New(rand.NewPCG(1, 2))) }

const poison Fingerprint = 77

// recordPoisonTermination records the termination of the i-th incarnation, with the poison and
// one fingerprint of its own in flight.
func recordPoisonTermination(t *Table, now time.Duration, i int) []QuarantinedRequest {
	held, _ := t.RecordTermination(now, Termination{Incarnation: fmt.Sprint(i), Service: "f/s", Fingerprints: []Fingerprint{poison, Fingerprint(1000 + i)}})
	return held
}

func TestThirdTerminationStartsQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	g.Expect(recordPoisonTermination(table, 0, 1)).To(gomega.BeEmpty())
	g.Expect(recordPoisonTermination(table, 0, 2)).To(gomega.BeEmpty())
	g.Expect(table.View(0).Remaining(0, Fingerprints{Content: poison})).To(gomega.BeZero())
	held := recordPoisonTermination(table, time.Second, 3)
	g.Expect(held).To(gomega.HaveLen(1))
	g.Expect(held[0].Mark).To(gomega.Equal(poison))
	v := table.View(time.Second)
	g.Expect(v.Remaining(time.Second, Fingerprints{Content: poison})).To(gomega.BeNumerically(">=", initialQuarantine))
	g.Expect(v.Remaining(time.Second, Fingerprints{Content: 5, Caller: poison})).To(gomega.BeNumerically(">=", initialQuarantine))
	g.Expect(v.Remaining(time.Second, Fingerprints{Content: 1001})).To(gomega.BeZero(), "a request in flight at one termination")
	g.Expect(v.Remaining(time.Second, Fingerprints{})).To(gomega.BeZero(), "a request without fingerprints")
}

func TestTerminationIsCountedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for range 10 {
		recordPoisonTermination(table, 0, 1)
	}
	g.Expect(table.View(0).Terminations(Fingerprints{Content: poison})).To(gomega.BeZero())
}

// Terminations are reported repeatedly; a repeated report must not be counted, even among
// many terminations of other servers.
func TestAnEndToldAgainAmongManyIsCountedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range 3 * maxTerminatedIncarnations {
		now := time.Duration(i) * 30 * time.Second / (3 * maxTerminatedIncarnations)
		table.RecordTermination(now, Termination{Incarnation: fmt.Sprint("other-", i), Service: "f/t"})
		recordPoisonTermination(table, now, 1)
	}
	g.Expect(table.Terminations(poison)).To(gomega.BeZero())
}

func TestAnswerClearsSuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range TerminationThreshold {
		recordPoisonTermination(table, 0, i)
	}
	g.Expect(table.RecordAnswer(poison)).To(gomega.BeTrue())
	g.Expect(table.View(0).Empty()).To(gomega.BeTrue())
	recordPoisonTermination(table, 0, 10)
	recordPoisonTermination(table, 0, 11)
	g.Expect(table.View(0).Remaining(0, Fingerprints{Content: poison})).To(gomega.BeZero(), "counting starts afresh")
}

// A request that terminates every server and is resent all the time must run at most once
// for each quarantine after the first terminations, and the quarantines must grow up to
// the maximum.
func TestFurtherTerminationLengthensQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	const resend = 150 * time.Millisecond
	table := newTable()
	var runs []time.Duration
	for now := time.Duration(0); now < 2*time.Hour; now += resend {
		if table.View(now).Remaining(now, Fingerprints{Content: poison}) == 0 {
			runs = append(runs, now)
			recordPoisonTermination(table, now, len(runs))
		}
	}
	g.Expect(runs[2]).To(gomega.BeNumerically("<", time.Second))
	var runsInFirst5Min int
	for _, at := range runs[3:] {
		if at < 5*time.Minute {
			runsInFirst5Min++
		}
	}
	g.Expect(runsInFirst5Min).To(gomega.BeNumerically("<=", 2))
	g.Expect(len(runs)).To(gomega.BeNumerically("<=", 13))
	for i := 5; i < len(runs); i++ {
		g.Expect(runs[i] - runs[i-1]).To(gomega.BeNumerically("<=", maxQuarantine+time.Duration(quarantineJitter*float64(maxQuarantine))+resend))
	}
}

// Requests already in flight when the quarantine starts must not count as another failed
// try.
func TestRequestsInFlightDoNotLengthenQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range 12 {
		recordPoisonTermination(table, time.Duration(i)*100*time.Millisecond, i)
	}
	held := table.ActiveQuarantines(time.Second)
	g.Expect(held).To(gomega.HaveLen(1))
	g.Expect(held[0].Round).To(gomega.Equal(1))
	g.Expect(held[0].Ends).To(gomega.Equal(12))
}

// A long healthy request that is in flight at a few of many terminations, and then
// resent, must not be quarantined.
func TestRequestAtFewOfManyTerminationsIsNotQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range 60 {
		fingerprints := []Fingerprint{Fingerprint(5000 + i)}
		if i%6 == 0 {
			fingerprints = append(fingerprints, poison)
		}
		held, _ := table.RecordTermination(time.Duration(i)*100*time.Millisecond, Termination{Incarnation: fmt.Sprint(i), Service: "f/s", Fingerprints: fingerprints})
		g.Expect(held).To(gomega.BeEmpty())
	}
	g.Expect(table.Terminations(poison)).To(gomega.Equal(10))
	// Terminations of another service do not count.
	for i := range 3 {
		held, _ := table.RecordTermination(time.Minute, Termination{Incarnation: fmt.Sprint("other", i), Service: "f/t", Fingerprints: []Fingerprint{9}})
		g.Expect(held).To(gomega.HaveLen(i / 2))
	}
}

// Several requests that terminate servers in turn, each in flight at a third of the
// terminations, must all be quarantined.
func TestSeveralCausesAreQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	held := 0
	for i := range 18 {
		h, _ := table.RecordTermination(time.Duration(i)*100*time.Millisecond, Termination{Incarnation: fmt.Sprint(i), Service: "f/s", Fingerprints: []Fingerprint{Fingerprint(1 + i%3)}})
		held += len(h)
	}
	g.Expect(held).To(gomega.Equal(3))
}

func TestSuspicionExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range TerminationThreshold {
		recordPoisonTermination(table, 0, i)
	}
	longest := initialQuarantine + time.Duration(quarantineJitter*float64(initialQuarantine))
	g.Expect(table.View(longest).Remaining(longest, Fingerprints{Content: poison})).To(gomega.BeZero())
	g.Expect(table.ActiveQuarantines(longest)).To(gomega.BeEmpty())
	later := suspectLifetime + time.Second
	g.Expect(table.View(later).Empty()).To(gomega.BeTrue())
	recordPoisonTermination(table, later, 20)
	recordPoisonTermination(table, later, 21)
	g.Expect(table.View(later).Remaining(later, Fingerprints{Content: poison})).To(gomega.BeZero(), "counting starts afresh")
}

// Mass terminations must neither grow the table beyond its bounds nor end a quarantine.
func TestMassEndsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable()
	for i := range TerminationThreshold {
		recordPoisonTermination(table, 0, i)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 24000 {
		fingerprints := make([]Fingerprint, 48)
		for k := range fingerprints {
			fingerprints[k] = Fingerprint(1 + rng.Uint64N(20000))
		}
		table.RecordTermination(time.Second, Termination{Incarnation: "mass-" + fmt.Sprint(i), Service: fmt.Sprint("f/", i%3300), Fingerprints: fingerprints})
	}
	g.Expect(len(table.serviceTerminations)).To(gomega.BeNumerically("<=", maxServices))
	for _, times := range table.serviceTerminations {
		g.Expect(len(times)).To(gomega.BeNumerically("<=", maxServiceTerminations))
	}
	g.Expect(len(table.young)).To(gomega.BeNumerically("<=", generationSize))
	g.Expect(len(table.old)).To(gomega.BeNumerically("<=", generationSize))
	g.Expect(len(table.repeat)).To(gomega.BeNumerically("<=", maxRepeatSuspects))
	g.Expect(len(table.terminatedIncarnations)).To(gomega.BeNumerically("<=", maxTerminatedIncarnations))
	g.Expect(table.View(time.Second).Remaining(time.Second, Fingerprints{Content: poison})).NotTo(gomega.BeZero())
}

func TestStartedNodeAdoptsQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	table, other := newTable(), newTable()
	for i := range TerminationThreshold {
		recordPoisonTermination(table, 0, i)
	}
	other.AddQuarantines(time.Minute, table.ActiveQuarantines(5*time.Second))
	left := other.View(time.Minute).Remaining(time.Minute, Fingerprints{Content: poison})
	g.Expect(left).To(gomega.BeNumerically("~", table.View(0).Remaining(5*time.Second, Fingerprints{Content: poison}), time.Millisecond))
	g.Expect(recordPoisonTermination(other, time.Minute+left+time.Second, 50)[0].Round).To(gomega.Equal(2), "the next termination follows another try")
	other.AddQuarantines(0, []QuarantinedRequest{{Mark: 9, Round: 1, Left: -time.Second}, {Mark: 0, Round: 1, Left: time.Hour}})
	g.Expect(other.View(0).Remaining(0, Fingerprints{Content: 9})).To(gomega.BeZero())
	g.Expect(other.View(0).Remaining(0, Fingerprints{})).To(gomega.BeZero())
}

func TestRecentAnswersExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	var a RecentAnswers
	fps := Fingerprints{Content: 1 << 40, Caller: 3<<40 + 1}
	g.Expect(a.AnsweredRecently(0, fps.Content)).To(gomega.BeFalse())
	for _, now := range []time.Duration{time.Second, 100 * time.Hour} {
		a.Record(now, fps)
		g.Expect(a.AnsweredRecently(now, fps.Content)).To(gomega.BeTrue())
		g.Expect(a.AnsweredRecently(now+answerLifetime/2, fps.Caller)).To(gomega.BeTrue())
		g.Expect(a.AnsweredRecently(now+answerLifetime, fps.Content)).To(gomega.BeFalse())
		g.Expect(a.AnsweredRecently(now, 5<<40)).To(gomega.BeFalse(), "another fingerprint in the same slot")
	}
	a.Record(0, Fingerprints{Content: 8 << 40})
	g.Expect(a.AnsweredRecently(0, 0)).To(gomega.BeFalse())
}

func BenchmarkLookup(b *testing.B) {
	table := newTable()
	for i := range TerminationThreshold {
		recordPoisonTermination(table, 0, i)
	}
	v := table.View(0)
	var a RecentAnswers
	for i := range b.N {
		fps := Fingerprints{Content: Fingerprint(i) << 20, Caller: Fingerprint(i) << 21}
		v.Remaining(0, fps)
		a.Record(time.Duration(i), fps)
	}
}
