package soak

import (
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/standin"
)

// executedStep is a step with the time of its execution.
type executedStep struct {
	Step
	startedAt, endedAt time.Time
	// drainEffective is set if neither the node nor the backend server was restarted
	// during a drain; executionsAfterDrain counts the executions started after
	// drainGracePeriod.
	drainEffective       bool
	executionsAfterDrain int
}

const (
	// injectedDelay is the delay of a delayed connection.
	injectedDelay = 80 * time.Millisecond
	// drainGracePeriod is how long a draining backend server may receive requests.
	drainGracePeriod = 2 * time.Second
	// slowdownFactor multiplies the service times of a slow backend server.
	slowdownFactor = 10
)

// executeStep executes a step and returns at its end. A disk loss is skipped while the
// replicas do not tolerate it.
func (r *soakRun) executeStep(s Step) {
	m := r.fleet.members[s.Target]
	if s.Kind.losesDisk() && !r.reserveDiskLoss() {
		return
	}
	step := &executedStep{Step: s, startedAt: time.Now()}
	r.recordStep(step)
	switch {
	case s.Kind.stopsProcess():
		r.restartProcess(m, s)
	case s.Kind == PauseProcess:
		m.Signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		m.Signal(syscall.SIGCONT)
	case s.Kind == StallDisk:
		r.disturbDisk(&m.stall, s.For)
	case s.Kind == RefuseWrites:
		r.disturbDisk(&m.refusal, s.For)
	case s.Kind == ChangeSettings:
		r.operators.changeSettings(s.Target)
	case s.Kind == ConflictingChanges:
		r.operators.submitConflictingChanges(s.Target)
	case s.Kind == SilenceConnections:
		r.forEachRelay(m, func(l *relay.Relay) { l.SilenceConnections() })
	case s.Kind == ResetConnections:
		r.forEachRelay(m, func(l *relay.Relay) { l.ResetConnections() })
	case s.Kind == ServerCrash:
		m.crashServer(s.For, r)
	case s.Kind == ServerDrain:
		r.drainServer(m, step)
	case s.Kind == ServerSlowdown, s.Kind == ServerErrors:
		m.currentServer().UpdateFaults(func(f *standin.Faults) { setServerFaults(f, s.Kind) })
		time.Sleep(s.For)
		m.currentServer().UpdateFaults(func(f *standin.Faults) { f.SlowdownFactor, f.FailureRate, f.AnnouncedState = 0, 0, "" })
	case s.Kind == ServerLimit:
		r.limitServer(m, s)
	case s.Kind == ServerLeaving:
		r.leaveServer(m, s)
	case s.Kind == AllServersLate:
		r.slowAllServers(s)
	case s.Kind == ServerStray:
		r.sendStrayResponses(m, s)
	default:
		r.forEachRelay(m, func(l *relay.Relay) { setRelayFault(l, s.Kind, true) })
		time.Sleep(s.For)
		r.forEachRelay(m, func(l *relay.Relay) { setRelayFault(l, s.Kind, false) })
	}
	r.mu.Lock()
	step.endedAt = time.Now()
	r.mu.Unlock()
}

// forEachRelay calls do for each relay of a member.
func (r *soakRun) forEachRelay(m *member, do func(*relay.Relay)) {
	m.relayMu.Lock()
	defer m.relayMu.Unlock()
	for _, l := range m.relays {
		do(l)
	}
}

// setRelayFault starts or ends the fault of a step kind at a relay.
func setRelayFault(l *relay.Relay, k StepKind, on bool) {
	switch k {
	case CutInbound:
		l.DropToTarget.Store(on)
	case CutOutbound:
		l.DropFromTarget.Store(on)
	case CutBoth:
		l.SetPartitioned(on)
	case DelayTraffic:
		l.SetDelay(0)
		if on {
			l.SetDelay(injectedDelay)
		}
	}
}

// setServerFaults sets the stand-in's faults for a step kind, in place of those of other steps.
// What it says about itself stays.
func setServerFaults(f *standin.Faults, k StepKind) {
	f.SlowdownFactor, f.FailureRate, f.AnnouncedState = 0, 0, ""
	if k == ServerSlowdown {
		f.SlowdownFactor = slowdownFactor
		return
	}
	f.FailureRate = 0.5
}

