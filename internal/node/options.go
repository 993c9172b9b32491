package node

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/umberthread/umberthread/fault"
)

// Options are a process's own settings, read from its TOML file. They name
// what differs from process to process; everything else is in the operators'
// tree.
type Options struct {
	// Name is the node's name, for people.
	Name string `toml:"name"`
	// Domain is the failure domain.
	Domain string `toml:"failure_domain"`
	// HTTP is where callers and the backend server beside the node connect.
	HTTP string `toml:"http"`
	// Data is where other nodes send requests.
	Data string `toml:"data"`
	// Control is where other nodes send control messages, over UDP and TCP.
	Control string `toml:"control"`
	// AdvertiseData and AdvertiseControl are the addresses that other nodes
	// are told, where something between translates; by default the above.
	AdvertiseData    string `toml:"advertise_data"`
	AdvertiseControl string `toml:"advertise_control"`
	// Admin is where operators connect.
	Admin string `toml:"admin"`
	// Bootstrap are control addresses of some nodes, of any domain.
	Bootstrap []string `toml:"bootstrap"`
	// DataFolder is where a replica keeps its state; empty for none.
	DataFolder string `toml:"data_folder"`
	// SyncHold is a file for drills: while it exists, syncs of the replicas' logs do not
	// return, as on a disk that does not answer; empty for none.
	SyncHold string `toml:"sync_hold"`
	// Replicas is how many replicas the group should have.
	Replicas int `toml:"replicas"`
	// Shards is how many groups share the idempotency keys. It is fixed when
	// the groups are formed.
	Shards int `toml:"shards"`
	// SuspectAfter is how long a replica may be unheard of before another is made
	// ready for its place, without a vote.
	SuspectAfter Duration `toml:"suspect_after"`
	// ReplaceAfter is how long a replica may be unheard of before another
	// takes its place.
	ReplaceAfter Duration `toml:"replace_after"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `toml:"stop_timeout"`
	// Lease is how long an announcement of a backend server holds.
	Lease Duration `toml:"lease"`
	// StartWait is how long a starting node waits for the configuration of
	// its domain before it serves with what it has.
	StartWait Duration `toml:"start_wait"`
	// StopNotice is how long a stopping node still takes requests of callers,
	// who hear late that it stops.
	StopNotice Duration `toml:"stop_notice"`
	// Found makes this node form the replica groups by itself when it is the
	// first of Bootstrap and its data folder is new. It must be set on the
	// first start of a whole fleet only: a replica that lost its disk must
	// not form a second group.
	Found bool `toml:"found"`
	// MinVoters is how many replicas with a vote a group must have before it
	// takes commands.
	MinVoters int `toml:"min_voters"`
	// Sweep is how often requests in work are looked at for a sender that left.
	Sweep Duration `toml:"sweep"`
	// Heartbeat is how often a request in work is confirmed to the node that
	// sent it.
	Heartbeat Duration `toml:"heartbeat"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`

	// Edge speaks to callers and backend servers in place of the project's
	// own interface; nil for none.
	Edge HTTPAdapter `toml:"-"`
	// wrapLog lets a test stand between a group and its log.
	wrapLog func(replicaLog) replicaLog
}

// Duration is a time.Duration written as "1.5s" in TOML.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	d.Duration = v
	return err
}

// DefaultOptions are the settings of a process that names only what it must.
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
		LogLevel:     "info",
	}
}

// LoadOptions reads and checks a process's settings file.
func LoadOptions(path string) (Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fault.Wrap(fault.NotFound, err, "cannot read the settings file")
	}
	return ParseOptions(data)
}

// ParseOptions reads and checks the text of a settings file.
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
	return o.checkDurations()
}

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

func validAddr(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
