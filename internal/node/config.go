package node

import (
	"maps"
	"time"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/settings"
)

// config is a version of the operators' settings in force on this node. It is
// immutable and swapped whole.
type config struct {
	version uint64
	tree    *settings.Tree
	// raw is the whole document, with entries that only a newer release
	// understands: they are handed on, not used.
	raw settings.Entries
	// changes are the last ones, oldest first, for nodes that are behind.
	changes []confstore.Change
}

func emptyConfig() *config { return &config{tree: settings.Empty, raw: settings.Entries{}} }

const (
	// keptChanges is how many changes a node can hand on.
	keptChanges = 256
	// fetchFirst bounds the first fetches of settings: many round trips, and
	// little of the two seconds in which settings are due, as the node that was
	// asked may be gone and the next hint comes within half a second.
	fetchFirst = 300 * time.Millisecond
	// fetchTimeout bounds a fetch after some have failed: a large document over a
	// slow link takes longer.
	fetchTimeout = 2 * time.Second
)

// takeChanges puts accepted changes in force, in order. What is not newer than
// the version in force is passed over, so that a version never falls.
func (n *Node) takeChanges(cs []confstore.Change) {
	n.confMu.Lock()
	defer n.confMu.Unlock()
	cur := n.conf.Load()
	next := &config{version: cur.version, tree: cur.tree, raw: maps.Clone(cur.raw)}
	next.changes = cur.changes[:len(cur.changes):len(cur.changes)]
	for _, c := range cs {
		if c.Version != next.version+1 {
			continue
		}
		next.version = c.Version
		next.changes = append(next.changes, c)
		n.patch(next, c.Patch)
	}
	if next.version == cur.version {
		return
	}
	if over := len(next.changes) - keptChanges; over > 0 {
		next.changes = append([]confstore.Change(nil), next.changes[over:]...)
	}
	n.putInForce(next)
}

func (n *Node) patch(c *config, p settings.Patch) {
	for _, id := range p.Remove {
		delete(c.raw, id)
	}
	for id, v := range p.Set {
		c.raw[id] = v
	}
	tree, err := c.tree.Apply(p)
	if err != nil {
		tree = n.usable(c.raw, c.tree)
	}
	c.tree = tree
}

// usable returns the tree of what this release understands of a document that
// a newer one has accepted.
func (n *Node) usable(raw settings.Entries, last *settings.Tree) *settings.Tree {
	known := settings.Entries{}
	for id, v := range raw {
		if settings.IsValidEntry(id, v) {
			known[id] = v
		}
	}
	tree, err := settings.NewTree(known)
	if err != nil {
		n.warn("config", "Cannot use the settings, the ones before stay in use.", "err", err)
		return last
	}
	if len(known) < len(raw) {
		n.warn("config", "Left out settings that this release does not know.", "count", len(raw)-len(known))
	}
	return tree
}

// takeFull puts a whole document in force if it is newer.
func (n *Node) takeFull(version uint64, entries settings.Entries) {
	n.confMu.Lock()
	defer n.confMu.Unlock()
	cur := n.conf.Load()
	if version <= cur.version {
		return
	}
	n.putInForce(&config{version: version, raw: entries, tree: n.usable(entries, cur.tree)})
}

func (n *Node) putInForce(next *config) {
	n.conf.Store(next)
	n.applyGate()
	n.gossip.configChanged(next.version)
	late, way, from := n.news.force(n.clock(), next.version)
	text := "Version " + formatUint(next.version) + " is in force."
	n.info("config", text, "by", way, "from", from, "heard_ms_ago", late.Milliseconds())
	n.remember("config", text)
}

// fetchWait returns how long a fetch may take after so many have failed in a row.
func fetchWait(failed int) time.Duration {
	const tries = 2
	return min(fetchTimeout, fetchFirst<<min(failed/tries, 8))
}

// fetchConfig brings this node up to the version of the node at addr.
func (n *Node) fetchConfig(addr string, timeout time.Duration) error {
	var reply control.FetchReply
	req := control.FetchRequest{Since: n.conf.Load().version}
	if err := n.control.pool.Call(addr, "Fetch", &req, &reply, timeout); err != nil {
		return err
	}
	if reply.Full != nil {
		n.takeFull(reply.Version, reply.Full)
		return nil
	}
	n.takeChanges(reply.Changes)
	return nil
}

// configSince returns what a node at a version lacks.
func (n *Node) configSince(since uint64) control.FetchReply {
	cur := n.conf.Load()
	r := control.FetchReply{Version: cur.version}
	if since >= cur.version {
		return r
	}
	behind := cur.version - since
	if behind <= uint64(len(cur.changes)) {
		r.Changes = cur.changes[uint64(len(cur.changes))-behind:]
		return r
	}
	r.Full = cur.raw
	return r
}

// awaitConfig holds the start until this node has the settings that its
// failure domain has: it asks the nodes that it knows and takes the highest
// version. A node that reaches nobody serves after StartWait with what its own
// disk gave it.
func (n *Node) awaitConfig() {
	deadline := time.Now().Add(n.opt.StartWait.Duration)
	const look = 20 * time.Millisecond
	for time.Now().Before(deadline) {
		if len(n.opt.Bootstrap) == 0 || n.gossip.joined.Load() && n.conf.Load().version >= n.gossip.highest.Load() {
			return
		}
		time.Sleep(look)
	}
	n.warn("config", "Nobody answered, serving with the settings at hand.", "version", n.conf.Load().version)
}
