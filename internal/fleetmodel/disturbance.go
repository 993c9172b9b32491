package fleetmodel

import (
	"maps"
	"slices"
	"time"

	"github.com/umberthread/umberthread/route"
)

// rejoinDelay is the time from a node's start until the others know of it.
const rejoinDelay = 300 * time.Millisecond

// scheduleDisturbances schedules the start and end of each disturbance.
func (sim *simulation) scheduleDisturbances() {
	for _, t := range sim.scenario.Disturbances {
		sim.schedule(t.Start, func() {
			end := sim.beginDisturbance(t)
			sim.schedule(t.Duration, end)
		})
	}
}

// beginDisturbance starts a disturbance and returns the function that ends it.
func (sim *simulation) beginDisturbance(t Disturbance) (end func()) {
	switch t.Type {
	case LoadBurst:
		sim.loadFactor *= t.Magnitude
		return func() { sim.loadFactor /= t.Magnitude }
	case ExtraResends:
		sim.resendFraction, sim.extraResends = t.Fraction, t.Magnitude
		return func() { sim.resendFraction = 0 }
	case PowerLoss:
		return sim.beginPowerLoss(t)
	}
	hit := sim.selectNodes(t)
	set := func(on bool) {
		for _, n := range hit {
			n.server.setDisturbance(t, on)
		}
	}
	set(true)
	began := sim.now
	return func() {
		set(false)
		if t.Type == RateLimit {
			sim.result.recordRateLimits(hit, t.Magnitude, began, sim.now)
		}
	}
}

// setDisturbance starts or ends a disturbance of one server.
func (s *server) setDisturbance(t Disturbance, on bool) {
	times := 0.0
	if on {
		times = t.Magnitude
	}
	switch t.Type {
	case Slowdown:
		s.slowdown = max(1, times)
	case Rejection:
		s.rejectFraction = times
	case ResponseLoss:
		s.lossFraction = times
	case RateLimit:
		s.rateLimit = times
	}
}

// selectNodes returns a random selection of the nodes that a disturbance affects.
func (sim *simulation) selectNodes(t Disturbance) []*node {
	var all []*node
	for _, n := range sim.nodes {
		if t.Service == "" || n.server.spec.Name == t.Service {
			all = append(all, n)
		}
	}
	sim.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:int(t.Fraction*float64(len(all))+0.5)]
}

// beginPowerLoss powers off the selected nodes and returns the function that restarts them.
func (sim *simulation) beginPowerLoss(t Disturbance) (end func()) {
	hit := sim.selectNodes(t)
	for _, n := range hit {
		n.powerOff()
	}
	return func() {
		for _, n := range hit {
			n.start()
			sim.announceRejoin(n)
		}
	}
}

// powerOff stops a node and its server and drops their requests in flight.
func (n *node) powerOff() {
	sim := n.sim
	// In the order of creation, as the order of a map would make results differ.
	executions := slices.SortedFunc(maps.Keys(sim.executions), func(a, b *execution) int { return a.number - b.number })
	for _, e := range executions {
		if e.node != n || e.completed {
			continue
		}
		e.completed = true
		delete(sim.executions, e)
		if e.onPowerLoss != nil {
			e.onPowerLoss()
		}
	}
	callbacks := n.powerLossCallbacks
	n.powerLossCallbacks = nil
	for _, c := range slices.SortedFunc(maps.Keys(callbacks), func(a, b *call) int { return a.number - b.number }) {
		if !c.completed {
			callbacks[c]()
		}
	}
	n.down = true
	n.incarnation++
}

// announceRejoin makes a restarted node selectable at the others after rejoinDelay.
func (sim *simulation) announceRejoin(back *node) {
	sim.schedule(rejoinDelay, func() {
		for _, n := range sim.nodes {
			for _, in := range n.instances(back.server.spec.Name) {
				if in.ID == back.id {
					in.Observed.SetUnreachable(false)
				}
			}
		}
	})
}

// instances returns the instances of a service in the node's routing table.
func (n *node) instances(service string) []*route.Instance {
	svc := n.routes.Services[service]
	return slices.Concat(append([][]*route.Instance{svc.LocalInstances}, svc.RemoteDomains...)...)
}
