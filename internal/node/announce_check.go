package node

import (
	"time"

	"github.com/umberthread/umberthread/member"
)

// BackendHealth is what a backend server answered to a health request.
type BackendHealth struct {
	// Answered is set if it answered the request itself. A rejection for lack of room, or no answer,
	// tells nothing.
	Answered bool
	// Serving is set if it is healthy and not about to shut down.
	Serving bool
	// Instance is its identity, "" if the answer has none.
	Instance string
}

// restartDoubtTime is how long after the restart of a node an announcement may be older than what
// the earlier process knew. It is that of the records of retired incarnations, which are lost then.
const restartDoubtTime = incarnationRecordTTL

// maxAnnouncementDelay is how late an announcement may arrive. One that arrives later than that after the
// start of this process was sent after it, and so after each withdrawal that an earlier process knew.
const maxAnnouncementDelay = 5 * time.Second

// contradicts reports whether there is evidence against an announcement of a backend server that this
// node does not know: it arrived late, or is not of the server beside this node. It may send a health
// request.
func (n *Node) contradicts(a *Announcement, state member.State) bool {
	be := n.local.Load()
	switch {
	case a.Instance == "":
		return false
	case be == nil:
		return state != member.Draining && n.opt.Restarted && time.Since(n.start) < restartDoubtTime && n.deniesAnnouncement(a)
	case be.instance == "" || be.instance == a.Instance || be.memberState == member.Draining || time.Now().After(be.leaseExpires):
		return false
	}
	return n.isAlive(be)
}

// deniesAnnouncement reports whether the server at the announced address contradicts the announcement.
// Until the node has settings, it cannot ask.
func (n *Node) deniesAnnouncement(a *Announcement) bool {
	if n.opt.CheckBackend == nil {
		return false
	}
	if n.conf.Load().version == 0 {
		return true
	}
	return n.checkBackend(a.Service, a.Address).denies(a.Instance, time.Since(n.start))
}

// denies reports whether the answer contradicts an announcement of an identity at a time since the
// start of the node: it comes from another process, or from one that does not serve. The latter may be
// wrong: a server that goes on announcing itself counts as serving.
func (h BackendHealth) denies(instance string, sinceStart time.Duration) bool {
	switch {
	case !h.Answered:
		return false
	case h.Instance != "" && h.Instance != instance:
		return true
	}
	return !h.Serving && sinceStart < maxAnnouncementDelay
}

// isAlive reports whether an incarnation of the backend server has certainly not ended: it answers a
// health request, or if that tells nothing, a connection to it is open.
func (n *Node) isAlive(be *localBackend) bool {
	if h := n.checkBackend(be.service, be.client.Addr()); h.Answered && h.Instance != "" {
		return h.Instance == be.instance
	}
	return be.client.HasOpenConnection()
}

// checkBackend sends a health request, if the platform has them.
func (n *Node) checkBackend(service, addr string) BackendHealth {
	path := n.conf.Load().tree.Policy(service).HealthPath
	if n.opt.CheckBackend == nil || path == "" {
		return BackendHealth{}
	}
	return n.opt.CheckBackend(addr, path)
}
