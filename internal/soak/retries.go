package soak

import (
	"slices"
	"time"
)

const (
	// The retry settings of the front service; see initialSettings.
	frontRetryRatio  = 0.2
	frontRetryBurst  = 1
	frontRetryWindow = 4 * time.Second
	// arrivalDelay is how much later than another a request may arrive that its node sent at
	// the same time.
	arrivalDelay = 500 * time.Millisecond
)

// checkRetries checks that in no window the backend servers of the front service get more
// repeats than the ratio of the requests that callers sent in that window, the one before or
// the one between, and a burst for each start of a node.
func (r *soakRun) checkRetries() { r.checkRepeats(r.repeatedArrivals()) }

// checkRepeats does the same as checkRetries for repeats that arrived at given times.
func (r *soakRun) checkRepeats(repeats []time.Time) {
	r.repeats = len(repeats)
	sent := r.sentRequests()
	bursts := 0
	for _, starts := range r.processStarts() {
		bursts += frontRetryBurst * starts
	}
	for _, from := range repeats {
		got := countBetween(repeats, from, from.Add(frontRetryWindow-arrivalDelay))
		funded := 0
		for _, earlier := range []time.Duration{0, frontRetryWindow / 2, frontRetryWindow} {
			funded = max(funded, countBetween(sent, from.Add(-earlier), from.Add(frontRetryWindow-earlier)))
		}
		if allowed := int(frontRetryRatio*float64(funded)) + bursts; got > allowed {
			r.reportViolation("retries", "the backend servers of %s got %d repeats in a window with %d requests, %d are allowed", frontService, got, funded, allowed)
			return
		}
	}
}

// sentRequests returns when callers sent their requests, in ascending order.
func (r *soakRun) sentRequests() []time.Time {
	var out []time.Time
	for _, a := range r.callers.recordedAttempts() {
		out = append(out, a.sentAt)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// repeatedArrivals returns when servers of the front service got a request that one of them had
// got before, in ascending order. Requests with a key are left out, as their callers send them
// again under the same id.
func (r *soakRun) repeatedArrivals() []time.Time {
	sentOnce := map[string]bool{}
	for _, a := range r.callers.recordedAttempts() {
		sentOnce[a.id] = !requestTypes[a.requestType].keyed
	}
	byID := map[string][]time.Time{}
	for _, m := range r.fleet.members {
		for _, s := range m.servers {
			if s.Service() != frontService {
				continue
			}
			for _, a := range s.RequestArrivals() {
				if sentOnce[a.RequestID] {
					byID[a.RequestID] = append(byID[a.RequestID], a.At)
				}
			}
		}
	}
	var out []time.Time
	for _, at := range byID {
		slices.SortFunc(at, time.Time.Compare)
		out = append(out, at[1:]...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// countBetween returns the number of times in [from, to); times are in ascending order.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}
