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

// Count is the number of ranks of request kinds.
const Count = Classes * Cohorts

const (
	// workspaceRanks is the number of ranks of a class of workspaces that goes before the
	// classes of the kinds, and kindRanks the part of each kind's class in it.
	workspaceRanks = 64
	kindRanks      = workspaceRanks / Classes
	// Total is the number of all ranks.
	Total = Count + (Classes-1)*workspaceRanks
	// belowRanks is the number of ranks left to workspaces that go after all kinds.
	belowRanks = (Classes - 1) * Classes
)

// Rank is a position in the shedding order, 0 to Total-1; the lowest is shed first.
// Those from Count up belong to workspaces that go before the classes of the kinds.
type Rank uint16

// cohortOf returns the cohort of a request.
func cohortOf(requestID string) uint8 {
	return uint8(xxhash.Sum64String(requestID) >> (64 - CohortBits))
}

// ForRequest returns the rank of a request of class c with the given id.
func ForRequest(c Class, requestID string) Rank { return Make(c, cohortOf(requestID)) }

// Above returns the rank of a request of a workspace that goes before the classes of the
// kinds; group, from 1 to Classes-1, orders such workspaces. Within the group the class of
// the kind decides, then the cohort.
func Above(group int, kind Class, requestID string) Rank {
	const cohortsPerRank = Cohorts / kindRanks
	return Rank(Count + (group-1)*workspaceRanks + int(kind)*kindRanks + int(cohortOf(requestID))/cohortsPerRank)
}

// Below returns the rank of a request of a workspace that goes after the classes of the
// kinds; group, from 0 to Classes-2, orders such workspaces.
func Below(group int, kind Class) Rank { return Rank(group*Classes + int(kind)) }

// AtLeastKinds returns r, raised above the ranks of Below.
func (r Rank) AtLeastKinds() Rank { return max(r, belowRanks) }

// Make returns the rank of a class and a cohort.
func Make(c Class, cohort uint8) Rank {
	return Rank(c)<<CohortBits | Rank(cohort)
}

// Class returns the class of the rank; ranks from Count up are of the highest.
func (r Rank) Class() Class { return min(Class(r>>CohortBits), Protected) }

// Tier returns the position of the rank's group of cohorts: that of its class, or one
// beyond all classes.
func (r Rank) Tier() int {
	if r < Count {
		return int(r >> CohortBits)
	}
	return Classes + int(r-Count)/workspaceRanks
}

// Level is an admission threshold: ranks below it are shed. Zero admits all ranks and
// Total none.
type Level uint16

// Admits reports whether rank r passes the level. depth counts the hops behind the
// request; each raises its effective rank, so that completed work is not discarded
// when the level rises midway.
func (l Level) Admits(r Rank, depth uint8) bool {
	return uint32(r)+uint32(depth)*hopBonus >= uint32(l)
}

// hopBonus is the number of ranks by which one hop raises a request: a sixteenth of a
// class.
const hopBonus = Cohorts / 16
