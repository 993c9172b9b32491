package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/sock"
	"github.com/umberthread/umberthread/internal/standin"
)

const (
	frontService = "soak/front"
	deepService  = "soak/deep"
	// answerBytes is the size of each answer.
	answerBytes = 600
	slots       = 24
	// replicas is how many nodes have a disk: one may be lost.
	replicas = 3
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// stopSlack is how much longer than that a process may be there.
	stopSlack = 2 * time.Second
)

// tree are the settings at the start.
const tree = `
[default]
deadline = "3s"
[fleet.soak.service.front.kind.read]
idempotent = true
[fleet.soak.service.front.kind.note]
class = "important"
[fleet.soak.service.front.kind.book]
class = "protected"
key_required = true
[fleet.soak.service.deep.kind.look]
idempotent = true
`

var frontKinds = map[string]standin.Kind{
	"read": {Time: 5 * time.Millisecond, Calls: []string{"soak/deep/look", "soak/deep/look"}, Answer: answerBytes},
	"note": {Time: 15 * time.Millisecond, Answer: answerBytes},
	"book": {Time: 15 * time.Millisecond, Answer: answerBytes},
}

var deepKinds = map[string]standin.Kind{"look": {Time: 4 * time.Millisecond, Answer: answerBytes}}

// member is a node, the relays before it and the backend server beside it.
type member struct {
	*harness.Node
	// relayMu guards relays, which are others once the node has moved.
	relayMu sync.Mutex
	relays  []*relay.Relay
	// servers are the stand-ins that stood beside the node, the last one now.
	servers []*standin.Server
	options standin.Options

	// stallMu is held while the disk stalls: as long as syncHold, a file, exists.
	stallMu  sync.Mutex
	syncHold string

	// mu is held while the process is ended or started.
	mu sync.Mutex
	// starts counts the starts of the process.
	starts int
}

// fleet is the nodes of a run: one with a disk and some without in each of
// three failure domains.
type fleet struct {
	*harness.Fleet
	members  []*member
	poisoned poisoned
}

func startFleet(bin string, nodes int) (*fleet, error) {
	h, err := harness.New(bin)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: h}
	for i := range nodes {
		if err := f.add(i); err != nil {
			return f, err
		}
	}
	if err := f.Form(f.members[0].Node); err != nil {
		return f, err
	}
	if err := f.awaitVoters(); err != nil {
		return f, err
	}
	if _, err := f.Configure(f.members[0].Node, tree, nil); err != nil {
		return f, err
	}
	for i, m := range f.members {
		if err := m.startServer(i, f.poisoned.endsOn); err != nil {
			return f, err
		}
	}
	return f, nil
}

// add starts the node with an index.
func (f *fleet) add(i int) error {
	m := &member{starts: 1, syncHold: filepath.Join(f.Dir, fmt.Sprintf("hold-%d", i+1))}
	f.members = append(f.members, m)
	domain := fmt.Sprintf("d%d", i%replicas+1)
	n, err := f.StartNode(harness.NodeSpec{
		Domain: domain, Disk: i < replicas, Advertise: m.advertise,
		Extra: []string{"replicas = 3", "min_voters = 2", `replace_after = "4s"`, fmt.Sprintf("stop_timeout = %q", stopTimeout), fmt.Sprintf("sync_hold = %q", m.syncHold)},
	})
	m.Node = n
	return err
}

// advertise puts relays before the node's addresses.
func (m *member) advertise(data, control string) ([]string, error) {
	m.relayMu.Lock()
	defer m.relayMu.Unlock()
	for _, r := range m.relays {
		r.Close()
	}
	m.relays = nil
	var lines []string
	for name, addr := range map[string]string{"advertise_data": data, "advertise_control": control} {
		free, err := sock.FreeAddr()
		if err != nil {
			return nil, err
		}
		r, err := relay.Start(free, addr)
		if err != nil {
			return nil, err
		}
		m.relays = append(m.relays, r)
		lines = append(lines, fmt.Sprintf("%s = %q", name, r.Addr()))
	}
	return lines, nil
}

// startServer starts the backend server beside the node: every other one is of
// the second service.
func (m *member) startServer(i int, endsOn func(path string, body []byte) bool) error {
	m.options = standin.Options{
		Service: frontService, Listen: "127.0.0.1:0", Node: m.HTTP, Slots: slots, Connections: 4 * slots,
		Kinds: frontKinds, Renew: 300 * time.Millisecond, EndsOn: endsOn,
	}
	if i/replicas%2 == 1 {
		m.options.Service, m.options.Kinds = deepService, deepKinds
	}
	return m.restartServer()
}

func (m *member) restartServer() error {
	s, err := standin.Start(m.options)
	if err != nil {
		return err
	}
	m.servers = append(m.servers, s)
	return nil
}

func (m *member) server() *standin.Server { return m.servers[len(m.servers)-1] }

func (f *fleet) awaitVoters() error {
	return harness.Await(30*time.Second, func() error {
		s, err := f.members[0].Status()
		if err != nil {
			return err
		}
		for _, g := range s.Replica.Groups {
			if len(g.Voters) != replicas {
				return fault.Newf(fault.NoQuorum, "%d replicas have a vote", len(g.Voters))
			}
		}
		return nil
	})
}

// stopAll ends everything that the run started.
func (f *fleet) stopAll() {
	for _, m := range f.members {
		if m.Node != nil && m.Proc != nil {
			m.Signal(syscall.SIGKILL)
			m.Wait(stopSlack)
		}
		for _, s := range m.servers {
			s.Stop()
		}
		for _, r := range m.relays {
			r.Close()
		}
	}
}

// tear appends the beginning of a record to the logs of a node that was killed:
// what a loss of power may leave of a write that was not synced.
func (m *member) tear() error {
	logs, err := filepath.Glob(filepath.Join(m.Folder, "group-*", "log"))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot list the logs")
	}
	for _, path := range logs {
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot open a log")
		}
		// A length and a part of a checksum.
		_, err = file.Write([]byte{0, 1, 0, 0, 0xca, 0xfe})
		if cerr := file.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot write to a log")
		}
	}
	return nil
}
