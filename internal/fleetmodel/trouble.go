package fleetmodel

import (
	"slices"
	"time"

	"github.com/umberthread/umberthread/route"
)

// returnHeard is how long after its start the others hear of a node.
const returnHeard = 300 * time.Millisecond

// disturb has the troubles begin and end.
func (p *play) disturb() {
	for _, t := range p.fleet.Troubles {
		p.after(t.At, func() {
			end := p.beginTrouble(t)
			p.after(t.For, end)
		})
	}
}

// beginTrouble begins a trouble and returns what ends it.
func (p *play) beginTrouble(t Trouble) (end func()) {
	switch t.Type {
	case Burst:
		p.load *= t.Times
		return func() { p.load /= t.Times }
	case Resend:
		p.resend, p.resendTimes = t.Share, t.Times
		return func() { p.resend = 0 }
	case Down:
		return p.beginDown(t)
	}
	hit := p.draw(t)
	set := func(on bool) {
		for _, n := range hit {
			n.server.trouble(t, on)
		}
	}
	set(true)
	return func() { set(false) }
}

// trouble begins or ends a trouble of one server.
func (s *server) trouble(t Trouble, on bool) {
	times := 0.0
	if on {
		times = t.Times
	}
	switch t.Type {
	case Slow:
		s.slow = max(1, times)
	case Shed:
		s.shed = times
	case Lose:
		s.lose = times
	}
}

// draw returns the nodes whose servers a trouble hits.
func (p *play) draw(t Trouble) []*node {
	var all []*node
	for _, n := range p.nodes {
		if t.Service == "" || n.server.spec.Name == t.Service {
			all = append(all, n)
		}
	}
	p.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:int(t.Share*float64(len(all))+0.5)]
}

// beginDown takes the power of a share of the nodes.
func (p *play) beginDown(t Trouble) (end func()) {
	hit := p.draw(t)
	for _, n := range hit {
		n.stop()
	}
	return func() {
		for _, n := range hit {
			n.start()
			p.heardAgain(n)
		}
	}
}

// stop ends a node and its server, and with them what they have in hand.
func (n *node) stop() {
	p := n.p
	for w := range p.works {
		if w.n != n || w.ended {
			continue
		}
		w.ended = true
		delete(p.works, w)
		if w.lost != nil {
			w.lost()
		}
	}
	gone := n.callers
	n.callers = nil
	for c, tell := range gone {
		if !c.ended {
			tell()
		}
	}
	n.down = true
	n.boot++
}

// heardAgain has the others know that a node is back.
func (p *play) heardAgain(back *node) {
	p.after(returnHeard, func() {
		for _, n := range p.nodes {
			for _, in := range n.all(back.server.spec.Name) {
				if in.ID == back.id {
					in.Observed.SetUnreachable(false)
				}
			}
		}
	})
}

// all returns the instances of a service, as the node sees them.
func (n *node) all(service string) []*route.Instance {
	svc := n.routes.Services[service]
	return slices.Concat(append([][]*route.Instance{svc.LocalInstances}, svc.RemoteDomains...)...)
}
