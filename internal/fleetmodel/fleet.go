package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Fleet is what is played.
type Scenario struct {
	// Domains is the number of failure domains. Servers and callers are spread
	// evenly over them.
	Domains int
	// Within and Between are the times of one way between two nodes of one failure
	// domain and of two.
	Within, Between time.Duration
	Services        []Service
	Kinds           []Kind
	Troubles        []Trouble
	// Length is how long callers send requests, and Lead how much of it at the start
	// is not counted.
	Length, Lead time.Duration
	Policy       Policy
}

// Service is a service and its backend servers.
type Service struct {
	Name    string
	Servers int
	Slots   int
	// Speeds are those of the servers, in turn; 1 takes the usual time.
	Speeds []float64
	// Knee is the share of the slots above which work takes KneeTimes as long, 0 for
	// none.
	Knee, KneeTimes float64
}

// Kind is a kind of request.
type Kind struct {
	Name    string
	Service string
	Class   rank.Class
	// PerSecond is how many callers send, over the whole fleet; 0 for a kind that
	// only backend servers call.
	PerSecond float64
	// Work is the mean time in a backend server beside that of its calls, Spread the
	// deviation of its logarithm, and WorkMax its bound.
	Work    time.Duration
	Spread  float64
	WorkMax time.Duration
	// Objective and Deadline count from the first and from each attempt.
	Objective, Deadline time.Duration
	// Worth is what an answer in time is worth, and Late what a later one is.
	Worth, Late float64
	Idempotent  bool
	// OfferMax is how many backend servers an attempt may be offered to.
	OfferMax int
	// Resends is how often a caller sends the request again.
	Resends int
	// Calls are made one after another once the work is done.
	Calls []Call
}

// Call is a call that a backend server makes.
type Call struct {
	Kind  string
	Times int
}

// TroubleType tells troubles apart.
type TroubleType uint8

// The types of troubles.
const (
	// Burst multiplies the load by Times.
	Burst TroubleType = iota
	// Slow has a share of a service's servers take Times as long.
	Slow
	// Shed has a share of a service's servers turn a share Times of the work away.
	Shed
	// Lose has a share of a service's servers lose a share Times of their answers.
	Lose
	// Down takes the power of a share of all nodes and their servers.
	Down
	// Resend has a share of the callers send Times as often again, at once.
	Resend
)

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Type    TroubleType
	At, For time.Duration
	// Service is empty for all.
	Service string
	Share   float64
	Times   float64
}

// Policy is what the nodes are set to.
type Policy struct {
	RetryBudget            int
	RetryRatio             float64
	RetryBurst             int
	RetryWindow            time.Duration
	QueueMax               int
	QueueWait, QueueTarget time.Duration
	Window                 time.Duration
	ShareMax               float64
	SpillAt                float64
	EjectFailures          int
	EjectTime              time.Duration
	EjectMax               float64
	Ramp                   time.Duration
	// Silence is how long a node that lost power goes unnoticed by a request that
	// it holds.
	Silence time.Duration
}

// DefaultPolicy is that of the settings, with the retries of the users' platform.
func DefaultPolicy() Policy {
	return Policy{
		RetryBudget: 24, RetryRatio: 0.16, RetryBurst: 1, RetryWindow: 10 * time.Second,
		QueueMax: 128, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond,
		ShareMax: 0.8, SpillAt: 0.7, EjectFailures: 5, EjectTime: time.Second, EjectMax: 0.5, Ramp: 2 * time.Second,
		Silence: 600 * time.Millisecond,
	}
}
