// Package settings holds the operators' settings as a tree: each fleet,
// service and request kind inherits the values of the level above and may
// override them.
//
// A document is a set of entries "scope#key" = value. Scopes are "" (the
// default), "fleet", "fleet/service" and "fleet/service/kind". A document is
// validated as a whole: an unknown key, a wrong unit, a value out of range or
// a cycle is a fault.InvalidSetting error that names the scope, the value and
// the allowed values, and nothing is applied.
package settings

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Policy holds the effective settings of a scope, in most uses a request kind.
type Policy struct {
	Mode         admission.Mode
	Class        rank.Class
	Deadline     time.Duration
	Idempotent   bool
	KeyRequired  bool
	KeyRetention time.Duration
	RetryBudget  int
	RetryRatio   float64
	RetryWindow  time.Duration
	// RetryBurst is the number of retries to a service that one node may send
	// in addition to RetryRatio. AttemptsMax is the number of backend servers
	// that one call may be sent to; 0 leaves it to the retry budget.
	RetryBurst  int
	AttemptsMax int
	// Quarantine reports whether requests that appear to crash backend servers
	// are refused.
	Quarantine      bool
	QueueMax        int
	QueueWait       time.Duration
	QueueTarget     time.Duration
	Window          time.Duration
	ShareMax        float64
	BodyMax         int
	ReplayMax       int
	SpillAt         float64
	EjectFailures   int
	EjectTime       time.Duration
	EjectMax        float64
	Ramp            time.Duration
	Silence         time.Duration
	Objective       float64
	ObjectiveWithin time.Duration
	Like            string
	// Host and PathPrefix select the requests of a kind by their URL. Weight
	// divides them among the kinds with the same host and prefix.
	Host       string
	PathPrefix string
	Weight     int
	// HealthPath and Connections describe the backend servers of a service.
	HealthPath  string
	Connections int
	// WorkspaceRequired reports whether a request must carry the key of a workspace.
	WorkspaceRequired bool
}

// Level is a level of the tree: the number of names in a scope.
type Level int

// The levels of the tree.
const (
	LevelDefault Level = iota
	LevelFleet
	LevelService
	LevelKind
)

// Key describes one setting.
type Key struct {
	// Name is the key as written in TOML.
	Name string
	// Default is the value used where no scope sets one.
	Default string
	// Allowed describes the accepted values and their unit.
	Allowed string
	// DeepestLevel is the level below which the key may not be set.
	DeepestLevel Level
	// Doc is one sentence for the settings reference.
	Doc string

	// set parses a value into the policy and reports whether it is valid.
	set func(*Policy, string) bool
}

// durationKey returns a key whose value is a duration from lo to hi.
func durationKey(name, def string, lo, hi time.Duration, lowest Level, doc string, field func(*Policy) *time.Duration) Key {
	set := func(p *Policy, s string) bool {
		d, err := time.ParseDuration(s)
		if err != nil || d < lo || d > hi {
			return false
		}
		*field(p) = d
		return true
	}
	return Key{name, def, "a duration from " + lo.String() + " to " + hi.String(), lowest, doc, set}
}

// intKey returns a key whose value is an integer from lo to hi.
func intKey(name, def string, lo, hi int, lowest Level, doc string, field func(*Policy) *int) Key {
	set := func(p *Policy, s string) bool {
		n, err := strconv.Atoi(s)
		if err != nil || n < lo || n > hi {
			return false
		}
		*field(p) = n
		return true
	}
	allowed := "a whole number from " + strconv.Itoa(lo) + " to " + strconv.Itoa(hi)
	return Key{name, def, allowed, lowest, doc, set}
}

// fractionKey returns a key whose value is a number from 0 to 1.
func fractionKey(name, def string, lowest Level, doc string, field func(*Policy) *float64) Key {
	set := func(p *Policy, s string) bool {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= 0 && f <= 1) {
			return false
		}
		*field(p) = f
		return true
	}
	return Key{name, def, "a share from 0 to 1", lowest, doc, set}
}

// textKey returns a key whose value is any text of at most maxTextBytes. A nil
// field keeps the value out of Policy.
func textKey(name, allowed string, lowest Level, doc string, field func(*Policy) *string) Key {
	set := func(p *Policy, s string) bool {
		if len(s) > maxTextBytes {
			return false
		}
		if field != nil {
			*field(p) = s
		}
		return true
	}
	return Key{name, "", allowed, lowest, doc, set}
}

// maxTextBytes bounds a text value, such as the source of a route or service.
const maxTextBytes = 16 << 10

// boolKey returns a key whose value is true or false.
func boolKey(name, def string, lowest Level, doc string, field func(*Policy) *bool) Key {
	set := func(p *Policy, s string) bool {
		b, err := strconv.ParseBool(s)
		if err != nil {
			return false
		}
		*field(p) = b
		return true
	}
	return Key{name, def, "true or false", lowest, doc, set}
}

