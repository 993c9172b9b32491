// Package harness runs nodes and stand-in backend servers as processes on
// this machine, for demonstrations, measurements and failure tests.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/internal/sock"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// Process is a started child process that logs to a file.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// WaitExit waits up to d for the process to exit and reports whether it has.
func (p *Process) WaitExit(d time.Duration) bool {
	// With d = 0 both cases below are ready, and select takes either.
	select {
	case <-p.exited:
		return true
	default:
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// ExitCode returns the exit code of an exited process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Node is a node process and its addresses.
type Node struct {
	*Process
	Domain                     string
	HTTP, Data, Control, Admin string
	DataFolder                 string
	settingsFile               string
	name                       string
	spec                       NodeSpec
	// advertised are the settings lines for the advertised addresses.
	advertised []string
}

// Server is a stand-in backend server process.
type Server struct {
	*Process
	Service string
	Addr    string
	Node    *Node
	args    []string
}

// Fleet is a set of processes with their files in one folder.
type Fleet struct {
	Dir     string
	Bin     string
	Nodes   []*Node
	Servers []*Server
}

// New returns an empty fleet that uses the binaries in folder bin.
func New(bin string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "umberthread-")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot create the fleet's folder")
	}
	return &Fleet{Dir: dir, Bin: bin}, nil
}

// startProcess starts a binary of the fleet with its output in a log file.
func (f *Fleet) startProcess(name, command string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot open a log file")
	}
	cmd := exec.Command(filepath.Join(f.Bin, command), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot start "+command)
	}
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// NodeSpec describes a node to start.
type NodeSpec struct {
	Domain string
	// HasDisk gives the node a data folder.
	HasDisk bool
	// ExtraSettings are additional lines of its settings file.
	ExtraSettings []string
	// Bootstrap holds control addresses; nil selects those of the first nodes.
	Bootstrap []string
	// Advertise returns the settings lines for the advertised addresses, given the
	// node's own; nil for none.
	Advertise func(data, control string) ([]string, error)
}

// maxStartAttempts bounds the attempts to start a node: another process may take a
// port between its selection and the start.
const maxStartAttempts = 3

// StartNode starts a node and waits until its admin address responds.
func (f *Fleet) StartNode(s NodeSpec) (*Node, error) {
	var n *Node
	var err error
	for range maxStartAttempts {
		if n, err = f.tryStartNode(s); err == nil {
			return n, nil
		}
		f.Nodes = slices.DeleteFunc(f.Nodes, func(o *Node) bool { return o == n })
	}
	return nil, err
}

// tryStartNode starts a node at free addresses. On an error the node may be left in Nodes.
func (f *Fleet) tryStartNode(s NodeSpec) (*Node, error) {
	n := &Node{Domain: s.Domain, spec: s, name: fmt.Sprintf("%s-%d", s.Domain, len(f.Nodes)+1)}
	n.settingsFile = filepath.Join(f.Dir, n.name+".toml")
	if s.HasDisk {
		n.DataFolder = filepath.Join(f.Dir, n.name+"-data")
	}
	if err := assignFreeAddrs(&n.HTTP, &n.Data, &n.Control, &n.Admin); err != nil {
		return nil, err
	}
	if err := f.advertise(n); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	return n, f.RestartNode(n)
}

// MoveNode assigns new data and control addresses to a stopped node. Its addresses for
// callers and operators stay.
func (f *Fleet) MoveNode(n *Node) error {
	if err := assignFreeAddrs(&n.Data, &n.Control); err != nil {
		return err
	}
	return f.advertise(n)
}

// UpdateBootstrap writes the current bootstrap addresses to the settings files of all nodes,
// which read them at their next start. No address of a node changes.
func (f *Fleet) UpdateBootstrap() error {
	for _, n := range f.Nodes {
		if err := f.writeSettings(n); err != nil {
			return err
		}
	}
	return nil
}

// advertise determines the advertised addresses of a node and writes its settings file.
func (f *Fleet) advertise(n *Node) error {
	n.advertised = nil
	if n.spec.Advertise != nil {
		lines, err := n.spec.Advertise(n.Data, n.Control)
		if err != nil {
			return err
		}
		n.advertised = lines
	}
	return f.writeSettings(n)
}

