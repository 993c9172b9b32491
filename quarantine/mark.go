package quarantine

import (
	"sync/atomic"
	"time"
)

// Mark is a hash of what makes requests alike; 0 stands for none.
type Fingerprint uint64

// Marks are the marks of one request.
type Fingerprints struct {
	// Content is of what is asked: address, method, path and body.
	Content Fingerprint
	// Caller is of the same and who asks, 0 where that is not known. Requests that
	// only some callers send with an effect on the server show under it alone.
	Caller Fingerprint
}

const (
	// answerSlots is how many marks an Answers holds, a power of two.
	answerSlots = 4096
	// answerFor is how long an answer speaks for the requests like it.
	answerFor = 10 * time.Second
	// answerUnit is the resolution of the times in an Answers.
	answerUnit = 100 * time.Millisecond
	// timeBits of each slot are the time, the others are the mark's.
	timeBits = 24
	timeMask = 1<<timeBits - 1
)

// Answers remembers which marks were answered lately. It is safe for concurrent use and
// takes no lock: each mark has one slot, and a later one overwrites it.
type RecentAnswers struct {
	slots [answerSlots]atomic.Uint64
}

// slotOf returns the slot of a mark, and the bits of it that the slot keeps.
func (a *RecentAnswers) slotOf(m Fingerprint) (*atomic.Uint64, uint64) {
	return &a.slots[m%answerSlots], uint64(m) &^ timeMask
}

// Note takes in that a backend server answered a request.
func (a *RecentAnswers) Note(now time.Duration, m Fingerprints) {
	a.note(now, m.Content)
	a.note(now, m.Caller)
}

func (a *RecentAnswers) note(now time.Duration, m Fingerprint) {
	if m == 0 {
		return
	}
	slot, tag := a.slotOf(m)
	next := tag | uint64(now/answerUnit)&timeMask
	// A plain load is cheaper than a store that other cores have to see.
	if slot.Load() != next {
		slot.Store(next)
	}
}

// Lately tells whether a request with the mark was answered a short time ago.
func (a *RecentAnswers) AnsweredRecently(now time.Duration, m Fingerprint) bool {
	slot, tag := a.slotOf(m)
	v := slot.Load()
	if v == 0 || v&^timeMask != tag {
		return false
	}
	ago := (uint64(now/answerUnit) - v) & timeMask
	return time.Duration(ago)*answerUnit < answerFor
}
