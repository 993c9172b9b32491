package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
)

const (
	// poisonPath marks a request that ends each backend server that runs it.
	poisonPath = "/poison"
	// poisonSpan is for how long it is sent, and poisonEvery how often.
	poisonSpan  = 8 * time.Second
	poisonEvery = 150 * time.Millisecond
	// poisonAway is how long a backend server that ended stays away.
	poisonAway = time.Second
	// poisonKnown is when all nodes know of the third end, and poisonMore how often
	// the request may be run from then on.
	poisonKnown = 3 * time.Second
	poisonMore  = 3
)

// poisonSort is the sort of request that is sent then.
var poisonSort = sort{target: "soak/front/read" + poisonPath, repeatable: true}

// poisoned notes when backend servers began to run the request that ends them.
type poisoned struct {
	mu   sync.Mutex
	runs []time.Time
}

// endsOn is standin.Options.EndsOn.
func (p *poisoned) endsOn(path string, _ []byte) bool {
	if !strings.HasSuffix(path, poisonPath) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, time.Now())
	return true
}

// later returns how often the request was run once all nodes knew of it.
func (p *poisoned) later() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.runs {
		if len(p.runs) > poisonMore && at.Sub(p.runs[2]) > poisonKnown {
			n++
		}
	}
	return n
}

// poison sends a request that ends backend servers on a fleet that is whole. It must be
// stopped soon, and no other request be refused for it, nor for the ends that went before.
func (r *run) poison() {
	r.checkQuarantined(0)
	stop := make(chan struct{})
	var keepers, sent sync.WaitGroup
	for _, m := range r.fleet.members {
		if m.options.Service == frontService {
			keepers.Add(1)
			go func() { defer keepers.Done(); r.keepServer(m, stop) }()
		}
	}
	c := newCallers(r.fleet.Entries())
	refused := 0
	var mu sync.Mutex
	for end := time.Now().Add(poisonSpan); time.Now().Before(end); time.Sleep(poisonEvery) {
		sent.Add(1)
		go func() {
			defer sent.Done()
			a := c.sendSort(poisonSort, rand.IntN(len(r.fleet.members)), "")
			mu.Lock()
			defer mu.Unlock()
			if a.reason == fault.Quarantined.String() {
				refused++
			}
		}()
	}
	sent.Wait()
	close(stop)
	keepers.Wait()
	if n := r.fleet.poisoned.later(); n > poisonMore {
		r.broke("poison", "a request that ends backend servers was run %d times later than %s after the third", n, poisonKnown)
	}
	if refused == 0 {
		r.broke("poison", "a request that ends backend servers was never refused")
	}
	r.checkQuarantined(refused)
	if _, _, err := r.awaitService(recoverWithin); err != nil {
		r.broke("recovery", "not all is served %s after the request that ends backend servers: %v", recoverWithin, err)
	}
}

// keepServer starts a node's backend server anew each time it has ended.
func (r *run) keepServer(m *member, stop <-chan struct{}) {
	for {
		select {
		case <-m.server().Ended():
			m.loseServer(poisonAway, r)
			continue
		default:
		}
		select {
		case <-stop:
			return
		case <-m.server().Ended():
		}
	}
}

// checkQuarantined checks that the nodes refused no more requests as ones that end
// backend servers than callers got such refusals.
func (r *run) checkQuarantined(most int) {
	total := int64(0)
	for _, m := range r.fleet.members {
		if s, err := m.Status(); err == nil {
			total += s.Refusals[fault.Quarantined.String()]
		}
	}
	if total > int64(most) {
		r.broke("poison", "%d requests were refused as ones that end backend servers, %d of them rightly", total, most)
	}
}
