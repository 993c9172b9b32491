package settings

import (
	"slices"
	"strconv"
	"strings"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/workspace"
)

// workspacePrefix begins the scope of a workspace, "workspace:name". Workspaces stand beside the
// tree of fleets: a workspace's limit holds over all of them.
const workspacePrefix = "workspace:"

// WorkspaceScope returns the scope of a workspace's entries.
func WorkspaceScope(name string) string { return workspacePrefix + name }

// IsWorkspaceScope reports whether a scope is that of a workspace.
func IsWorkspaceScope(scope string) bool { return strings.HasPrefix(scope, workspacePrefix) }

// IsWorkspaceKeys reports whether an entry holds the digests of a workspace's keys.
func IsWorkspaceKeys(id string) bool {
	scope, name, _ := strings.Cut(id, "#")
	return IsWorkspaceScope(scope) && name == WorkspaceKeys
}

// Keys of a workspace's entries.
const (
	// WorkspaceKeys lists the digests of its keys, see workspace.FormatDigests.
	WorkspaceKeys  = "keys"
	workspaceClass = "class"
	workspaceRate  = "rate"
	workspaceBurst = "burst"
	// workspaceSource is the text from which an adapter made the entries. It can
	// contain keys.
	workspaceSource = "source"
)

// maxWorkspaceTextBytes bounds the keys and the source of a workspace; it allows
// thousands of keys.
const maxWorkspaceTextBytes = 1 << 20

// maxWorkspaceRate bounds rate and burst of a workspace, in requests.
const maxWorkspaceRate = 1e9

// WorkspaceKey describes one setting of a workspace.
type WorkspaceKey struct {
	Name, Allowed, Doc string

	set func(*workspace.Workspace, string) bool
}

// workspaceKeyTable lists all settings of a workspace in the order of the reference page.
var workspaceKeyTable = []WorkspaceKey{
	{WorkspaceKeys, "digests of keys, joined by commas", "Digests of the keys by which its callers are known; made with umberctl workspace add-key.", setWorkspaceKeys},
	{workspaceClass, "background, normal, important or protected", "Class of its requests, which goes before the class of their kind; if not set, that of the kind holds.", setWorkspaceClass},
	{workspaceRate, "requests per second from 0 to 1e9; 0 means no limit", "Requests per second that it may send over all nodes together.", setWorkspaceRate},
	{workspaceBurst, "requests from 0 to 1e9; needs a rate", "Requests that it may send on top of the rate.", setWorkspaceBurst},
	{workspaceSource, "any text", "Text from which an adapter made the entries, kept to be read back; it may hold keys and is not shown.", func(*workspace.Workspace, string) bool { return true }},
}

// WorkspaceSettings returns all settings of a workspace in the order of the reference page.
func WorkspaceSettings() []WorkspaceKey { return slices.Clone(workspaceKeyTable) }

func setWorkspaceKeys(w *workspace.Workspace, s string) bool {
	digests, ok := workspace.ParseDigests(s)
	w.Keys = digests
	return ok
}

func setWorkspaceClass(w *workspace.Workspace, s string) bool {
	c, ok := rank.ParseClass(s)
	w.Class, w.HasClass = c, ok
	return ok
}

func setWorkspaceRate(w *workspace.Workspace, s string) bool {
	v, ok := parseRequests(s)
	w.Limit.Rate = v
	return ok
}

func setWorkspaceBurst(w *workspace.Workspace, s string) bool {
	v, ok := parseRequests(s)
	w.Limit.Burst = v
	return ok
}

// parseRequests parses a number of requests.
func parseRequests(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= maxWorkspaceRate
}

// validateWorkspaceEntry checks one entry of a workspace. Errors do not contain values,
// which may be secret.
func validateWorkspaceEntry(scope, name, value string) *fault.Error {
	if !ValidName(strings.TrimPrefix(scope, workspacePrefix)) {
		return fault.Newf(fault.InvalidSetting, "%q: a workspace is named workspace: and 1 to %d letters, digits, dots, dashes and underscores", scope, maxNameLen)
	}
	if name == declarationKey {
		return nil
	}
	for i := range workspaceKeyTable {
		k := &workspaceKeyTable[i]
		if k.Name != name {
			continue
		}
		var w workspace.Workspace
		if len(value) > maxWorkspaceTextBytes || !k.set(&w, value) {
			return fault.Newf(fault.InvalidSetting, "%s: invalid %s; allowed is: %s", scope, name, k.Allowed)
		}
		return nil
	}
	return fault.Newf(fault.InvalidSetting, "%s: unknown key %q of a workspace", scope, name)
}

// buildWorkspaces returns the table of the document's workspaces.
func (t *Tree) buildWorkspaces() (*workspace.Table, error) {
	var all []*workspace.Workspace
	for scope, entries := range t.entriesByScope {
		if !IsWorkspaceScope(scope) {
			continue
		}
		w := &workspace.Workspace{Name: strings.TrimPrefix(scope, workspacePrefix)}
		for _, e := range entries {
			for i := range workspaceKeyTable {
				if workspaceKeyTable[i].Name == e.name {
					workspaceKeyTable[i].set(w, e.value)
				}
			}
		}
		if w.Limit.Rate == 0 && w.Limit.Burst > 0 {
			return nil, fault.Newf(fault.InvalidSetting, "%s: a burst needs a rate above 0", scope)
		}
		if w.Limit.Rate == 0 {
			w.Limit = quota.Limit{}
		}
		all = append(all, w)
	}
	return workspace.NewTable(all)
}

// Workspaces returns the workspaces of the document.
func (t *Tree) Workspaces() *workspace.Table { return t.workspaces }

// redacted replaces a value that may hold keys of callers.
const redacted = "(not shown)"

// isSecret reports whether the value of an entry may hold keys of callers.
func isSecret(id string) bool {
	scope, name, _ := strings.Cut(id, "#")
	return IsWorkspaceScope(scope) && name == workspaceSource
}

// Redacted returns the entries without values that may hold keys of callers. It copies
// them only if there are any.
func (e Entries) Redacted() Entries {
	var out Entries
	for id := range e {
		if !isSecret(id) {
			continue
		}
		if out == nil {
			out = make(Entries, len(e))
			for i, v := range e {
				out[i] = v
			}
		}
		out[id] = redacted
	}
	if out == nil {
		return e
	}
	return out
}
