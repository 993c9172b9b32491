package ctl

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"os/user"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/confstore"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// Output prints results to W, as text or as JSON.
type Output struct {
	W    io.Writer
	JSON bool
}

// Settings returns the node's active settings or, if current is set, those that a
// quorum confirms.
func (c *Client) Settings(current bool) (*node.ConfigDocument, error) {
	q := url.Values{}
	if current {
		q.Set("current", "true")
	}
	var d node.ConfigDocument
	return &d, c.Get("/v1/config", q, &d)
}

// ConfigGet prints the settings at and below a scope; an empty scope means all.
func ConfigGet(o Output, c *Client, scope string, current bool) error {
	d, err := c.Settings(current)
	if err != nil {
		return err
	}
	kept := settings.Entries{}
	for id, v := range d.Entries {
		s, key, _ := strings.Cut(id, "#")
		if key != "-" && (scope == "" || s == scope || strings.HasPrefix(s, scope+"/")) {
			kept[id] = v
		}
	}
	d.Entries = kept
	if o.JSON {
		return o.json(d)
	}
	o.printf("version %d\n", d.Version)
	for _, id := range sortedIDs(d.Entries) {
		o.printf("%s = %s\n", id, d.Entries[id])
	}
	return nil
}

func sortedIDs(e settings.Entries) []string {
	ids := make([]string, 0, len(e))
	for id := range e {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// SettingsChange describes a change of the settings.
type SettingsChange struct {
	// Files are paths of TOML documents. Each replaces the fleets that it
	// describes, and the default if it does.
	Files []string
	// Set lists scope#key=value, Unset lists scope#key.
	Set, Unset []string
	// Base is the version that the change applies to; 0 means the current one.
	Base uint64
	// ID identifies the change, to repeat it safely; a new one is made if it is
	// empty.
	ID string
	// Note is recorded in the history.
	Note string
	// DryRun prints the change without making it.
	DryRun bool
}

// ConfigSet makes a change of the settings, or prints it if DryRun is set.
func ConfigSet(o Output, c *Client, ch SettingsChange) error {
	d, err := c.Settings(ch.Base == 0)
	if err != nil {
		return err
	}
	from, err := settings.NewTree(d.Entries)
	if err != nil {
		return err
	}
	to, err := ch.apply(from)
	if err != nil {
		return err
	}
	patch := from.Diff(to)
	if ch.DryRun {
		return printPatch(o, d.Entries, patch)
	}
	req := node.ChangeRequest{ID: ch.ID, Base: ch.Base, Set: patch.Set, Remove: patch.Remove, Note: ch.Note, Author: currentUser()}
	if req.Base == 0 {
		req.Base = d.Version
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	var res node.ChangeResult
	if err := c.Post("/v1/config", req, &res); err != nil {
		return err
	}
	if res.Reason != fault.None.String() {
		code, _ := fault.ParseCode(res.Reason)
		return fault.Newf(code, "version %d was taken by change %s; the version in force is %d", req.Base+1, res.Winner, res.Current)
	}
	if o.JSON {
		return o.json(res)
	}
	o.printf("accepted as version %d, change %s\n", res.Version, res.ID)
	return nil
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// apply returns the settings after the change.
func (ch *SettingsChange) apply(from *settings.Tree) (*settings.Tree, error) {
	entries := from.Entries()
	for _, f := range ch.Files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fault.Wrap(fault.NotFound, err, "cannot read "+f)
		}
		doc, err := settings.ParseTOML(data)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, f)
		}
		replaceFleets(entries, doc.Entries())
	}
	for _, s := range ch.Set {
		id, v, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fault.Newf(fault.BadRequest, "invalid setting %q, expected scope#key=value", s)
		}
		entries[strings.TrimSpace(id)] = strings.TrimSpace(v)
	}
	for _, id := range ch.Unset {
		delete(entries, id)
	}
	return settings.NewTree(entries)
}

// replaceFleets replaces all entries of the fleets and workspaces that doc describes, and
// of the default if it does. Keys of a workspace stay if doc has none for it: they are
// made with add-key and stand in no file.
func replaceFleets(entries, doc settings.Entries) {
	described := map[string]bool{}
	for id := range doc {
		described[fleetOf(id)] = true
	}
	for id := range entries {
		if described[fleetOf(id)] && !settings.IsWorkspaceKeys(id) {
			delete(entries, id)
		}
	}
	for id, v := range doc {
		entries[id] = v
	}
}

