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

// contradicts reports whether there is evidence against an announcement of a backend server that this
// node does not know: it arrived late, or is not of the server beside this node. It may send a health
// request.
func (n *Node) contradicts(a *Announcement, _ member.State) bool {
	be := n.local.Load()
	switch {
	case a.Instance == "":
		return false
	case be == nil:
		return false
	case be.instance == "" || be.instance == a.Instance || be.memberState == member.Draining || time.Now().After(be.leaseExpires):
		return false
	}
	return n.isAlive(be)
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
