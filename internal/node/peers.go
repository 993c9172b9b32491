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
	peerMaxIdle     = 256
)

// peers holds the connections to the nodes that this one sends requests to.
type peers struct {
	dial control.Dialer
	m    sync.Map // address -> *wire.Client
	// lost holds the addresses that cannot be reached, each with what is
	// observed of the instance there.
	lost sync.Map // address -> *route.Observed
}

// lose notes that the node at an address cannot be reached. No request is
// risked on it until it answers a ping.
func (p *peers) lose(addr string, seen *route.Observed) {
	seen.CutOff(true)
	p.lost.Store(addr, seen)
}

// find pings the addresses that could not be reached, all at once.
func (p *peers) find(timeout time.Duration) {
	var wg sync.WaitGroup
	p.lost.Range(func(k, v any) bool {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.client(k.(string), timeout).Probe(timeout) {
				p.lost.Delete(k)
				v.(*route.Observed).CutOff(false)
			}
		}()
		return true
	})
	wg.Wait()
}

func (p *peers) client(addr string, silence time.Duration) *wire.Client {
	if v, ok := p.m.Load(addr); ok {
		return v.(*wire.Client)
	}
	c := wire.NewClient(addr, wire.ClientOptions{SilenceTimeout: silence, DialTimeout: peerDialTimeout, MaxIdle: peerMaxIdle, Dialer: p.dial})
	v, _ := p.m.LoadOrStore(addr, c)
	return v.(*wire.Client)
}

// keep closes the clients of nodes that are no longer in the routing table.
func (p *peers) keep(addrs map[string]bool) {
	p.m.Range(func(k, v any) bool {
		if !addrs[k.(string)] {
			p.m.Delete(k)
			p.lost.Delete(k)
			v.(*wire.Client).Close()
		}
		return true
	})
}

// refresh keeps some idle connections of each peer known to be alive.
func (p *peers) refresh() {
	p.m.Range(func(_, v any) bool {
		v.(*wire.Client).Refresh()
		return true
	})
}

// silent returns how many connections were found silent.
func (p *peers) silent() int64 {
	var n int64
	p.m.Range(func(_, v any) bool {
		n += v.(*wire.Client).SilentConnections()
		return true
	})
	return n
}
