// Package pathlevel tracks the admission levels of the services called for each root
// kind, as reported in answers. Every request uses it, so reads take no lock.
package pathlevel

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/route"
)

// Table holds, per root kind, the admission levels of the services that requests of the
// kind call from this node, as their answers report them. The highest is the path's
// level: a request below it would be refused downstream after work was done for it. A
// node tracks only the root kinds that pass through it. It is safe for concurrent use.
type Table struct {
	paths sync.Map // root kind -> *rootPath
}

// rootPath is the list of services called for one root kind. It only grows and is
// copied on write; the list's entries are updated atomically.
type rootPath struct {
	mu     sync.Mutex
	levels atomic.Pointer[[]*serviceLevel]
}

// serviceLevel is the last known level of a called service.
type serviceLevel struct {
	service   string
	level     atomic.Uint32
	updatedAt atomic.Int64
}

const (
	// previousLevelWeight is the weight of the previous level when a new answer
	// follows at once. Averaging evens out the levels of different instances.
	previousLevelWeight = 0.6
	// previousLevelMemory is the age at which the previous level has no weight left.
	// It is short because most nodes see few requests of a kind.
	previousLevelMemory = 200 * time.Millisecond
)

// Observe records the path level l reported in an answer of service. now is the time
// since a fixed moment.
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

// Level returns the highest level on the path of a root kind, decayed by age, or 0 if
// none is known.
func (t *Table) Level(root string, now time.Duration) rank.Level {
	v, ok := t.paths.Load(root)
	if !ok {
		return 0
	}
	levels := v.(*rootPath).levels.Load()
	if levels == nil {
		return 0
	}
	var highest rank.Level
	for _, e := range *levels {
		l := route.DecayLevel(rank.Level(e.level.Load()), now-time.Duration(e.updatedAt.Load()))
		highest = max(highest, l)
	}
	return highest
}

// findOrAdd returns the entry of a service, and adds it if absent.
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

// find returns the entry of a service, or nil.
func (p *rootPath) find(service string) *serviceLevel {
	levels := p.levels.Load()
	if levels == nil {
		return nil
	}
	for _, e := range *levels {
		if e.service == service {
			return e
		}
	}
	return nil
}