// restartProcess stops a node's process as the step requires and starts it again.
func (r *soakRun) restartProcess(m *member, s Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.WaitExit(0) {
		r.reportViolation("exit", "node %s exited unexpectedly with code %d", m.Name, m.ExitCode())
	} else if s.Kind == StopProcess {
		r.stopProcess(m)
	} else {
		m.Signal(syscall.SIGKILL)
		m.WaitExit(stopGrace)
	}
	if s.Kind.losesDisk() {
		if err := os.RemoveAll(m.DataFolder); err != nil {
			r.reportViolation("soak", "cannot remove the data folder: %v", err)
		}
	}
	if s.Kind == ReplaceNode {
		if err := r.fleet.MoveNode(m.Node); err != nil {
			r.reportViolation("soak", "cannot move the node to other addresses: %v", err)
		}
	}
	if s.Kind == TearLog {
		if err := m.tearLogs(); err != nil {
			r.reportViolation("soak", "cannot append a torn record: %v", err)
		}
	}
	time.Sleep(s.For)
	if err := r.fleet.RestartNode(m.Node); err != nil {
		r.reportViolation("start", "node %s failed to start: %v", m.Name, err)
		return
	}
	m.processStarts++
}

// stopProcess stops a process gracefully. A paused process receives the signal when it
// continues, so the timeout includes maxStepDuration.
func (r *soakRun) stopProcess(m *member) {
	m.Signal(syscall.SIGTERM)
	if !m.WaitExit(stopTimeout + stopGrace + maxStepDuration) {
		r.reportViolation("exit", "node %s was still running %s after SIGTERM", m.Name, stopTimeout+stopGrace+maxStepDuration)
		m.Signal(syscall.SIGKILL)
		m.WaitExit(stopGrace)
		return
	}
	if code := m.ExitCode(); code != 0 {
		r.reportViolation("exit", "node %s exited with %d after SIGTERM", m.Name, code)
	}
}

// crashServer stops a backend server without draining it and starts another at its
// address after the downtime.
func (m *member) crashServer(away time.Duration, r *soakRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.ListenAddr = m.currentServer().Addr()
	m.currentServer().Stop()
	time.Sleep(away)
	if err := m.launchServer(); err != nil {
		r.reportViolation("soak", "cannot start a backend server: %v", err)
	}
}

// diskFault is a fault of a replica's disk that lasts while its file exists. The mutex is held
// as long.
type diskFault struct {
	mu   sync.Mutex
	file string
}

// disturbDisk keeps up a fault of a disk for the given time.
func (r *soakRun) disturbDisk(f *diskFault, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := os.WriteFile(f.file, nil, 0o644); err != nil {
		r.reportViolation("soak", "cannot start a fault of a disk: %v", err)
		return
	}
	time.Sleep(span)
	if err := os.Remove(f.file); err != nil {
		r.reportViolation("soak", "cannot end a fault of a disk: %v", err)
	}
}

// drainServer announces the drain of a backend server and counts the executions that
// start after drainGracePeriod.
func (r *soakRun) drainServer(m *member, step *executedStep) {
	m.mu.Lock()
	s, starts := m.currentServer(), m.processStarts
	m.mu.Unlock()
	s.UpdateFaults(func(f *standin.Faults) { f.SlowdownFactor, f.FailureRate, f.AnnouncedState = 0, 0, "draining" })
	time.Sleep(drainGracePeriod)
	before := executionCount(s)
	time.Sleep(step.For)
	after := executionCount(s)
	s.UpdateFaults(func(f *standin.Faults) { f.SlowdownFactor, f.FailureRate, f.AnnouncedState = 0, 0, "" })
	m.mu.Lock()
	defer m.mu.Unlock()
	step.drainEffective = m.processStarts == starts && m.currentServer() == s
	step.executionsAfterDrain = after - before
}

// executionCount returns the number of executions started by a stand-in.
func executionCount(s *standin.Server) int {
	n := 0
	for _, w := range s.RequestStats() {
		n += w.Executions
	}
	return n
}
