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
	// answerTime is how long a replica takes to answer, there and back.
	answerTime = 3 * time.Millisecond
	// questionTimeout is when a question to a lost replica is given up.
	questionTimeout = 700 * time.Millisecond
)

// group is a group of replicas that lost some, its leader among them, at time zero.
type group struct {
	addrs []string
	lost  map[string]bool
	old   string
	// next leads from elected on, and the others know it a heartbeat later.
	next    string
	elected time.Duration
}

func newGroup(rng *rand.Rand) *group {
	g := &group{lost: map[string]bool{}, elected: 500*time.Millisecond + time.Duration(rng.Int64N(int64(700*time.Millisecond)))}
	for i := range 3 + rng.IntN(13) {
		g.addrs = append(g.addrs, fmt.Sprint("replica", i))
	}
	order := slices.Clone(g.addrs)
	rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	g.old, g.next = order[0], order[len(order)-1]
	g.lost[order[0]] = true
	if len(order) > 4 {
		g.lost[order[1]] = true
	}
	return g
}

// leaderSeenBy returns whom a replica takes for the leader.
func (g *group) leaderSeenBy(now time.Duration) string {
	const followersNotice = 500 * time.Millisecond
	const heartbeat = 75 * time.Millisecond
	switch {
	case now >= g.elected+heartbeat:
		return g.next
	case now < followersNotice:
		return g.old
	default:
		return ""
	}
}

// question is one that is under way.
type question struct {
	addr string
	ends time.Duration
}

// find returns when the new leader takes in the command.
func (g *group) find(t *testing.T) time.Duration {
	s := seek.New(g.old)
	var open []question
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for _, q := range open {
			if q.ends > now {
				continue
			}
			switch {
			case g.lost[q.addr]:
				s.RecordNoResponse(now, q.addr)
			case q.addr == g.next && now >= g.elected:
				return now
			default:
				s.NotLeader(now, q.addr, g.leaderSeenBy(now))
			}
		}
		open = slices.DeleteFunc(open, func(q question) bool { return q.ends <= now })
		addr, _ := s.NextReplica(now, g.addrs)
		if addr == "" {
			continue
		}
		if slices.ContainsFunc(open, func(q question) bool { return q.addr == addr }) {
			t.Fatalf("%v: %s is asked twice at once", now, addr)
		}
		took := answerTime
		if g.lost[addr] {
			took = questionTimeout
		}
		open = append(open, question{addr, now + took})
	}
	t.Fatal("the leader is not found")
	return 0
}

// The leader loses power, and another replica with it. Questions to them, one after
// another, took up to 0.7 s each in each round, so that a command reached the new
// leader up to 1.4 s after its election.
func TestLostReplicasHoldUpNoCommand(t *testing.T) {
	g := NewWithT(t)
	const groups = 500
	// Whoever leads is known everywhere a heartbeat after the election; a pause and
	// a hedge may pass besides.
	const most = 200 * time.Millisecond
	var longest time.Duration
	for seed := range uint64(groups) {
		group := newGroup(rand.New(rand.NewPCG(seed, 1)))
		longest = max(longest, group.find(t)-group.elected)
	}
	t.Logf("from the election to the leader that takes the command: longest %v", longest)
	g.Expect(longest).To(BeNumerically("<", most))
}

// A replica that answers slowly keeps its question, and the others are asked besides.
func TestSlowLeaderIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	s := seek.New("leader")
	addr, again := s.NextReplica(0, []string{"leader", "other"})
	g.Expect(addr).To(Equal("leader"))
	addr, _ = s.NextReplica(again-time.Millisecond, []string{"leader", "other"})
	g.Expect(addr).To(BeEmpty(), "it has time to answer")
	addr, _ = s.NextReplica(again, []string{"leader", "other"})
	g.Expect(addr).To(Equal("other"))
	s.NotLeader(again, "other", "leader")
	for now := again; now < time.Second; now += time.Millisecond {
		addr, _ = s.NextReplica(now, []string{"leader", "other"})
		g.Expect(addr).NotTo(Equal("leader"), "its question is under way")
		if addr == "other" {
			s.NotLeader(now, "other", "leader")
		}
	}
}

// A replica that came back and leads is asked at the word of another.
func TestReplicaThatCameBackIsAsked(t *testing.T) {
	g := NewWithT(t)
	s := seek.New("a")
	_, _ = s.NextReplica(0, []string{"a", "b"})
	s.RecordNoResponse(100*time.Millisecond, "a")
	addr, _ := s.NextReplica(200*time.Millisecond, []string{"a", "b"})
	g.Expect(addr).To(Equal("b"))
	s.NotLeader(500*time.Millisecond, "b", "a")
	addr, _ = s.NextReplica(600*time.Millisecond, []string{"a", "b"})
	g.Expect(addr).To(Equal("a"))
}
