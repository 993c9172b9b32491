package budget

import (
	"math"
	"sync"
	"time"

	"github.com/umberthread/umberthread/rank"
)

const (
	// arrivalSlicesPerWindow is the number of slices in which a window is counted. A
	// window may begin within a slice; of the slice that it cuts, the repeats count
	// and the first arrivals don't, so that finer slices leave less of the ratio unused.
	arrivalSlicesPerWindow = 40
	// arrivalSliceCount is the number of slices kept: the current and previous
	// windows and the slice being filled.
	arrivalSliceCount = 2*arrivalSlicesPerWindow + 1
	// currentWindowWeight is the part of the ratio that is funded by the first arrivals
	// of the window itself; those of the window before fund the rest. It is what a node
	// may use that has just started. The other part can be used in an outage in which
	// fewer requests arrive because callers fail before they make their calls.
	currentWindowWeight = 0.5
	// maxReserveRatio bounds the part of a window's repeats that is kept for protected
	// requests, which would else find nothing left of what lower classes use up first.
	maxReserveRatio = 0.25
	// reserveSlices is the number of slices whose demand by protected requests is kept
	// for the next ones.
	reserveSlices = arrivalSlicesPerWindow / 10
)

// Arrivals limits the repeats that the backend server beside a node gets: the
// requests that may have reached a backend server of the service before, and the calls
// made by an execution that was a repeat. It is safe for concurrent use.
//
// A Throttle counts what one entry node decides. The sum over the entries can
// exceed the ratio, as each uses its own best window and callers move between them.
// Arrivals counts what arrives, and its bound adds up: in every window the repeats are
// at most Ratio times a weighted mean of the first arrivals in that window and in the
// one before, with the same weights at all nodes. So the sum over all nodes is at most
// Ratio times the requests of the better of these windows, plus the bursts, wherever
// requests move and whenever load falls. A node that was restarted has forgotten its
// repeats, and also the first arrivals that could fund more.
//
// Recording a first arrival takes no lock; AllowRepeat does.
type Arrivals struct {
	slices [arrivalSliceCount]attemptSlice
	mu     sync.Mutex
}

// RecordFirst counts a request that is sent to the backend server for the first
// time. now is the time since a fixed moment.
func (a *Arrivals) RecordFirst(now time.Duration, l Limits) {
	a.sliceOf(now, l).firstAttempts.Add(1)
}

// AllowRepeat decides whether a repeat of a request of rank r may be sent to the
// backend server, and counts it if so. As many repeats as protected requests have
// lately asked for are kept for them, up to maxReserveRatio.
func (a *Arrivals) AllowRepeat(now time.Duration, r rank.Rank, l Limits) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	left, reserve := a.left(now, l)
	s := a.sliceOf(now, l)
	if r.Class() == rank.Protected {
		s.protectedAsked.Add(1)
		reserve = 0
	}
	if left < 1+reserve {
		return false
	}
	s.retries.Add(1)
	return true
}

// Withdraw takes back what was counted at a time for a request that was not sent
// after all.
func (a *Arrivals) Withdraw(at time.Duration, repeat bool, l Limits) {
	epoch := epochAt(at, l.Window, arrivalSlicesPerWindow)
	s := &a.slices[epoch%arrivalSliceCount]
	switch {
	case s.epoch.Load() != epoch:
	case repeat:
		s.retries.Add(-1)
	default:
		s.firstAttempts.Add(-1)
	}
}

// sliceOf returns the slice at a time.
func (a *Arrivals) sliceOf(now time.Duration, l Limits) *attemptSlice {
	return sliceAt(a.slices[:], epochAt(now, l.Window, arrivalSlicesPerWindow))
}

// left returns how many repeats may arrive now: the least over all windows that the
// present belongs to, from the one that begins now to the one that ends now. reserve
// is how many of them are kept for protected requests.
func (a *Arrivals) left(now time.Duration, l Limits) (left, reserve float64) {
	// firsts[i] and repeats[i] are the counts of the i youngest slices together.
	var firsts, repeats [arrivalSliceCount + 1]int64
	var protectedAsked int64
	epoch := epochAt(now, l.Window, arrivalSlicesPerWindow)
	for i := range a.slices {
		s := &a.slices[i]
		if age := epoch - s.epoch.Load(); age >= 0 && age < arrivalSliceCount {
			firsts[age+1], repeats[age+1] = s.firstAttempts.Load(), s.retries.Load()
			if age <= reserveSlices {
				protectedAsked += s.protectedAsked.Load()
			}
		}
	}
	for i := range arrivalSliceCount {
		firsts[i+1] += firsts[i]
		repeats[i+1] += repeats[i]
	}
	left = math.Inf(1)
	funded := 0.0
	// The window begins within the slice of this age; the last one is the whole window
	// that ends now.
	for age := range arrivalSlicesPerWindow + 1 {
		current := firsts[age]
		previous := firsts[age+arrivalSlicesPerWindow] - firsts[age+1]
		funded = l.Ratio * (currentWindowWeight*float64(current) + (1-currentWindowWeight)*float64(previous))
		left = min(left, funded+float64(l.Burst)-float64(repeats[age+1]))
	}
	return left, min(float64(protectedAsked), maxReserveRatio*funded)
}
