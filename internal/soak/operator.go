package soak

import (
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

const (
	// changeTimeout bounds the time during which a change is resent.
	changeTimeout    = 12 * time.Second
	changeRetryDelay = 100 * time.Millisecond
)

// settingsChange is a change that an operator has submitted.
type settingsChange struct {
	id          string
	baseVersion uint64
	// entry is the settings entry that it sets, value the new value.
	entry, value string
	// version is the version that it created, 0 if it was rejected or the outcome
	// is unknown.
	version    uint64
	acceptedAt time.Time
}

// operators submits settings changes through the nodes and records the outcomes.
type operators struct {
	adminAddresses []string

	mu         sync.Mutex
	changes    []settingsChange
	lastChange int
}

// changeSettings submits one change based on the newest version.
func (o *operators) changeSettings(nodeIndex int) {
	o.submitChange(o.newestVersion(nodeIndex), nodeIndex)
}

// submitConflictingChanges submits two changes based on the same version concurrently,
// through two nodes.
func (o *operators) submitConflictingChanges(nodeIndex int) {
	base := o.newestVersion(nodeIndex)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.submitChange(base, (nodeIndex+i)%len(o.adminAddresses))
		}()
	}
	wg.Wait()
}

// newestVersion returns the current settings version from the first node that
// responds, or 0.
func (o *operators) newestVersion(nodeIndex int) uint64 {
	for i := range o.adminAddresses {
		var d node.ConfigDocument
		c := ctl.NewClient(o.adminAddresses[(nodeIndex+i)%len(o.adminAddresses)])
		if c.Get("/v1/config", url.Values{"current": {"true"}}, &d) == nil {
			return d.Version
		}
	}
	return 0
}

// changeUntilAccepted submits changes until one is accepted or the time is over. It reads the
// newest version only if the newest accepted one is not, so that no read delays the change.
func (o *operators) changeUntilAccepted(nodeIndex int, within time.Duration) (settingsChange, bool) {
	base := uint64(0)
	for _, c := range o.acceptedChanges() {
		base = max(base, c.version)
	}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(changeRetryDelay) {
		if c := o.submitChange(base, nodeIndex); c.version > 0 {
			return c, true
		}
		base = o.newestVersion(nodeIndex)
	}
	return settingsChange{}, false
}

// submitChange resends a change until it is accepted, conflicts with another one or
// times out.
func (o *operators) submitChange(base uint64, nodeIndex int) settingsChange {
	o.mu.Lock()
	o.lastChange++
	change := settingsChange{id: uuid.NewString(), baseVersion: base, entry: fmt.Sprintf("soak/extra-%d#deadline", o.lastChange), value: fmt.Sprintf("%dms", 1000+o.lastChange)}
	o.mu.Unlock()
	req := node.ChangeRequest{ID: change.id, Base: base, Set: settings.Entries{change.entry: change.value}, Author: "soak"}
	for until := time.Now().Add(changeTimeout); time.Now().Before(until); {
		var res node.ChangeResult
		err := ctl.NewClient(o.adminAddresses[nodeIndex%len(o.adminAddresses)]).Post("/v1/config", req, &res)
		if err == nil && res.Version > 0 {
			change.version, change.acceptedAt = res.Version, time.Now()
			break
		}
		if err == nil || fault.CodeOf(err) == fault.Conflict {
			break
		}
		nodeIndex++
		time.Sleep(changeRetryDelay)
	}
	o.mu.Lock()
	o.changes = append(o.changes, change)
	o.mu.Unlock()
	return change
}

// acceptedChanges returns the changes that were accepted.
func (o *operators) acceptedChanges() []settingsChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []settingsChange
	for _, change := range o.changes {
		if change.version > 0 {
			out = append(out, change)
		}
	}
	return out
}
