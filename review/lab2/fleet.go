package main

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/template"
	"time"
)

const (
	backendPort   = 18301
	readinessPort = 18302
	callerPort    = 18304
	controlPort   = 18306
	firstNodePort = 17620
	metricsPort   = 9464
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

//go:embed document.json
var firstDocument string

// instance is the settings of one process of the project. Service is empty on a replica,
// which has a folder instead.
type instance struct {
	Name, IP, Zone, Service, Folder, Seeds string
	FirstStart                             bool
}

// fleet is a small deployment of the project's own program on loopback addresses.
type fleet struct {
	record    *record
	folder    string
	processes map[string]*exec.Cmd
}

// newFleet returns a fleet without processes. It fails if a port that one would use is taken.
func newFleet(r *record, ips ...string) (*fleet, error) {
	for _, ip := range ips {
		for _, port := range []int{backendPort, readinessPort, callerPort, controlPort, firstNodePort, metricsPort} {
			ln, err := net.Listen("tcp", address(ip, port))
			if err != nil {
				return nil, err
			}
			_ = ln.Close()
		}
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, folder: folder, processes: map[string]*exec.Cmd{}}, nil
}

// address joins an IP address and a port.
func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// start starts the process of an instance with its settings.
func (f *fleet) start(in instance) error {
	if in.Service == "" {
		in.Folder = filepath.Join(f.folder, in.Name)
		if err := os.MkdirAll(in.Folder, 0o755); err != nil {
			return err
		}
	}
	path := filepath.Join(f.folder, in.Name+".conf")
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := settingsTemplate.Execute(file, in); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(platform.Program)
	cmd.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.processes[in.Name] = cmd
	f.record.add("started %s, service %q", in.Name, in.Service)
	return nil
}

// end kills all processes and removes the folder.
func (f *fleet) end() {
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(f.folder)
}

// putDocument sends a document to a replica until it is acknowledged.
func (f *fleet) putDocument(ip, base, document string, wait time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPut, "http://"+address(ip, controlPort)+"/config", strings.NewReader(document))
		if err != nil {
			return err
		}
		req.Header.Set("If-Match", base)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.record.add("operator: document on base %s acknowledged", base)
			return nil
		}
	}
	return errors.New("no document was acknowledged")
}

// request is one request of a client.
type request struct {
	ip, method, path, id string
	header               http.Header
	wait                 time.Duration
}

// send sends a request on a new connection and returns the status of its answer, 0 for none.
func (q request) send() (status int, body string) {
	req, err := http.NewRequest(q.method, "http://"+address(q.ip, callerPort)+q.path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "calls.example"
	for name, values := range q.header {
		req.Header[name] = values
	}
	req.Header.Set(platform.AttemptID, q.id)
	req.Header.Set(platform.DeadlineMs, fmt.Sprint(q.wait.Milliseconds()))
	client := &http.Client{Timeout: q.wait, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: len(q.header["Connection"]) == 0}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// awaitService waits until requests at each of the addresses are served.
func (f *fleet) awaitService(path string, wait time.Duration, ips ...string) error {
	until := time.Now().Add(wait)
	for i, ip := range ips {
		for n := 0; ; n++ {
			if status, _ := (request{ip: ip, method: http.MethodGet, path: path, id: fmt.Sprintf("first-%d-%d", i, n), wait: time.Second}).send(); status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return errors.New("no request was served at " + ip)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
