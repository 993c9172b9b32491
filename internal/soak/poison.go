package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
)

const (
	// poisonPath is the path suffix of a request that crashes each backend server
	// that executes it.
	poisonPath = "/poison"
	// The request is sent every poisonInterval for poisonDuration.
	poisonDuration = 8 * time.Second
	poisonInterval = 150 * time.Millisecond
	// crashDowntime is the time until a crashed backend server is replaced.
	crashDowntime = time.Second
	// quarantineDelay is the time after the third crash until all nodes quarantine the
	// request; maxLaterExecutions bounds its executions from then on.
	quarantineDelay    = 3 * time.Second
	maxLaterExecutions = 3
)

// poisonRequest is the type of the request that crashes backend servers.
var poisonRequest = requestType{target: "soak/front/read" + poisonPath, idempotent: true}

// poisonExecutions records the times at which backend servers started to execute the
// poison request.
type poisonExecutions struct {
	mu        sync.Mutex
	startedAt []time.Time
}

// crashOn reports whether a request crashes its server and records the execution; it
// is used as standin.Options.CrashOn.
func (p *poisonExecutions) crashOn(path string, _ []byte) bool {
	if !strings.HasSuffix(path, poisonPath) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt = append(p.startedAt, time.Now())
	return true
}

// countAfterQuarantine returns the number of executions later than quarantineDelay
// after the third.
func (p *poisonExecutions) countAfterQuarantine() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.startedAt {
		if len(p.startedAt) > maxLaterExecutions && at.Sub(p.startedAt[2]) > quarantineDelay {
			n++
		}
	}
	return n
}

// checkPoisonRequest sends a request that crashes backend servers to a recovered fleet.
// It must be quarantined, and neither it nor earlier crashes may cause the quarantine
// of other requests.
func (r *soakRun) checkPoisonRequest() {
	r.checkQuarantineRefusals(0)
	stop := make(chan struct{})
	var servers, sent sync.WaitGroup
	for _, m := range r.fleet.members {
		if m.options.Service == frontService {
			servers.Add(1)
			go func() { defer servers.Done(); r.keepServerRunning(m, stop) }()
		}
	}
	c := newCallers(r.fleet.HTTPAddrs())
	refused := 0
	var mu sync.Mutex
	for end := time.Now().Add(poisonDuration); time.Now().Before(end); time.Sleep(poisonInterval) {
		sent.Add(1)
		go func() {
			defer sent.Done()
			a := c.sendOnce(poisonRequest, rand.IntN(len(r.fleet.members)), "")
			mu.Lock()
			defer mu.Unlock()
			if a.refusalReason == fault.Quarantined.String() {
				refused++
			}
		}()
	}
	sent.Wait()
	close(stop)
	servers.Wait()
	if n := r.fleet.poison.countAfterQuarantine(); n > maxLaterExecutions {
		r.reportViolation("poison", "a request that crashes backend servers was executed %d times later than %s after the third crash", n, quarantineDelay)
	}
	if refused == 0 {
		r.reportViolation("poison", "a request that crashes backend servers was never quarantined")
	}
	r.checkQuarantineRefusals(refused)
	if _, _, err := r.awaitService(recoveryTimeout); err != nil {
		r.reportViolation("recovery", "requests still fail %s after the request that crashes backend servers: %v", recoveryTimeout, err)
	}
}

// keepServerRunning replaces a node's backend server after each crash until stop is
// closed.
func (r *soakRun) keepServerRunning(m *member, stop <-chan struct{}) {
	for {
		select {
		case <-m.currentServer().Done():
			m.crashServer(crashDowntime, r)
			continue
		default:
		}
		select {
		case <-stop:
			return
		case <-m.currentServer().Done():
		}
	}
}

// checkQuarantineRefusals checks that the nodes refused at most the given number of
// requests as quarantined.
func (r *soakRun) checkQuarantineRefusals(maxRefusals int) {
	total := int64(0)
	for _, m := range r.fleet.members {
		if s, err := m.Status(); err == nil {
			total += s.Refusals[fault.Quarantined.String()]
		}
	}
	if total > int64(maxRefusals) {
		r.reportViolation("poison", "%d requests were refused as quarantined, at most %d expected", total, maxRefusals)
	}
}
