package admission

import "time"

const (
	// searchSteps divides the declared slots: the limit is searched among the
	// whole and what is left when one to maxDown steps are taken away.
	limitSteps   = 16
	maxStepsDown = 4
	// searchFrom is the least number of slots for which a step is a slot.
	minSearchSlots = limitSteps
	// epochFinishes is how many requests are timed at one limit. Times within a
	// kind differ by about half of their mean, so that the mean of as many is
	// right to 4%.
	samplesPerLimit = 192
	// margin is by how much a limit must finish more than a higher one to be
	// kept: about the error of a comparison.
	minImprovement = 0.06
	// searchRest is the time between two trials that changed nothing. A trial
	// takes a sixteenth of the slots for a fraction of a second.
	trialInterval = 4 * time.Second
	// clip bounds what one request counts, in means of its kind.
	maxRelativeTime = 3.0
	// meanKeep is the weight of the old mean time of a kind.
	meanSamples = 64
)

// limitSearch finds the concurrency at which a backend server finishes most.
//
// The load that it answers: demand beyond the capacity, so that every slot is
// taken, at a server that gets slower when it is nearly full. At 28 of 29 slots
// or more one third slower, it finishes a fifth more with 27; and calls that
// stand eight in a row behind one request do not take a third longer each.
//
// It compares the mean times, each as a share of its kind's mean, at two limits
// one after the other while all slots are taken: by Little's law the one with
// the higher quotient of limit and time finishes more. It goes back up whenever
// a trial does not show the contrary again, so that a server which was slow for
// another reason gets its slots back.
type limitSearch struct {
	stepsDown int
	trialStep int
	// skip is how many finishes are still of requests begun at another limit.
	skipFinishes    int
	samples         int
	relativeTimeSum float64
	// held is the mean time at the limit before the trial.
	baselineTime float64
	// restUntil is when the next trial may begin.
	nextTrial time.Duration
	// deeper is set after a step down that was kept: the next may help too.
	continueDown bool
	kindMeans    [MaxKinds]kindMean
}

// kindMean is the mean time of a request kind.
type kindMean struct {
	samples int
	mean    time.Duration
}

// ceiling is the limit that the search has come to, trials included.
func (s *limitSearch) maxLimit(slots int) float64 {
	return s.limitAfterSteps(slots, s.stepsDown+s.trialStep)
}

func (s *limitSearch) limitAfterSteps(slots, down int) float64 {
	if slots < minSearchSlots {
		return float64(slots)
	}
	return float64(slots - (slots*down+limitSteps-1)/limitSteps)
}

// finish takes in a request that was run to its end while all slots were taken.
func (s *limitSearch) recordFinish(now time.Duration, kind uint8, took time.Duration, slots int) {
	if slots < minSearchSlots {
		return
	}
	share, ok := s.relativeTime(kind, took)
	if !ok {
		return
	}
	if s.skipFinishes > 0 {
		s.skipFinishes--
		return
	}
	s.samples++
	s.relativeTimeSum += min(maxRelativeTime, share)
	if s.samples < samplesPerLimit {
		return
	}
	mean := s.relativeTimeSum / float64(s.samples)
	s.samples, s.relativeTimeSum = 0, 0
	if s.trialStep == 0 {
		s.startTrial(now, mean, slots)
		return
	}
	s.finishTrial(now, mean, slots)
}

// share returns a request's time as a share of its kind's mean. The means stand
// still during a trial, so that both sides of a comparison have the same.
func (s *limitSearch) relativeTime(kind uint8, took time.Duration) (float64, bool) {
	m := &s.kindMeans[kind%MaxKinds]
	known := m.samples >= meanSamples/4
	if s.trialStep == 0 {
		m.samples = min(m.samples+1, meanSamples)
		m.mean += (took - m.mean) / time.Duration(m.samples)
	}
	if !known || m.mean <= 0 {
		return 0, false
	}
	return float64(took) / float64(m.mean), true
}

// begin starts a trial: up where the limit is lowered, unless a further step
// down is due.
func (s *limitSearch) startTrial(now time.Duration, mean float64, slots int) {
	if now < s.nextTrial {
		return
	}
	s.baselineTime = mean
	switch {
	case s.stepsDown == 0 || s.continueDown && s.stepsDown < maxStepsDown:
		s.trialStep = 1
	default:
		s.trialStep = -1
	}
	s.continueDown = false
	s.skipFinishes = slots
}

// judge ends a trial.
func (s *limitSearch) finishTrial(now time.Duration, mean float64, slots int) {
	higher, lower := s.limitAfterSteps(slots, s.stepsDown), s.limitAfterSteps(slots, s.stepsDown+s.trialStep)
	slow, fast := s.baselineTime, mean
	if s.trialStep < 0 {
		higher, lower = lower, higher
		slow, fast = fast, slow
	}
	lowerIsBetter := lower/fast > (1+minImprovement)*higher/slow
	if lowerIsBetter == (s.trialStep > 0) {
		s.stepsDown += s.trialStep
		s.continueDown = s.trialStep > 0
	}
	if !s.continueDown {
		s.nextTrial = now + trialInterval
	}
	s.trialStep = 0
	s.skipFinishes = slots
}

// interrupt gives up a trial: the server turned requests away, so that its times
// cannot be compared.
func (s *limitSearch) abortTrial() {
	s.samples, s.relativeTimeSum = 0, 0
	s.trialStep = 0
}
