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
)

// declared is the entry that makes a scope exist without setting anything.
const declared = "-"

// Entries is a document: "scope#key" to value.
type Entries map[string]string

// Tree is a checked document. It is immutable.
type Tree struct {
	entries  Entries
	own      map[string][]setting
	policies map[string]*Policy
	// order holds all scopes, each behind those that it inherits from.
	order []string
	// routes finds request kinds by host and path.
	routes routeTable
}

// setting is one entry of a scope.
type setting struct{ name, value string }

// Empty is the tree without entries: every key has its default.
var Empty = mustTree(Entries{})

func mustTree(e Entries) *Tree {
	t, err := NewTree(e)
	if err != nil {
		panic(err)
	}
	return t
}

// NewTree checks a document whole and resolves every scope in it. The entries
// are kept and must not be changed afterwards.
func NewTree(e Entries) (*Tree, error) {
	if err := checkAll(e); err != nil {
		return nil, err
	}
	t := &Tree{entries: e, own: map[string][]setting{}, policies: map[string]*Policy{}, order: e.scopes()}
	for id, v := range e {
		scope, name, _ := strings.Cut(id, "#")
		t.own[scope] = append(t.own[scope], setting{name, v})
	}
	if err := t.resolveAll(nil, nil); err != nil {
		return nil, err
	}
	t.routes = t.buildRoutes()
	return t, nil
}

