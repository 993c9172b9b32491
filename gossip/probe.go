package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/umberthread/umberthread/internal/codec"
)

// Tick starts probes and handles timeouts. It must be called several times per
// ProbeInterval.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.checkProbeTimeouts(now)
	if now >= c.nextProbeAt {
		c.nextProbeAt = now + c.opt.ProbeInterval
		c.startProbe(now)
	}
	if now-c.lastExpiry >= c.opt.ProbeInterval {
		c.lastExpiry = now
		c.expire(now)
	}
}

// expire declares suspected and leaving members dead after their timeouts, and removes
// dead members and relays that have expired.
func (c *Core) expire(now time.Duration) {
	for _, id := range slices.Clone(c.probeOrder) {
		s := c.members[id]
		age := now - s.updatedAt
		switch {
		case s.Status == Suspect && age >= c.opt.SuspicionTimeout:
			c.setStatus(now, s, Dead)
		case s.Status == Leaving && age >= c.opt.DepartedRetention:
			c.setStatus(now, s, Dead)
		case s.Status == Dead && age >= c.opt.DepartedRetention:
			c.removeMember(id)
		}
	}
	maps.DeleteFunc(c.relays, func(_ uint64, r relay) bool { return now > r.deadline })
	maps.DeleteFunc(c.pings, func(_ uint64, p sentPing) bool { return now-p.at > pingMemory })
}

// pingMemory is how long a ping may take to be answered.
const pingMemory = 2 * time.Second

// ping sends a ping for this node and returns its sequence number.
func (c *Core) ping(addr string) uint64 {
	seq := c.nextSeq(addr)
	c.send(addr, Packet{Kind: Ping, Seq: seq})
	return seq
}

// nextSeq returns the sequence number of a ping or query to an address, and remembers it.
func (c *Core) nextSeq(addr string) uint64 {
	c.seq++
	c.pings[c.seq] = sentPing{addr, c.now}
	return c.seq
}

func (c *Core) removeMember(id string) {
	delete(c.members, id)
	c.store.remove(memberPrefix + id)
	for i, o := range c.probeOrder {
		if o == id {
			c.probeOrder = append(c.probeOrder[:i], c.probeOrder[i+1:]...)
			return
		}
	}
}

func (c *Core) startProbe(now time.Duration) {
	if c.probe != nil {
		return
	}
	s := c.nextProbeTarget()
	if s == nil {
		return
	}
	c.probe = &activeProbe{memberID: s.ID, seq: c.ping(s.Addr), ackDeadline: now + c.opt.AckTimeout, deadline: now + 2*c.opt.AckTimeout}
}

// nextProbeTarget returns the next member to probe in round-robin order, or nil. A
// member joins the order at a random position.
func (c *Core) nextProbeTarget() *memberState {
	for range c.probeOrder {
		c.probeIndex = (c.probeIndex + 1) % len(c.probeOrder)
		s := c.members[c.probeOrder[c.probeIndex]]
		if s.Status != Dead {
			return s
		}
	}
	return nil
}

// checkProbeTimeouts sends indirect probes when the direct probe has timed out, and
// suspects the member when those have too.
func (c *Core) checkProbeTimeouts(now time.Duration) {
	p := c.probe
	if p == nil {
		return
	}
	s := c.members[p.memberID]
	if s == nil || s.Status == Dead {
		c.probe = nil
		return
	}
	if !p.indirectSent && now >= p.ackDeadline {
		p.indirectSent = true
		c.sendPingReqs(p)
	}
	if now >= p.deadline {
		c.probe = nil
		if s.Status == Alive {
			c.setStatus(now, s, Suspect)
		}
	}
}

// sendPingReqs asks random members to probe the target of p.
func (c *Core) sendPingReqs(p *activeProbe) {
	n := len(c.probeOrder)
	if n == 0 {
		return
	}
	from := c.opt.Rand.IntN(n)
	asked := 0
	for i := 0; i < n && asked < c.opt.IndirectProbes; i++ {
		s := c.members[c.probeOrder[(from+i)%n]]
		if s.ID == p.memberID || s.Status != Alive {
			continue
		}
		asked++
		c.send(s.Addr, Packet{Kind: PingReq, Seq: p.seq, Target: c.members[p.memberID].Addr})
	}
}

// HandlePacket processes a packet received from addr.
func (c *Core) HandlePacket(now time.Duration, addr string, p Packet) {
	c.now = now
	for _, r := range p.Records {
		c.applyRecord(now, r)
	}
	c.forwardUrgentChanges()
	switch p.Kind {
	case Ping:
		c.send(addr, Packet{Kind: Ack, Seq: p.Seq})
		c.notifySuspected(addr, p.From)
	case PingReq:
		c.seq++
		c.relays[c.seq] = relay{addr, p.Seq, now + c.opt.ProbeInterval}
		c.send(p.Target, Packet{Kind: Ping, Seq: c.seq})
	case Query:
		c.outgoing = append(c.outgoing, OutgoingPacket{addr, Packet{Kind: Ack, From: c.self.ID, Seq: p.Seq}})
	case Ack:
		c.handleAck(now, p)
	}
}