// keys lists all settings in the order of the reference page.
var keys = []Key{
	{"policy", "full", "full, static or off", LevelService, "Which policy admits requests; static and off are baselines for comparison.", setMode},
	{"class", "normal", "background, normal, important or protected", LevelKind, "Order of shedding: a higher class is shed later.", setClass},
	durationKey("deadline", "5s", 10*time.Millisecond, 10*time.Minute, LevelKind, "Time a whole request has if its caller names none; also the most that a caller may name.", func(p *Policy) *time.Duration { return &p.Deadline }),
	boolKey("idempotent", "false", LevelKind, "Whether the request may be executed twice without harm.", func(p *Policy) *bool { return &p.Idempotent }),
	boolKey("key_required", "false", LevelKind, "Whether the request must carry an Idempotency-Key and is run at most once.", func(p *Policy) *bool { return &p.KeyRequired }),
	durationKey("key_retention", "24h", time.Minute, 30*24*time.Hour, LevelKind, "How long an Idempotency-Key and its outcome are kept.", func(p *Policy) *time.Duration { return &p.KeyRetention }),
	intKey("retry_budget", "3", 0, 64, LevelKind, "Retries that one request may cause over its whole tree of calls.", func(p *Policy) *int { return &p.RetryBudget }),
	fractionKey("retry_ratio", "0.05", LevelService, "Share of the first attempts of a window to a service that may be added as retries. It holds for the sum over all nodes, where backend servers get them.", func(p *Policy) *float64 { return &p.RetryRatio }),
	durationKey("retry_window", "10s", time.Second, 10*time.Minute, LevelService, "Window over which retries and first attempts are counted; the ratio applies to the first attempts of this or the previous window, whichever has more.", func(p *Policy) *time.Duration { return &p.RetryWindow }),
	intKey("retry_burst", "10", 0, 1000, LevelService, "Retries to a service that one node may send, and its backend server may get, in a window beside the ratio.", func(p *Policy) *int { return &p.RetryBurst }),
	intKey("attempts_max", "0", 0, 16, LevelKind, "Backend servers that one call may be sent to; 0 leaves it to the retry budget.", func(p *Policy) *int { return &p.AttemptsMax }),
	boolKey("quarantine", "true", LevelKind, "Whether requests that seem to have crashed several backend servers are refused for a while.", func(p *Policy) *bool { return &p.Quarantine }),
	intKey("queue_max", "32", 0, 4096, LevelService, "Requests that may wait beside one backend server.", func(p *Policy) *int { return &p.QueueMax }),
	durationKey("queue_wait", "1s", time.Millisecond, 10*time.Second, LevelService, "Longest wait in the queue; at most four mean service times are used of it.", func(p *Policy) *time.Duration { return &p.QueueWait }),
	durationKey("queue_target", "3ms", 100*time.Microsecond, time.Second, LevelService, "Least mean wait above which the admission level rises; three quarters of the mean service time where that is longer.", func(p *Policy) *time.Duration { return &p.QueueTarget }),
	durationKey("window", "100ms", 10*time.Millisecond, 5*time.Second, LevelService, "Period of the admission control loop.", func(p *Policy) *time.Duration { return &p.Window }),
	fractionKey("share_max", "0.8", LevelService, "Share of a backend server's slots that background requests may wait in on one called service; protected ones may in all, those between in proportion.", func(p *Policy) *float64 { return &p.ShareMax }),
	intKey("body_max", "16777216", 0, 1<<30, LevelKind, "Largest body taken, in bytes.", func(p *Policy) *int { return &p.BodyMax }),
	intKey("replay_max", "65536", 0, 1<<20, LevelKind, "Largest body kept for a retry, in bytes.", func(p *Policy) *int { return &p.ReplayMax }),
	fractionKey("spill_at", "0.7", LevelService, "Utilisation of the own failure domain from which requests spill over to others.", func(p *Policy) *float64 { return &p.SpillAt }),
	intKey("eject_failures", "5", 1, 1000, LevelService, "Failures in a row after which a backend server is ejected.", func(p *Policy) *int { return &p.EjectFailures }),
	durationKey("eject_time", "1s", 10*time.Millisecond, 10*time.Minute, LevelService, "Time until an ejected backend server is probed.", func(p *Policy) *time.Duration { return &p.EjectTime }),
	fractionKey("eject_max", "0.5", LevelService, "Largest share of a service's backend servers ejected at once.", func(p *Policy) *float64 { return &p.EjectMax }),
	durationKey("ramp", "2s", 0, 10*time.Minute, LevelService, "Time over which a new backend server's share grows to its weight.", func(p *Policy) *time.Duration { return &p.Ramp }),
	durationKey("silence", "1s", 50*time.Millisecond, time.Minute, LevelService, "Time without a heartbeat after which a connection counts as silent.", func(p *Policy) *time.Duration { return &p.Silence }),
	fractionKey("objective", "0.99", LevelKind, "Share of requests that must end well.", func(p *Policy) *float64 { return &p.Objective }),
	durationKey("objective_within", "2s", time.Millisecond, 10*time.Minute, LevelKind, "Time within which a request must end to count as well.", func(p *Policy) *time.Duration { return &p.ObjectiveWithin }),
	textKey("host", "a host name", LevelKind, "Host by which requests of this kind are recognised; empty if only by name.", func(p *Policy) *string { return &p.Host }),
	textKey("path_prefix", "a path that begins and ends with a slash", LevelKind, "Prefix of the path by which requests of this kind are recognised.", func(p *Policy) *string { return &p.PathPrefix }),
	intKey("weight", "1", 0, 1<<20, LevelKind, "Part of the requests of a host and prefix that this kind gets, where several kinds name the same.", func(p *Policy) *int { return &p.Weight }),
	textKey("health_path", "a path", LevelService, "Path at which a backend server tells its health.", func(p *Policy) *string { return &p.HealthPath }),
	intKey("connections", "0", 0, 1<<20, LevelService, "Connections that a backend server takes; 0 leaves it to its announcement.", func(p *Policy) *int { return &p.Connections }),
	boolKey("workspace_required", "false", LevelKind, "Whether a request must carry the key of a workspace; nested calls belong to the workspace of the request that makes them.", func(p *Policy) *bool { return &p.WorkspaceRequired }),
	textKey("source", "any text", LevelKind, "Text from which an adapter made the entries of the scope, kept to be read back.", nil),
	{"like", "", "a scope of the same level, for example \"kigali/sheets/open\"", LevelKind, "Scope whose own entries are inherited before those of the level above.", setLike},
}

