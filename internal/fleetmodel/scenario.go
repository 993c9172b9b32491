package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Scenario describes a fleet, its load and its disturbances.
type Scenario struct {
	// Domains is the number of failure domains. Servers and callers are spread
	// evenly over them.
	Domains int
	// SameDomainLatency and CrossDomainLatency are the one-way latencies between two
	// nodes of the same failure domain and of different ones.
	SameDomainLatency, CrossDomainLatency time.Duration
	Services                              []Service
	Kinds                                 []RequestKind
	Disturbances                          []Disturbance
	// Duration is how long callers send requests. Requests first sent during Warmup,
	// at its start, are not counted.
	Duration, Warmup time.Duration
	Policy           Policy
}

// Service describes a service and its backend servers.
type Service struct {
	Name    string
	Servers int
	// Slots is the number of requests that a server executes concurrently.
	Slots int
	// SpeedFactors are assigned to the servers in rotation; service times are divided
	// by them.
	SpeedFactors []float64
	// KneeUtilization is the slot utilization above which service times are multiplied
	// by KneeSlowdown; 0 disables it.
	KneeUtilization, KneeSlowdown float64
}

// RequestKind describes a kind of request and its load.
type RequestKind struct {
	Name    string
	Service string
	Class   rank.Class
	// RatePerSecond is the arrival rate over the whole fleet; 0 for a kind that only
	// backend servers call.
	RatePerSecond float64
	// MeanServiceTime is the mean execution time in a backend server without nested
	// calls, ServiceTimeSigma the standard deviation of its logarithm, and
	// MaxServiceTime its bound, 0 for none.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	MaxServiceTime   time.Duration
	// LatencyObjective is measured from the caller's first attempt, Deadline from
	// each attempt.
	LatencyObjective, Deadline time.Duration
	// Value is earned by a response within the objective, LateValue by a later one.
	Value, LateValue float64
	Idempotent       bool
	// MaxOffered bounds the backend servers that an attempt may be offered to.
	MaxOffered int
	// MaxResends bounds how often a caller sends the request again.
	MaxResends int
	// Calls are made sequentially after the service time.
	Calls []NestedCall
}

// NestedCall is a call that a backend server makes Count times, sequentially.
type NestedCall struct {
	Kind  string
	Count int
}

// DisturbanceType is the type of a disturbance.
type DisturbanceType uint8

// Types of disturbances.
const (
	// LoadBurst multiplies the arrival rate by Magnitude.
	LoadBurst DisturbanceType = iota
	// Slowdown multiplies the service times of the affected servers by Magnitude.
	Slowdown
	// Rejection makes the affected servers reject a fraction Magnitude of the requests.
	Rejection
	// ResponseLoss makes the affected servers lose a fraction Magnitude of their responses.
	ResponseLoss
	// PowerLoss powers off the affected nodes and their servers.
	PowerLoss
	// ExtraResends gives a fraction of the callers Magnitude additional resends and makes
	// them ignore the time until they may retry.
	ExtraResends
	// RateLimit makes the affected servers name a limit of Magnitude requests per second.
	RateLimit
)

// Disturbance is a temporary fault or overload.
type Disturbance struct {
	Type            DisturbanceType
	Start, Duration time.Duration
	// Service selects the servers of one service; empty selects all.
	Service string
	// Fraction is the affected fraction of the selected servers or of the callers.
	Fraction  float64
	Magnitude float64
}

// Policy holds the settings of the nodes.
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
	// SilenceTimeout is the time until the loss of power of a node is detected by
	// the nodes with requests in flight there.
	SilenceTimeout time.Duration
}

// DefaultPolicy returns the default settings, with the retry limits of the users'
// platform.
func DefaultPolicy() Policy {
	return Policy{
		RetryBudget: 24, RetryRatio: 0.2, RetryBurst: 1, RetryWindow: 10 * time.Second,
		QueueMax: 128, QueueWait: time.Second, QueueTarget: 3 * time.Millisecond, Window: 100 * time.Millisecond,
		ShareMax: 0.8, SpillAt: 0.7, EjectFailures: 5, EjectTime: time.Second, EjectMax: 0.5, Ramp: 2 * time.Second,
		SilenceTimeout: 600 * time.Millisecond,
	}
}