// assignFreeAddrs sets each address to a free one on the loopback interface.
func assignFreeAddrs(addrs ...*string) error {
	for _, a := range addrs {
		addr, err := sock.FreeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	return nil
}

// writeSettings writes a node's settings file, with the current addresses of the first
// nodes.
func (f *Fleet) writeSettings(n *Node) error {
	s := n.spec
	bootstrap := s.Bootstrap
	if bootstrap == nil {
		bootstrap = f.bootstrapAddrs(n)
	}
	lines := []string{
		fmt.Sprintf("name = %q", n.name), fmt.Sprintf("failure_domain = %q", s.Domain),
		fmt.Sprintf("http = %q", n.HTTP), fmt.Sprintf("data = %q", n.Data),
		fmt.Sprintf("control = %q", n.Control), fmt.Sprintf("admin = %q", n.Admin),
	}
	if len(bootstrap) > 0 {
		lines = append(lines, `bootstrap = ["`+strings.Join(bootstrap, `", "`)+`"]`)
	}
	if s.HasDisk {
		lines = append(lines, fmt.Sprintf("data_folder = %q", n.DataFolder))
	}
	lines = append(lines, s.ExtraSettings...)
	lines = append(lines, n.advertised...)
	if err := os.WriteFile(n.settingsFile, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write settings")
	}
	return nil
}

// RestartNode starts the process of a node that is not running and waits until its
// admin address responds.
func (f *Fleet) RestartNode(n *Node) error {
	p, err := f.startProcess(n.name, "umberthreadd", "--settings", n.settingsFile)
	if err != nil {
		return err
	}
	n.Process = p
	return Await(20*time.Second, func() error {
		if p.WaitExit(0) {
			return fault.New(fault.Internal, "node "+n.name+" exited during its start; see its log in "+f.Dir)
		}
		_, err := n.Status()
		return err
	})
}

// bootstrapAddrs returns the control addresses of the first nodes other than self.
func (f *Fleet) bootstrapAddrs(self *Node) []string {
	const maxAddrs = 3
	var out []string
	for _, n := range f.Nodes {
		if n != self && len(out) < maxAddrs {
			out = append(out, n.Control)
		}
	}
	return out
}

// Status queries the node's status through its admin address.
func (n *Node) Status() (node.Status, error) {
	var s node.Status
	return s, ctl.NewClient(n.Admin).Get("/v1/status", nil, &s)
}

// ServerSpec describes a stand-in to start beside a node. Kinds are in the format of
// standin.ParseKind.
type ServerSpec struct {
	Service     string
	Slots       int
	Connections int
	Kinds       []string
	ColdStart   time.Duration
}

// StartServer starts a stand-in beside a node.
func (f *Fleet) StartServer(n *Node, s ServerSpec) (*Server, error) {
	addr, err := sock.FreeAddr()
	if err != nil {
		return nil, err
	}
	args := []string{
		"--service", s.Service, "--listen", addr, "--node", n.HTTP, "--slots", fmt.Sprint(s.Slots),
		"--connections", fmt.Sprint(s.Connections), "--cold-start", s.ColdStart.String(),
	}
	for _, k := range s.Kinds {
		args = append(args, "--kind", k)
	}
	srv := &Server{Service: s.Service, Addr: addr, Node: n, args: args}
	f.Servers = append(f.Servers, srv)
	return srv, f.RestartServer(srv)
}

// RestartServer starts the process of a stand-in that is not running.
func (f *Fleet) RestartServer(s *Server) error {
	name := strings.ReplaceAll(s.Service, "/", "-") + "-" + s.Node.Name
	p, err := f.startProcess(name, "umberstand", s.args...)
	s.Process = p
	return err
}

// SetFaults replaces the injected faults of a stand-in.
func (s *Server) SetFaults(f standin.Faults) error {
	b, err := json.Marshal(f)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode faults")
	}
	resp, err := http.Post("http://"+s.Addr+"/_standin/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "stand-in does not respond")
	}
	return resp.Body.Close()
}

