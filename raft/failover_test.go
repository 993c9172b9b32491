package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestCommitsResumeAfterLeaderLoss checks how soon commits resume after the leader fails, in
// half of the larger groups together with another replica. The groups have 3 to 15 replicas,
// with syncs of 1 to 30 ms.
func TestCommitsResumeAfterLeaderLoss(t *testing.T) {
	const (
		groups = 500
		// Callers give up after 4 s; the election gets a third of that.
		maxP99, maxTime = 1200 * time.Millisecond, 2 * time.Second
	)
	var took []time.Duration
	for seed := range uint64(groups) {
		took = append(took, measureFailover(t, seed))
	}
	slices.Sort(took)
	p99, longest := took[groups*99/100], took[groups-1]
	t.Logf("first commit after the loss: median %v, 90%% %v, 99%% %v, longest %v", took[groups/2], took[groups*9/10], p99, longest)
	if p99 > maxP99 || longest > maxTime {
		t.Errorf("first commit after the loss: 99%% %v, limit %v; longest %v, limit %v", p99, maxP99, longest, maxTime)
	}
}

// measureFailover runs one group and returns the time without commits after the loss.
func measureFailover(t *testing.T, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 97))
	voters := 3 + rng.IntN(13)
	s := newSlowGroup(seed, voters)
	electStableLeader(t, s)
	s.syncOverrides = map[string]time.Duration{}
	for _, id := range s.ids {
		// Half of the groups have replicas whose ticks coincide.
		if phase := rng.IntN(int(simTick / simStep)); seed%4 < 2 {
			s.replicas[id].tickOffset = simStep * time.Duration(phase)
		}
		s.syncOverrides[id] = time.Millisecond + time.Duration(rng.Int64N(int64(29*time.Millisecond)))
	}
	s.longestCommitGap(time.Duration(rng.Int64N(int64(time.Second))))
	s.failed = map[string]bool{s.leaderID(): true}
	if voters > 4 && seed%2 == 1 {
		others := slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool { return s.failed[id] })
		s.failed[others[rng.IntN(len(others))]] = true
	}
	return s.timeToCommit(time.Minute)
}

// commandLatencies returns the sorted commit latencies of n commands.
func (s *slowGroup) commandLatencies(n int) []time.Duration {
	var took []time.Duration
	for range n {
		took = append(took, s.timeToCommit(time.Minute))
	}
	slices.Sort(took)
	return took
}

// TestRecoveryTimeLimitByGroupSize checks that groups of any size recover from the loss of the
// leader and another voter within the same limit. Syncs take 1 to 30 ms.
func TestRecoveryTimeLimitByGroupSize(t *testing.T) {
	const (
		groups, commits = 100, 20
		maxTime         = 2 * time.Second
	)
	for _, voters := range []int{5, 7, 9, 12} {
		var latencies, recovery []time.Duration
		for seed := range uint64(groups) {
			rng := rand.New(rand.NewPCG(seed, 96))
			s := newSlowGroup(seed, voters)
			electStableLeader(t, s)
			s.syncOverrides = map[string]time.Duration{}
			for _, id := range s.ids {
				s.replicas[id].tickOffset = simStep * time.Duration(rng.IntN(int(simTick/simStep)))
				s.syncOverrides[id] = time.Millisecond + time.Duration(rng.Int64N(int64(29*time.Millisecond)))
			}
			latencies = append(latencies, s.commandLatencies(commits)...)
			s.failed = map[string]bool{s.leaderID(): true}
			s.failed[s.ids[rng.IntN(voters)]] = true
			recovery = append(recovery, s.timeToCommit(time.Minute))
		}
		slices.Sort(latencies)
		slices.Sort(recovery)
		t.Logf("%d voters: commit latency: median %v, 99%% %v; first commit after two losses: median %v, 99%% %v, longest %v",
			voters, latencies[len(latencies)/2], latencies[len(latencies)*99/100], recovery[groups/2], recovery[groups*99/100], recovery[groups-1])
		if recovery[groups-1] > maxTime {
			t.Errorf("%d voters: longest recovery %v, limit %v", voters, recovery[groups-1], maxTime)
		}
	}
}
