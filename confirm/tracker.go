package confirm

import "time"

// Confirmation says that at a time no version of the settings newer than Version had been
// accepted.
type Confirmation struct {
	At      time.Duration
	Version uint64
}

// Tracker tracks the confirmations of the active version. The zero value has none.
type Tracker struct {
	// at is the time of the latest confirmation of the active version or an older one, 0 for
	// never.
	at time.Duration
	// pending is the latest confirmation of a version newer than the active one.
	pending Confirmation
}

// Record records a confirmation; active is the active version. One of a newer version counts once
// that is active.
func (t *Tracker) Record(c Confirmation, active uint64) {
	switch {
	case c.Version <= active:
		t.at = max(t.at, c.At)
	case c.At > t.pending.At:
		t.pending = c
	}
}

// Activate records that a version becomes active.
func (t *Tracker) Activate(version uint64) {
	if t.pending.Version <= version {
		t.at = max(t.at, t.pending.At)
		t.pending = Confirmation{}
	}
}

// ConfirmedAt returns when the active version was last confirmed, 0 for never.
func (t *Tracker) ConfirmedAt() time.Duration { return t.at }