// fleetOf returns the fleet of a setting's id, "" for the default.
func fleetOf(id string) string {
	scope, _, _ := strings.Cut(id, "#")
	fleet, _, _ := strings.Cut(scope, "/")
	return fleet
}

// printPatch prints the old and new values of a change.
func printPatch(o Output, before settings.Entries, p settings.Patch) error {
	if o.JSON {
		return o.json(p)
	}
	for _, id := range sortedIDs(p.Set) {
		if old, ok := before[id]; ok {
			o.printf("- %s = %s\n", id, old)
		}
		o.printf("+ %s = %s\n", id, p.Set[id])
	}
	for _, id := range p.Remove {
		o.printf("- %s = %s\n", id, before[id])
	}
	return nil
}

// ConfigExplain prints the effective settings of a scope and the scope that sets
// each of them, and whether the node's settings may be outdated.
func ConfigExplain(o Output, c *Client, scope string) error {
	var ex []settings.EffectiveValue
	if err := c.Get("/v1/config/explain", url.Values{"scope": {scope}}, &ex); err != nil {
		return err
	}
	if o.JSON {
		return o.json(ex)
	}
	var status node.Status
	if err := c.Get("/v1/status", nil, &status); err != nil {
		return err
	}
	o.printf("%s\n\n", describeVersion(&status))
	t := o.table("KEY", "VALUE", "FROM")
	for _, e := range ex {
		t.row(e.Key, e.Value, e.From)
	}
	return t.flush()
}

// describeVersion says which version a node has in force, since when and why it may be
// outdated, and when a quorum last confirmed it.
func describeVersion(s *node.Status) string {
	text := fmt.Sprintf("version %d is in force on %s", s.Config, s.Name)
	if s.ConfigDoubt != "" {
		text += fmt.Sprintf(", may be outdated for %s: %s", formatAge(s.ConfigDoubtMs), s.ConfigDoubt)
	}
	if s.ConfigConfirmedMs >= 0 {
		text += fmt.Sprintf("; a quorum last confirmed it %s ago", formatAge(s.ConfigConfirmedMs))
	}
	return text
}

// formatAge formats a time in milliseconds.
func formatAge(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// ConfigHistory prints the recent changes of the settings.
func ConfigHistory(o Output, c *Client) error {
	var cs []confstore.Change
	if err := c.Get("/v1/config/history", nil, &cs); err != nil {
		return err
	}
	if o.JSON {
		return o.json(cs)
	}
	t := o.table("VERSION", "AT", "AUTHOR", "CHANGE", "SET", "REMOVED", "NOTE")
	for _, ch := range cs {
		at := time.UnixMilli(ch.AtMs).UTC().Format(time.RFC3339)
		t.row(ch.Version, at, ch.Author, ch.ID, len(ch.Patch.Set), len(ch.Patch.Remove), ch.Note)
	}
	return t.flush()
}

// versionPollInterval is the interval at which ConfigWait queries the nodes.
const versionPollInterval = 50 * time.Millisecond

// ConfigWait waits until all known nodes have at least the given version. After
// the timeout it returns an error that names the nodes without it.
func ConfigWait(o Output, admins []string, version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		have, behind, err := countVersions(admins, version)
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			if o.JSON {
				return o.json(map[string]any{"version": version, "nodes": have})
			}
			o.printf("version %d is in force on all %d nodes that answer\n", version, have)
			return nil
		}
		if time.Now().After(deadline) {
			return fault.Newf(fault.Deadline, "%d nodes have version %d, these have not: %s", have, version, strings.Join(behind, ", "))
		}
		time.Sleep(versionPollInterval)
	}
}

// countVersions returns the number of nodes with at least the given version, and
// the nodes without it.
func countVersions(admins []string, version uint64) (have int, behind []string, err error) {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return 0, nil, err
	}
	for _, s := range QueryAll[node.Status](all, "/v1/status", nil) {
		switch {
		case s.Err != nil:
			behind = append(behind, s.Node+" (does not answer)")
		case s.Value.Config < version:
			behind = append(behind, fmt.Sprintf("%s (version %d)", s.Value.Name, s.Value.Config))
		default:
			have++
		}
	}
	return have, behind, nil
}
