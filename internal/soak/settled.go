package soak

import (
	"net/url"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/node"
)

// requireChange submits settings changes until one is accepted, which must happen within
// repairTimeout of a time. It reports whether one was accepted, if late.
func (r *soakRun) requireChange(nodeIndex int, since time.Time, after string) (settingsChange, bool) {
	c, ok := r.operators.changeUntilAccepted(nodeIndex, time.Until(since.Add(repairTimeout)))
	if !ok || c.acceptedAt.After(since.Add(repairTimeout)) {
		r.reportViolation("settings", "no change was accepted within %s after %s", repairTimeout, after)
	}
	return c, ok
}

// checkReadable checks that every node reads a change, and nothing older, as current by a
// deadline, and that it is active on all of them within activationTimeout of the first read.
func (r *soakRun) checkReadable(c settingsChange, deadline time.Time) {
	var reads sync.WaitGroup
	first := make(chan time.Time, len(r.fleet.members))
	for _, m := range r.fleet.members {
		reads.Go(func() { r.checkReadAt(m, c, deadline, first) })
	}
	select {
	case at := <-first:
		if err := r.fleet.AwaitVersion(c.version, time.Until(at.Add(activationTimeout))); err != nil {
			r.reportViolation("settings", "version %d is not active on every node %s after it could be read: %v", c.version, activationTimeout, err)
		}
	case <-time.After(time.Until(deadline)):
	}
	reads.Wait()
}

// checkReadAt checks that a node reads a change as current by a deadline, and sends the time at
// which it does to first.
func (r *soakRun) checkReadAt(m *member, c settingsChange, deadline time.Time, first chan<- time.Time) {
	var d node.ConfigDocument
	err := harness.Await(time.Until(deadline), func() error {
		return ctl.NewClient(m.Admin).Get("/v1/config", url.Values{"current": {"true"}}, &d)
	})
	if err == nil && (d.Version < c.version || d.Entries[c.entry] != c.value) {
		err = fault.Newf(fault.Corrupt, "it read version %d", d.Version)
	}
	if err != nil {
		r.reportViolation("settings", "node %s cannot read the accepted change %s (version %d): %v", m.Name, c.id, c.version, err)
		return
	}
	first <- time.Now()
}
