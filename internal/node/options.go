package node

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/disk"
)

// Options are the settings of one process, read from its TOML file. Settings that
// apply to all processes are in the operators' settings instead.
type Options struct {
	// Name is the human-readable name of the node; by default the HTTP address.
	Name string `toml:"name"`
	// Domain is the name of the node's failure domain.
	Domain string `toml:"failure_domain"`
	// HTTP is the address for callers and the node's backend server.
	HTTP string `toml:"http"`
	// Data is the address to which other nodes send requests.
	Data string `toml:"data"`
	// Control is the address for control messages of other nodes, over UDP and TCP.
	Control string `toml:"control"`
	// AdvertiseData and AdvertiseControl are the addresses published to other nodes,
	// for use behind address translation; by default Data and Control.
	AdvertiseData    string `toml:"advertise_data"`
	AdvertiseControl string `toml:"advertise_control"`
	// Admin is the address for operators.
	Admin string `toml:"admin"`
	// Bootstrap are the control addresses of some nodes, in any failure domain.
	Bootstrap []string `toml:"bootstrap"`
	// DataFolder is the folder of the node's replicas; empty for a node without any.
	DataFolder string `toml:"data_folder"`
	// SyncHold is the path of a file that simulates a stalled disk in fault drills:
	// while it exists, syncs of the replicas' logs do not return. Empty disables it.
	SyncHold string `toml:"sync_hold"`
	// WriteRefusal is the path of a file that simulates a full disk in fault drills: while
	// it exists, writes of the replicas' logs fail. Empty disables it.
	WriteRefusal string `toml:"write_refusal"`
	// Replicas is the target number of voting replicas of each group.
	Replicas int `toml:"replicas"`
	// Shards is the number of groups among which the idempotency keys are divided. It
	// must not change after the groups have been formed.
	Shards int `toml:"shards"`
	// SuspectAfter is how long a replica may be silent before a replacement is added
	// as a learner.
	SuspectAfter Duration `toml:"suspect_after"`
	// ReplaceAfter is how long a replica may be silent before the replacement takes
	// its place.
	ReplaceAfter Duration `toml:"replace_after"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `toml:"stop_timeout"`
	// Lease is how long an announcement of a backend server is valid.
	Lease Duration `toml:"lease"`
	// StartWait bounds how long a starting node waits for the settings of its failure
	// domain.
	StartWait Duration `toml:"start_wait"`
	// StopNotice is how long a stopping node still accepts requests from callers,
	// which learn of the stop with a delay.
	StopNotice Duration `toml:"stop_notice"`
	// FormGroups makes this node form the replica groups itself if it is the first of
	// Bootstrap and its data folder is new. It must be set only for the first start of
	// a fleet: a replica that lost its disk must not form a second set of groups.
	FormGroups bool `toml:"found"`
	// MinVoters is the number of voters that a group needs before it accepts commands.
	MinVoters int `toml:"min_voters"`
	// Sweep is the interval at which requests in flight are checked for senders that
	// have disconnected.
	Sweep Duration `toml:"sweep"`
	// Heartbeat is the interval at which a node confirms a request in flight to the
	// node that sent it.
	Heartbeat Duration `toml:"heartbeat"`
	// FailureDomains is the number of failure domains of the fleet, if it is known before
	// the node has heard of all of them.
	FailureDomains int `toml:"failure_domains"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack state by how much the limit of a workspace
	// may be exceeded: in any window by a fraction of what the limit allows, and a number of
	// requests on top.
	QuotaWindow    Duration `toml:"quota_window"`
	QuotaOvershoot float64  `toml:"quota_overshoot"`
	QuotaSlack     float64  `toml:"quota_slack"`
	// KeyTrust is how long a node may judge keys of workspaces by settings that no quorum of
	// replicas has confirmed since. Without that it refuses requests that need a key. 0 means
	// that it goes on with the settings that it has.
	KeyTrust Duration `toml:"key_trust"`
	// MemoryBytes is the memory that the process may use. A quarter of it is for what callers,
	// nodes and operators send.
	MemoryBytes int64 `toml:"memory_bytes"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means the system's
	// limit. Each address accepts connections for a fraction of them.
	MaxDescriptors int `toml:"max_descriptors"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`

	// HTTPAdapter replaces the default HTTP interface to callers and backend servers; nil
	// keeps the default.
	HTTPAdapter HTTPAdapter `toml:"-"`
	// CheckBackend sends a health request to the backend server at an address; nil if there are no
	// such requests. It must return within a fraction of the interval of announcements.
	CheckBackend func(addr, path string) BackendHealth `toml:"-"`
	// Restarted is set if an earlier process ran in this one's place, whose memory is lost.
	Restarted bool `toml:"-"`
	// wrapLog lets tests wrap the log of a group.
	wrapLog func(replicaLog) replicaLog
	// disk lets tests replace the file system of the data folder.
	disk disk.FS
}

// Duration is a time.Duration written as "1.5s" in TOML.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	d.Duration = v
	return err
}

// DefaultOptions returns the default settings. Domain has none and must be set.
func DefaultOptions() Options {
	return Options{
		HTTP:         "127.0.0.1:7000",
		Data:         "127.0.0.1:7001",
		Control:      "127.0.0.1:7002",
		Admin:        "127.0.0.1:7003",
		Replicas:     5,
		Shards:       1,
		SuspectAfter: Duration{2 * time.Second},
		ReplaceAfter: Duration{time.Minute},
		StopTimeout:  Duration{30 * time.Second},
		Lease:        Duration{3 * time.Second},
		StartWait:    Duration{5 * time.Second},
		MinVoters:    1,
		Sweep:        Duration{20 * time.Millisecond},
		Heartbeat:    Duration{200 * time.Millisecond},
		QuotaWindow:  Duration{5 * time.Second},
		MemoryBytes:  256 << 20,
		LogLevel:     "info",
	}
}

// LoadOptions reads and validates the settings file of a process.
func LoadOptions(path string) (Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fault.Wrap(fault.NotFound, err, "cannot read the settings file")
	}
	return ParseOptions(data)
}

// ParseOptions parses and validates the content of a settings file.
func ParseOptions(data []byte) (Options, error) {
	o := DefaultOptions()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return Options{}, fault.Wrap(fault.InvalidSetting, err, "settings file")
	}
	if err := o.check(); err != nil {
		return Options{}, err
	}
	return o, nil
}

// check fills in defaults and validates the settings.
func (o *Options) check() error {
	if o.Domain == "" {
		return fault.New(fault.InvalidSetting, "failure_domain is not set; allowed is the name of the failure domain")
	}
	if o.Name == "" {
		o.Name = o.HTTP
	}
	if o.AdvertiseData == "" {
		o.AdvertiseData = o.Data
	}
	if o.AdvertiseControl == "" {
		o.AdvertiseControl = o.Control
	}
	addrs := map[string]string{
		"http": o.HTTP, "data": o.Data, "control": o.Control, "admin": o.Admin,
		"advertise_data": o.AdvertiseData, "advertise_control": o.AdvertiseControl,
	}
	for key, a := range addrs {
		if !validAddr(a) {
			return fault.Newf(fault.InvalidSetting, "%s = %q; allowed is an IP number and a port", key, a)
		}
	}
	for _, a := range o.Bootstrap {
		if !validAddr(a) {
			return fault.Newf(fault.InvalidSetting, "bootstrap has %q; allowed are control addresses, each an IP number and a port", a)
		}
	}
	if o.Replicas < 1 || o.Replicas > 9 {
		return fault.Newf(fault.InvalidSetting, "replicas = %d; allowed is 1 to 9", o.Replicas)
	}
	if o.Shards < 0 || o.Shards > 64 {
		return fault.Newf(fault.InvalidSetting, "shards = %d; allowed is 0 (no idempotency keys) to 64", o.Shards)
	}
	if o.MinVoters < 1 || o.MinVoters > o.Replicas {
		return fault.Newf(fault.InvalidSetting, "min_voters = %d; allowed is 1 to replicas", o.MinVoters)
	}
	if o.FailureDomains < 0 || !(o.QuotaOvershoot >= 0 && o.QuotaOvershoot <= 1) || !(o.QuotaSlack >= 0) || o.QuotaWindow.Duration < 0 || o.KeyTrust.Duration < 0 {
		return fault.New(fault.InvalidSetting, "failure_domains, quota_window, quota_slack and key_trust must be at least 0, and quota_overshoot a fraction from 0 to 1")
	}
	if o.MemoryBytes < minMemoryBytes || o.MaxDescriptors < 0 {
		return fault.Newf(fault.InvalidSetting, "memory_bytes = %d, max_descriptors = %d; allowed are at least %d, and at least 0", o.MemoryBytes, o.MaxDescriptors, minMemoryBytes)
	}
	return o.checkDurations()
}

// minMemoryBytes is the least memory with which a process can work.
const minMemoryBytes = 32 << 20

// checkDurations validates the settings that are durations.
func (o *Options) checkDurations() error {
	const lo, hi = 100 * time.Millisecond, time.Hour
	if o.Sweep.Duration < time.Millisecond || o.Heartbeat.Duration < time.Millisecond || o.StopNotice.Duration < 0 {
		return fault.New(fault.InvalidSetting, "sweep and heartbeat must be at least 1ms, and stop_notice at least 0s")
	}
	for key, d := range map[string]Duration{
		"suspect_after": o.SuspectAfter, "replace_after": o.ReplaceAfter, "stop_timeout": o.StopTimeout, "lease": o.Lease, "start_wait": o.StartWait,
	} {
		if d.Duration < lo || d.Duration > hi {
			return fault.Newf(fault.InvalidSetting, "%s = %s; allowed is %s to %s", key, d, lo, hi)
		}
	}
	if o.SuspectAfter.Duration > o.ReplaceAfter.Duration {
		return fault.Newf(fault.InvalidSetting, "suspect_after = %s; allowed is at most replace_after, %s", o.SuspectAfter, o.ReplaceAfter)
	}
	return nil
}

// validAddr reports whether a is an IP address with a port.
func validAddr(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
