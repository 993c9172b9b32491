package admission

import "time"

const (
	// searchSteps divides the declared slots: the limit is searched among the
	// whole and what is left when one to maxDown steps are taken away.
	searchSteps = 16
	maxDown     = 4
	// searchFrom is the least number of slots for which a step is a slot.
	searchFrom = searchSteps
	// epochFinishes is how many requests are timed at one limit. Times within a
	// kind differ by about half of their mean, so that the mean of as many is
	// right to 4%.
	epochFinishes = 192
	// margin is by how much a limit must finish more than a higher one to be
	// kept: about the error of a comparison.
	margin = 0.06
	// searchRest is the time between two trials that changed nothing. A trial
	// takes a sixteenth of the slots for a fraction of a second.
	searchRest = 4 * time.Second
	// clip bounds what one request counts, in means of its kind.
	clip = 3.0
	// meanKeep is the weight of the old mean time of a kind.
	meanKeep = 64
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
	down  int
	trial int
	// skip is how many finishes are still of requests begun at another limit.
	skip int
	n    int
	sum  float64
	// held is the mean time at the limit before the trial.
	held float64
	// restUntil is when the next trial may begin.
	restUntil time.Duration
	// deeper is set after a step down that was kept: the next may help too.
	deeper bool
	means  [MaxKinds]kindMean
}

// kindMean is the mean time of a request kind.
type kindMean struct {
	n    int
	mean time.Duration
}

// ceiling is the limit that the search has come to, trials included.
func (s *limitSearch) ceiling(slots int) float64 { return s.at(slots, s.down+s.trial) }

func (s *limitSearch) at(slots, down int) float64 {
	if slots < searchFrom {
		return float64(slots)
	}
	return float64(slots - (slots*down+searchSteps-1)/searchSteps)
}

// finish takes in a request that was run to its end while all slots were taken.
func (s *limitSearch) finish(now time.Duration, kind uint8, took time.Duration, slots int) {
	if slots < searchFrom {
		return
	}
	share, ok := s.share(kind, took)
	if !ok {
		return
	}
	if s.skip > 0 {
		s.skip--
		return
	}
	s.n++
	s.sum += min(clip, share)
	if s.n < epochFinishes {
		return
	}
	mean := s.sum / float64(s.n)
	s.n, s.sum = 0, 0
	if s.trial == 0 {
		s.begin(now, mean, slots)
		return
	}
	s.judge(now, mean, slots)
}

// share returns a request's time as a share of its kind's mean. The means stand
// still during a trial, so that both sides of a comparison have the same.
func (s *limitSearch) share(kind uint8, took time.Duration) (float64, bool) {
	m := &s.means[kind%MaxKinds]
	known := m.n >= meanKeep/4
	if s.trial == 0 {
		m.n = min(m.n+1, meanKeep)
		m.mean += (took - m.mean) / time.Duration(m.n)
	}
	if !known || m.mean <= 0 {
		return 0, false
	}
	return float64(took) / float64(m.mean), true
}

// begin starts a trial: up where the limit is lowered, unless a further step
// down is due.
func (s *limitSearch) begin(now time.Duration, mean float64, slots int) {
	if now < s.restUntil {
		return
	}
	s.held = mean
	switch {
	case s.down == 0 || s.deeper && s.down < maxDown:
		s.trial = 1
	default:
		s.trial = -1
	}
	s.deeper = false
	s.skip = slots
}

// judge ends a trial.
func (s *limitSearch) judge(now time.Duration, mean float64, slots int) {
	higher, lower := s.at(slots, s.down), s.at(slots, s.down+s.trial)
	slow, fast := s.held, mean
	if s.trial < 0 {
		higher, lower = lower, higher
		slow, fast = fast, slow
	}
	lowerIsBetter := lower/fast > (1+margin)*higher/slow
	if lowerIsBetter == (s.trial > 0) {
		s.down += s.trial
		s.deeper = s.trial > 0
	}
	if !s.deeper {
		s.restUntil = now + searchRest
	}
	s.trial = 0
	s.skip = slots
}

// interrupt gives up a trial: the server turned requests away, so that its times
// cannot be compared.
func (s *limitSearch) interrupt() {
	s.n, s.sum = 0, 0
	s.trial = 0
}
