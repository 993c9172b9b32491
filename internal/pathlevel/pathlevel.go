// Package pathlevel keeps the levels of the services that requests of each root
// kind call, as a node learns them from answers. It is on the way of every request:
// reading takes no lock, and what is written are atomic words.
package pathlevel

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/route"
)

// Table remembers, per root kind, the admission levels of the services that
// requests of the kind call from this node, as their answers report them. The
// highest is the level of the path: a request that does not pass it would be
// refused further down, after work was done for it. A node learns only the
// paths of the kinds that pass through it, whatever the size of the fleet. It is safe for concurrent
// use.
type Table struct {
	roots sync.Map // root scope -> *path
}

// path is a short list of called services. It only grows, and is copied to
// do so; the words in it are atomic.
type path struct {
	mu    sync.Mutex
	edges atomic.Pointer[[]*edge]
}

type edge struct {
	service string
	level   atomic.Uint32
	at      atomic.Int64
}

const (
	// edgeKeep is the share of the old level that an answer leaves which
	// follows at once: answers come from several instances, whose levels
	// differ.
	edgeKeep = 0.6
	// edgeMemory is the age from which the old level says nothing beside a
	// new answer. Most nodes see few requests of a kind.
	edgeMemory = 200 * time.Millisecond
)

// Observe takes in the path level that an answer of service reported.
func (t *Table) Observe(root, service string, l rank.Level, now time.Duration) {
	v, ok := t.roots.Load(root)
	if !ok {
		v, _ = t.roots.LoadOrStore(root, &path{})
	}
	e := v.(*path).edge(service)
	old := rank.Level(e.level.Load())
	keep := 0.0
	if at := e.at.Load(); at != 0 {
		keep = edgeKeep * max(0, 1-float64(now-time.Duration(at))/float64(edgeMemory))
	}
	next := rank.Level(float64(old)*keep + float64(l)*(1-keep))
	if next != old {
		e.level.Store(uint32(next))
	}
	e.at.Store(int64(now))
}

// Level returns the level of the path of a root kind, faded by its age.
func (t *Table) Level(root string, now time.Duration) rank.Level {
	v, ok := t.roots.Load(root)
	if !ok {
		return 0
	}
	edges := v.(*path).edges.Load()
	if edges == nil {
		return 0
	}
	var highest rank.Level
	for _, e := range *edges {
		l := route.DecayLevel(rank.Level(e.level.Load()), now-time.Duration(e.at.Load()))
		highest = max(highest, l)
	}
	return highest
}

func (p *path) edge(service string) *edge {
	if e := p.find(service); e != nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.find(service); e != nil {
		return e
	}
	e := &edge{service: service}
	var next []*edge
	if old := p.edges.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, e)
	p.edges.Store(&next)
	return e
}

func (p *path) find(service string) *edge {
	edges := p.edges.Load()
	if edges == nil {
		return nil
	}
	for _, e := range *edges {
		if e.service == service {
			return e
		}
	}
	return nil
}
