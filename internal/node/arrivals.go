package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
)

// arrivalLimits bounds the repeats that the backend server beside the node gets, for each
// service that it has belonged to.
type arrivalLimits struct {
	byService sync.Map // service -> *budget.Arrivals
}

// of returns the bound of a service.
func (a *arrivalLimits) of(service string) *budget.Arrivals {
	if v, ok := a.byService.Load(service); ok {
		return v.(*budget.Arrivals)
	}
	v, _ := a.byService.LoadOrStore(service, &budget.Arrivals{})
	return v.(*budget.Arrivals)
}

// arrival is a request that was counted as sent to the local backend server.
type arrival struct {
	at      time.Duration
	repeat  bool
	counter *budget.Arrivals
	limits  budget.Limits
}

// withdraw takes the count back, as the request was not sent.
func (a arrival) withdraw() { a.counter.Withdraw(a.at, a.repeat, a.limits) }

// recordArrival counts a call that is about to be sent to the local backend server. It refuses
// a repeat beyond the service's ratio: entry nodes decide on retries by what each of them has
// sent, and their sum can be more than the ratio allows.
func (n *Node) recordArrival(c *call) (arrival, *fault.Error) {
	a := arrival{at: n.clock(), repeat: c.isRepeat(), counter: n.arrivals.of(c.service), limits: retryLimits(c.policy)}
	if !a.repeat {
		a.counter.RecordFirst(a.at, a.limits)
		n.stats.firstArrivals.Add(1)
		return a, nil
	}
	if !a.counter.AllowRepeat(a.at, c.rank, a.limits) && c.policy.Mode == admission.ModeFull {
		n.stats.refusedRepeats.Add(1)
		return a, c.refusal(fault.RetryBudgetSpent, "the repeats to this backend server have used up the ratio of its service", n.gate.load().instanceLevel())
	}
	n.stats.repeatedArrivals.Add(1)
	return a, nil
}
