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
	// responseBytes is the size of each response.
	responseBytes = 600
	serverSlots   = 24
	// replicas is the number of nodes with a disk; one loss is tolerated.
	replicas = 3
	// stopTimeout is the nodes' limit for a graceful stop.
	stopTimeout = 6 * time.Second
	// stopGrace is the additional time until a process must have exited.
	stopGrace = 2 * time.Second
)

// initialSettings are the settings at the start, in TOML.
const initialSettings = `
[default]
deadline = "3s"
[fleet.soak.service.front]
retry_ratio = 0.2
retry_burst = 1
retry_window = "4s"
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

var frontKinds = map[string]standin.KindBehavior{
	"read": {MeanServiceTime: 5 * time.Millisecond, Calls: []string{"soak/deep/look", "soak/deep/look"}, ResponseBytes: responseBytes},
	"note": {MeanServiceTime: 15 * time.Millisecond, ResponseBytes: responseBytes},
	"book": {MeanServiceTime: 15 * time.Millisecond, ResponseBytes: responseBytes},
}

var deepKinds = map[string]standin.KindBehavior{"look": {MeanServiceTime: 4 * time.Millisecond, ResponseBytes: responseBytes}}

// member is a node with its relays and its local backend.
type member struct {
	*harness.Node
	// relayMu guards relays, which are replaced when the node moves.
	relayMu sync.Mutex
	relays  []*relay.Relay
	// servers are all stand-ins started beside the node; the last one is current.
	servers []*standin.Server
	options standin.Options

	// The disk stalls while stall exists, and refuses writes while refusal exists.
	stall, refusal diskFault

	// mu is held while the process or the backend server is stopped or started.
	mu sync.Mutex
	// processStarts counts the starts of the process.
	processStarts int
}

// fleet holds the nodes of a run, spread over three failure domains with one disk
// each.
type fleet struct {
	*harness.Fleet
	members []*member
	poison  poisonExecutions
}

// startFleet starts the nodes, forms the fleet, applies the initial settings and starts the
// backend servers, which announce an identity if identified is set. On an error it returns the
// partial fleet for cleanup.
func startFleet(bin string, nodes int, identified bool) (*fleet, error) {
	h, err := harness.New(bin)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: h}
	for i := range nodes {
		if err := f.addNode(i); err != nil {
			return f, err
		}
	}
	if err := f.FormReplicaGroups(f.members[0].Node); err != nil {
		return f, err
	}
	if err := f.awaitVoters(); err != nil {
		return f, err
	}
	if _, err := f.ApplySettings(f.members[0].Node, initialSettings, nil); err != nil {
		return f, err
	}
	for i, m := range f.members {
		if identified {
			m.options.Instance = fmt.Sprintf("server-%d", i+1)
		}
		if err := m.startServer(i, f.poison.crashOn); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addNode starts the node with index i.
func (f *fleet) addNode(i int) error {
	m := &member{processStarts: 1}
	m.stall.file = filepath.Join(f.Dir, fmt.Sprintf("hold-%d", i+1))
	m.refusal.file = filepath.Join(f.Dir, fmt.Sprintf("full-%d", i+1))
	f.members = append(f.members, m)
	domain := fmt.Sprintf("d%d", i%replicas+1)
	n, err := f.StartNode(harness.NodeSpec{
		Domain: domain, HasDisk: i < replicas, Advertise: m.startRelays,
		ExtraSettings: []string{
			"replicas = 3", "min_voters = 2", `replace_after = "4s"`, fmt.Sprintf("stop_timeout = %q", stopTimeout),
			fmt.Sprintf("sync_hold = %q", m.stall.file), fmt.Sprintf("write_refusal = %q", m.refusal.file),
		},
	})
	m.Node = n
	return err
}

// startRelays replaces the relays of the node and returns the settings lines that
// advertise their addresses.
func (m *member) startRelays(data, control string) ([]string, error) {
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

// startServer starts the backend server beside node i. The service alternates
// between groups of one node per failure domain.
func (m *member) startServer(i int, endsOn func(path string, body []byte) bool) error {
	m.options = standin.Options{
		Service: frontService, ListenAddr: "127.0.0.1:0", NodeAddr: m.HTTP, Slots: serverSlots, Connections: 4 * serverSlots,
		Kinds: frontKinds, AnnounceInterval: 300 * time.Millisecond, CrashOn: endsOn, Instance: m.options.Instance,
	}
	if i/replicas%2 == 1 {
		m.options.Service, m.options.Kinds = deepService, deepKinds
	}
	return m.launchServer()
}

// launchServer starts a stand-in with the member's options and makes it current.
func (m *member) launchServer() error {
	s, err := standin.Start(m.options)
	if err != nil {
		return err
	}
	m.servers = append(m.servers, s)
	return nil
}

// currentServer returns the stand-in started last.
func (m *member) currentServer() *standin.Server { return m.servers[len(m.servers)-1] }

// awaitVoters waits until every replica group has all replicas as voters.
func (f *fleet) awaitVoters() error {
	return harness.Await(30*time.Second, func() error {
		s, err := f.members[0].Status()
		if err != nil {
			return err
		}
		for _, g := range s.Replica.Groups {
			if len(g.Voters) != replicas {
				return fault.Newf(fault.NoQuorum, "a group has %d voters", len(g.Voters))
			}
		}
		return nil
	})
}

// stopAll kills the nodes and stops the stand-ins and relays.
func (f *fleet) stopAll() {
	for _, m := range f.members {
		if m.Node != nil && m.Process != nil {
			m.Signal(syscall.SIGKILL)
			m.WaitExit(stopGrace)
		}
		for _, s := range m.servers {
			s.Stop()
		}
		for _, r := range m.relays {
			r.Close()
		}
	}
}

// tearLogs appends an incomplete record to the logs of a killed node, as a loss of
// power during a write may leave it.
func (m *member) tearLogs() error {
	logs, err := filepath.Glob(filepath.Join(m.DataFolder, "group-*", "log"))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot list the logs")
	}
	for _, path := range logs {
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot open a log")
		}
		// A length and part of a checksum.
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
