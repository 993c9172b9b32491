package admission

import (
	"math"
	"time"

	"github.com/umberthread/umberthread/rank"
)

// RateLimit holds the requests to a backend server to the limit that it names in its answers:
// the requests per second that it accepts from all nodes together. The zero value is without a
// limit.
//
// Each request takes a token from a bucket. The fewer tokens are left, the higher the rank that
// a request needs, so that the requests shed last get what the server accepts.
type RateLimit struct {
	// named is the limit, and phase reports whether it is in force.
	named float64
	phase ratePhase
	// namedAt is when an answer last named a limit, lowestAt when one last named the
	// limit in force or less, and endedAt when the limit ended.
	namedAt, lowestAt, endedAt time.Duration

	// tokens is negative while the server has had more requests than it accepts.
	tokens     float64
	refilledAt time.Duration
	// level is the moving average of the level that the tokens left stand for.
	level   float64
	levelAt time.Duration
	recent  recentRequests
}

// ratePhase tells whether requests are limited.
type ratePhase uint8

const (
	unlimited ratePhase = iota
	limited
	// recovering follows the end of a limit: the rate grows until it no longer matters.
	recovering
)

// RateLimitChange is the effect of an answer on the limit.
type RateLimitChange uint8

// Effects of an answer.
const (
	RateLimitUnchanged RateLimitChange = iota
	RateLimitBegan
	RateLimitChanged
	RateLimitEnded
)

const (
	// rateRiseDelay is how long answers must name more than the limit in force until it
	// rises: of figures that change with each answer the lowest counts.
	rateRiseDelay = time.Second
	// rateEndDelay is how long answers must name no limit until it ends. It bridges
	// answers that lack it.
	rateEndDelay = 2 * time.Second
	// minNamedRate replaces lower limits, in requests per second: without any request no
	// answer could end the limit.
	minNamedRate = 0.5
	// recoveryDoubling is the time in which the rate doubles after the limit has ended, and
	// recoveryTime the time after which it is unlimited.
	recoveryDoubling = 500 * time.Millisecond
	recoveryTime     = 5 * time.Second
	// bucketTime is the time in which the bucket fills at the limit, and bucketMin the tokens
	// that it holds besides. In four seconds the server gets at most 1.2 times its limit and
	// bucketMin requests.
	bucketTime = 800 * time.Millisecond
	bucketMin  = 2
	// recoveryBucketTime replaces bucketTime after the end of a limit, as a bucket that has
	// filled at the grown rate would allow a burst.
	recoveryBucketTime = 100 * time.Millisecond
	// maxDebtTime bounds the time for which a new limit stops all requests because of those
	// that came before it.
	maxDebtTime = 2 * time.Second
	// newLimitFraction is the fraction of the limit in force below which another one counts
	// as new.
	newLimitFraction = 0.75
	// levelMemory is the time constant of the moving average of the level.
	levelMemory = 300 * time.Millisecond
	// levelLead is how far ahead the reported level looks: nodes keep a level for longer than
	// a bucket takes to fill, and tokens that arrive in a full bucket are lost.
	levelLead = 200 * time.Millisecond
)

// Observe records an answer that names a limit, in requests per second.
func (l *RateLimit) Observe(now time.Duration, rate float64) RateLimitChange {
	if math.IsNaN(rate) || rate < 0 {
		return RateLimitUnchanged
	}
	rate = max(rate, minNamedRate)
	l.namedAt = now
	if l.phase != limited {
		l.phase, l.named, l.lowestAt = limited, rate, now
		l.chargeRecent(now)
		return RateLimitBegan
	}
	if rate > l.named && now-l.lowestAt < rateRiseDelay {
		return RateLimitUnchanged
	}
	l.lowestAt = now
	if rate == l.named {
		return RateLimitUnchanged
	}
	l.refill(now)
	before := l.named
	l.named = rate
	if rate < newLimitFraction*before {
		l.chargeRecent(now)
	}
	return RateLimitChanged
}

// Adopt records a limit that another node has heard of, where this one has heard nothing yet.
// The bucket begins empty, as it is unknown which requests have taken its tokens.
func (l *RateLimit) Adopt(now time.Duration, rate float64) RateLimitChange {
	change := l.Observe(now, rate)
	if change == RateLimitBegan {
		l.tokens = min(l.tokens, 0)
	}
	return change
}

// ObserveNone records an answer that names no limit.
func (l *RateLimit) ObserveNone(now time.Duration) RateLimitChange {
	switch {
	case l.phase == recovering && now-l.endedAt >= recoveryTime:
		l.phase = unlimited
	case l.phase == limited && now-l.namedAt >= rateEndDelay:
		l.refill(now)
		l.phase, l.endedAt = recovering, now
		return RateLimitEnded
	}
	return RateLimitUnchanged
}

