package admission

import "time"

const (
	// limitSteps is the number of steps that divide the declared slots. The
	// searched limit is zero to maxStepsDown steps below the declared slots.
	limitSteps   = 16
	maxStepsDown = 4
	// minSearchSlots is the minimum number of slots for a search: a step is then
	// at least one slot.
	minSearchSlots = limitSteps
	// samplesPerLimit is the number of requests measured at each limit. Times within a
	// kind differ by about half of their mean, so the mean of as many is right to 4%,
	// which is below minImprovement.
	samplesPerLimit = 192
	// minImprovement is the relative gain in throughput that a lower limit must
	// show over a higher one. It covers the error of a comparison.
	minImprovement = 0.06
	// trialInterval is the pause after a trial, unless a step down succeeded. A trial
	// takes a sixteenth of the slots for a fraction of a second.
	trialInterval = 4 * time.Second
	// maxRelativeTime caps the contribution of one request, in means of its kind.
	maxRelativeTime = 3.0
	// meanSamples is the number of samples over which the mean service time of a
	// kind is averaged.
	meanSamples = 64
)

// limitSearch finds the concurrency limit with the highest throughput. A saturated
// backend server that slows down when nearly full finishes more with fewer slots: one
// that is a third slower at 28 of 29 slots or more finishes a fifth more with 27.
//
// It compares the mean relative service times at two limits, one after the other,
// while all slots are taken: by Little's law the limit with the higher quotient of
// limit and time has the higher throughput. It returns to the higher limit unless
// a trial confirms the lower one, so that a server that was slow for another
// reason regains its slots.
type limitSearch struct {
	stepsDown int
	trialStep int
	// skipFinishes is the number of next finishes to ignore, as those requests
	// started at another limit.
	skipFinishes    int
	samples         int
	relativeTimeSum float64
	// baselineTime is the mean relative time at the limit before the trial.
	baselineTime float64
	// nextTrial is the earliest start of the next trial.
	nextTrial time.Duration
	// continueDown is set after a successful step down, to try another.
	continueDown bool
	kindMeans    [MaxKinds]kindMean
}

// kindMean is the mean service time of a request kind.
type kindMean struct {
	samples int
	mean    time.Duration
}

// maxLimit returns the limit under test, or the best known one between trials.
func (s *limitSearch) maxLimit(slots int) float64 {
	return s.limitAfterSteps(slots, s.stepsDown+s.trialStep)
}

// limitAfterSteps returns the limit that is down steps below slots.
func (s *limitSearch) limitAfterSteps(slots, down int) float64 {
	if slots < minSearchSlots {
		return float64(slots)
	}
	return float64(slots - (slots*down+limitSteps-1)/limitSteps)
}

// recordFinish records a request that finished while all slots were taken.
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

// relativeTime returns a service time as a multiple of its kind's mean, or false
// until the mean has enough samples. The means are frozen during a trial, so that
// both sides of a comparison use the same.
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

// startTrial starts a trial of a higher limit if the limit is lowered, or of a
// lower one if it is not or the last step down succeeded.
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

// finishTrial compares the trial with the baseline and keeps the better limit.
func (s *limitSearch) finishTrial(now time.Duration, mean float64, slots int) {
	higher, lower := s.limitAfterSteps(slots, s.stepsDown), s.limitAfterSteps(slots, s.stepsDown+s.trialStep)
	higherTime, lowerTime := s.baselineTime, mean
	if s.trialStep < 0 {
		higher, lower = lower, higher
		higherTime, lowerTime = lowerTime, higherTime
	}
	lowerIsBetter := lower/lowerTime > (1+minImprovement)*higher/higherTime
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

// abortTrial abandons a trial after pushback: rejected requests make the service
// times incomparable.
func (s *limitSearch) abortTrial() {
	s.samples, s.relativeTimeSum = 0, 0
	s.trialStep = 0
}
