package settings

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/workspace"
)

// declarationKey is the key of an entry that declares a scope without setting
// anything.
const declarationKey = "-"

// Entries is a document: values by "scope#key".
type Entries map[string]string

// Tree is a validated document with its resolved policies. It is immutable and
// safe for concurrent use.
type Tree struct {
	entries        Entries
	entriesByScope map[string][]setting
	policies       map[string]*Policy
	// order holds all scopes, each after the levels above it.
	order      []string
	routes     routeTable
	workspaces *workspace.Table
}

// setting is one entry of a scope.
type setting struct{ name, value string }

// Empty is the tree of a document without entries: every key has its default.
var Empty = mustTree(Entries{})

// mustTree is NewTree for a document known to be valid; it panics on an error.
func mustTree(e Entries) *Tree {
	t, err := NewTree(e)
	if err != nil {
		panic(err)
	}
	return t
}

// NewTree validates a document and resolves the policy of every scope in it.
// The tree keeps the entries, which must not be changed afterwards.
func NewTree(e Entries) (*Tree, error) {
	if err := validateEntries(e); err != nil {
		return nil, err
	}
	t := &Tree{entries: e, entriesByScope: map[string][]setting{}, policies: map[string]*Policy{}, order: e.scopes()}
	for id, v := range e {
		scope, name, _ := strings.Cut(id, "#")
		t.entriesByScope[scope] = append(t.entriesByScope[scope], setting{name, v})
	}
	if err := t.resolveAll(nil, nil); err != nil {
		return nil, err
	}
	t.routes = t.buildRoutes()
	var err error
	t.workspaces, err = t.buildWorkspaces()
	return t, err
}

// resolveAll computes the policies of all scopes. Policies that the touched
// scopes cannot affect are taken from old unless it is nil, so that a change
// of one service costs little in a large document.
func (t *Tree) resolveAll(old *Tree, touched map[string]bool) error {
	stale := map[string]bool{}
	for _, scope := range t.order {
		likes, err := t.likeChain(scope)
		if err != nil {
			return err
		}
		var p *Policy
		if old != nil && !touched[scope] && !stale[parentScope(scope)] && len(likes) == 0 {
			p = old.policies[scope]
		}
		if p == nil {
			stale[scope] = true
			p = t.resolve(scope, likes)
		}
		t.policies[scope] = p
	}
	return nil
}

// validateEntries checks each entry on its own and returns the error of the
// first invalid one in the order of their ids.
func validateEntries(e Entries) error {
	bad := ""
	for id, v := range e {
		if (bad == "" || id < bad) && validateEntry(id, v) != nil {
			bad = id
		}
	}
	if bad == "" {
		return nil
	}
	return validateEntry(bad, e[bad])
}

