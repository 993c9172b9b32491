package node

import (
	"maps"
	"time"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/settings"
)

// config is a version of the operators' settings, active on this node. It is
// immutable and replaced as a whole.
type config struct {
	version uint64
	tree    *settings.Tree
	// entries is the whole document. It includes entries that only a newer release
	// understands, which are passed on to other nodes but not used.
	entries settings.Entries
	// accounts are those of the workspaces, by workspace.Workspace.Index.
	accounts []*quota.Account
	// changes are the latest changes, oldest first, for nodes that are behind.
	changes []confstore.Change
}

// emptyConfig returns version 0, which has no entries.
func emptyConfig() *config { return &config{tree: settings.Empty, entries: settings.Entries{}} }

// maxKeptChanges is how many changes a node keeps for others.
const maxKeptChanges = 256

// applyChanges activates accepted changes in order. It skips those that do not
// directly follow the active version, so the version never decreases.
func (n *Node) applyChanges(cs []confstore.Change) {
	n.confMu.Lock()
	defer n.confMu.Unlock()
	cur := n.conf.Load()
	next := &config{version: cur.version, tree: cur.tree, entries: maps.Clone(cur.entries)}
	next.changes = cur.changes[:len(cur.changes):len(cur.changes)]
	for _, c := range cs {
		if c.Version != next.version+1 {
			continue
		}
		next.version = c.Version
		next.changes = append(next.changes, c)
		n.applyPatch(next, c.Patch)
	}
	if next.version == cur.version {
		return
	}
	next.changes = confstore.KeepRecent(next.changes, maxKeptChanges, confstore.EntriesBytes(next.entries))
	n.activate(next)
}

// applyPatch applies a patch to c, which must not be active yet.
func (n *Node) applyPatch(c *config, p settings.Patch) {
	for _, id := range p.Remove {
		delete(c.entries, id)
	}
	for id, v := range p.Set {
		c.entries[id] = v
	}
	tree, err := c.tree.Apply(p)
	if err != nil {
		tree = n.usableTree(c.entries, c.tree)
	}
	c.tree = tree
}

// usableTree returns the tree of the entries that this release understands, in a
// document that a newer release may have accepted. It returns last if they do not
// form a valid tree.
func (n *Node) usableTree(raw settings.Entries, last *settings.Tree) *settings.Tree {
	known := settings.Entries{}
	for id, v := range raw {
		if settings.IsValidEntry(id, v) {
			known[id] = v
		}
	}
	tree, err := settings.NewTree(known)
	if err != nil {
		n.warn("config", "Cannot use the new settings; keeping the previous ones.", "err", err)
		return last
	}
	if len(known) < len(raw) {
		n.warn("config", "Ignored settings that this release does not know.", "count", len(raw)-len(known))
	}
	return tree
}

// applyDocument activates a whole document if it is newer than the active one.
func (n *Node) applyDocument(version uint64, entries settings.Entries) {
	n.confMu.Lock()
	defer n.confMu.Unlock()
	cur := n.conf.Load()
	if version <= cur.version {
		return
	}
	n.activate(&config{version: version, entries: entries, tree: n.usableTree(entries, cur.tree)})
}

// activate makes a version active and announces it. confMu must be held.
func (n *Node) activate(next *config) {
	next.accounts = n.quotas.bind(next)
	n.conf.Store(next)
	n.updateGateOptions()
	n.gossip.configChanged(next.version)
	delay, source, from := n.versions.activate(n.clock(), next.version)
	text := "Version " + formatUint(next.version) + " is in force."
	n.info("config", text, "by", source, "from", from, "heard_ms_ago", delay.Milliseconds())
	n.recordEvent("config", text)
}

// configChangesSince returns what a node with an older version needs: the changes
// since, or the whole document if that is smaller or not all of them are kept.
func (n *Node) configChangesSince(since uint64) control.FetchReply {
	cur := n.conf.Load()
	r := control.FetchReply{Version: cur.version}
	if since >= cur.version {
		return r
	}
	behind := cur.version - since
	if behind > uint64(len(cur.changes)) {
		r.Full = cur.entries
		return r
	}
	r.Changes = cur.changes[uint64(len(cur.changes))-behind:]
	if behind > 1 && changesBytes(r.Changes) > confstore.EntriesBytes(cur.entries) {
		// Changes that overwrite each other would take longer over a slow link.
		r.Changes, r.Full = nil, cur.entries
	}
	return r
}

// changesBytes returns the approximate size of changes in bytes.
func changesBytes(changes []confstore.Change) int {
	size := 0
	for i := range changes {
		size += changes[i].Bytes()
	}
	return size
}

// awaitConfig delays the start until this node has joined and has the highest
// version of the settings that it knows of. After Options.StartWait the node serves
// with the settings that it has.
func (n *Node) awaitConfig() {
	deadline := time.Now().Add(n.opt.StartWait.Duration)
	const pollInterval = 20 * time.Millisecond
	for time.Now().Before(deadline) {
		if len(n.opt.Bootstrap) == 0 || n.gossip.joined.Load() && n.conf.Load().version >= n.gossip.highestVersion.Load() {
			return
		}
		time.Sleep(pollInterval)
	}
	n.warn("config", "No current settings received in time; serving with the available ones.", "version", n.conf.Load().version)
}
