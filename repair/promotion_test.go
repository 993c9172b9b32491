package repair

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// promotionCase is an idle group that has lost a voter, and in which the entries that check the
// disk of its learner are committed late.
type promotionCase struct {
	name string
	// leaderSync and followerSync are the times of the syncs of the leader and of the other
	// voter, 0 for a disk of normal speed.
	leaderSync, followerSync time.Duration
	// followerDelay and learnerDelay delay each message to and from the other voter and the
	// learner.
	followerDelay, learnerDelay time.Duration
}

// promotionCases returns slow disks and slow links.
func promotionCases() []promotionCase {
	const slowLink = 150 * time.Millisecond
	cases := []promotionCase{
		{name: "slow link to the voter", followerDelay: slowLink},
		{name: "slow link to the learner", learnerDelay: slowLink},
		{name: "slow links", followerDelay: slowLink, learnerDelay: slowLink},
		{name: "slow links and disk", followerSync: time.Second, followerDelay: slowLink, learnerDelay: slowLink},
	}
	for _, sync := range []time.Duration{50, 150, 200, 250, 300, 500, 1000} {
		sync *= time.Millisecond
		cases = append(cases,
			promotionCase{name: fmt.Sprintf("voter's syncs of %v", sync), followerSync: sync},
			promotionCase{name: fmt.Sprintf("leader's syncs of %v", sync), leaderSync: sync},
		)
	}
	return cases
}

// run returns the time from the loss of a voter until the group tolerates the next loss, at most
// limit, and the number of entries that checked the disk of a learner.
func (c promotionCase) run(t *testing.T, seed uint64, messageLoss float64, limit time.Duration) (took time.Duration, checks int) {
	s := diskScenario{available: 4, voters: 3, slowest: diskNormalSync, syncOf: map[string]time.Duration{}, delayOf: map[string]time.Duration{}}
	f := newDiskGroup(seed, s)
	f.commandInterval, f.messageLoss = time.Hour, messageLoss
	f.runFor(5 * time.Second)
	leader := f.leader()
	if leader == nil {
		t.Fatalf("%s, seed %d: no leader", c.name, seed)
	}
	var followers []*diskReplica
	for _, r := range f.replicas[:s.voters] {
		if r != leader {
			followers = append(followers, r)
		}
	}
	lost, follower, learner := followers[0], followers[1], f.replicas[s.voters]
	if c.leaderSync > 0 {
		f.syncOf[leader.ID] = c.leaderSync
	}
	if c.followerSync > 0 {
		f.syncOf[follower.ID] = c.followerSync
	}
	f.delayOf[follower.ID], f.delayOf[learner.ID] = c.followerDelay, c.learnerDelay
	f.losePower(lost)
	start := f.clock
	for !f.toleratesLoss() && f.clock < start+limit {
		f.advance()
	}
	for _, p := range f.plans {
		if strings.Contains(p, "wrote an entry") {
			checks++
		}
	}
	return f.clock - start, checks
}

// checkPromotions runs all cases and checks that the next loss is tolerated within baseTime and
// consecutive syncs of the slow disk.
func checkPromotions(t *testing.T, messageLoss float64, baseTime time.Duration) {
	t.Helper()
	const (
		draws     = 20
		limit     = 30 * time.Second
		syncCount = 2
		maxChecks = 1
	)
	for _, c := range promotionCases() {
		longest, mostChecks := time.Duration(0), 0
		for seed := range uint64(draws) {
			took, checks := c.run(t, seed, messageLoss, limit)
			longest, mostChecks = max(longest, took), max(mostChecks, checks)
		}
		t.Logf("%s: the next loss is tolerated after at most %v, with at most %d checks of the learner's disk", c.name, longest, mostChecks)
		if bound := baseTime + syncCount*max(c.leaderSync, c.followerSync); longest > bound {
			t.Errorf("%s: the next loss is tolerated after %v, expected within %v", c.name, longest, bound)
		}
		if mostChecks > maxChecks {
			t.Errorf("%s: %d entries checked the learner's disk, at most %d expected", c.name, mostChecks, maxChecks)
		}
	}
}

// A learner confirms the entry that checks its disk long before a slow voter does. The wait for
// that voter must not make the confirmation too old for the promotion: the group would write one
// entry after the other and stay at two of three voters.
func TestLateCommitsDoNotKeepLearnerFromPromotion(t *testing.T) {
	checkPromotions(t, 0, 3500*time.Millisecond)
}

// In an idle group no later entry shows that a message was lost. The leader must notice from the
// heartbeats, also over links that take longer than the time between two of them.
func TestLostMessagesDoNotKeepIdleLearnerFromPromotion(t *testing.T) {
	checkPromotions(t, diskMessageLoss, 4500*time.Millisecond)
}
