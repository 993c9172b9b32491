// Package rank assigns every request a position in the shedding order.
//
// A Rank combines the request's class with its cohort, a hash of the request id. The
// entry node computes it once and it travels with the request, so all nodes on the
// call chain decide alike: a request admitted at the entry is not shed several hops
// further, and a retry with the same id gets the same cohort. The (priority, cohort)
// threshold follows DAGOR (Zhou et al., 2018).
package rank

import "github.com/cespare/xxhash/v2"

// Class is the importance of a request kind; higher classes are shed later.
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

// String returns the name of the class as used in the settings.
func (c Class) String() string {
	if int(c) >= Classes {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name, or false if there is none.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// CohortBits is the number of bits in a cohort.
const CohortBits = 8

// Cohorts is the number of cohorts within a class.
const Cohorts = 1 << CohortBits

// Count is the number of ranks.
const Count = Classes * Cohorts

// Rank is a position in the shedding order, 0 to Count-1; the lowest is shed first.
type Rank uint16

// ForRequest returns the rank of a request of class c with the given id.
func ForRequest(c Class, requestID string) Rank {
	cohort := xxhash.Sum64String(requestID) >> (64 - CohortBits)
	return Make(c, uint8(cohort))
}

// classBits is the number of bits of a class.
const classBits = 2

// ForWorkspace returns the rank of a request of a workspace with a class of its own.
// That class decides first, then the class of the request kind, then the cohort of
// the id, so that one workspace's least urgent requests are still shed first.
func ForWorkspace(workspace, kind Class, requestID string) Rank {
	cohort := xxhash.Sum64String(requestID) >> (64 - CohortBits)
	return Make(workspace, uint8(kind)<<(CohortBits-classBits)|uint8(cohort>>classBits))
}

// Make returns the rank of a class and a cohort.
func Make(c Class, cohort uint8) Rank {
	return Rank(c)<<CohortBits | Rank(cohort)
}

// Class returns the class of the rank.
func (r Rank) Class() Class { return Class(r >> CohortBits) }

// Level is an admission threshold: ranks below it are shed. Zero admits all ranks and
// Count none.
type Level uint16

// Admits reports whether rank r passes the level. depth counts the hops behind the
// request; each raises its effective rank, so that completed work is not discarded
// when the level rises midway.
func (l Level) Admits(r Rank, depth uint8) bool {
	return uint32(r)+uint32(depth)*hopBonus >= uint32(l)
}

// hopBonus is the number of ranks by which one hop raises a request.
const hopBonus = Cohorts / 16
