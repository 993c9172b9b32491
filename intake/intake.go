// Package intake decides which connections a process evicts when it has no memory or descriptors left
// for those that send to it. It does no I/O.
//
// A crowd of senders that begin requests and do not end them takes all that there is.
// Refusing whoever comes next would refuse proper callers. Instead the connections that have held
// most for longest are evicted: a proper request is read within moments, so it costs little.
package intake

import (
	"cmp"
	"slices"
	"time"
)

// Sender is a connection whose request has not been read to its end, or that has none.
type Sender struct {
	// Held is what it holds: bytes, or 1 where connections are counted.
	Held int64
	// Since is when its request began or, if it has none, when it last had one.
	Since time.Duration
	// Served is set if an earlier request of it was read to its end.
	Served bool
}

// servedWeight divides the cost of a sender whose earlier request was served: its client keeps the
// connection in a pool and would have to open a new one.
const servedWeight = 4

// cost returns what a sender holds times how long, in units and nanoseconds.
func (s Sender) cost(now time.Duration) float64 {
	c := float64(s.Held) * float64(max(0, now-s.Since)+1)
	if s.Served {
		c /= servedWeight
	}
	return c
}

// Victims returns the indexes of the senders to evict, the costliest first, so that at least
// need is free. If all senders together do not hold that much, it returns all that hold anything.
func Victims(senders []Sender, need int64, now time.Duration) []int {
	order := make([]int, 0, len(senders))
	for i, s := range senders {
		if s.Held > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(senders[b].cost(now), senders[a].cost(now)) })
	for i, index := range order {
		if need <= 0 {
			return order[:i]
		}
		need -= senders[index].Held
	}
	return order
}
