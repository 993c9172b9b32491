package quarantine

import (
	"sync/atomic"
	"time"
)

// Fingerprint is a hash by which requests are recognised as alike; 0 means none.
type Fingerprint uint64

// Fingerprints holds the fingerprints of one request.
type Fingerprints struct {
	// Content is a hash of the address, method, path and body.
	Content Fingerprint
	// Caller is a hash of the same and the caller, 0 if the caller is unknown. It detects
	// requests that terminate servers only when certain callers send them.
	Caller Fingerprint
}

const (
	// recentAnswerSlots is the number of slots of a RecentAnswers, a power of two.
	recentAnswerSlots = 4096
	// answerLifetime is how long a fingerprint counts as answered recently.
	answerLifetime = 10 * time.Second
	// answerTimeResolution is the resolution of the times in a RecentAnswers.
	answerTimeResolution = 100 * time.Millisecond
	// timeBits is the number of bits of each slot that hold the time; the other bits hold
	// the fingerprint.
	timeBits = 24
	timeMask = 1<<timeBits - 1
)

// RecentAnswers remembers which fingerprints were answered recently. It is safe for
// concurrent use and takes no lock. Each fingerprint has one slot, which a later
// fingerprint overwrites.
type RecentAnswers struct {
	slots [recentAnswerSlots]atomic.Uint64
}

// slotAndTag returns the slot of a fingerprint, and the bits of the fingerprint stored in
// it.
func (a *RecentAnswers) slotAndTag(fp Fingerprint) (*atomic.Uint64, uint64) {
	return &a.slots[fp%recentAnswerSlots], uint64(fp) &^ timeMask
}

// Record records that a backend server answered a request with the fingerprints.
func (a *RecentAnswers) Record(now time.Duration, fps Fingerprints) {
	a.recordFingerprint(now, fps.Content)
	a.recordFingerprint(now, fps.Caller)
}

// recordFingerprint stores a fingerprint with the time of its answer. It ignores 0.
func (a *RecentAnswers) recordFingerprint(now time.Duration, fp Fingerprint) {
	if fp == 0 {
		return
	}
	slot, tag := a.slotAndTag(fp)
	next := tag | uint64(now/answerTimeResolution)&timeMask
	// Loading first avoids a store that would invalidate the other cores' caches.
	if slot.Load() != next {
		slot.Store(next)
	}
}

// AnsweredRecently reports whether a request with the fingerprint was answered within
// answerLifetime.
func (a *RecentAnswers) AnsweredRecently(now time.Duration, fp Fingerprint) bool {
	slot, tag := a.slotAndTag(fp)
	v := slot.Load()
	if v == 0 || v&^timeMask != tag {
		return false
	}
	ago := (uint64(now/answerTimeResolution) - v) & timeMask
	return time.Duration(ago)*answerTimeResolution < answerLifetime
}