// resolveAll resolves the scopes. Those that no touched scope can change are
// taken from old, if it is given: a change of one service must not cost the
// work of all.
func (t *Tree) resolveAll(old *Tree, touched map[string]bool) error {
	stale := map[string]bool{}
	for _, scope := range t.order {
		likes, err := t.likes(scope)
		if err != nil {
			return err
		}
		var p *Policy
		if old != nil && !touched[scope] && !stale[parentOf(scope)] && len(likes) == 0 {
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

// checkAll checks each entry on its own. Of several wrong ones the first in
// the order of their places is told.
func checkAll(e Entries) error {
	bad := ""
	for id, v := range e {
		if (bad == "" || id < bad) && checkEntry(id, v) != nil {
			bad = id
		}
	}
	if bad == "" {
		return nil
	}
	return checkEntry(bad, e[bad])
}

func (e Entries) sorted() []string {
	ids := make([]string, 0, len(e))
	for id := range e {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// scopes returns every scope of the document and the scopes above them.
func (e Entries) scopes() []string {
	seen := map[string]bool{"": true}
	for id := range e {
		scope, _, _ := strings.Cut(id, "#")
		for scope != "" && !seen[scope] {
			seen[scope] = true
			scope = parentOf(scope)
		}
	}
	out := make([]string, 0, len(seen))
	for s := range seen {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// likes returns the scopes that a scope is like, nearest first. It fails on a
// cycle and on a like that names nothing.
func (t *Tree) likes(scope string) ([]string, error) {
	var out []string
	for s := scope; ; {
		next := t.entries[s+"#like"]
		if next == "" {
			return out, nil
		}
		if depthOf(next) != depthOf(scope) || !t.has(next) {
			return nil, fault.Newf(fault.InvalidSetting, "%s: like = %q; allowed is an existing scope of the same level", placeName(s), next)
		}
		if next == scope || slices.Contains(out, next) {
			return nil, fault.Newf(fault.InvalidSetting, "%s: like = %q closes a cycle", placeName(scope), next)
		}
		out = append(out, next)
		s = next
	}
}

// has tells whether the document has the scope or one below it.
func (t *Tree) has(scope string) bool {
	if len(t.own[scope]) > 0 {
		return true
	}
	for s := range t.own {
		if strings.HasPrefix(s, scope+"/") {
			return true
		}
	}
	return false
}

// resolve lays the entries of the scopes that a scope is like, and its own,
// over the policy of the level above.
func (t *Tree) resolve(scope string, likes []string) *Policy {
	p := builtIn
	if scope != "" {
		p = *t.policies[parentOf(scope)]
		p.Like = ""
	}
	for i := len(likes) - 1; i >= 0; i-- {
		t.lay(&p, likes[i])
	}
	t.lay(&p, scope)
	return &p
}

func (t *Tree) lay(p *Policy, scope string) {
	for _, s := range t.own[scope] {
		if k := keyIndex[s.name]; k != nil {
			k.set(p, s.value)
		}
	}
}

// builtIn is the policy of a document without entries.
var builtIn = func() Policy {
	var p Policy
	for i := range keys {
		keys[i].set(&p, keys[i].Default)
	}
	return p
}()

// chain returns the scopes that give a scope its values, nearest first: the
// scope, those it is like, then the same for each level above.
func (t *Tree) chain(scope string) ([]string, error) {
	var chain []string
	for level := scope; ; level = parentOf(level) {
		likes, err := t.likes(level)
		if err != nil {
			return nil, err
		}
		chain = append(append(chain, level), likes...)
		if level == "" {
			return chain, nil
		}
	}
}

// lookup returns the value of a key along a chain and the scope it is from.
func (t *Tree) lookup(chain []string, k *Key) (value, from string) {
	for _, s := range chain {
		if v, ok := t.entries[s+"#"+k.Name]; ok {
			return v, placeName(s)
		}
	}
	return k.Default, "built-in"
}

// Policy returns the effective settings of a scope, or those of the nearest
// level above that the document knows. The result must not be changed.
func (t *Tree) Policy(scope string) *Policy {
	for {
		if p := t.policies[scope]; p != nil {
			return p
		}
		scope = parentOf(scope)
	}
}

// Kind returns the policy of a request kind, and whether the kind is known.
func (t *Tree) KindPolicy(scope string) (*Policy, bool) {
	p, ok := t.policies[scope]
	return p, ok
}

// HasService tells whether the document describes the service.
func (t *Tree) HasService(service string) bool {
	_, ok := t.policies[service]
	return ok
}

// Scopes returns all scopes, sorted.
func (t *Tree) Scopes() []string { return t.entries.scopes() }

// Entries returns a copy of the document.
func (t *Tree) Entries() Entries {
	return maps.Clone(t.entries)
}

// Explained is one effective value and where it comes from.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Explain returns each effective value of a scope with the level it is from.
func (t *Tree) Explain(scope string) ([]EffectiveValue, error) {
	if !validScope(scope) {
		return nil, fault.Newf(fault.BadRequest, "%q is no scope; allowed is fleet/service/kind, or shorter", scope)
	}
	chain, err := t.chain(scope)
	if err != nil {
		return nil, err
	}
	out := make([]EffectiveValue, 0, len(keys))
	for i := range keys {
		v, from := t.lookup(chain, &keys[i])
		out = append(out, EffectiveValue{keys[i].Name, v, from})
	}
	return out, nil
}

// Patch is a change of a document: entries to set, and to remove.
type Patch struct {
	Set    Entries
	Remove []string
}

// Apply returns the tree with the patch, checked.
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
	if err := checkAll(p.Set); err != nil {
		return nil, err
	}
	for id, v := range p.Set {
		next[id] = v
		touched[scopeOf(id)] = true
	}
	nt := &Tree{entries: next, own: maps.Clone(t.own), policies: make(map[string]*Policy, len(t.policies)), order: t.order}
	nt.regroup(t, p, touched)
	if err := nt.resolveAll(t, touched); err != nil {
		return nil, err
	}
	nt.routes = nt.buildRoutes()
	return nt, nil
}

func scopeOf(id string) string {
	scope, _, _ := strings.Cut(id, "#")
	return scope
}

// regroup brings own and order up to a patch of old.
func (t *Tree) regroup(old *Tree, p Patch, touched map[string]bool) {
	changed := map[string]bool{}
	for _, id := range p.Remove {
		changed[id] = true
	}
	for id := range p.Set {
		changed[id] = true
	}
	for scope := range touched {
		var kept []setting
		for _, s := range old.own[scope] {
			if !changed[scope+"#"+s.name] {
				kept = append(kept, s)
			}
		}
		t.own[scope] = kept
	}
	for id, v := range p.Set {
		scope, name, _ := strings.Cut(id, "#")
		t.own[scope] = append(t.own[scope], setting{name, v})
	}
	reorder := len(p.Remove) > 0
	for scope := range touched {
		reorder = reorder || old.policies[scope] == nil
		if len(t.own[scope]) == 0 {
			delete(t.own, scope)
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
	for _, id := range t.entries.sorted() {
		if _, ok := to.entries[id]; !ok {
			p.Remove = append(p.Remove, id)
		}
	}
	return p
}

// ParseTOML reads a document with the tables [default], [fleet.F],
// [fleet.F.service.S] and [fleet.F.service.S.kind.K].
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
			err = fault.Newf(fault.InvalidSetting, "%q stands at the top; allowed are the tables default and fleet", name)
		case name == "default":
			err = flatten(e, "", table, "")
		case name == "fleet":
			err = flattenChildren(e, "", table, LevelFleet)
		default:
			err = fault.Newf(fault.InvalidSetting, "unknown table %q; allowed are default and fleet", name)
		}
		if err != nil {
			return nil, err
		}
	}
	return NewTree(e)
}

// childTable names the table that holds the next level's scopes.
var childTable = map[Level]string{LevelFleet: "service", LevelService: "kind"}

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
		e[scope+"#"+declared] = ""
		if err := flatten(e, scope, sub, childTable[at]); err != nil {
			return err
		}
	}
	return nil
}

func flatten(e Entries, scope string, table map[string]any, children string) *fault.Error {
	for _, name := range sortedKeys(table) {
		sub, isTable := table[name].(map[string]any)
		if isTable && name == children && children != "" {
			if err := flattenChildren(e, scope, sub, depthOf(scope)+1); err != nil {
				return err
			}
			continue
		}
		if isTable {
			return fault.Newf(fault.InvalidSetting, "%s: unknown table %q", placeName(scope), name)
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

// Known tells whether an entry is one that this release understands.
func IsValidEntry(id, value string) bool { return checkEntry(id, value) == nil }
