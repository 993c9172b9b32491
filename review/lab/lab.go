// Package lab runs a small deployment of the project's programs as separate processes on loopback
// addresses, with stand-ins for backend servers, callers and operators. It is shared by the cases
// of the review.
package lab

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	aborted = 2
)

// maxRunTime ends a case that hangs, within the time that a script may take.
const maxRunTime = 115 * time.Second

//go:embed names.json settings.tmpl document.tmpl
var files embed.FS

// names holds the words of the platform's interface. They are data, so that the code here uses none
// of them.
var names struct {
	ID, Deadline, Expect, Seal, NotRun, Instance, Load, Boot, Command string
}

// Ports are the ports that are the same on all machines.
type Ports struct{ Caller, Ready, Control, Worker, First, Last int }

// Lab is one run of a case.
type Lab struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Ports   Ports

	dir    string
	root   string
	subnet int
	began  time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*Machine
	cleanups []func()
}

// Verdict is what a case has seen.
type Verdict struct {
	// Broken is set if the rule was broken, and Text says what was seen.
	Broken bool
	Text   string
}

// Main runs a case and exits with its result. The record is written to the working directory.
func Main(body func(*Lab) (Verdict, error)) {
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(aborted)
	}
	timeout := time.AfterFunc(maxRunTime, func() { l.exit(aborted, "the case took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		l.exit(aborted, "the case was stopped")
	}()
	v, err := body(l)
	timeout.Stop()
	switch {
	case err != nil:
		l.exit(aborted, "the case could not run: "+err.Error())
	case v.Broken:
		l.exit(broken, "BROKEN: "+v.Text)
	default:
		l.exit(held, "HELD: "+v.Text)
	}
}

// newLab reads the environment and creates the record and a temporary folder.
func newLab() (*Lab, error) {
	b, err := files.ReadFile("names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(b, &names); err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), root: os.Getenv("ROOT")}
	if l.record, err = os.Create("record.txt"); err != nil {
		return nil, err
	}
	if err := l.choosePorts(); err != nil {
		return nil, err
	}
	l.dir, err = os.MkdirTemp("", "review-")
	return l, err
}

// choosePorts picks a loopback subnet and ports that are free.
func (l *Lab) choosePorts() error {
	const firstSubnet, subnets, block = 66, 60, 20
	for try := range subnets {
		l.subnet = firstSubnet + (os.Getpid()+try)%subnets
		base := 12000 + (os.Getpid()*7+try*block)%12000
		l.Ports = Ports{Caller: base, Ready: base + 1, Control: base + 2, Worker: base + 3, First: base + 4, Last: base + 13}
		if l.isFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

const (
	// maxMachines is the number of addresses that a case may use.
	maxMachines = 12
	// metricsPort is that of the deploy file.
	metricsPort = 9464
)

// isFree reports whether the ports are free at all addresses.
func (l *Lab) isFree() bool {
	ports := []int{metricsPort}
	for port := l.Ports.Caller; port <= l.Ports.Last; port++ {
		ports = append(ports, port)
	}
	for host := 1; host <= maxMachines; host++ {
		for _, port := range ports {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", l.subnet, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// exit ends all processes, writes the result and exits.
func (l *Lab) exit(code int, text string) {
	l.Note("%s", text)
	l.mu.Lock()
	cleanups := l.cleanups
	machines := l.machines
	l.mu.Unlock()
	for _, f := range cleanups {
		f()
	}
	for _, m := range machines {
		m.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
	fmt.Println(text)
	_ = l.record.Close()
	os.Exit(code)
}

// Note writes a line to the record, with the time since the start.
func (l *Lab) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
}

// Now returns the time since the start of the case.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// Machine is one machine with a process of the project.
type Machine struct {
	lab *Lab
	// Name, IP, Zone and Service describe the machine; Service is empty for a replica.
	Name, IP, Zone, Service string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started bool
}

// addMachine adds a machine that is not started yet.
func (l *Lab) addMachine(name, zone, service string) *Machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &Machine{lab: l, Name: name, Zone: zone, Service: service, IP: fmt.Sprintf("127.%d.0.%d", l.subnet, len(l.machines)+1)}
	l.machines = append(l.machines, m)
	return m
}

// Zones are the failure domains.
var Zones = []string{"a", "b", "c", "d"}

// Deployment is a small deployment: a replica in each zone, and one machine of each service in the
// zones that the case asks for.
type Deployment struct {
	lab      *Lab
	Replicas []*Machine
	Nodes    []*Machine
}

// Deploy starts replicas in all zones and, for each service, a node in each of its first zones.
func (l *Lab) Deploy(services map[string]int) (*Deployment, error) {
	d := &Deployment{lab: l}
	for _, z := range Zones {
		d.Replicas = append(d.Replicas, l.addMachine("core-"+z, z, ""))
	}
	for _, service := range []string{"sheets", "bookings"} {
		for i := range services[service] {
			z := Zones[i%len(Zones)]
			d.Nodes = append(d.Nodes, l.addMachine(service+"-"+z, z, service))
		}
	}
	for _, m := range append(append([]*Machine{}, d.Replicas...), d.Nodes...) {
		if err := m.Start(true, d.seeds()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// seeds returns the control addresses of three replicas.
func (d *Deployment) seeds() string {
	var out []string
	for _, m := range d.Replicas[:3] {
		out = append(out, m.addr(d.lab.Ports.Control))
	}
	return strings.Join(out, ",")
}

// Node returns the node with a name.
func (d *Deployment) Node(name string) *Machine {
	for _, m := range d.Nodes {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Restart starts a machine's process again, as the platform does after it has ended.
func (d *Deployment) Restart(m *Machine) error { return m.Start(false, d.seeds()) }

// MemoryMB is the memory limit of the machine's process.
func (m *Machine) MemoryMB() int {
	if m.Service == "" {
		return 280
	}
	return 284
}

func (m *Machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Start starts the machine's process with its settings file.
func (m *Machine) Start(first bool, seeds string) error {
	l := m.lab
	t, err := template.ParseFS(files, "settings.tmpl")
	if err != nil {
		return err
	}
	role, class := "node", "side"+"car"
	if m.Service == "" {
		role, class = "replica", "core"
	}
	disk := filepath.Join(l.dir, m.Name+"-disk")
	if err := os.MkdirAll(disk, 0o755); err != nil {
		return err
	}
	var b bytes.Buffer
	err = t.Execute(&b, map[string]any{
		"Name": m.Name, "Role": role, "Class": class, "IP": m.IP, "Zone": m.Zone, "Service": m.Service,
		"Disk": disk, "Ports": l.Ports, "Seeds": seeds, "FirstStart": first, "MemoryMB": m.MemoryMB(),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, m.Name+".conf")
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(l.root, names.Command))
	cmd.Dir = l.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", names.Boot + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd, m.started = cmd, true
	m.mu.Unlock()
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started {
		_ = m.cmd.Process.Signal(s)
	}
}

// Kill ends the machine's process at once and waits for it.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.Wait()
}

// Wait waits for the end of the machine's process.
func (m *Machine) Wait() {
	m.mu.Lock()
	cmd, started := m.cmd, m.started
	m.started = false
	m.mu.Unlock()
	if started {
		_ = cmd.Wait()
	}
}
