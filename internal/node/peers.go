package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/route"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	// peerMaxIdle bounds the idle connections to one peer.
	peerMaxIdle = 256
)

// peerClients holds the connections to the nodes to which this one sends requests. It is safe
// for concurrent use.
type peerClients struct {
	dial    control.Dialer
	clients sync.Map // address -> *wire.Client
	// unreachable holds the addresses that cannot be reached, each with the routing
	// observations of its instance.
	unreachable sync.Map // address -> *route.Observations
}

// markUnreachable records that the node at an address cannot be reached. It gets no requests
// until it responds to a ping.
func (p *peerClients) markUnreachable(addr string, observed *route.Observations) {
	observed.SetUnreachable(true)
	p.unreachable.Store(addr, observed)
}

// probeUnreachable pings all unreachable addresses in parallel, and lets routing use those
// that respond again.
func (p *peerClients) probeUnreachable(timeout time.Duration) {
	var wg sync.WaitGroup
	p.unreachable.Range(func(k, v any) bool {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.client(k.(string), timeout).Probe(timeout) {
				// A later incarnation marked meanwhile must be probed itself.
				p.unreachable.CompareAndDelete(k, v)
				v.(*route.Observations).SetUnreachable(false)
			}
		}()
		return true
	})
	wg.Wait()
}

// client returns the client for an address. If there is none it creates one, on which a peer
// counts as unresponsive after the given silence.
func (p *peerClients) client(addr string, silence time.Duration) *wire.Client {
	if v, ok := p.clients.Load(addr); ok {
		return v.(*wire.Client)
	}
	c := wire.NewClient(addr, wire.ClientOptions{SilenceTimeout: silence, DialTimeout: peerDialTimeout, MaxIdle: peerMaxIdle, Dialer: p.dial})
	v, _ := p.clients.LoadOrStore(addr, c)
	return v.(*wire.Client)
}

// closeExcept closes the clients of addresses that are not in addrs, the nodes of the routing
// table.
func (p *peerClients) closeExcept(addrs map[string]bool) {
	p.clients.Range(func(k, v any) bool {
		if !addrs[k.(string)] {
			p.clients.Delete(k)
			p.unreachable.Delete(k)
			v.(*wire.Client).Close()
		}
		return true
	})
}

// refreshIdle pings idle connections of each peer, so that live ones are available. It blocks
// while one is unresponsive.
func (p *peerClients) refreshIdle() {
	p.clients.Range(func(_, v any) bool {
		v.(*wire.Client).Refresh()
		return true
	})
}

// silentConnections returns how many connections were found unresponsive.
func (p *peerClients) silentConnections() int64 {
	var n int64
	p.clients.Range(func(_, v any) bool {
		n += v.(*wire.Client).SilentConnections()
		return true
	})
	return n
}
