// Package inbound bounds what the servers of one process hold for those that connect to them: the
// memory of connections, heads, bodies and messages together, the open connections of each address,
// and the time that each part of a request may take.
//
// All servers of a process share one Gate. Memory is reserved before it is allocated. Where none
// is left, package intake chooses the connections that are evicted; the others are not disturbed.
package inbound

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/intake"
)

const (
	// memoryFraction is the part of a process's memory that is held for connections. The rest is for
	// the state of the process, garbage that was not collected yet, and the system's buffers.
	memoryFraction = 0.25
	// reliefFraction is the part of a bound that is freed at once when it is reached, so that the
	// victims are not looked for at each connection of a crowd.
	reliefFraction = 1.0 / 16
	// maxDescriptors bounds the descriptors that are counted on.
	maxDescriptors = 1 << 16
)

// Options are the limits of a process.
type Options struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open; 0 means the system's limit.
	Descriptors int
}

// Gate holds the bounds that all servers of a process share. It is safe for concurrent use.
type Gate struct {
	start       time.Time
	maxBytes    int64
	descriptors int

	// heldBytes is the sum of what all connections hold.
	heldBytes atomic.Int64
	mu        sync.Mutex
	conns     map[*Conn]struct{}

	evicted, refused atomic.Int64
}

// NewGate returns a Gate for a process with the given limits.
func NewGate(o Options) *Gate {
	if o.Descriptors <= 0 {
		o.Descriptors = systemDescriptors()
	}
	return &Gate{
		start: time.Now(), maxBytes: int64(memoryFraction * float64(o.MemoryBytes)), descriptors: min(o.Descriptors, maxDescriptors),
		conns: map[*Conn]struct{}{},
	}
}

// systemDescriptors returns the system's limit on the descriptors of this process.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Status is what a Gate holds and has decided.
type Status struct {
	// HeldBytes is the memory held for connections, and MaxBytes its bound.
	HeldBytes, MaxBytes int64
	// Evicted is the number of connections that were evicted, and Refused that of connections for which
	// none could be.
	Evicted, Refused int64
}

// Status returns what the gate holds and has decided.
func (g *Gate) Status() Status {
	return Status{HeldBytes: g.heldBytes.Load(), MaxBytes: g.maxBytes, Evicted: g.evicted.Load(), Refused: g.refused.Load()}
}

// clock returns the time since the gate was created.
func (g *Gate) clock() time.Duration { return time.Since(g.start) }

// register adds a connection. It returns false if the connection's listener has too many that
// cannot be evicted.
func (g *Gate) register(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := c.listener
	if l.open-l.evicting >= l.maxConns {
		g.evict(func(other *Conn) int64 {
			if other.listener != l {
				return 0
			}
			return 1
		}, max(1, int64(float64(l.maxConns)*reliefFraction)))
	}
	if l.open-l.evicting >= l.maxConns || l.open >= l.hardMaxConns() {
		return false
	}
	l.open++
	g.conns[c] = struct{}{}
	return true
}

// unregister removes a connection and releases what it holds.
func (g *Gate) unregister(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		// Memory may have been reserved or released while the connection was evicted.
		g.heldBytes.Add(-c.held.Swap(0))
		return
	}
	if c.evicted.Load() {
		c.listener.evicting--
	}
	g.remove(c)
}

// remove takes a connection out of the accounts. The caller holds the lock.
func (g *Gate) remove(c *Conn) {
	delete(g.conns, c)
	c.listener.open--
	g.heldBytes.Add(-c.held.Swap(0))
}

// reclaim evicts connections until the bytes held are within the bound. It reports whether they are,
// and c is not among the evicted.
func (g *Gate) reclaim(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if excess := g.heldBytes.Load() - g.maxBytes; excess > 0 {
		g.evict(func(other *Conn) int64 { return other.held.Load() }, excess+int64(float64(g.maxBytes)*reliefFraction))
	}
	return !c.evicted.Load() && g.heldBytes.Load() <= g.maxBytes
}

// evict evicts connections so that at least need is free; held returns how much of that a connection
// holds. The caller holds the lock.
func (g *Gate) evict(held func(*Conn) int64, need int64) {
	var conns []*Conn
	var senders []intake.Sender
	for c := range g.conns {
		since := time.Duration(c.since.Load())
		if c.evicted.Load() || since == protected {
			continue
		}
		conns = append(conns, c)
		senders = append(senders, intake.Sender{Held: held(c), Since: since, Served: c.served.Load()})
	}
	for _, i := range intake.Victims(senders, need, g.clock()) {
		g.evicted.Add(1)
		conns[i].evict()
	}
}
