package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// takeAll takes requests at one moment until one is refused, and returns how many were
// admitted.
func takeAll(a *Account, now time.Duration) int {
	for n := 0; ; n++ {
		if _, ok := a.Take(now); !ok {
			return n
		}
	}
}

// grantedAccount returns an account with a share of a limit and a full bucket at time 0.
func grantedAccount(l Limit, s Share) *Account {
	a := NewAccount("w")
	a.SetLimit(-time.Hour, l, Tolerance{})
	a.Grant(-time.Hour, s, ShareLifetime)
	return a
}

var whole = Share{1, 1}

func TestAccountAdmitsRateAndBurst(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 100, Burst: 50}, whole)
	g.Expect(takeAll(a, 0)).To(Equal(50))
	wait, ok := a.Take(0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(10 * time.Millisecond))
	g.Expect(takeAll(a, wait)).To(Equal(1), "the announced wait must come true")
	g.Expect(takeAll(a, wait+200*time.Millisecond)).To(Equal(20))
}

func TestNewLimitBeginsWithoutTokens(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount("w")
	for range 1000 {
		_, ok := a.Take(0)
		g.Expect(ok).To(BeTrue(), "there is no limit yet")
	}
	a.SetLimit(0, Limit{Rate: 10, Burst: 100}, Tolerance{})
	g.Expect(takeAll(a, 0)).To(Equal(0))
	want, ok := a.MayAsk(0)
	g.Expect(ok).To(BeTrue())
	g.Expect(want).To(Equal(1))
	a.SetLimit(0, Limit{}, Tolerance{})
	g.Expect(a.Unlimited()).To(BeTrue())
	_, ok = a.Take(0)
	g.Expect(ok).To(BeTrue())
}

func TestReturnedTokenIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 10, Burst: 3}, whole)
	g.Expect(takeAll(a, 0)).To(Equal(3))
	a.Return(0)
	g.Expect(takeAll(a, 0)).To(Equal(1))
	g.Expect(a.Admitted.Load()).To(Equal(int64(3)))
}

func TestDepositedTokensAreUsed(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 10, Burst: 5}, whole)
	takeAll(a, 0)
	want, ok := a.MayAsk(0)
	g.Expect(ok).To(BeTrue())
	g.Expect(want).To(Equal(5))
	a.Deposit(0, 3)
	g.Expect(takeAll(a, 0)).To(Equal(2))
	a.Close(time.Second)
	_, ok = a.MayAsk(time.Second - 1)
	g.Expect(ok).To(BeFalse())
	_, ok = a.MayAsk(time.Second)
	g.Expect(ok).To(BeTrue())
}

func TestLargerShareFillsAtItsRate(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 100, Burst: 100}, Share{0.01, 0.01})
	g.Expect(takeAll(a, 0)).To(Equal(1))
	for i := range 100 {
		// Alternating grants must not create tokens.
		f := []float64{0.5, 0.01}[i%2]
		a.Grant(0, Share{f, f}, ShareLifetime)
		g.Expect(takeAll(a, 0)).To(Equal(0))
	}
	a.Grant(0, Share{0.5, 0.5}, ShareLifetime)
	g.Expect(takeAll(a, 100*time.Millisecond)).To(Equal(5))
}

func TestExpiredShareFallsBackToFloor(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 100, Burst: 10}, whole)
	a.SetFloor(0, 0.01)
	s, granted := a.CurrentShare(ShareLifetime - 1)
	g.Expect(s).To(Equal(whole))
	g.Expect(granted).To(BeTrue())
	s, granted = a.CurrentShare(ShareLifetime)
	g.Expect(s).To(Equal(Share{0.01, 0.01}))
	g.Expect(granted).To(BeFalse())
	g.Expect(takeAll(a, ShareLifetime)).To(Equal(1))
}

func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := grantedAccount(Limit{Rate: 1000, Burst: 1000}, whole)
	a.SetLimit(time.Second, Limit{Rate: 10, Burst: 5}, Tolerance{})
	g.Expect(takeAll(a, time.Second)).To(Equal(5))
	g.Expect(takeAll(a, 2*time.Second)).To(BeNumerically("~", 5, 1))
}

func TestDemandCountsRefusedRequests(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount("w")
	a.SetLimit(0, Limit{Rate: 1, Burst: 1}, Tolerance{})
	var demand float64
	for now := time.Duration(0); now < 20*time.Second; now += 250 * time.Millisecond {
		for range 10 {
			a.Take(now)
		}
		demand = a.Demand(now)
	}
	g.Expect(demand).To(BeNumerically("~", 40, 2))
}

func BenchmarkTake(b *testing.B) {
	a := grantedAccount(Limit{Rate: 1e9, Burst: 1e9}, whole)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		a.Take(time.Duration(i))
	}
}
