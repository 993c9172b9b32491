package gossip

import (
	"slices"
	"time"

	"github.com/umberthread/umberthread/internal/codec"
)

// Tick advances the probes. It is called several times per Period.
func (c *Core) Tick(now time.Duration) {
	c.checkProbe(now)
	if now >= c.nextProbe {
		c.nextProbe = now + c.opt.ProbeInterval
		c.startProbe(now)
	}
	if now-c.scanned >= c.opt.ProbeInterval {
		c.scanned = now
		c.scan(now)
	}
}

// scan ends suspicions and forgets members that are long dead.
func (c *Core) scan(now time.Duration) {
	for _, id := range slices.Clone(c.order) {
		s := c.members[id]
		age := now - s.since
		switch {
		case s.Status == Suspect && age >= c.opt.SuspicionTimeout:
			c.setStatus(now, s, Dead)
		case s.Status == Leaving && age >= c.opt.DepartedRetention:
			c.setStatus(now, s, Dead)
		case s.Status == Dead && age >= c.opt.DepartedRetention:
			c.forget(id)
		}
	}
	for seq, r := range c.relays {
		if now > r.by {
			delete(c.relays, seq)
		}
	}
}

func (c *Core) forget(id string) {
	delete(c.members, id)
	c.store.remove(memberPrefix + id)
	for i, o := range c.order {
		if o == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

func (c *Core) startProbe(now time.Duration) {
	if c.probe != nil {
		return
	}
	s := c.pick()
	if s == nil {
		return
	}
	c.seq++
	c.probe = &probe{id: s.ID, seq: c.seq, ackBy: now + c.opt.AckTimeout, periodE: now + 2*c.opt.AckTimeout}
	c.send(s.Addr, Packet{Kind: Ping, Seq: c.seq})
}

// pick returns the next member to probe. The order is random for each member
// when it joins, so that within one round everyone is probed once.
func (c *Core) pick() *state {
	for range c.order {
		c.next = (c.next + 1) % len(c.order)
		s := c.members[c.order[c.next]]
		if s.Status != Dead {
			return s
		}
	}
	return nil
}

// checkProbe asks others about a silent member, then suspects it.
func (c *Core) checkProbe(now time.Duration) {
	p := c.probe
	if p == nil {
		return
	}
	s := c.members[p.id]
	if s == nil || s.Status == Dead {
		c.probe = nil
		return
	}
	if !p.asked && now >= p.ackBy {
		p.asked = true
		c.askOthers(p)
	}
	if now >= p.periodE {
		c.probe = nil
		if s.Status == Alive {
			c.setStatus(now, s, Suspect)
		}
	}
}

func (c *Core) askOthers(p *probe) {
	n := len(c.order)
	if n == 0 {
		return
	}
	from := c.opt.Rand.IntN(n)
	asked := 0
	for i := 0; i < n && asked < c.opt.IndirectProbes; i++ {
		s := c.members[c.order[(from+i)%n]]
		if s.ID == p.id || s.Status != Alive {
			continue
		}
		asked++
		c.send(s.Addr, Packet{Kind: PingFor, Seq: p.seq, Target: c.members[p.id].Addr})
	}
}

// Receive takes a packet in. addr is where it came from.
func (c *Core) HandlePacket(now time.Duration, addr string, p Packet) {
	for _, r := range p.Records {
		c.receive(now, r)
	}
	c.handOnNews()
	switch p.Kind {
	case Ping:
		c.send(addr, Packet{Kind: Ack, Seq: p.Seq})
		c.reassure(addr, p.From)
	case PingFor:
		c.seq++
		c.relays[c.seq] = relay{addr, p.Seq, now + c.opt.ProbeInterval}
		c.send(p.Target, Packet{Kind: Ping, Seq: c.seq})
	case Ack:
		c.ack(now, p)
	}
}

// reassure tells a member that it is suspected or thought dead, so that it
// can object at once rather than when the rumour reaches it.
func (c *Core) reassure(addr, id string) {
	s := c.members[id]
	if s == nil || s.Status == Alive || s.Status == Leaving {
		return
	}
	c.outs = append(c.outs, OutgoingPacket{addr, Packet{Kind: Ack, From: c.self.ID, Records: []Record{memberRecord(s.Member)}}})
}

func (c *Core) ack(now time.Duration, p Packet) {
	by := p.By
	if by == "" {
		by = p.From
	}
	if r, ok := c.relays[p.Seq]; ok {
		delete(c.relays, p.Seq)
		c.send(r.addr, Packet{Kind: Ack, Seq: r.seq, By: by})
		return
	}
	if c.probe == nil || c.probe.seq != p.Seq {
		return
	}
	s := c.members[c.probe.id]
	c.probe = nil
	if s != nil && by != s.ID && s.Status != Dead {
		// Another process answers at the member's address, so the member has ended.
		// Else it would stay alive for good, and its successor be counted twice.
		c.setStatus(now, s, Dead)
	}
}

func (c *Core) send(addr string, p Packet) {
	p.From = c.self.ID
	p.Records = c.riders()
	c.outs = append(c.outs, OutgoingPacket{addr, p})
}

// recordOverhead is what a record costs in a packet beside key and payload.
const recordOverhead = 16

// riders takes records from the queue, least often sent first as the queue
// turns over, up to the room in one packet.
func (c *Core) riders() []Record {
	var out []Record
	room := c.opt.MaxPiggybackBytes
	kept := c.queue[:0]
	var again []broadcast
	for _, b := range c.queue {
		r, ok := c.store.records[b.key]
		if !ok {
			continue
		}
		size := len(r.Key) + len(r.Payload) + recordOverhead
		if size > room {
			kept = append(kept, b)
			continue
		}
		room -= size
		out = append(out, r)
		if b.left > 1 {
			again = append(again, broadcast{b.key, b.left - 1})
		}
	}
	c.queue = append(kept, again...)
	return out
}

// memberWire is a member's payload.
type memberWire struct {
	Addr        string
	Status      Status
	Incarnation uint64
	Meta        []byte
}

func memberRecord(m Member) Record {
	payload := codec.Encode(&memberWire{Addr: m.Addr, Status: m.Status, Incarnation: m.Incarnation, Meta: m.Meta})
	return Record{memberPrefix + m.ID, stamp(m), payload}
}

// decodeMember reads a member record; false if it is malformed or its stamp
// is not that of its content.
func decodeMember(r Record) (Member, bool) {
	var w memberWire
	if err := codec.Decode(r.Payload, &w); err != nil || w.Status > Dead {
		return Member{}, false
	}
	m := Member{r.Key[len(memberPrefix):], w.Addr, w.Status, w.Incarnation, w.Meta}
	return m, stamp(m) == r.Stamp
}

// EncodePacket returns the datagram of a packet.
func EncodePacket(p Packet) []byte { return codec.Encode(&p) }

// DecodePacket reads a datagram.
func DecodePacket(b []byte) (Packet, error) {
	var p Packet
	err := codec.Decode(b, &p)
	return p, err
}
