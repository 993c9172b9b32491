package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The leader loses power, in half of the groups another replica with it, and changes
// are asked for on. Groups of 3 to 15 replicas, whose disks take 1 to 30 ms a sync.
func TestNextCommitAfterTheLossOfTheLeader(t *testing.T) {
	const (
		groups = 500
		// A change that nobody takes within 4 s counts as failed: a third of that
		// is left to the election, so that whoever asks meets it in time.
		most99, most = 1200 * time.Millisecond, 2 * time.Second
	)
	var took []time.Duration
	for seed := range uint64(groups) {
		took = append(took, failover(t, seed))
	}
	slices.Sort(took)
	at99, longest := took[groups*99/100], took[groups-1]
	t.Logf("first commit after the loss: median %v, 90%% %v, 99%% %v, longest %v", took[groups/2], took[groups*9/10], at99, longest)
	if at99 > most99 || longest > most {
		t.Errorf("99%% %v, bar %v; longest %v, bar %v", at99, most99, longest, most)
	}
}

// failover plays one group and returns how long it commits nothing.
func failover(t *testing.T, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 97))
	voters := 3 + rng.IntN(13)
	s := newSlowGroup(seed, voters)
	settle(t, s)
	s.syncs = map[string]time.Duration{}
	for _, id := range s.ids {
		// Half of the groups run on processes that were started together.
		if phase := rng.IntN(int(slowTick / slowUnit)); seed%4 < 2 {
			s.replicas[id].phase = slowUnit * time.Duration(phase)
		}
		s.syncs[id] = time.Millisecond + time.Duration(rng.Int64N(int64(29*time.Millisecond)))
	}
	s.longestGap(time.Duration(rng.Int64N(int64(time.Second))))
	s.lost = map[string]bool{s.leaderID(): true}
	if voters > 4 && seed%2 == 1 {
		others := slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool { return s.lost[id] })
		s.lost[others[rng.IntN(len(others))]] = true
	}
	return s.commitTime(time.Minute)
}

// commitTimes returns how long single commands take to be committed, in order.
func (s *slowGroup) commitTimes(n int) []time.Duration {
	var took []time.Duration
	for range n {
		took = append(took, s.commitTime(time.Minute))
	}
	slices.Sort(took)
	return took
}

// What more voters cost and bring: the time of a change, and the time until the next one
// after the leader and another voter are lost, by the number of voters. Disks take 1 to
// 30 ms a sync. More voters must not make a group slower to elect: the bars are those of
// all sizes together.
func TestMoreVotersElectAsSoon(t *testing.T) {
	const (
		groups, commits = 100, 20
		most            = 2 * time.Second
	)
	for _, voters := range []int{5, 7, 9, 12} {
		var commit, next []time.Duration
		for seed := range uint64(groups) {
			rng := rand.New(rand.NewPCG(seed, 96))
			s := newSlowGroup(seed, voters)
			settle(t, s)
			s.syncs = map[string]time.Duration{}
			for _, id := range s.ids {
				s.replicas[id].phase = slowUnit * time.Duration(rng.IntN(int(slowTick/slowUnit)))
				s.syncs[id] = time.Millisecond + time.Duration(rng.Int64N(int64(29*time.Millisecond)))
			}
			commit = append(commit, s.commitTimes(commits)...)
			s.lost = map[string]bool{s.leaderID(): true}
			s.lost[s.ids[rng.IntN(voters)]] = true
			next = append(next, s.commitTime(time.Minute))
		}
		slices.Sort(commit)
		slices.Sort(next)
		t.Logf("%d voters: a change takes %v (median), %v (99%%); the next one after two losses %v, %v, longest %v",
			voters, commit[len(commit)/2], commit[len(commit)*99/100], next[groups/2], next[groups*99/100], next[groups-1])
		if next[groups-1] > most {
			t.Errorf("%d voters: longest %v, bar %v", voters, next[groups-1], most)
		}
	}
}
