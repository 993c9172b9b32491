// Package retry decides whether a call that failed is sent once more, and when a
// caller that was turned away may come back. It is pure: what is known of the call
// and its failure goes in, a verdict comes out.
//
// The load that it answers: services that turn work away, hang or are restarted while
// demand is high. A call is sent once more only where another backend server may do
// better and where it is safe: it certainly was not run, or may run twice.
package retry

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Call is what is known of a call after an attempt.
type Call struct {
	// Replayable tells whether the call can be sent again at all.
	Replayable bool
	// Idempotent tells whether it may run more than once.
	Idempotent bool
	// Attempts counts the attempts, and Free those that cost no retry.
	Attempts, Free int
	// Offered is how many backend servers were offered the call, and OfferMax how
	// many may be, 0 for any number.
	Offered, OfferMax int
	// Ends is how many backend servers are known to have ended, or to have broken
	// off, while they ran it or requests like it.
	Ends int
}

// Failure is why an attempt failed. Its zero value is an answer of the backend server
// that says so.
type Failure struct {
	Code fault.Code
	// Run tells whether the call may have run.
	Run fault.Execution
	// Chosen tells whether an instance was chosen for the attempt.
	Chosen bool
}

// Verdict is what to do after a failed attempt.
type Verdict uint8

const (
	// GiveUp ends the call.
	GiveUp Verdict = iota
	// Free sends it once more at no cost: no backend server saw it.
	Free
	// Paid sends it once more if the retry budgets pay for it.
	Paid
)

// maxFree is how often a call is sent to another node at no cost: a leaving instance
// is heard of late, and rarely two in a row.
const maxFree = 3

// Decide returns whether to send a call once more.
func Decide(c Call, f Failure) Verdict {
	switch {
	case !c.Replayable:
		return GiveUp
	case f.Code != fault.None && f.Run != fault.NotExecuted && !c.Idempotent:
		return GiveUp
	case f.Code != fault.None && !helps(c, f):
		return GiveUp
	case f.Code == fault.BackendLost && f.Run != fault.NotExecuted && c.Ends > maxEnds:
		return GiveUp
	case neverOffered(f) && c.Free < maxFree:
		return Free
	case !mayGoOn(c, f):
		return GiveUp
	default:
		return Paid
	}
}

// maxEnds is how many backend servers may have ended under a call that is sent once
// more. One that ends each server that runs it would else end all that it may be sent to.
const maxEnds = 1

// helps tells whether another instance may do better. The refusal of an overloaded
// one is tried once at another, by the node that chose it and by none above it.
func helps(c Call, f Failure) bool {
	switch f.Code {
	case fault.Overload, fault.QueueTimeout:
		return c.Attempts == 1 && f.Chosen
	case fault.NoBackend:
		return f.Chosen
	case fault.PeerLost, fault.PeerSilent, fault.BackendLost, fault.Draining, fault.Starting, fault.Protocol, fault.Rejected:
		return true
	default:
		return false
	}
}

// neverOffered tells whether a failed attempt certainly ended before any backend
// server, so that trying another makes no load for any.
func neverOffered(f Failure) bool {
	if f.Code == fault.None || f.Run != fault.NotExecuted {
		return false
	}
	switch f.Code {
	case fault.Draining, fault.Starting, fault.NoBackend, fault.PeerLost, fault.BackendLost:
		return true
	default:
		return false
	}
}

// mayGoOn tells whether another backend server may be asked. Where the call has been
// sent to as many as it may, one that turned it away may be asked again: one that
// turns away half of the requests takes the next with the same chance.
func mayGoOn(c Call, f Failure) bool {
	if c.OfferMax == 0 || c.Offered < c.OfferMax {
		return true
	}
	return f.Code == fault.Rejected && f.Chosen
}

const (
	// comeBackMin is the shortest time given to a caller to come back.
	comeBackMin = 200 * time.Millisecond
	// ComeBackMax is the longest mean time, at a level that sheds everything.
	ComeBackMax = 4 * time.Second
	// comeBackShare is the mean share of the objective after which a caller that
	// was turned away for load may come back: at most half of it is gone then.
	comeBackShare = 1.0 / 3
)

// ComeBack returns when a refused caller may come back: the longer the more is being
// shed at the level, spread over half to one and a half of that time so that callers
// do not return together. Draw is uniform in [0, 1).
func ComeBack(l rank.Level, draw float64) time.Duration { return spread(mean(l), draw) }

// ComeBackInTime is ComeBack for a request that was turned away for load: it comes
// back with another place in the order of shedding, while an answer is still worth
// most to its caller. The load outlasts the longest time that a caller would wait, so
// that a longer one only makes its answer late.
func ComeBackInTime(l rank.Level, objective time.Duration, draw float64) time.Duration {
	return spread(min(mean(l), time.Duration(comeBackShare*float64(objective))), draw)
}

func mean(l rank.Level) time.Duration {
	shed := float64(l) / rank.Count
	return comeBackMin + time.Duration(shed*float64(ComeBackMax-comeBackMin))
}

func spread(mean time.Duration, draw float64) time.Duration {
	return time.Duration(float64(mean) * (0.5 + draw))
}