// sortedIDs returns the ids of all entries, "scope#key", sorted.
func (e Entries) sortedIDs() []string {
	ids := make([]string, 0, len(e))
	for id := range e {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// scopes returns every scope of the document and all scopes above them, sorted.
func (e Entries) scopes() []string {
	seen := map[string]bool{"": true}
	for id := range e {
		scope, _, _ := strings.Cut(id, "#")
		if IsWorkspaceScope(scope) {
			continue
		}
		for scope != "" && !seen[scope] {
			seen[scope] = true
			scope = parentScope(scope)
		}
	}
	out := make([]string, 0, len(seen))
	for s := range seen {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// likeChain follows the like keys from a scope and returns the scopes that they
// name, nearest first. A cycle, an unknown scope or one of another level is an
// error.
func (t *Tree) likeChain(scope string) ([]string, error) {
	var out []string
	for s := scope; ; {
		next := t.entries[s+"#like"]
		if next == "" {
			return out, nil
		}
		if levelOf(next) != levelOf(scope) || !t.hasScopeOrChild(next) {
			return nil, fault.Newf(fault.InvalidSetting, "%s: like = %q; allowed is an existing scope of the same level", displayScope(s), next)
		}
		if next == scope || slices.Contains(out, next) {
			return nil, fault.Newf(fault.InvalidSetting, "%s: like = %q closes a cycle", displayScope(scope), next)
		}
		out = append(out, next)
		s = next
	}
}

// hasScopeOrChild reports whether the document has an entry of the scope or of
// one below it.
func (t *Tree) hasScopeOrChild(scope string) bool {
	if len(t.entriesByScope[scope]) > 0 {
		return true
	}
	for s := range t.entriesByScope {
		if strings.HasPrefix(s, scope+"/") {
			return true
		}
	}
	return false
}

// resolve returns the policy of a scope: the policy of the level above,
// overridden by the entries of the scopes in likes, the nearest last, and then
// by those of the scope itself.
func (t *Tree) resolve(scope string, likes []string) *Policy {
	p := builtInPolicy
	if scope != "" {
		p = *t.policies[parentScope(scope)]
		p.Like = ""
	}
	for i := len(likes) - 1; i >= 0; i-- {
		t.applyEntries(&p, likes[i])
	}
	t.applyEntries(&p, scope)
	return &p
}

// applyEntries sets the values of a scope's own entries in p.
func (t *Tree) applyEntries(p *Policy, scope string) {
	for _, s := range t.entriesByScope[scope] {
		if k := keyIndex[s.name]; k != nil {
			k.set(p, s.value)
		}
	}
}

// builtInPolicy holds the default of every key.
var builtInPolicy = func() Policy {
	var p Policy
	for i := range keys {
		keys[i].set(&p, keys[i].Default)
	}
	return p
}()

// inheritanceChain returns the scopes that a scope takes values from, nearest
// first: the scope, its like chain, then the same for each level above.
func (t *Tree) inheritanceChain(scope string) ([]string, error) {
	var chain []string
	for level := scope; ; level = parentScope(level) {
		likes, err := t.likeChain(level)
		if err != nil {
			return nil, err
		}
		chain = append(append(chain, level), likes...)
		if level == "" {
			return chain, nil
		}
	}
}

// valueOnChain returns the value of a key in the first scope of the chain that
// sets it, and the displayed name of that scope.
func (t *Tree) valueOnChain(chain []string, k *Key) (value, from string) {
	for _, s := range chain {
		if v, ok := t.entries[s+"#"+k.Name]; ok {
			return v, displayScope(s)
		}
	}
	return k.Default, "built-in"
}

// Policy returns the effective settings of a scope, or of the nearest level
// above that the document has. The result must not be changed.
func (t *Tree) Policy(scope string) *Policy {
	for {
		if p := t.policies[scope]; p != nil {
			return p
		}
		scope = parentScope(scope)
	}
}

// KindPolicy returns the policy of a request kind, and whether the document has
// the kind. The policy must not be changed.
func (t *Tree) KindPolicy(scope string) (*Policy, bool) {
	p, ok := t.policies[scope]
	return p, ok
}

// HasService reports whether the document has the service.
func (t *Tree) HasService(service string) bool {
	_, ok := t.policies[service]
	return ok
}

// Scopes returns all scopes of the document, sorted.
func (t *Tree) Scopes() []string { return t.entries.scopes() }

// Entries returns a copy of the document.
func (t *Tree) Entries() Entries {
	return maps.Clone(t.entries)
}

// EffectiveValue is the value of one key in a scope and the scope that set it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Explain returns the effective value of each key in a scope, and the scope
// that set it.
func (t *Tree) Explain(scope string) ([]EffectiveValue, error) {
	if !validScope(scope) {
		return nil, fault.Newf(fault.BadRequest, "%q is not a scope; allowed is fleet/service/kind, or shorter", scope)
	}
	chain, err := t.inheritanceChain(scope)
	if err != nil {
		return nil, err
	}
	out := make([]EffectiveValue, 0, len(keys))
	for i := range keys {
		v, from := t.valueOnChain(chain, &keys[i])
		out = append(out, EffectiveValue{keys[i].Name, v, from})
	}
	return out, nil
}

// Patch is a change of a document: entries to set and ids of entries to remove.
type Patch struct {
	Set    Entries
	Remove []string
}

// Apply returns a new tree with the patch applied. It fails if the resulting
// document is invalid or an entry to remove does not exist.
func (t *Tree) Apply(p Patch) (*Tree, error) {
	touched := map[string]bool{}
	next := t.Entries()
	for _, id := range p.Remove {
		if _, ok := next[id]; !ok {
			return nil, fault.Newf(fault.InvalidSetting, "%s: not set, so it cannot be removed", id)
		}
		delete(next, id)
		touched[scopeOf(id)] = true
	}
	if err := validateEntries(p.Set); err != nil {
		return nil, err
	}
	for id, v := range p.Set {
		next[id] = v
		touched[scopeOf(id)] = true
	}
	nt := &Tree{entries: next, entriesByScope: maps.Clone(t.entriesByScope), policies: make(map[string]*Policy, len(t.policies)), order: t.order}
	nt.updateEntries(t, p, touched)
	if err := nt.resolveAll(t, touched); err != nil {
		return nil, err
	}
	nt.routes = nt.buildRoutes()
	nt.workspaces = t.workspaces
	if touchesWorkspace(touched) {
		var err error
		if nt.workspaces, err = nt.buildWorkspaces(); err != nil {
			return nil, err
		}
	}
	return nt, nil
}

// touchesWorkspace reports whether any of the scopes is that of a workspace.
func touchesWorkspace(touched map[string]bool) bool {
	for scope := range touched {
		if IsWorkspaceScope(scope) {
			return true
		}
	}
	return false
}

// scopeOf returns the scope of an entry's id.
func scopeOf(id string) string {
	scope, _, _ := strings.Cut(id, "#")
	return scope
}

// updateEntries updates entriesByScope and order for a patch of old; touched
// holds the scopes of the patch.
func (t *Tree) updateEntries(old *Tree, p Patch, touched map[string]bool) {
	changed := map[string]bool{}
	for _, id := range p.Remove {
		changed[id] = true
	}
	for id := range p.Set {
		changed[id] = true
	}
	for scope := range touched {
		var kept []setting
		for _, s := range old.entriesByScope[scope] {
			if !changed[scope+"#"+s.name] {
				kept = append(kept, s)
			}
		}
		t.entriesByScope[scope] = kept
	}
	for id, v := range p.Set {
		scope, name, _ := strings.Cut(id, "#")
		t.entriesByScope[scope] = append(t.entriesByScope[scope], setting{name, v})
	}
	reorder := len(p.Remove) > 0
	for scope := range touched {
		reorder = reorder || old.policies[scope] == nil && !IsWorkspaceScope(scope)
		if len(t.entriesByScope[scope]) == 0 {
			delete(t.entriesByScope, scope)
		}
	}
	if reorder {
		t.order = t.entries.scopes()
	}
}

// Diff returns the patch that turns t into to.
func (t *Tree) Diff(to *Tree) Patch {
	p := Patch{Set: Entries{}}
	for id, v := range to.entries {
		if old, ok := t.entries[id]; !ok || old != v {
			p.Set[id] = v
		}
	}
	for _, id := range t.entries.sortedIDs() {
		if _, ok := to.entries[id]; !ok {
			p.Remove = append(p.Remove, id)
		}
	}
	return p
}

// ParseTOML parses a document with the tables [default], [fleet.F],
// [fleet.F.service.S], [fleet.F.service.S.kind.K] and [workspace.W].
func ParseTOML(data []byte) (*Tree, error) {
	var raw map[string]any
	if err := toml.NewDecoder(bytes.NewReader(data)).Decode(&raw); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "not valid TOML")
	}
	e := Entries{}
	for _, name := range sortedKeys(raw) {
		table, ok := raw[name].(map[string]any)
		var err *fault.Error
		switch {
		case !ok:
			err = fault.Newf(fault.InvalidSetting, "key %q at the top level; allowed are the tables default, fleet and workspace", name)
		case name == "default":
			err = flattenTable(e, "", table, "")
		case name == "fleet":
			err = flattenChildren(e, "", table, LevelFleet)
		case name == "workspace":
			err = flattenWorkspaces(e, table)
		default:
			err = fault.Newf(fault.InvalidSetting, "unknown table %q; allowed are default, fleet and workspace", name)
		}
		if err != nil {
			return nil, err
		}
	}
	return NewTree(e)
}

// flattenWorkspaces adds the settings of the workspaces in a table to e.
func flattenWorkspaces(e Entries, table map[string]any) *fault.Error {
	for _, name := range sortedKeys(table) {
		sub, ok := table[name].(map[string]any)
		if !ok {
			return fault.Newf(fault.InvalidSetting, "workspace %q: must be a table", name)
		}
		scope := WorkspaceScope(name)
		e[scope+"#"+declarationKey] = ""
		if err := flattenTable(e, scope, sub, ""); err != nil {
			return err
		}
	}
	return nil
}

// childTableName holds, for each level, the name of the TOML table with the
// scopes of the next level.
var childTableName = map[Level]string{LevelFleet: "service", LevelService: "kind"}

// flattenChildren adds the scopes of a table at level at to e.
func flattenChildren(e Entries, parent string, table map[string]any, at Level) *fault.Error {
	for _, name := range sortedKeys(table) {
		scope := name
		if parent != "" {
			scope = parent + "/" + name
		}
		sub, ok := table[name].(map[string]any)
		if !ok || !ValidName(name) {
			return fault.Newf(fault.InvalidSetting, "%s: must be a table with a name of letters, digits, dots, dashes and underscores", scope)
		}
		e[scope+"#"+declarationKey] = ""
		if err := flattenTable(e, scope, sub, childTableName[at]); err != nil {
			return err
		}
	}
	return nil
}

// flattenTable adds the settings of one scope's table to e, and the scopes in
// its table named children, if any.
func flattenTable(e Entries, scope string, table map[string]any, children string) *fault.Error {
	for _, name := range sortedKeys(table) {
		sub, isTable := table[name].(map[string]any)
		if isTable && name == children && children != "" {
			if err := flattenChildren(e, scope, sub, levelOf(scope)+1); err != nil {
				return err
			}
			continue
		}
		if isTable {
			return fault.Newf(fault.InvalidSetting, "%s: unknown table %q", displayScope(scope), name)
		}
		e[scope+"#"+name] = fmt.Sprint(table[name])
	}
	return nil
}

func sortedKeys(m map[string]any) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// IsValidEntry reports whether this release knows the entry's key and accepts
// its value.
func IsValidEntry(id, value string) bool { return validateEntry(id, value) == nil }