// chargeRecent charges the bucket with the requests of the last second, as if the limit had
// been in force then.
func (l *RateLimit) chargeRecent(now time.Duration) {
	l.tokens = max(l.named-float64(l.recent.count(now)), -l.named*maxDebtTime.Seconds())
	l.tokens = min(l.tokens, l.bucketSize())
	l.refilledAt, l.levelAt = now, now
	l.level = float64(l.instantLevel())
}

// Named returns the limit in force, in requests per second, and the time since an answer
// last named a limit; false if there is none.
func (l *RateLimit) Named(now time.Duration) (rate float64, age time.Duration, ok bool) {
	return l.named, now - l.namedAt, l.phase == limited
}

// InUse reports whether requests may be refused: a limit is in force or has just ended.
func (l *RateLimit) InUse() bool { return l.phase != unlimited }

// Admits reports whether a request of a rank and depth may be sent now. It takes no token.
func (l *RateLimit) Admits(now time.Duration, r rank.Rank, depth uint8) bool {
	if l.phase == unlimited {
		return true
	}
	l.refill(now)
	l.updateLevel(now)
	return l.tokens >= 1 && l.instantLevel().Admits(r, depth)
}

// Take records that a request is sent.
func (l *RateLimit) Take(now time.Duration) {
	l.recent.add(now)
	if l.phase == unlimited {
		return
	}
	l.refill(now)
	l.tokens--
	l.updateLevel(now)
}

// Level returns the level for the nodes that choose among servers: that below which requests were
// refused recently, or a lower one if the bucket fills.
func (l *RateLimit) Level(now time.Duration) rank.Level {
	if l.phase == unlimited {
		return 0
	}
	l.refill(now)
	l.updateLevel(now)
	return min(rank.Level(l.level), l.levelOf(l.expectedTokens(now)))
}

// expectedTokens returns the tokens after levelLead if as many requests are sent as in the last
// second, and at least those left now.
func (l *RateLimit) expectedTokens(now time.Duration) float64 {
	gain := l.rate(now) - float64(l.recent.count(now))
	return l.tokens + max(0, gain)*levelLead.Seconds()
}

// rate returns the tokens that arrive per second.
func (l *RateLimit) rate(now time.Duration) float64 {
	if l.phase != recovering {
		return l.named
	}
	return l.named * math.Exp2(float64(min(now-l.endedAt, recoveryTime))/float64(recoveryDoubling))
}

// bucketSize returns the most tokens that the bucket holds.
func (l *RateLimit) bucketSize() float64 {
	if l.phase == recovering {
		return bucketMin + recoveryBucketTime.Seconds()*l.rate(l.refilledAt)
	}
	return bucketMin + bucketTime.Seconds()*l.named
}

// refill adds the tokens that have arrived, and ends the recovery after its time.
func (l *RateLimit) refill(now time.Duration) {
	if l.phase == recovering && now-l.endedAt >= recoveryTime {
		l.phase = unlimited
		return
	}
	elapsed := max(0, now-l.refilledAt)
	l.refilledAt = now
	l.tokens = min(l.tokens+elapsed.Seconds()*l.rate(now), l.bucketSize())
}

// instantLevel returns the level that the tokens left stand for.
func (l *RateLimit) instantLevel() rank.Level { return l.levelOf(l.tokens) }

// levelOf returns the level that a number of tokens stands for: 0 for a full bucket, and one
// that admits nothing for an empty one.
func (l *RateLimit) levelOf(tokens float64) rank.Level {
	if tokens < 1 {
		return rank.Total
	}
	left := min(1, (tokens-1)/(l.bucketSize()-1))
	return rank.Level((1 - left) * (rank.Total - 1))
}

// updateLevel moves the average of the level.
func (l *RateLimit) updateLevel(now time.Duration) {
	weight := min(1, float64(now-l.levelAt)/float64(levelMemory))
	l.levelAt = now
	l.level += weight * (float64(l.instantLevel()) - l.level)
}

const (
	// recentSlice is the span of one count of recentRequests, which covers a second.
	recentSlice  = 100 * time.Millisecond
	recentSlices = 10
)

// recentRequests counts the requests of the last second.
type recentRequests struct {
	counts [recentSlices]int
	// newest is the number of the newest slice, counted from the start of the clock.
	newest int64
}

// add counts a request.
func (r *recentRequests) add(now time.Duration) {
	r.advance(now)
	r.counts[r.newest%recentSlices]++
}

// count returns the number of requests in the last second.
func (r *recentRequests) count(now time.Duration) int {
	r.advance(now)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// advance clears the slices that are over.
func (r *recentRequests) advance(now time.Duration) {
	current := int64(now / recentSlice)
	if current-r.newest >= recentSlices {
		r.counts = [recentSlices]int{}
		r.newest = current
	}
	for r.newest < current {
		r.newest++
		r.counts[r.newest%recentSlices] = 0
	}
}
