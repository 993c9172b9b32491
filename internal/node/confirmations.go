package node

import (
	"math"
	"time"

	"github.com/umberthread/umberthread/gossip"
)

const (
	// selfConfirmInterval is the time between two confirmations by the leader of the group that
	// holds the settings, which all others come from.
	selfConfirmInterval = 200 * time.Millisecond
	// selfConfirmTimeout bounds one of them.
	selfConfirmTimeout = 500 * time.Millisecond
)

// confirmLoop keeps the settings of this node confirmed by a quorum: as the leader by a read.
func (n *Node) confirmLoop() {
	n.runEvery(selfConfirmInterval, func(time.Time) {
		if n.replicas.leads(configGroup) {
			n.confirmAsLeader()
		}
	})
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
