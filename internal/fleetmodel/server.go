package fleetmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// server is a simulated backend server.
type server struct {
	spec        *Service
	speedFactor float64
	// inFlight is the number of requests being executed.
	inFlight int
	// slowdown multiplies the service times; rejectFraction and lossFraction are the
	// fractions of requests that it rejects and whose responses it loses.
	slowdown, rejectFraction, lossFraction float64
	// rateLimit is the limit that its responses name, 0 for none.
	rateLimit float64
	// arrivals holds the times of the requests that it received.
	arrivals []time.Duration
}

// drawServiceTime draws the log-normal service time of a request that starts now.
func (s *server) drawServiceTime(rng *rand.Rand, k *RequestKind) time.Duration {
	mean := float64(k.MeanServiceTime) * math.Exp(k.ServiceTimeSigma*rng.NormFloat64()-k.ServiceTimeSigma*k.ServiceTimeSigma/2)
	if k.MaxServiceTime > 0 {
		mean = min(mean, float64(k.MaxServiceTime))
	}
	if s.spec.KneeUtilization > 0 && float64(s.inFlight) > s.spec.KneeUtilization*float64(s.spec.Slots) {
		mean *= s.spec.KneeSlowdown
	}
	return time.Duration(mean * s.slowdown / s.speedFactor)
}
