package quarantine

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// TerminationThreshold is the number of terminations that put a fingerprint in
	// quarantine.
	TerminationThreshold = 3
	// causeDivisor sets the share of a service's terminations, counted from the
	// fingerprint's first, that the fingerprint must be found at to be a likely cause: at
	// least 1/causeDivisor. Servers may be killed for other reasons while a healthy
	// request is in flight. After manyTerminations a share of 1/sharedCauseDivisor
	// suffices, since several requests may terminate servers in turn.
	causeDivisor       = 2
	sharedCauseDivisor = 4
	manyTerminations   = 2 * TerminationThreshold
	// initialQuarantine is the length of the first quarantine, quarantineBackoff the
	// factor by which each further one is longer, and maxQuarantine the upper bound.
	initialQuarantine = 20 * time.Second
	quarantineBackoff = 4
	maxQuarantine     = 15 * time.Minute
	// quarantineJitter is the maximum share by which a node lengthens a quarantine, so
	// that the first node to try again can warn the others.
	quarantineJitter = 0.5
	// inFlightGrace is how long after the start of a quarantine further terminations are
	// attributed to requests sent before all nodes knew of it.
	inFlightGrace = 5 * time.Second
	// suspectLifetime is how long a fingerprint is remembered after its last termination.
	suspectLifetime = 30 * time.Minute
	// generationSize is the number of fingerprints in each of the two generations of
	// suspects.
	generationSize = 1024
	// maxRepeatSuspects bounds the fingerprints of a View.
	maxRepeatSuspects = 256
	// maxTerminatedIncarnations bounds the remembered incarnations whose termination was
	// counted, and terminatedIncarnationLifetime is how long they are remembered to ignore
	// repeated reports. Terminations beyond the bound are not counted.
	maxTerminatedIncarnations     = 4096
	terminatedIncarnationLifetime = time.Minute
	// maxServices bounds the services whose terminations are counted, and
	// maxServiceTerminations the terminations remembered for each.
	maxServices            = 256
	maxServiceTerminations = 64
)

// Termination is the termination of a backend server.
type Termination struct {
	// Incarnation identifies the incarnation of the backend server that terminated.
	Incarnation string
	// Service is the service of the backend server.
	Service string
	// Fingerprints are those of the requests that the backend server had in flight.
	Fingerprints []Fingerprint
}

// QuarantinedRequest describes a quarantined fingerprint as one node reports it to
// another. Field names are part of the encoding between nodes.
type QuarantinedRequest struct {
	// Mark is the fingerprint.
	Mark Fingerprint
	// Ends is the number of terminations, and Round the number of quarantines so far.
	Ends, Round int
	// Left is the time until the quarantine ends.
	Left time.Duration
}

// suspect holds the termination history of a fingerprint.
type suspect struct {
	// round counts the quarantines.
	terminations, round int
	// firstTermination and lastTermination are times of terminations; quarantinedAt and
	// quarantinedUntil delimit the latest quarantine.
	firstTermination, lastTermination, quarantinedAt, quarantinedUntil time.Duration
}

// Table counts terminations by fingerprint. It is not safe for concurrent use.
type Table struct {
	rand *rand.Rand
	// young and old are the generations of suspects, and repeat holds those with more
	// than one termination.
	young, old, repeat map[Fingerprint]*suspect
	// terminatedIncarnations maps counted incarnations to the time of their termination.
	terminatedIncarnations map[string]time.Duration
	// serviceTerminations holds the times of the latest terminations in each service.
	serviceTerminations map[string][]time.Duration
}

// New returns an empty table. r provides the jitter of the quarantines.
func New(r *rand.Rand) *Table {
	return &Table{rand: r, young: map[Fingerprint]*suspect{}, old: map[Fingerprint]*suspect{}, repeat: map[Fingerprint]*suspect{}, terminatedIncarnations: map[string]time.Duration{}, serviceTerminations: map[string][]time.Duration{}}
}

