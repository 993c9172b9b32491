package node

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// Replacement is a whole document under the operators' own number.
type Replacement struct {
	// ID is the same in every resend.
	ID string
	// Revision is the document's number and Base the one it was made on.
	Revision, Base uint64
	// Entries is the document.
	Entries settings.Entries
	// Owns tells which entries in force the document replaces; the others
	// stay.
	Owns func(id string) bool
	// Author is for the history.
	Author string
}

// patch returns what turns the entries in force into the document.
func (r *Replacement) patch(now settings.Entries) settings.Patch {
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

// Replace puts a document in the place of the one in force. The result's Code
// is Conflict if another number is in force than the one it is based on. The
// error's Run is RunNo only if the document certainly was not taken.
func (n *Node) Replace(r *Replacement, wait time.Duration) (confstore.Result, *fault.Error) {
	deadline := time.Now().Add(wait)
	maybe := false
	for {
		conf := n.conf.Load()
		change := confstore.Change{
			ID: r.ID, Base: conf.version, Patch: r.patch(conf.raw), Author: r.Author,
			AtMs: time.Now().UnixMilli(), Revision: r.Revision, BaseRevision: r.Base,
		}
		b, ferr := n.submit(configGroup, encode(&change), time.Until(deadline))
		if ferr != nil {
			if maybe && ferr.Run == fault.NotExecuted {
				ferr.Run = fault.ExecutionUnknown
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

// awaitVersion waits until a version is in force here, asking for it.
func (n *Node) awaitVersion(version uint64, deadline time.Time) {
	const look = 5 * time.Millisecond
	if addr := n.replicas.leaderAddr(configGroup); addr != "" && addr != n.opt.AdvertiseControl {
		n.gossip.heard(byAnswer, addr, version)
	}
	for n.conf.Load().version < version && time.Now().Before(deadline) {
		time.Sleep(look)
	}
}

// Current returns the entries in force, confirmed by a quorum.
func (n *Node) Current(wait time.Duration) (settings.Entries, *fault.Error) {
	r, ferr := n.readCurrent(wait)
	if ferr != nil {
		return nil, ferr
	}
	return r.Entries, nil
}

// foundPause is the time between two looks at whether the groups can be formed.
const foundPause = 50 * time.Millisecond

// found forms the replica groups on the first start of a fleet, on the node
// that stands first among those that all were told of.
func (n *Node) found() {
	if len(n.opt.Bootstrap) == 0 || n.opt.Bootstrap[0] != n.opt.AdvertiseControl || n.replicas.formed() {
		return
	}
	for {
		err := n.replicas.form()
		if err == nil || fault.CodeOf(err) == fault.Conflict {
			n.event("replica", "Formed the replica groups, the first start of the fleet.")
			return
		}
		n.warn("replica", "Cannot form the replica groups.", "err", err)
		select {
		case <-n.stop:
			return
		case <-time.After(foundPause):
		}
	}
}

// Policy returns the effective settings of a scope. They must not be changed.
func (n *Node) Policy(scope string) *settings.Policy { return n.conf.Load().tree.Policy(scope) }
