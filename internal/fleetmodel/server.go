package fleetmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// server is one backend server.
type server struct {
	spec  *Service
	speed float64
	// busy is how many requests are in work.
	busy int
	// slow is how many times as long work takes; shed and lose are the shares of the
	// requests that it turns away and whose answers it loses.
	slow, shed, lose float64
}

// time draws how long a request takes that begins now.
func (s *server) time(rng *rand.Rand, k *Kind) time.Duration {
	mean := float64(k.Work) * math.Exp(k.Spread*rng.NormFloat64()-k.Spread*k.Spread/2)
	if k.WorkMax > 0 {
		mean = min(mean, float64(k.WorkMax))
	}
	if s.spec.Knee > 0 && float64(s.busy) > s.spec.Knee*float64(s.spec.Slots) {
		mean *= s.spec.KneeTimes
	}
	return time.Duration(mean * s.slow / s.speed)
}
