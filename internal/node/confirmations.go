package node

import (
	"math"
	"slices"
	"time"

	"github.com/umberthread/umberthread/confirm"
	"github.com/umberthread/umberthread/gossip"
)

const (
	// selfConfirmInterval is the time between two confirmations by the leader of the group that
	// holds the settings, which all others come from.
	selfConfirmInterval = 200 * time.Millisecond
	// selfConfirmTimeout bounds one of them.
	selfConfirmTimeout = 500 * time.Millisecond
)

// confirmLoop keeps the settings of this node confirmed by a quorum: on the leader by reads, on
// other nodes by asking those that know.
func (n *Node) confirmLoop() {
	asker := confirm.NewAsker(newRand())
	for {
		wait := selfConfirmInterval
		if n.replicas.leads(configGroup) {
			n.confirmAsLeader()
		} else {
			wait = n.askForConfirmation(asker)
		}
		select {
		case <-n.stop:
			return
		case <-time.After(wait):
		}
	}
}

// askForConfirmation asks other nodes if a question is due. It returns the time until the next one.
func (n *Node) askForConfirmation(asker *confirm.Asker) time.Duration {
	if addr := n.gossip.lastSender(); addr != "" {
		asker.Heard(addr)
	}
	addrs, wait := asker.Next(n.clock(), n.versions.confirmation(), n.confirmTargets())
	n.gossip.query(addrs)
	return wait
}

// confirmTargets returns the addresses that this node may ask.
func (n *Node) confirmTargets() confirm.Targets {
	t := confirm.Targets{Leader: n.replicas.leaderAddr(configGroup), OtherReplicas: n.gossip.replicaAddrs()}
	v := n.view.Load()
	for _, d := range v.domains {
		t.LinkMembers = append(t.LinkMembers, d.ControlAddrs...)
	}
	for _, p := range v.replicas {
		switch {
		case p.Addr == n.opt.AdvertiseControl:
		case p.Domain == n.opt.Domain:
			t.Replicas = append(t.Replicas, p.Addr)
		case !slices.Contains(t.OtherReplicas, p.Addr):
			t.OtherReplicas = append(t.OtherReplicas, p.Addr)
		}
	}
	return t
}

// query asks the nodes at some addresses for their version of the settings and its age.
func (g *gossiper) query(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	g.postToCore(func() {
		for _, addr := range addrs {
			g.core.Query(addr)
		}
	})
}

// replicaAddrs returns all addresses where a replica may be, whether one is known there or not.
func (g *gossiper) replicaAddrs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncScheduler.ReplicaAddrs()
}

// confirmAsLeader has a quorum confirm the settings by a read on the replica of this node.
func (n *Node) confirmAsLeader() {
	began := n.clock()
	if version, err := n.replicas.readConfigVersion(selfConfirmTimeout); err == nil {
		n.versions.confirm(began, version, n.conf.Load().version)
	}
}

// packetAge returns the age of the settings as gossip packets carry it.
func (n *Node) packetAge() uint32 {
	at := n.versions.confirmation()
	if at == 0 {
		return 0
	}
	// Rounded up, so that the receiver never takes it for younger.
	return uint32(min(math.MaxUint32, max(0, (n.clock()-at).Milliseconds())+1))
}

// handleAnswer takes the settings' version and age from the answer to a ping. The age counts from
// before the ping, so that a delayed answer does not look young.
func (g *gossiper) handleAnswer(a gossip.Answer) {
	g.observeVersion(viaPacket, a.Addr, a.Packet.Config)
	if a.Packet.ConfigAge == 0 {
		return
	}
	age := time.Duration(a.Packet.ConfigAge) * time.Millisecond
	g.node.versions.confirm(a.SentAt-age, a.Packet.Config, g.node.conf.Load().version)
}

// trackConfirmation logs when no quorum has confirmed the settings for a while, and when one does
// again.
func (n *Node) trackConfirmation(now time.Duration) {
	at := n.versions.confirmation()
	report, lasted := n.doubts.unconfirmed.observe(now, at > 0 && now-at > contactTimeout)
	switch report {
	case doubtBegan:
		n.warnEvent("config", "No quorum has confirmed the settings in force for "+(now-at).Round(time.Millisecond).String()+".")
	case doubtEnded:
		n.logEvent("config", "The settings in force are confirmed again after "+(contactTimeout+lasted).Round(time.Millisecond).String()+".")
	}
}
