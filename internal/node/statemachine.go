package node

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/claims"
	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// stateMachine is the replicated state machine of a group. Only the group's
// goroutine uses it.
type stateMachine interface {
	// precheck runs on the leader before a command enters the log. It returns an
	// error to refuse the command, or a result that is already known; if both are
	// nil the command is proposed.
	precheck(command []byte) (result []byte, err error)
	// apply applies a committed command and returns its result.
	apply(command []byte) []byte
	// snapshot encodes the state.
	snapshot() ([]byte, error)
	// restore replaces the state by a snapshot; nil data means the empty state.
	restore(data []byte) error
}

// configMachine is the state machine of configGroup, which holds the operators' settings.
type configMachine struct {
	node  *Node
	store *confstore.Store
}

func (m *configMachine) precheck(command []byte) ([]byte, error) {
	var c confstore.Change
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed change")
	}
	if r, ok := m.store.LookupResult(c.ID); ok {
		return encodeMsgpack(&r), nil
	}
	if c.Base != m.store.Version() {
		// apply refuses it and records the refusal.
		return nil, nil
	}
	// The node usually has the tree of this version, since its replica activates
	// what it applies; otherwise the tree is built from the store.
	conf := m.node.conf.Load()
	tree := conf.tree
	if conf.version != m.store.Version() {
		var err error
		if tree, err = settings.NewTree(m.store.Entries()); err != nil {
			return nil, err
		}
	}
	_, err := tree.Apply(c.Patch)
	return nil, err
}

func (m *configMachine) apply(command []byte) []byte {
	var c confstore.Change
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil
	}
	before := m.store.Version()
	r := m.store.Apply(c)
	if m.store.Version() != before {
		changes, _ := m.store.ChangesSince(before)
		m.node.applyChanges(changes)
	}
	return encodeMsgpack(&r)
}

func (m *configMachine) snapshot() ([]byte, error) { return m.store.Snapshot() }

func (m *configMachine) restore(data []byte) error {
	if data == nil {
		m.store = confstore.New()
		return nil
	}
	store, err := confstore.Restore(data)
	if err != nil {
		return err
	}
	m.store = store
	if changes, ok := store.ChangesSince(m.node.conf.Load().version); ok {
		m.node.applyChanges(changes)
	}
	m.node.applyDocument(store.Version(), store.Entries())
	return nil
}

// claimMachine is the state machine of one shard of the idempotency keys.
type claimMachine struct{ store *claims.Store }

func (m *claimMachine) precheck([]byte) ([]byte, error) { return nil, nil }

func (m *claimMachine) apply(command []byte) []byte {
	var c claims.Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil
	}
	r := m.store.Apply(&c)
	return encodeMsgpack(&r)
}

func (m *claimMachine) snapshot() ([]byte, error) { return m.store.Snapshot() }

func (m *claimMachine) restore(data []byte) error {
	if data == nil {
		m.store = claims.New()
		return nil
	}
	store, err := claims.Restore(data)
	if err != nil {
		return err
	}
	m.store = store
	return nil
}

// encodeMsgpack encodes a value that always encodes; it panics otherwise.
func encodeMsgpack(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Structs of plain fields always encode.
		panic(err)
	}
	return b
}
