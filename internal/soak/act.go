package soak

import (
	"os"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/standin"
)

// spell is the time that a step disturbed a node, or that its backend server
// did not serve.
type spell struct {
	Step
	began, ended time.Time
	// drained is set once the drain of a backend server was in force for
	// drainNotice and its node was not disturbed; startedAfter is how many
	// executions began there from then on.
	drained      bool
	startedAfter int
}

const (
	// delayBy is how late a delayed connection delivers.
	delayBy = 80 * time.Millisecond
	// drainNotice is how long a draining backend server may still get work.
	drainNotice = 2 * time.Second
	// slowBy is how many times longer a slow backend server works.
	slowBy = 10
)

// act carries out a step and returns once it is over.
func (r *run) act(s Step) {
	m := r.fleet.members[s.Target]
	if s.Kind.takesDisk() && !r.mayTakeDisk() {
		return
	}
	sp := &spell{Step: s, began: time.Now()}
	r.note(sp)
	switch {
	case s.Kind.stopsProcess():
		r.restart(m, s)
	case s.Kind == Freeze:
		m.Signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		m.Signal(syscall.SIGCONT)
	case s.Kind == Stall:
		r.stall(m, s.For)
	case s.Kind == Change:
		r.operators.change(s.Target)
	case s.Kind == Race:
		r.operators.race(s.Target)
	case s.Kind == Silence:
		r.relays(m, func(l *relay.Relay) { l.SilenceOpen() })
	case s.Kind == Reset:
		r.relays(m, func(l *relay.Relay) { l.ResetOpen() })
	case s.Kind == ServerLost:
		m.loseServer(s.For, r)
	case s.Kind == ServerDrain:
		r.drain(m, sp)
	case s.Kind == ServerSlow, s.Kind == ServerFail:
		m.server().SetFaults(faultsOf(s.Kind))
		time.Sleep(s.For)
		m.server().SetFaults(standin.Faults{})
	default:
		r.relays(m, func(l *relay.Relay) { disturb(l, s.Kind, true) })
		time.Sleep(s.For)
		r.relays(m, func(l *relay.Relay) { disturb(l, s.Kind, false) })
	}
	r.mu.Lock()
	sp.ended = time.Now()
	r.mu.Unlock()
}

func (r *run) relays(m *member, do func(*relay.Relay)) {
	m.relayMu.Lock()
	defer m.relayMu.Unlock()
	for _, l := range m.relays {
		do(l)
	}
}

// disturb sets a fault of a relay, or ends it.
func disturb(l *relay.Relay, k StepKind, on bool) {
	switch k {
	case CutThere:
		l.There.Store(on)
	case CutBack:
		l.Back.Store(on)
	case CutBoth:
		l.Cut(on)
	case Delay:
		l.SetDelay(0)
		if on {
			l.SetDelay(delayBy)
		}
	}
}

func faultsOf(k StepKind) standin.Faults {
	if k == ServerSlow {
		return standin.Faults{Slow: slowBy}
	}
	return standin.Faults{Fail: 0.5}
}

// restart ends a node's process and starts it again.
func (r *run) restart(m *member, s Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Wait(0) {
		r.broke("exit", "node %s had ended by itself, with %d", m.Name, m.Exit())
	} else if s.Kind == Term {
		r.term(m)
	} else {
		m.Signal(syscall.SIGKILL)
		m.Wait(stopSlack)
	}
	if s.Kind.takesDisk() {
		if err := os.RemoveAll(m.Folder); err != nil {
			r.broke("soak", "cannot wipe: %v", err)
		}
	}
	if s.Kind == Replace {
		if err := r.fleet.Move(m.Node); err != nil {
			r.broke("soak", "cannot move: %v", err)
		}
	}
	if s.Kind == Torn {
		if err := m.tear(); err != nil {
			r.broke("soak", "cannot tear: %v", err)
		}
	}
	time.Sleep(s.For)
	if err := r.fleet.Restart(m.Node); err != nil {
		r.broke("start", "node %s does not start: %v", m.Name, err)
		return
	}
	m.starts++
}

// term stops a process in a planned way. A frozen process hears of it when it
// goes on.
func (r *run) term(m *member) {
	m.Signal(syscall.SIGTERM)
	if !m.Wait(stopTimeout + stopSlack + longest) {
		r.broke("exit", "node %s was still there %s after it was told to stop", m.Name, stopTimeout+stopSlack+longest)
		m.Signal(syscall.SIGKILL)
		m.Wait(stopSlack)
		return
	}
	if code := m.Exit(); code != 0 {
		r.broke("exit", "node %s exited with %d after SIGTERM", m.Name, code)
	}
}

// loseServer ends a backend server and starts another at its address.
func (m *member) loseServer(away time.Duration, r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Listen = m.server().Addr()
	m.server().Stop()
	time.Sleep(away)
	if err := m.restartServer(); err != nil {
		r.broke("soak", "cannot start a backend server: %v", err)
	}
}

// stall keeps the syncs of a replica's disk from returning for a while.
func (r *run) stall(m *member, span time.Duration) {
	m.stallMu.Lock()
	defer m.stallMu.Unlock()
	if err := os.WriteFile(m.syncHold, nil, 0o644); err != nil {
		r.broke("soak", "cannot stall a disk: %v", err)
		return
	}
	time.Sleep(span)
	if err := os.Remove(m.syncHold); err != nil {
		r.broke("soak", "cannot end a stall: %v", err)
	}
}

// drain lets a backend server announce that it drains, and counts what it is
// given once all must have heard.
func (r *run) drain(m *member, sp *spell) {
	m.mu.Lock()
	s, starts := m.server(), m.starts
	m.mu.Unlock()
	s.SetFaults(standin.Faults{State: "draining"})
	time.Sleep(drainNotice)
	before := executions(s)
	time.Sleep(sp.For)
	after := executions(s)
	s.SetFaults(standin.Faults{})
	m.mu.Lock()
	defer m.mu.Unlock()
	sp.drained = m.starts == starts && m.server() == s
	sp.startedAfter = after - before
}

func executions(s *standin.Server) int {
	n := 0
	for _, w := range s.Work() {
		n += w.Runs
	}
	return n
}
