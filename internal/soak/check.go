package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
)

// checkPromises checks the promises after the load has ended.
func (r *soakRun) checkPromises() {
	runs := r.executionsByRequest()
	for _, a := range r.callers.recordedAttempts() {
		r.checkAttempt(a, runs[a.id])
	}
	r.checkAtMostOnce(runs)
	r.checkPlannedStops(runs)
	r.checkDrains()
	r.checkStatements()
	r.checkRetries()
	r.checkSettings()
	for _, m := range r.fleet.members {
		if m.WaitExit(0) {
			r.reportViolation("exit", "node %s exited unexpectedly with code %d", m.Name, m.ExitCode())
		}
	}
}

// executionsByRequest returns the number of executions by request id, over all backend
// servers of the front service.
func (r *soakRun) executionsByRequest() map[string]int {
	out := map[string]int{}
	for _, m := range r.fleet.members {
		for _, s := range m.servers {
			if s.Service() != frontService {
				continue
			}
			for id, w := range s.RequestStats() {
				out[id] += w.Executions
			}
		}
	}
	return out
}

// checkAttempt checks that a response is complete and belongs to the caller, that a
// served request was executed, and that one reported as not executed was not.
func (r *soakRun) checkAttempt(a attempt, runs int) {
	target := requestTypes[a.requestType].target
	if a.responseError != "" {
		r.reportViolation("whole answer", "%s %s: %s", target, a.id, a.responseError)
	}
	if a.status == http.StatusOK && runs == 0 {
		r.reportViolation("whole answer", "%s %s succeeded without an execution", target, a.id)
	}
	// Attempts with a key share a request id, so another one may have been executed.
	if a.notExecuted && runs > 0 && !requestTypes[a.requestType].keyed {
		r.reportViolation("honest refusal", "%s %s was reported as not executed with status %d, but was executed", target, a.id, a.status)
	}
}

// checkAtMostOnce checks that non-idempotent requests were executed at most once.
func (r *soakRun) checkAtMostOnce(runs map[string]int) {
	seen := map[string]bool{}
	for _, a := range r.callers.recordedAttempts() {
		if !requestTypes[a.requestType].idempotent && runs[a.id] > 1 && !seen[a.id] {
			seen[a.id] = true
			r.reportViolation("at most once", "%s %s was executed %d times", requestTypes[a.requestType].target, a.id, runs[a.id])
		}
	}
}

const (
	// A planned stop is checked only without other steps from undisturbedBefore its
	// start to undisturbedAfter its end.
	undisturbedBefore = 4 * time.Second
	undisturbedAfter  = time.Second
)

// checkPlannedStops checks that a planned stop of an undisturbed fleet interrupts no
// request that a backend server executed.
func (r *soakRun) checkPlannedStops(runs map[string]int) {
	for _, sp := range r.executedSteps {
		if sp.Kind != StopProcess || !r.isUndisturbed(sp) {
			continue
		}
		for _, a := range r.callers.recordedAttempts() {
			cut := a.status == 0 && !a.notConnected && a.entryNode == sp.Target && a.endedAt.Sub(a.sentAt) < callerDeadline
			if cut && a.sentAt.After(sp.startedAt) && a.endedAt.Before(sp.endedAt) && runs[a.id] > 0 {
				r.reportViolation("planned stop", "%s %s was interrupted %s after its node was told to stop", requestTypes[a.requestType].target, a.id, a.endedAt.Sub(sp.startedAt))
			}
		}
	}
}

// isUndisturbed reports whether no other step disturbed any node around a step.
func (r *soakRun) isUndisturbed(sp *executedStep) bool {
	for _, o := range r.executedSteps {
		if o == sp || o.Kind.disturbsNothing() {
			continue
		}
		if o.endedAt.After(sp.startedAt.Add(-undisturbedBefore)) && o.startedAt.Before(sp.endedAt.Add(undisturbedAfter)) {
			return false
		}
	}
	return true
}

