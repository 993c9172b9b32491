package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/internal/standin"
)

// Kinds of steps in which a backend server says something about itself in its responses.
const (
	ServerLimit   StepKind = "server-limit"   // it names a limit of requests per second
	ServerLeaving StepKind = "server-leaving" // it is leaving, and is replaced at the end
)

const (
	// meanLimitInterval is the mean time between two steps of a limit plan.
	meanLimitInterval = 2500 * time.Millisecond
	// minLimitTime is longer than a limit takes to settle and to be checked.
	minLimitTime, maxLimitTime     = 8 * time.Second, 12 * time.Second
	minLeavingTime, maxLeavingTime = 4 * time.Second, 7 * time.Second
	// limitSettles is the time from the first response that names a limit until it binds, and
	// limitWindow the span in which it then allows limitFactor times its requests and
	// limitExcess.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitExcess  = 5
	// maxNamedLimit is the highest limit, below what a server usually gets per second.
	maxNamedLimit = 20
)

// LimitPlan returns the steps in which backend servers limit their requests or leave,
// independently of Plan. They overlap with other steps and with each other, but not on the
// same server.
func LimitPlan(seed uint64, nodes int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(meanLimitInterval)))
	// Another step may only end maxStepDuration after it began.
	return serverPlan(r, nodes, span, meanLimitInterval, maxStepDuration, func() (StepKind, time.Duration) {
		limited := drawDuration(r, minLimitTime, maxLimitTime)
		if r.IntN(3) == 0 {
			return ServerLeaving, drawDuration(r, minLeavingTime, maxLeavingTime)
		}
		return ServerLimit, limited
	})
}

// serverPlan draws steps of backend servers at random intervals. None begins on a server until pause
// after the end of the one before it there.
func serverPlan(r *rand.Rand, nodes int, span, meanInterval, pause time.Duration, draw func() (StepKind, time.Duration)) []Step {
	var steps []Step
	busyUntil := make([]time.Duration, nodes)
	for at := initialDelay; at < span; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		s := Step{At: at, Target: r.IntN(nodes)}
		s.Kind, s.For = draw()
		if at < busyUntil[s.Target] {
			continue
		}
		busyUntil[s.Target] = at + s.For + pause
		steps = append(steps, s)
	}
	return steps
}

// drawDuration draws a duration from shortest on, below longest.
func drawDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

// limitServer makes a backend server name a limit, and checks what it gets.
func (r *soakRun) limitServer(m *member, s Step) {
	server := m.lockedServer()
	limit := 1 + int(s.For)%maxNamedLimit
	check := r.beginServerCheck(m)
	server.UpdateFaults(func(f *standin.Faults) { f.RateLimit = strconv.Itoa(limit) })
	time.Sleep(s.For)
	arrivals := server.Arrivals()
	r.recordStatement(server, s.Target, limit)
	server.UpdateFaults(func(f *standin.Faults) { f.RateLimit = "" })
	allowed := int(limitFactor*limitWindow.Seconds()*float64(limit)) + limitExcess
	if most := standin.MostArrivals(arrivals, limitWindow, check.bindsFrom(arrivals, limitSettles)); most > allowed && !check.isExcused() {
		r.reportViolation("limit", "the backend server of node %d got %d requests in %s with a limit of %d per second, %d are allowed", s.Target+1, most, limitWindow, limit, allowed)
	}
}

// leaveServer makes a backend server say that it is leaving, checks that it gets no requests
// after drainGracePeriod, and replaces it.
func (r *soakRun) leaveServer(m *member, s Step) {
	server := m.lockedServer()
	check := r.beginServerCheck(m)
	server.UpdateFaults(func(f *standin.Faults) { f.Leaving = true })
	time.Sleep(s.For)
	arrivals, late := server.Arrivals(), 0
	r.recordStatement(server, s.Target, 0)
	from := check.bindsFrom(arrivals, drainGracePeriod)
	for _, at := range arrivals {
		if at.After(from) {
			late++
		}
	}
	if late > 0 && !check.isExcused() {
		r.reportViolation("leaving", "the backend server of node %d got %d requests later than %s after it said that it is leaving", s.Target+1, late, drainGracePeriod)
	}
	if m.lockedServer() == server {
		m.crashServer(0, r)
	}
}

// lockedServer returns the stand-in started last.
func (m *member) lockedServer() *standin.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentServer()
}

// serverCheck is a check of what a backend server gets after it has said something of itself.
type serverCheck struct {
	run     *soakRun
	beside  *member
	beganAt time.Time
	// starts are the process starts of all nodes when the check began.
	starts []int
}

// beginServerCheck begins a check of the server beside a node.
func (r *soakRun) beginServerCheck(m *member) *serverCheck {
	// Counting waits for nodes that are being restarted.
	starts := r.processStarts()
	return &serverCheck{run: r, beside: m, beganAt: time.Now(), starts: starts}
}

// processStarts returns the number of process starts of each node.
func (r *soakRun) processStarts() []int {
	var out []int
	for _, m := range r.fleet.members {
		m.mu.Lock()
		out = append(out, m.processStarts)
		m.mu.Unlock()
	}
	return out
}

// slowestResponse is longer than a response takes.
const slowestResponse = time.Second

// bindsFrom returns the time from which the check binds: a span after the first response that
// said it, or the distant future without any.
func (c *serverCheck) bindsFrom(arrivals []time.Time, settles time.Duration) time.Time {
	for _, at := range arrivals {
		if at.After(c.beganAt) {
			return at.Add(slowestResponse + settles)
		}
	}
	return time.Now().Add(time.Hour)
}

// isExcused reports whether the node beside the server and another one have started meanwhile:
// the one may have known it from the other alone.
func (c *serverCheck) isExcused() bool {
	others, beside := false, false
	for i, starts := range c.run.processStarts() {
		if starts == c.starts[i] {
			continue
		}
		if c.run.fleet.members[i] == c.beside {
			beside = true
		} else {
			others = true
		}
	}
	return beside && others
}
