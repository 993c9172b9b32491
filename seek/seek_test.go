package seek_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/umberthread/umberthread/seek"
)

const (
	// responseTime is the round-trip time of a request.
	responseTime = 3 * time.Millisecond
	// requestTimeout is the timeout of a request to a failed replica.
	requestTimeout = 700 * time.Millisecond
)

// replicaGroup simulates a group some of whose replicas, the leader among them, fail at
// time zero.
type replicaGroup struct {
	addrs     []string
	failed    map[string]bool
	oldLeader string
	// newLeader leads from electedAt on; the other replicas learn of it a heartbeat
	// later.
	newLeader string
	electedAt time.Duration
}

func newReplicaGroup(rng *rand.Rand) *replicaGroup {
	g := &replicaGroup{failed: map[string]bool{}, electedAt: 500*time.Millisecond + time.Duration(rng.Int64N(int64(700*time.Millisecond)))}
	for i := range 3 + rng.IntN(13) {
		g.addrs = append(g.addrs, fmt.Sprint("replica", i))
	}
	order := slices.Clone(g.addrs)
	rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	g.oldLeader, g.newLeader = order[0], order[len(order)-1]
	g.failed[order[0]] = true
	if len(order) > 4 {
		g.failed[order[1]] = true
	}
	return g
}

// knownLeader returns the leader that a replica knows of.
func (g *replicaGroup) knownLeader(now time.Duration) string {
	const followersNotice = 500 * time.Millisecond
	const heartbeat = 75 * time.Millisecond
	switch {
	case now >= g.electedAt+heartbeat:
		return g.newLeader
	case now < followersNotice:
		return g.oldLeader
	default:
		return ""
	}
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	addr   string
	endsAt time.Duration
}

// findLeader returns when the new leader receives the command.
func (g *replicaGroup) findLeader(t *testing.T) time.Duration {
	s := seek.New(g.oldLeader)
	var pending []pendingRequest
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for _, q := range pending {
			if q.endsAt > now {
				continue
			}
			switch {
			case g.failed[q.addr]:
				s.RecordNoResponse(now, q.addr)
			case q.addr == g.newLeader && now >= g.electedAt:
				return now
			default:
				s.RecordNotLeader(now, q.addr, g.knownLeader(now))
			}
		}
		pending = slices.DeleteFunc(pending, func(q pendingRequest) bool { return q.endsAt <= now })
		addr, _ := s.NextReplica(now, g.addrs)
		if addr == "" {
			continue
		}
		if slices.ContainsFunc(pending, func(q pendingRequest) bool { return q.addr == addr }) {
			t.Fatalf("%v: %s has two requests in flight", now, addr)
		}
		took := responseTime
		if g.failed[addr] {
			took = requestTimeout
		}
		pending = append(pending, pendingRequest{addr, now + took})
	}
	t.Fatal("leader not found")
	return 0
}

// Failed replicas, the old leader among them, must not delay a command after the election
// by their timeouts.
func TestLostReplicasHoldUpNoCommand(t *testing.T) {
	g := NewWithT(t)
	const groups = 500
	// The leader is known everywhere a heartbeat after the election; one request interval
	// and one hedge delay may be added.
	const maxDelay = 200 * time.Millisecond
	var longest time.Duration
	for seed := range uint64(groups) {
		group := newReplicaGroup(rand.New(rand.NewPCG(seed, 1)))
		longest = max(longest, group.findLeader(t)-group.electedAt)
	}
	t.Logf("longest time from the election to the command at the new leader: %v", longest)
	g.Expect(longest).To(BeNumerically("<", maxDelay))
}

// A replica that answers slowly must keep its pending request while the others are asked.
func TestSlowLeaderKeepsItsRequest(t *testing.T) {
	g := NewWithT(t)
	s := seek.New("leader")
	addr, again := s.NextReplica(0, []string{"leader", "other"})
	g.Expect(addr).To(Equal("leader"))
	addr, _ = s.NextReplica(again-time.Millisecond, []string{"leader", "other"})
	g.Expect(addr).To(BeEmpty(), "the hedge delay is not over")
	addr, _ = s.NextReplica(again, []string{"leader", "other"})
	g.Expect(addr).To(Equal("other"))
	s.RecordNotLeader(again, "other", "leader")
	for now := again; now < time.Second; now += time.Millisecond {
		addr, _ = s.NextReplica(now, []string{"leader", "other"})
		g.Expect(addr).NotTo(Equal("leader"), "its request is in flight")
		if addr == "other" {
			s.RecordNotLeader(now, "other", "leader")
		}
	}
}

// A replica that recovered and leads must be asked again on another replica's hint.
func TestRecoveredReplicaIsAsked(t *testing.T) {
	g := NewWithT(t)
	s := seek.New("a")
	_, _ = s.NextReplica(0, []string{"a", "b"})
	s.RecordNoResponse(100*time.Millisecond, "a")
	addr, _ := s.NextReplica(200*time.Millisecond, []string{"a", "b"})
	g.Expect(addr).To(Equal("b"))
	s.RecordNotLeader(500*time.Millisecond, "b", "a")
	addr, _ = s.NextReplica(600*time.Millisecond, []string{"a", "b"})
	g.Expect(addr).To(Equal("a"))
}

// expectFewRequests checks that a search that begins with replica a and never finds a leader asks
// seldom. respond records the response to a request, if there is one.
func expectFewRequests(t *testing.T, respond func(s *seek.LeaderSearch, now time.Duration, addr string)) {
	t.Helper()
	const wait, maxRequests = 3 * time.Second, 55
	addrs := []string{"a", "b", "c"}
	s := seek.New("a")
	requests := 0
	for now := time.Duration(0); now < wait; now += time.Millisecond {
		if addr, _ := s.NextReplica(now, addrs); addr != "" {
			requests++
			respond(s, now, addr)
		}
	}
	NewWithT(t).Expect(requests).To(BeNumerically("<=", maxRequests))
}

// Commands that wait while no replica leads must not flood the replicas, which need their
// processors for the election.
func TestSearchWithoutLeaderSlowsDown(t *testing.T) {
	expectFewRequests(t, func(s *seek.LeaderSearch, now time.Duration, addr string) {
		s.RecordNotLeader(now, addr, "")
	})
}

// Commands that wait for a leader that is slow to commit must not flood the other replicas with
// questions for another one.
func TestSearchWithSlowLeaderSlowsDown(t *testing.T) {
	expectFewRequests(t, func(s *seek.LeaderSearch, now time.Duration, addr string) {
		if addr != "a" {
			s.RecordNotLeader(now, addr, "a")
		}
	})
}