// checkDrains checks that a draining backend server receives no requests after the
// grace period.
func (r *soakRun) checkDrains() {
	for _, sp := range r.executedSteps {
		if sp.Kind == ServerDrain && sp.drainEffective && sp.executionsAfterDrain > 0 && r.isOnlyStepOnNode(sp) {
			r.reportViolation("drain", "the backend server of node %d received %d requests later than %s after it announced its drain", sp.Target+1, sp.executionsAfterDrain, drainGracePeriod)
		}
	}
}

// isOnlyStepOnNode reports whether no other step, settings changes aside, overlapped
// with this one on the same node.
func (r *soakRun) isOnlyStepOnNode(sp *executedStep) bool {
	for _, o := range r.executedSteps {
		if o != sp && o.Target == sp.Target && o.Kind != ChangeSettings && o.Kind != ConflictingChanges && o.endedAt.After(sp.startedAt) && o.startedAt.Before(sp.endedAt) {
			return false
		}
	}
	return true
}

const (
	// versionPollInterval is the time between two queries of the nodes' versions.
	versionPollInterval = 250 * time.Millisecond
	// settingsTimeout bounds the time until all nodes have the newest settings.
	settingsTimeout = 9 * time.Second
)

// watchVersions checks until the context ends that no process returns to an older
// settings version.
func (r *soakRun) watchVersions(ctx context.Context) {
	type seen struct {
		process string
		version uint64
	}
	last := make([]seen, len(r.fleet.members))
	for ctx.Err() == nil {
		for i, m := range r.fleet.members {
			var s node.Status
			if ctl.NewClient(m.Admin).Get("/v1/status", nil, &s) != nil {
				continue
			}
			if last[i].process == s.ID && s.Config < last[i].version {
				r.reportViolation("settings", "node %s returned from version %d to %d", s.Name, last[i].version, s.Config)
			}
			last[i] = seen{s.ID, s.Config}
		}
		time.Sleep(versionPollInterval)
	}
}

// checkSettings checks that all accepted changes are active on every node, and that at
// most one change was accepted for each base version.
func (r *soakRun) checkSettings() {
	accepted := r.operators.acceptedChanges()
	newest := uint64(0)
	on := map[uint64]string{}
	for _, o := range accepted {
		newest = max(newest, o.version)
		if other, ok := on[o.baseVersion]; ok {
			r.reportViolation("settings", "changes %s and %s on version %d were both accepted", other, o.id, o.baseVersion)
		}
		on[o.baseVersion] = o.id
	}
	if err := r.fleet.AwaitVersion(newest, settingsTimeout); err != nil {
		r.reportViolation("settings", "version %d is not active on every node %s after recovery: %v", newest, settingsTimeout, err)
		return
	}
	r.checkConfirmations()
	for _, m := range r.fleet.members {
		var d node.ConfigDocument
		err := harness.Await(settingsTimeout, func() error {
			return ctl.NewClient(m.Admin).Get("/v1/config", url.Values{"current": {"true"}}, &d)
		})
		if err != nil {
			r.reportViolation("settings", "node %s cannot read the settings: %v", m.Name, err)
			continue
		}
		for _, o := range accepted {
			if d.Entries[o.entry] != o.value {
				r.reportViolation("settings", "node %s lacks the accepted change %s (version %d)", m.Name, o.id, o.version)
			}
		}
	}
}

// maxConfirmationAge is how long ago a quorum may have confirmed a node's settings while nothing
// is disturbed.
const maxConfirmationAge = 2 * time.Second

// checkConfirmations checks that each node comes to know that its settings are the newest.
func (r *soakRun) checkConfirmations() {
	for _, m := range r.fleet.members {
		err := harness.Await(settingsTimeout, func() error {
			var s node.Status
			if err := ctl.NewClient(m.Admin).Get("/v1/status", nil, &s); err != nil {
				return err
			}
			if s.ConfigConfirmedMs < 0 || s.ConfigConfirmedMs > maxConfirmationAge.Milliseconds() {
				return fmt.Errorf("last confirmed %d ms ago", s.ConfigConfirmedMs)
			}
			return nil
		})
		if err != nil {
			r.reportViolation("settings", "the settings of node %s are not confirmed %s after recovery: %v", m.Name, settingsTimeout, err)
		}
	}
}
