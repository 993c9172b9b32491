package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

// LargeFleet returns a fleet of 186 servers without duration or disturbances. Three
// kinds of requests depend, through several services, on the same scarce one, whose
// slots are held longest by requests of normal class.
func LargeFleet() Scenario {
	speeds := []float64{0.5, 1, 1, 1.5}
	return Scenario{
		Domains: 6, SameDomainLatency: 300 * time.Microsecond, CrossDomainLatency: time.Millisecond, Policy: DefaultPolicy(),
		Services: []Service{
			{Name: "pages", Servers: 66, Slots: 96, SpeedFactors: speeds},
			{Name: "bookings", Servers: 54, Slots: 96, SpeedFactors: speeds},
			{Name: "media", Servers: 18, Slots: 96, SpeedFactors: []float64{0.6, 1, 1.4}},
			{Name: "rosters", Servers: 48, Slots: 25, SpeedFactors: []float64{0.7, 0.7, 1.6}, KneeUtilization: 0.95, KneeSlowdown: 1.3},
		},
		Kinds: []RequestKind{
			{
				Name: "read", Service: "pages", Class: rank.Normal, RatePerSecond: 620, MeanServiceTime: 480 * time.Millisecond, ServiceTimeSigma: 0.8, MaxServiceTime: 2900 * time.Millisecond,
				LatencyObjective: 2500 * time.Millisecond, Deadline: 5 * time.Second, Value: 1, LateValue: 0.3, Idempotent: true, MaxOffered: 3, MaxResends: 1,
				Calls: []NestedCall{{"check", 1}},
			},
			{
				Name: "confirm", Service: "bookings", Class: rank.Protected, RatePerSecond: 320, MeanServiceTime: 620 * time.Millisecond, ServiceTimeSigma: 0.5, MaxServiceTime: 4700 * time.Millisecond,
				LatencyObjective: 2500 * time.Millisecond, Deadline: 5 * time.Second, Value: 3, LateValue: 0.6, MaxOffered: 3, MaxResends: 1,
				Calls: []NestedCall{{"index", 1}},
			},
			{
				Name: "upload", Service: "media", Class: rank.Important, RatePerSecond: 75, MeanServiceTime: 570 * time.Millisecond, ServiceTimeSigma: 0.3, MaxServiceTime: 4300 * time.Millisecond,
				LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Value: 2, LateValue: 0.6, MaxOffered: 3, MaxResends: 1,
			},
			{
				Name: "roster", Service: "rosters", Class: rank.Normal, RatePerSecond: 140, MeanServiceTime: 1900 * time.Millisecond, ServiceTimeSigma: 0.3, MaxServiceTime: 11 * time.Second,
				LatencyObjective: 5 * time.Second, Deadline: 20 * time.Second, Value: 1, LateValue: 0.3, Idempotent: true, MaxOffered: 3, MaxResends: 1,
			},
			{
				Name: "check", Service: "bookings", MeanServiceTime: 15 * time.Millisecond, ServiceTimeSigma: 0.5, Deadline: 2500 * time.Millisecond, Idempotent: true, MaxOffered: 3,
				Calls: []NestedCall{{"index", 1}},
			},
			{
				Name: "index", Service: "media", MeanServiceTime: 15 * time.Millisecond, ServiceTimeSigma: 0.5, Deadline: 2 * time.Second, Idempotent: true, MaxOffered: 3,
				Calls: []NestedCall{{"lookup", 4}},
			},
			{Name: "lookup", Service: "rosters", MeanServiceTime: 120 * time.Millisecond, ServiceTimeSigma: 0.5, MaxServiceTime: 720 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true, MaxOffered: 3},
		},
	}
}

// RejectingService combines a load burst, extra resends and a loss of power of half of
// the nodes; afterwards the scarce service rejects 55 percent of its requests.
func RejectingService() Scenario {
	f := LargeFleet()
	f.Duration = 24 * time.Second
	f.Warmup = 2 * time.Second
	f.Disturbances = []Disturbance{
		{Type: LoadBurst, Start: 2 * time.Second, Duration: 10 * time.Second, Magnitude: 1.45},
		{Type: ExtraResends, Start: 5 * time.Second, Duration: 5 * time.Second, Fraction: 0.4, Magnitude: 3},
		{Type: PowerLoss, Start: 5 * time.Second, Duration: 1500 * time.Millisecond, Fraction: 0.5},
		{Type: Rejection, Start: 13 * time.Second, Duration: 8500 * time.Millisecond, Service: "rosters", Fraction: 1, Magnitude: 0.55},
	}
	return f
}

// SlowServers slows down two fifths of the servers of the scarce service by a factor
// of 12 while most servers of another service lose responses.
func SlowServers() Scenario {
	f := LargeFleet()
	f.Duration = 16 * time.Second
	f.Warmup = 2 * time.Second
	f.Disturbances = []Disturbance{
		{Type: Slowdown, Start: 4 * time.Second, Duration: 9 * time.Second, Service: "rosters", Fraction: 0.4, Magnitude: 12},
		{Type: ResponseLoss, Start: 4 * time.Second, Duration: 6 * time.Second, Service: "pages", Fraction: 0.6, Magnitude: 0.3},
	}
	return f
}

// LoadSurge raises the load to 1.45 times the base rate for most of the run.
func LoadSurge() Scenario {
	f := LargeFleet()
	f.Duration = 20 * time.Second
	f.Warmup = 2 * time.Second
	f.Disturbances = []Disturbance{{Type: LoadBurst, Start: time.Second, Duration: 16 * time.Second, Magnitude: 1.45}}
	return f
}

// HangingService slows down all servers of the scarce service by a factor of 40.
func HangingService() Scenario {
	f := LargeFleet()
	f.Duration = 14 * time.Second
	f.Warmup = 2 * time.Second
	f.Disturbances = []Disturbance{{Type: Slowdown, Start: 4 * time.Second, Duration: 6 * time.Second, Service: "rosters", Fraction: 1, Magnitude: 40}}
	return f
}

// LimitedServers makes part of the scarce service's servers name a limit of a third of the
// requests that they usually get, then all of them one of a sixth.
func LimitedServers() Scenario {
	f := LargeFleet()
	f.Duration = 30 * time.Second
	f.Warmup = 2 * time.Second
	f.Disturbances = []Disturbance{
		{Type: RateLimit, Start: 3 * time.Second, Duration: 9 * time.Second, Service: "rosters", Fraction: 0.25, Magnitude: 28},
		{Type: RateLimit, Start: 16 * time.Second, Duration: 9 * time.Second, Service: "rosters", Fraction: 1, Magnitude: 14},
	}
	return f
}

// Scenarios holds the predefined scenarios by name.
var Scenarios = map[string]func() Scenario{
	"turned-away": RejectingService, "slowed": SlowServers, "surged": LoadSurge, "hanging": HangingService,
	"limited": LimitedServers,
}
