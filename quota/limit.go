package quota

import (
	"math"
	"time"
)

// Limit bounds the requests of a workspace over all nodes together.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests on top.
	Burst float64
}

// Unlimited reports whether the limit allows everything.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance is how far the operators allow a limit to be exceeded in a window.
type Tolerance struct {
	// Window is the length of the window in which requests are counted.
	Window time.Duration
	// Overshoot is the tolerated excess as a fraction of what the limit allows in a
	// window, and Slack a number of requests on top.
	Overshoot, Slack float64
}

// overshootUsed and slackUsed are the parts of the tolerance that are used for bursts. The
// rest covers shares that are in transfer between nodes.
const (
	overshootUsed = 0.3
	slackUsed     = 0.5
)

// spread returns the burst that is divided among the nodes: the limit's own and part
// of the tolerated excess.
func (t Tolerance) spread(l Limit) float64 {
	perWindow := l.Rate*t.Window.Seconds() + l.Burst
	return l.Burst + overshootUsed*t.Overshoot*perWindow
}

// reserve returns the tokens that the ledger of one of several domains keeps beside its
// part of the burst, so that a few requests of a small workspace pass in each domain.
func (t Tolerance) reserve(domains int) float64 {
	return slackUsed * t.Slack / float64(domains)
}

// Share is the part of a limit that one node may use without asking.
type Share struct {
	// Rate and Burst are fractions of the limit's rate and of its burst; that of the rate can
	// be above 1. A share without
	// rate admits nothing by itself.
	Rate, Burst float64
}

// maxRateFraction bounds the fraction of a rate: part of the burst can go into it.
const maxRateFraction = 16

// Valid reports whether the fractions are in their range.
func (s Share) Valid() bool {
	return s.Rate >= 0 && s.Rate <= maxRateFraction && s.Burst >= 0 && s.Burst <= 1
}

// floorPart is the part of a limit that nodes may use without a ledger. Others may still
// have shares of it.
const floorPart = 0.25

// Floor returns the fraction of a limit that a node may use without a ledger, as one of a
// number of nodes in the fleet.
func Floor(nodes int) float64 { return floorPart / float64(max(1, nodes)) }

// add adds a multiple of another share.
func (s *Share) add(other Share, times float64) {
	s.Rate += times * other.Rate
	s.Burst += times * other.Burst
}

// bucket holds the parameters of a node's token bucket.
type bucket struct {
	share Share
	// interval is the time in which a token arrives.
	interval time.Duration
	// size is the number of tokens that a full bucket holds, at least 1.
	size float64
	// expires is when the share is no longer valid, on the node's clock.
	expires time.Duration
}

// maxInterval stands for a bucket that does not fill.
const maxInterval = time.Hour

// newBucket returns the bucket of a share of a limit.
func newBucket(l Limit, t Tolerance, s Share, expires time.Duration) *bucket {
	b := &bucket{share: s, interval: maxInterval, size: max(1, s.Burst*t.spread(l)), expires: expires}
	if rate := s.Rate * l.Rate; rate > 0 {
		b.interval = time.Duration(min(float64(maxInterval), math.Ceil(float64(time.Second)/rate)))
	}
	return b
}

// tokens returns the tokens in the bucket, which is full at the given time.
func (b *bucket) tokens(now, fullAt time.Duration) float64 {
	return b.size - float64(max(0, fullAt-now))/float64(b.interval)
}

// fullAt returns when a bucket with a number of tokens is full.
func (b *bucket) fullAt(now time.Duration, tokens float64) time.Duration {
	return now + time.Duration((b.size-tokens)*float64(b.interval))
}
