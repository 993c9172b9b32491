package fleetmodel

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

// Wide is a fleet of some 180 servers in which three kinds of requests lead, through
// several services, to the same scarce one, whose slots are held for long by the least
// urgent kind.
func Wide() Scenario {
	speeds := []float64{0.5, 1, 1, 1.5}
	return Scenario{
		Domains: 6, Within: 300 * time.Microsecond, Between: time.Millisecond, Policy: DefaultPolicy(),
		Services: []Service{
			{Name: "pages", Servers: 66, Slots: 96, Speeds: speeds},
			{Name: "bookings", Servers: 54, Slots: 96, Speeds: speeds},
			{Name: "media", Servers: 18, Slots: 96, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "rosters", Servers: 48, Slots: 25, Speeds: []float64{0.7, 0.7, 1.6}, Knee: 0.95, KneeTimes: 1.3},
		},
		Kinds: []Kind{
			{
				Name: "read", Service: "pages", Class: rank.Normal, PerSecond: 620, Work: 480 * time.Millisecond, Spread: 0.8, WorkMax: 2900 * time.Millisecond,
				Objective: 2500 * time.Millisecond, Deadline: 5 * time.Second, Worth: 1, Late: 0.3, Idempotent: true, OfferMax: 3, Resends: 1,
				Calls: []Call{{"check", 1}},
			},
			{
				Name: "confirm", Service: "bookings", Class: rank.Protected, PerSecond: 320, Work: 620 * time.Millisecond, Spread: 0.5, WorkMax: 4700 * time.Millisecond,
				Objective: 2500 * time.Millisecond, Deadline: 5 * time.Second, Worth: 3, Late: 0.6, OfferMax: 3, Resends: 1,
				Calls: []Call{{"index", 1}},
			},
			{
				Name: "upload", Service: "media", Class: rank.Important, PerSecond: 75, Work: 570 * time.Millisecond, Spread: 0.3, WorkMax: 4300 * time.Millisecond,
				Objective: 2 * time.Second, Deadline: 8 * time.Second, Worth: 2, Late: 0.6, OfferMax: 3, Resends: 1,
			},
			{
				Name: "roster", Service: "rosters", Class: rank.Normal, PerSecond: 140, Work: 1900 * time.Millisecond, Spread: 0.3, WorkMax: 11 * time.Second,
				Objective: 5 * time.Second, Deadline: 20 * time.Second, Worth: 1, Late: 0.3, Idempotent: true, OfferMax: 3, Resends: 1,
			},
			{
				Name: "check", Service: "bookings", Work: 15 * time.Millisecond, Spread: 0.5, Deadline: 2500 * time.Millisecond, Idempotent: true, OfferMax: 3,
				Calls: []Call{{"index", 1}},
			},
			{
				Name: "index", Service: "media", Work: 15 * time.Millisecond, Spread: 0.5, Deadline: 2 * time.Second, Idempotent: true, OfferMax: 3,
				Calls: []Call{{"lookup", 4}},
			},
			{Name: "lookup", Service: "rosters", Work: 120 * time.Millisecond, Spread: 0.5, WorkMax: 720 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true, OfferMax: 3},
		},
	}
}

// TurnedAway is the load that a fleet meets whose callers send 1.7 times as much while
// half of the nodes lose their power, and whose scarce service then turns half of its
// work away.
func TurnedAway() Scenario {
	f := Wide()
	f.Length = 24 * time.Second
	f.Lead = 2 * time.Second
	f.Troubles = []Trouble{
		{Type: Burst, At: 2 * time.Second, For: 10 * time.Second, Times: 1.45},
		{Type: Resend, At: 5 * time.Second, For: 5 * time.Second, Share: 0.4, Times: 3},
		{Type: Down, At: 5 * time.Second, For: 1500 * time.Millisecond, Share: 0.5},
		{Type: Shed, At: 13 * time.Second, For: 8500 * time.Millisecond, Service: "rosters", Share: 1, Times: 0.55},
	}
	return f
}

// Slowed is the load that a fleet meets while two fifths of the servers of its scarce
// service take twelve times as long and most of another lose answers.
func Slowed() Scenario {
	f := Wide()
	f.Length = 16 * time.Second
	f.Lead = 2 * time.Second
	f.Troubles = []Trouble{
		{Type: Slow, At: 4 * time.Second, For: 9 * time.Second, Service: "rosters", Share: 0.4, Times: 12},
		{Type: Lose, At: 4 * time.Second, For: 6 * time.Second, Service: "pages", Share: 0.6, Times: 0.3},
	}
	return f
}

// Surged is a load of 1.7 times the usual for most of the time.
func Surged() Scenario {
	f := Wide()
	f.Length = 20 * time.Second
	f.Lead = 2 * time.Second
	f.Troubles = []Trouble{{Type: Burst, At: time.Second, For: 16 * time.Second, Times: 1.45}}
	return f
}

// Hanging is a load that a fleet meets while the scarce service takes forty times as
// long at all its servers.
func Hanging() Scenario {
	f := Wide()
	f.Length = 14 * time.Second
	f.Lead = 2 * time.Second
	f.Troubles = []Trouble{{Type: Slow, At: 4 * time.Second, For: 6 * time.Second, Service: "rosters", Share: 1, Times: 40}}
	return f
}

// Loads are the fleets of this package by name.
var Scenarios = map[string]func() Scenario{
	"turned-away": TurnedAway, "slowed": Slowed, "surged": Surged, "hanging": Hanging,
}