// RecordTermination counts the termination of a backend server. It returns the
// fingerprints whose quarantine starts with it, and false if the termination was not
// counted because it is already known or too many incarnations are remembered.
func (t *Table) RecordTermination(now time.Duration, termination Termination) (started []QuarantinedRequest, counted bool) {
	if _, known := t.terminatedIncarnations[termination.Incarnation]; known || !t.recordIncarnation(now, termination) {
		return nil, false
	}
	for _, fp := range termination.Fingerprints {
		if fp != 0 && t.countTermination(now, fp, termination.Service) {
			started = append(started, t.quarantinedRequest(now, fp, t.repeat[fp]))
		}
	}
	return started, true
}

// recordIncarnation remembers a terminated incarnation. It returns false if there is no
// room for it.
func (t *Table) recordIncarnation(now time.Duration, termination Termination) bool {
	if len(t.terminatedIncarnations) >= maxTerminatedIncarnations {
		maps.DeleteFunc(t.terminatedIncarnations, func(_ string, at time.Duration) bool { return now-at > terminatedIncarnationLifetime })
	}
	if len(t.terminatedIncarnations) >= maxTerminatedIncarnations {
		return false
	}
	t.terminatedIncarnations[termination.Incarnation] = now
	if _, known := t.serviceTerminations[termination.Service]; !known && len(t.serviceTerminations) >= maxServices {
		clear(t.serviceTerminations)
	}
	times := append(t.serviceTerminations[termination.Service], now)
	t.serviceTerminations[termination.Service] = times[max(0, len(times)-maxServiceTerminations):]
	return true
}

// isLikelyCause reports whether a suspect was in flight at a large enough share of the
// terminations in a service.
func (t *Table) isLikelyCause(s *suspect, service string) bool {
	all := 0
	for _, at := range t.serviceTerminations[service] {
		if at >= s.firstTermination {
			all++
		}
	}
	if s.terminations >= manyTerminations {
		return s.terminations*sharedCauseDivisor >= all
	}
	return s.terminations*causeDivisor >= all
}

// countTermination adds a termination to a fingerprint and reports whether it starts a
// quarantine.
func (t *Table) countTermination(now time.Duration, fp Fingerprint, service string) bool {
	s := t.suspectOf(fp)
	if s.terminations > 0 && now-s.lastTermination > suspectLifetime {
		*s = suspect{}
	}
	if s.terminations == 0 {
		s.firstTermination = now
	}
	s.terminations++
	s.lastTermination = now
	if s.terminations > 1 {
		t.addRepeat(fp, s)
	}
	if t.repeat[fp] != s || s.terminations < TerminationThreshold || !t.isLikelyCause(s, service) {
		return false
	}
	if s.round > 0 && now-s.quarantinedAt < inFlightGrace {
		return false
	}
	s.round++
	s.quarantinedAt = now
	s.quarantinedUntil = now + t.addJitter(quarantineDuration(s.round))
	return true
}

// suspectOf returns the suspect of a fingerprint, new if unknown, and moves it to the
// young generation.
func (t *Table) suspectOf(fp Fingerprint) *suspect {
	if s := t.young[fp]; s != nil {
		return s
	}
	s := t.old[fp]
	if s == nil {
		s = t.repeat[fp]
	}
	if s == nil {
		s = &suspect{}
	}
	if len(t.young) >= generationSize {
		t.old, t.young = t.young, map[Fingerprint]*suspect{}
	}
	t.young[fp] = s
	return s
}

// addRepeat adds a suspect to the repeat suspects. If there are too many, it replaces the
// one with the oldest termination that is not in quarantine; if all are, it does nothing.
func (t *Table) addRepeat(fp Fingerprint, s *suspect) {
	if t.repeat[fp] == nil && len(t.repeat) >= maxRepeatSuspects && !t.evictRepeat(s.lastTermination) {
		return
	}
	t.repeat[fp] = s
}

// evictRepeat removes the repeat suspect with the oldest termination among those not in
// quarantine, and reports whether there was one.
func (t *Table) evictRepeat(now time.Duration) bool {
	var oldest Fingerprint
	for fp, s := range t.repeat {
		if now < s.quarantinedUntil {
			continue
		}
		if oldest == 0 || s.lastTermination < t.repeat[oldest].lastTermination {
			oldest = fp
		}
	}
	if oldest == 0 {
		return false
	}
	delete(t.repeat, oldest)
	return true
}

