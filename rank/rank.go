// Package rank gives every request one place in the order of shedding.
//
// A Rank joins the request's class with its cohort, a hash of the request id.
// It is computed once, at the entry, and travels with the request, so every
// node on the chain takes the same side: a request that the entry admits is
// not shed five hops deep, and a resend with the same id gets the same draw.
// The idea of a (priority, cohort) threshold is DAGOR's (Zhou et al., 2018).
package rank

import "github.com/cespare/xxhash/v2"

// Class orders request kinds; a higher class is shed later.
type Class uint8

// The classes, lowest first.
const (
	Background Class = iota
	Normal
	Important
	Protected
	// Classes is the number of classes.
	Classes = 4
)

var classNames = [Classes]string{"background", "normal", "important", "protected"}

// String returns the name that the settings use.
func (c Class) String() string {
	if int(c) >= Classes {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// CohortBits is the number of bits of a cohort.
const CohortBits = 8

// Cohorts is the number of cohorts within a class.
const Cohorts = 1 << CohortBits

// Count is the number of ranks.
const Count = Classes * Cohorts

// Rank is a place in the order of shedding, 0..Count-1; the lowest goes first.
type Rank uint16

// Of returns the rank of a request of class c with the given id.
func ForRequest(c Class, requestID string) Rank {
	cohort := xxhash.Sum64String(requestID) >> (64 - CohortBits)
	return Make(c, uint8(cohort))
}

// Make joins a class and a cohort.
func Make(c Class, cohort uint8) Rank {
	return Rank(c)<<CohortBits | Rank(cohort)
}

// Class returns the rank's class.
func (r Rank) Class() Class { return Class(r >> CohortBits) }

// Level is an admission threshold: ranks below it are shed. Zero admits all
// and Count admits none.
type Level uint16

// Admits tells whether rank r passes the level. Each hop already behind the
// request counts as bonus ranks, so that work invested is not thrown away
// when a level moves while the request is under way.
func (l Level) Admits(r Rank, depth uint8) bool {
	return uint32(r)+uint32(depth)*hopBonus >= uint32(l)
}

// hopBonus is how many ranks one hop of invested work is worth: one
// sixteenth of a class, a little over one correction step of the level.
const hopBonus = Cohorts / 16
