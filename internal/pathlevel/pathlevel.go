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
	paths sync.Map // root scope -> *path
}

// path is a short list of called services. It only grows, and is copied to
// do so; the words in it are atomic.
type rootPath struct {
	mu     sync.Mutex
	levels atomic.Pointer[[]*serviceLevel]
}

type serviceLevel struct {
	service   string
	level     atomic.Uint32
	updatedAt atomic.Int64
}

const (
	// edgeKeep is the share of the old level that an answer leaves which
	// follows at once: answers come from several instances, whose levels
	// differ.
	previousLevelWeight = 0.6
	// edgeMemory is the age from which the old level says nothing beside a
	// new answer. Most nodes see few requests of a kind.
	previousLevelMemory = 200 * time.Millisecond
)

// Observe takes in the path level that an answer of service reported.
func (t *Table) Observe(root, service string, l rank.Level, now time.Duration) {
	v, ok := t.paths.Load(root)
	if !ok {
		v, _ = t.paths.LoadOrStore(root, &rootPath{})
	}
	e := v.(*rootPath).findOrAdd(service)
	old := rank.Level(e.level.Load())
	keep := 0.0
	if at := e.updatedAt.Load(); at != 0 {
		keep = previousLevelWeight * max(0, 1-float64(now-time.Duration(at))/float64(previousLevelMemory))
	}
	next := rank.Level(float64(old)*keep + float64(l)*(1-keep))
	if next != old {
		e.level.Store(uint32(next))
	}
	e.updatedAt.Store(int64(now))
}

// Level returns the level of the path of a root kind, faded by its age.
func (t *Table) Level(root string, now time.Duration) rank.Level {
	v, ok := t.paths.Load(root)
	if !ok {
		return 0
	}
	edges := v.(*rootPath).levels.Load()
	if edges == nil {
		return 0
	}
	var highest rank.Level
	for _, e := range *edges {
		l := route.Fade(rank.Level(e.level.Load()), now-time.Duration(e.updatedAt.Load()))
		highest = max(highest, l)
	}
	return highest
}

func (p *rootPath) findOrAdd(service string) *serviceLevel {
	if e := p.find(service); e != nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.find(service); e != nil {
		return e
	}
	e := &serviceLevel{service: service}
	var next []*serviceLevel
	if old := p.levels.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, e)
	p.levels.Store(&next)
	return e
}

func (p *rootPath) find(service string) *serviceLevel {
	edges := p.levels.Load()
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
