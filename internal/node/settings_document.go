package node

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// Replacement is a whole settings document with the operators' own revision number.
type Replacement struct {
	// ID identifies the replacement; a resend carries the same ID.
	ID string
	// Revision is the document's revision and Base the revision it is based on.
	Revision, Base uint64
	// Entries is the content of the document.
	Entries settings.Entries
	// Owns reports whether the document replaces an active entry. Entries that it
	// does not own stay.
	Owns func(id string) bool
	// Author is recorded in the history.
	Author string
}

// patchFrom returns the patch that turns the given entries into the document.
func (r *Replacement) patchFrom(now settings.Entries) settings.Patch {
	p := settings.Patch{Set: settings.Entries{}}
	for id, v := range r.Entries {
		if old, ok := now[id]; !ok || old != v {
			p.Set[id] = v
		}
	}
	for id := range now {
		if _, kept := r.Entries[id]; !kept && r.Owns(id) {
			p.Remove = append(p.Remove, id)
		}
	}
	return p
}

// ReplaceSettings replaces the active document. The result's Code is Conflict if the
// active revision is not the one that the document is based on. The error's Run is
// fault.NotExecuted only if the document was certainly not accepted.
func (n *Node) ReplaceSettings(r *Replacement, wait time.Duration) (confstore.Result, *fault.Error) {
	if ferr := n.checkSettingsSize(r.Entries); ferr != nil {
		return confstore.Result{}, ferr
	}
	deadline := time.Now().Add(wait)
	uncertain := false
	for {
		conf := n.conf.Load()
		change := confstore.Change{
			ID: r.ID, Base: conf.version, Patch: r.patchFrom(conf.entries), Author: r.Author,
			AtMs: time.Now().UnixMilli(), Revision: r.Revision, BaseRevision: r.Base,
		}
		b, ferr := n.submitCommand(configGroup, encodeMsgpack(&change), time.Until(deadline))
		if ferr != nil {
			if uncertain && ferr.Execution == fault.NotExecuted {
				ferr.Execution = fault.ExecutionUnknown
			}
			return confstore.Result{}, ferr
		}
		var res confstore.Result
		if err := msgpack.Unmarshal(b, &res); err != nil {
			return res, fault.Wrap(fault.Internal, err, "malformed result of a change").WithUnknownExecution()
		}
		stale := res.Code == fault.Conflict && res.Revision == r.Base && res.Revision < r.Revision
		if !stale || time.Now().After(deadline) {
			return res, nil
		}
		n.awaitVersion(res.Current, deadline)
	}
}

// maxSettingsFraction is the part of the memory for connections that the settings may have. A
// snapshot has them twice, with the kept changes, and a control message takes several times its size.
const maxSettingsFraction = 1.0 / 8

// maxSettingsBytes returns the largest size of the settings, as confstore.EntriesBytes counts it.
func (n *Node) maxSettingsBytes() int {
	return int(maxSettingsFraction * float64(n.inbound.Status().MaxBytes))
}

// checkSettingsSize returns an error for settings that replicas could not send to each other. It
// assumes that all of them have the same memory.
func (n *Node) checkSettingsSize(entries settings.Entries) *fault.Error {
	size, most := confstore.EntriesBytes(entries), n.maxSettingsBytes()
	if size <= most {
		return nil
	}
	return fault.Newf(fault.TooLarge, "the settings have %d bytes; allowed are %d", size, most)
}

// awaitVersion waits until a version is active on this node or the deadline passes.
// It requests the version from the leader.
func (n *Node) awaitVersion(version uint64, deadline time.Time) {
	const pollInterval = 5 * time.Millisecond
	if addr := n.replicas.leaderAddr(configGroup); addr != "" && addr != n.opt.AdvertiseControl {
		n.gossip.observeVersion(viaReplicaResponse, addr, version)
	}
	for n.conf.Load().version < version && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// CurrentSettings returns the current version and entries, confirmed by a quorum.
func (n *Node) CurrentSettings(wait time.Duration) (uint64, settings.Entries, *fault.Error) {
	r, ferr := n.readCurrentConfig(wait)
	if ferr != nil {
		return 0, nil, ferr
	}
	return r.Version, r.Entries, nil
}

// formRetryInterval is the time between two attempts to form the replica groups.
const formRetryInterval = 50 * time.Millisecond

// formOnFirstStart forms the replica groups on the first start of a fleet. Only the
// node that is first in the bootstrap list does so.
func (n *Node) formOnFirstStart() {
	if len(n.opt.Bootstrap) == 0 || n.opt.Bootstrap[0] != n.opt.AdvertiseControl || n.replicas.belongsToGroup() {
		return
	}
	for {
		err := n.replicas.formGroups()
		if err == nil || fault.CodeOf(err) == fault.Conflict {
			n.logEvent("replica", "Formed the replica groups on the first start of the fleet.")
			return
		}
		n.warn("replica", "Cannot form the replica groups.", "err", err)
		select {
		case <-n.stop:
			return
		case <-time.After(formRetryInterval):
		}
	}
}

// Policy returns the effective settings of a scope. The result must not be modified.
func (n *Node) Policy(scope string) *settings.Policy { return n.conf.Load().tree.Policy(scope) }