// notifySuspected sends a member its own record if it is suspected or dead, so that it
// can refute it without waiting for the record to spread.
func (c *Core) notifySuspected(addr, id string) {
	s := c.members[id]
	if s == nil || s.Status == Alive || s.Status == Leaving {
		return
	}
	c.outgoing = append(c.outgoing, OutgoingPacket{addr, Packet{Kind: Ack, From: c.self.ID, Records: []Record{memberRecord(s.Member)}}})
}

// handleAck relays the ack of a ping sent for another member, or ends the active probe.
func (c *Core) handleAck(now time.Duration, p Packet) {
	by := p.By
	if by == "" {
		by = p.From
	}
	if r, ok := c.relays[p.Seq]; ok {
		delete(c.relays, p.Seq)
		c.send(r.requesterAddr, Packet{Kind: Ack, Seq: r.requesterSeq, By: by})
		return
	}
	c.recordAnswer(p)
	if c.probe == nil || c.probe.seq != p.Seq {
		return
	}
	s := c.members[c.probe.memberID]
	c.probe = nil
	if s != nil && by != s.ID && s.Status != Dead {
		// Another process answers at the member's address, so the member's process has
		// ended. Its replacement's acks must not keep it alive.
		c.setStatus(now, s, Dead)
	}
}

// recordAnswer reports the ack of a ping or query. One that was relayed has the relay's version of
// the settings.
func (c *Core) recordAnswer(p Packet) {
	sent, ok := c.pings[p.Seq]
	if !ok || p.By != "" {
		return
	}
	delete(c.pings, p.Seq)
	c.answers = append(c.answers, Answer{sent.addr, sent.at, p})
}

// send queues a packet for sending, with piggybacked records.
func (c *Core) send(addr string, p Packet) {
	p.From = c.self.ID
	p.Records = c.takePiggyback()
	c.outgoing = append(c.outgoing, OutgoingPacket{addr, p})
}

// recordOverheadBytes is the encoded size of a record beyond its key and payload.
const recordOverheadBytes = 16

// takePiggyback returns queued records up to MaxPiggybackBytes, and requeues those with
// sends remaining at the end so that each record gets its turn.
func (c *Core) takePiggyback() []Record {
	var out []Record
	room := c.opt.MaxPiggybackBytes
	kept := c.broadcasts[:0]
	var again []broadcast
	for _, b := range c.broadcasts {
		r, ok := c.store.records[b.key]
		if !ok {
			continue
		}
		size := len(r.Key) + len(r.Payload) + recordOverheadBytes
		if size > room {
			kept = append(kept, b)
			continue
		}
		room -= size
		out = append(out, r)
		if b.remainingSends > 1 {
			again = append(again, broadcast{b.key, b.remainingSends - 1})
		}
	}
	c.broadcasts = append(kept, again...)
	return out
}

// memberPayload is the encoded payload of a member record.
type memberPayload struct {
	Addr        string
	Status      Status
	Incarnation uint64
	Meta        []byte
}

// memberRecord returns the record that describes a member.
func memberRecord(m Member) Record {
	payload := codec.Encode(&memberPayload{Addr: m.Addr, Status: m.Status, Incarnation: m.Incarnation, Meta: m.Meta})
	return Record{memberPrefix + m.ID, memberStamp(m), payload}
}

// decodeMember decodes a member record. It returns false if the record is malformed or
// its stamp does not match its content.
func decodeMember(r Record) (Member, bool) {
	var w memberPayload
	if err := codec.Decode(r.Payload, &w); err != nil || w.Status > Dead {
		return Member{}, false
	}
	m := Member{r.Key[len(memberPrefix):], w.Addr, w.Status, w.Incarnation, w.Meta}
	return m, memberStamp(m) == r.Stamp
}

// EncodePacket encodes a packet as a datagram.
func EncodePacket(p Packet) []byte {
	b := codec.Encode(&p)
	if p.ConfigAge > 0 {
		b = append(b, codec.Encode(p.ConfigAge)...)
	}
	return b
}

// DecodePacket decodes a datagram, which may lack the age.
func DecodePacket(b []byte) (Packet, error) {
	var p Packet
	rest, err := codec.DecodePrefix(b, &p)
	if err == nil && len(rest) > 0 {
		_, err = codec.DecodePrefix(rest, &p.ConfigAge)
	}
	return p, err
}
