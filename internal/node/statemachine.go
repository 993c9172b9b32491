package node

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/claims"
	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// stateMachine is the state machine of a replica group.
type stateMachine interface {
	// check refuses a command before it enters the log, or answers it from
	// what is known; both nil means that it may enter.
	check(command []byte) (result []byte, err error)
	// apply applies a committed command and returns its result.
	apply(command []byte) []byte
	// snapshot encodes the state.
	snapshot() ([]byte, error)
	// restore replaces the state; nil data is the empty state.
	restore(data []byte) error
}

// confMachine is the state machine of the configuration group.
type confMachine struct {
	n     *Node
	store *confstore.Store
}

func (m *confMachine) check(command []byte) ([]byte, error) {
	var c confstore.Change
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed change")
	}
	if r, ok := m.store.LookupResult(c.ID); ok {
		return encode(&r), nil
	}
	if c.Base != m.store.Version() {
		// Apply will refuse it and remember that.
		return nil, nil
	}
	// A replica puts in force what it applies, so that its node has the tree
	// of this version; only a change in between needs another.
	conf := m.n.conf.Load()
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

func (m *confMachine) apply(command []byte) []byte {
	var c confstore.Change
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil
	}
	before := m.store.Version()
	r := m.store.Apply(c)
	if m.store.Version() != before {
		changes, _ := m.store.ChangesSince(before)
		m.n.takeChanges(changes)
	}
	return encode(&r)
}

func (m *confMachine) snapshot() ([]byte, error) { return m.store.Snapshot() }

func (m *confMachine) restore(data []byte) error {
	if data == nil {
		m.store = confstore.New()
		return nil
	}
	store, err := confstore.Restore(data)
	if err != nil {
		return err
	}
	m.store = store
	if changes, ok := store.ChangesSince(m.n.conf.Load().version); ok {
		m.n.takeChanges(changes)
	}
	m.n.takeFull(store.Version(), store.Entries())
	return nil
}

// claimMachine is the state machine of a shard of idempotency keys.
type claimMachine struct{ store *claims.Store }

func (m *claimMachine) check([]byte) ([]byte, error) { return nil, nil }

func (m *claimMachine) apply(command []byte) []byte {
	var c claims.Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return nil
	}
	r := m.store.Apply(&c)
	return encode(&r)
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

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Structs of plain fields always encode.
		panic(err)
	}
	return b
}