// RequestStats returns the statistics that a stand-in keeps of each request, by request id.
func (s *Server) RequestStats() (map[string]standin.RequestStats, error) {
	resp, err := http.Get("http://" + s.Addr + "/_standin/work")
	if err != nil {
		return nil, fault.Wrap(fault.PeerLost, err, "stand-in does not respond")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Wrap(fault.PeerLost, err, "cannot read the response of the stand-in")
	}
	var w map[string]standin.RequestStats
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, fault.Wrap(fault.Protocol, err, "malformed request statistics")
	}
	return w, nil
}

// FormReplicaGroups forms the replica groups, with the given node as the first replica.
func (f *Fleet) FormReplicaGroups(n *Node) error {
	var s node.ReplicaStatus
	return ctl.NewClient(n.Admin).Post("/v1/replicas/form", nil, &s)
}

// ApplySettings sets the entries of a TOML document and further entries, waits until
// all running nodes have the new version, and returns it.
func (f *Fleet) ApplySettings(n *Node, toml string, set settings.Entries) (uint64, error) {
	tree, err := settings.ParseTOML([]byte(toml))
	if err != nil {
		return 0, err
	}
	entries := tree.Entries()
	for k, v := range set {
		entries[k] = v
	}
	c := ctl.NewClient(n.Admin)
	var version uint64
	err = Await(20*time.Second, func() error {
		var d node.ConfigDocument
		if err := c.Get("/v1/config", url.Values{"current": {"true"}}, &d); err != nil {
			return err
		}
		var res node.ChangeResult
		if err := c.Post("/v1/config", node.ChangeRequest{ID: uuid.NewString(), Base: d.Version, Set: entries}, &res); err != nil {
			return err
		}
		if res.Version == 0 {
			return fault.New(fault.Conflict, res.Reason)
		}
		version = res.Version
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, f.AwaitVersion(version, 20*time.Second)
}

// AwaitVersion waits up to d until all running nodes have a settings version.
func (f *Fleet) AwaitVersion(version uint64, d time.Duration) error {
	return Await(d, func() error {
		for _, n := range f.Nodes {
			if n.WaitExit(0) {
				continue
			}
			s, err := n.Status()
			if err != nil {
				return err
			}
			if s.Config < version {
				return fault.Newf(fault.NotFound, "%s has version %d, not %d", s.Name, s.Config, version)
			}
		}
		return nil
	})
}

// AdminAddrs returns the admin addresses of all nodes.
func (f *Fleet) AdminAddrs() []string {
	var out []string
	for _, n := range f.Nodes {
		out = append(out, n.Admin)
	}
	return out
}

// HTTPAddrs returns the HTTP addresses of all nodes.
func (f *Fleet) HTTPAddrs() []string {
	var out []string
	for _, n := range f.Nodes {
		out = append(out, n.HTTP)
	}
	return out
}

// Stop stops all processes gracefully, paused ones too, and returns an error that names
// the nodes that did not exit with 0. On success it removes the folder.
func (f *Fleet) Stop() error {
	var bad []string
	for _, n := range f.Nodes {
		if n.Process != nil {
			n.Signal(syscall.SIGCONT)
			n.Signal(syscall.SIGTERM)
		}
	}
	for _, n := range f.Nodes {
		if n.Process != nil && !n.WaitExit(40*time.Second) {
			n.Signal(syscall.SIGKILL)
			bad = append(bad, n.Name+" did not stop")
		} else if n.Process != nil && n.ExitCode() > 0 {
			bad = append(bad, fmt.Sprintf("%s exited with %d", n.Name, n.ExitCode()))
		}
	}
	for _, s := range f.Servers {
		if s.Process != nil {
			s.Signal(syscall.SIGCONT)
			s.Signal(syscall.SIGTERM)
			_ = s.WaitExit(5 * time.Second)
		}
	}
	if len(bad) > 0 {
		return fault.New(fault.Internal, strings.Join(bad, "; ")+"; logs in "+f.Dir)
	}
	if err := os.RemoveAll(f.Dir); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot remove the fleet's folder")
	}
	return nil
}

// Await calls f until it succeeds; after d, it returns the last error.
func Await(d time.Duration, f func() error) error {
	deadline := time.Now().Add(d)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