// quarantineDuration returns the length of a quarantine, without jitter.
func quarantineDuration(round int) time.Duration {
	d := initialQuarantine
	for range round - 1 {
		d = min(d*quarantineBackoff, maxQuarantine)
	}
	return d
}

// addJitter lengthens a quarantine by a random share of up to quarantineJitter.
func (t *Table) addJitter(d time.Duration) time.Duration {
	return d + time.Duration(t.rand.Float64()*quarantineJitter*float64(d))
}

// RecordAnswer clears a fingerprint because a backend server answered a request with it.
// It reports whether the fingerprint had been in quarantine.
func (t *Table) RecordAnswer(fp Fingerprint) bool {
	s, suspected := t.repeat[fp]
	delete(t.repeat, fp)
	delete(t.young, fp)
	delete(t.old, fp)
	return suspected && s.round > 0
}

// Terminations returns the number of terminations of a fingerprint, 0 if fewer than two.
func (t *Table) Terminations(fp Fingerprint) int {
	if s := t.repeat[fp]; s != nil {
		return s.terminations
	}
	return 0
}

// ActiveQuarantines returns the fingerprints in quarantine.
func (t *Table) ActiveQuarantines(now time.Duration) []QuarantinedRequest {
	var out []QuarantinedRequest
	for fp, s := range t.repeat {
		if now < s.quarantinedUntil {
			out = append(out, t.quarantinedRequest(now, fp, s))
		}
	}
	return out
}

// quarantinedRequest describes a suspect as other nodes are told of it.
func (t *Table) quarantinedRequest(now time.Duration, fp Fingerprint, s *suspect) QuarantinedRequest {
	return QuarantinedRequest{Mark: fp, Ends: s.terminations, Round: s.round, Left: s.quarantinedUntil - now}
}

// AddQuarantines adds the quarantines reported by another node, for a node that has just
// started. It ignores those of fingerprints quarantined here as many times or more.
func (t *Table) AddQuarantines(now time.Duration, reported []QuarantinedRequest) {
	for _, q := range reported {
		if q.Mark == 0 || q.Left <= 0 {
			continue
		}
		s := t.suspectOf(q.Mark)
		if q.Round <= s.round {
			continue
		}
		*s = suspect{terminations: max(q.Ends, TerminationThreshold), round: q.Round, firstTermination: now, lastTermination: now, quarantinedAt: now, quarantinedUntil: now + min(q.Left, maxQuarantine)}
		t.addRepeat(q.Mark, s)
	}
}

// View returns an immutable copy of the repeat suspects for lookups by requests. It also
// drops those whose lifetime is over.
func (t *Table) View(now time.Duration) *View {
	v := &View{entries: make(map[Fingerprint]viewEntry, len(t.repeat))}
	for fp, s := range t.repeat {
		if now-s.lastTermination > suspectLifetime && now >= s.quarantinedUntil {
			delete(t.repeat, fp)
			continue
		}
		v.entries[fp] = viewEntry{s.terminations, s.quarantinedUntil}
	}
	return v
}

// viewEntry is a fingerprint's number of terminations and the end of its quarantine.
type viewEntry struct {
	terminations     int
	quarantinedUntil time.Duration
}

// View holds the fingerprints with more than one termination. It is immutable.
type View struct {
	entries map[Fingerprint]viewEntry
}

// Empty reports whether the view has no fingerprints.
func (v *View) Empty() bool { return len(v.entries) == 0 }

// IsSuspect reports whether one of the fingerprints has more than one termination.
func (v *View) IsSuspect(fps Fingerprints) bool { return v.Terminations(fps) > 0 }

// Terminations returns the larger number of terminations of the two fingerprints, 0 if
// both have fewer than two.
func (v *View) Terminations(fps Fingerprints) int {
	return max(v.entries[fps.Content].terminations, v.entries[fps.Caller].terminations)
}

// Remaining returns how long requests with the fingerprints are refused, 0 if they are not.
func (v *View) Remaining(now time.Duration, fps Fingerprints) time.Duration {
	return max(0, v.entries[fps.Content].quarantinedUntil-now, v.entries[fps.Caller].quarantinedUntil-now)
}