// keyIndex holds the keys by name.
var keyIndex = func() map[string]*Key {
	m := make(map[string]*Key, len(keys))
	for i := range keys {
		m[keys[i].Name] = &keys[i]
	}
	return m
}()

// Keys returns all settings in the order of the reference page.
func Keys() []Key { return append([]Key(nil), keys...) }

// setMode parses the policy key into p.Mode.
func setMode(p *Policy, s string) bool {
	modes := map[string]admission.Mode{"full": admission.ModeFull, "static": admission.ModeStatic, "off": admission.ModeOff}
	m, ok := modes[s]
	p.Mode = m
	return ok
}

// setClass parses the class key into p.Class.
func setClass(p *Policy, s string) bool {
	c, ok := rank.ParseClass(s)
	p.Class = c
	return ok
}

// setLike parses the like key into p.Like.
func setLike(p *Policy, s string) bool {
	p.Like = s
	return s == "" || validScope(s)
}

// maxNameLen bounds the name of a fleet, service or request kind, in bytes.
const maxNameLen = 64

// validScope reports whether s is "" or up to three names joined by slashes.
func validScope(s string) bool {
	if s == "" {
		return true
	}
	parts := strings.Split(s, "/")
	if len(parts) > int(LevelKind) {
		return false
	}
	for _, part := range parts {
		if !ValidName(part) {
			return false
		}
	}
	return true
}

// ValidName reports whether s may name a fleet, a service or a request kind:
// 1 to 64 ASCII letters, digits, dots, dashes and underscores.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLen {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		if !ok {
			return false
		}
	}
	return true
}

// levelOf returns the level of a scope.
func levelOf(scope string) Level {
	if scope == "" {
		return LevelDefault
	}
	return Level(strings.Count(scope, "/") + 1)
}

// parentScope returns the scope one level above, "" for a fleet.
func parentScope(scope string) string {
	i := strings.LastIndexByte(scope, '/')
	if i < 0 {
		return ""
	}
	return scope[:i]
}

// validateEntry checks one entry without regard to the rest of the document.
func validateEntry(id, value string) *fault.Error {
	scope, name, ok := strings.Cut(id, "#")
	if ok && IsWorkspaceScope(scope) {
		return validateWorkspaceEntry(scope, name, value)
	}
	if !ok || !validScope(scope) {
		return fault.Newf(fault.InvalidSetting, "%q: an entry must be named fleet/service/kind#key, or shorter", id)
	}
	if name == declarationKey {
		return nil
	}
	k := keyIndex[name]
	if k == nil {
		return fault.Newf(fault.InvalidSetting, "%s: unknown key %q; allowed are %s", displayScope(scope), name, strings.Join(keyNames(), ", "))
	}
	if levelOf(scope) > k.DeepestLevel {
		return fault.Newf(fault.InvalidSetting, "%s: key %q is not allowed at this level", displayScope(scope), name)
	}
	var p Policy
	if !k.set(&p, value) {
		return fault.Newf(fault.InvalidSetting, "%s: %s = %q; allowed is %s", displayScope(scope), name, value, k.Allowed)
	}
	return nil
}

// displayScope returns a scope as error messages and explanations name it.
func displayScope(scope string) string {
	if scope == "" {
		return "default"
	}
	return scope
}

// keyNames returns the names of all settings, sorted.
func keyNames() []string {
	names := make([]string, 0, len(keys))
	for _, k := range keys {
		names = append(names, k.Name)
	}
	sort.Strings(names)
	return names
}
