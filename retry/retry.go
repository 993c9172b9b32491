// Package retry decides whether to retry a failed call, and when a refused caller may
// retry. It is pure: it does no I/O and keeps no state.
//
// A call is retried only if another backend server may succeed and a retry is safe:
// the call was certainly not executed, or it is idempotent.
package retry

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Call describes a call after an attempt.
type Call struct {
	// Replayable tells whether the call can be sent again; a streamed body cannot.
	Replayable bool
	// Idempotent tells whether the call may be executed more than once.
	Idempotent bool
	// Attempts counts the attempts, and Uncharged the retries that were not charged to
	// the budget.
	Attempts, Uncharged int
	// Offered is the number of backend servers to which the call was offered, and
	// MaxOffered the maximum, 0 for no limit.
	Offered, MaxOffered int
	// Terminations is the number of backend servers known to have terminated, or
	// broken off, while they executed the call or requests like it.
	Terminations int
}

// Failure describes a failed attempt. With the zero Code, the backend server itself
// answered that the call failed.
type Failure struct {
	Code fault.Code
	// Execution tells whether the call may have been executed.
	Execution fault.Execution
	// InstanceChosen tells whether an instance was chosen for the attempt.
	InstanceChosen bool
}

// Verdict is the decision after a failed attempt.
type Verdict uint8

const (
	// GiveUp ends the call.
	GiveUp Verdict = iota
	// RetryUncharged retries the call without charging the retry budgets, as the
	// failed attempt took no capacity of the service.
	RetryUncharged
	// RetryCharged retries the call if the retry budgets allow it.
	RetryCharged
)

// maxUncharged is the maximum number of uncharged retries of a call. News of a
// draining or rate-limited instance arrives late, but rarely for several instances in a row.
const maxUncharged = 3

// maxRefusedRepeats is the maximum number of further instances to which a repeat is
// offered that one has refused because the service's ratio of repeats is used up there.
// More would multiply messages between nodes when it is used up everywhere.
const maxRefusedRepeats = 1

// Decide returns whether to retry a call after a failure.
func Decide(c Call, f Failure) Verdict {
	switch {
	case !c.Replayable:
		return GiveUp
	case f.Code != fault.None && f.Execution != fault.NotExecuted && !c.Idempotent:
		return GiveUp
	case f.Code != fault.None && !otherInstanceMayHelp(c, f):
		return GiveUp
	case f.Code == fault.BackendLost && f.Execution != fault.NotExecuted && c.Terminations > maxTerminations:
		return GiveUp
	case f.Code == fault.RetryBudgetSpent && c.Uncharged >= maxRefusedRepeats:
		return GiveUp
	case tookNoCapacity(f) && c.Uncharged < maxUncharged:
		return RetryUncharged
	case f.Code == fault.RateLimited:
		return GiveUp
	case !mayOfferAgain(c, f):
		return GiveUp
	default:
		return RetryCharged
	}
}

// maxTerminations is the maximum number of terminations after which a call is retried
// that was lost with a backend server while it may have been executed. It limits the
// damage of a request that crashes every backend server that executes it.
const maxTerminations = 1

// otherInstanceMayHelp reports whether another instance may succeed. After a refusal
// by an overloaded instance, only the node that chose the instance tries one other.
func otherInstanceMayHelp(c Call, f Failure) bool {
	switch f.Code {
	case fault.Overload, fault.QueueTimeout:
		return c.Attempts == 1 && f.InstanceChosen
	case fault.NoBackend, fault.Misdirected, fault.RateLimited, fault.RetryBudgetSpent:
		return f.InstanceChosen
	case fault.PeerLost, fault.PeerSilent, fault.Doubted, fault.BackendLost, fault.Draining, fault.Starting, fault.Protocol, fault.Rejected:
		return true
	default:
		return false
	}
}

// tookNoCapacity reports whether a failed attempt certainly reached no backend server of
// the service, or only one at the address of another, so that a retry adds no load.
func tookNoCapacity(f Failure) bool {
	if f.Code == fault.None || f.Execution != fault.NotExecuted {
		return false
	}
	switch f.Code {
	case fault.Draining, fault.Starting, fault.NoBackend, fault.Misdirected, fault.PeerLost, fault.BackendLost, fault.RateLimited, fault.RetryBudgetSpent:
		return true
	default:
		return false
	}
}

// mayOfferAgain reports whether the call may be offered to a backend server again. At
// the maximum, only a rejected call may be: a server that rejects a fraction of the
// requests may accept the next one.
func mayOfferAgain(c Call, f Failure) bool {
	if c.MaxOffered == 0 || c.Offered < c.MaxOffered {
		return true
	}
	return f.Code == fault.Rejected && f.InstanceChosen
}

const (
	// minRetryAfter is the mean delay at level zero.
	minRetryAfter = 200 * time.Millisecond
	// MaxRetryAfter is the mean delay at a level that sheds everything.
	MaxRetryAfter = 4 * time.Second
	// retryAfterFraction is the maximum mean delay after a refusal for load, as a
	// fraction of the request's objective. With jitter it is at most half of it.
	retryAfterFraction = 1.0 / 3
)

// RetryAfter returns the delay after which a refused caller may retry. It grows with
// the level and is spread over 0.5 to 1.5 times its mean, so that callers do not retry
// in sync. draw is uniform in [0, 1).
func RetryAfter(l rank.Level, draw float64) time.Duration { return jitter(meanRetryAfter(l), draw) }

// RetryAfterWithin returns the delay for a request refused for load: RetryAfter with
// its mean capped at retryAfterFraction of the objective. The retry gets a new rank
// while its answer is still useful. Overload outlasts the longest time that a caller
// would wait, so that a longer delay would only make the answer late.
func RetryAfterWithin(l rank.Level, objective time.Duration, draw float64) time.Duration {
	return jitter(min(meanRetryAfter(l), time.Duration(retryAfterFraction*float64(objective))), draw)
}

// meanRetryAfter returns the mean delay at a level.
func meanRetryAfter(l rank.Level) time.Duration {
	shed := float64(l) / rank.Count
	return minRetryAfter + time.Duration(shed*float64(MaxRetryAfter-minRetryAfter))
}

// jitter spreads a mean delay over 0.5 to 1.5 times its value. draw is uniform in
// [0, 1).
func jitter(mean time.Duration, draw float64) time.Duration {
	return time.Duration(float64(mean) * (0.5 + draw))
}
