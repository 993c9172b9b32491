package node

import (
	"sync"
	"time"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/wire"
)

const (
	peerDialTimeout = time.Second
	peerMaxIdle     = 256
)

// peers holds the connections to the nodes that this one sends requests to.
type peers struct {
	dial control.Dialer
	m    sync.Map // address -> *wire.Client
}

func (p *peers) client(addr string, silence time.Duration) *wire.Client {
	if v, ok := p.m.Load(addr); ok {
		return v.(*wire.Client)
	}
	c := wire.NewClient(addr, wire.ClientOptions{Silence: silence, DialTimeout: peerDialTimeout, MaxIdle: peerMaxIdle, Dialer: p.dial})
	v, _ := p.m.LoadOrStore(addr, c)
	return v.(*wire.Client)
}

// keep closes the clients of nodes that are no longer in the routing table.
func (p *peers) keep(addrs map[string]bool) {
	p.m.Range(func(k, v any) bool {
		if !addrs[k.(string)] {
			p.m.Delete(k)
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
		n += v.(*wire.Client).Silent()
		return true
	})
	return n
}
