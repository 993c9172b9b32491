package ctl

import (
	"crypto/rand"
	"encoding/base64"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
	"github.com/umberthread/umberthread/workspace"
)

// WorkspaceUse is a workspace with its use over all nodes that answer.
type WorkspaceUse struct {
	node.WorkspaceStatus
	// GrantedNodes is the number of nodes with a share from a ledger.
	GrantedNodes int `json:"granted_nodes"`
}

// PrintWorkspaces prints the workspaces with the sums of their use over all nodes.
func PrintWorkspaces(o Output, admins []string) error {
	all, err := DiscoverAdmins(admins)
	if err != nil {
		return err
	}
	byName := map[string]*WorkspaceUse{}
	var unknown []string
	for _, a := range QueryAll[[]node.WorkspaceStatus](all, "/v1/workspaces", nil) {
		if a.Err != nil {
			unknown = append(unknown, a.Node)
			continue
		}
		addWorkspaceUse(byName, a.Value)
	}
	uses := make([]*WorkspaceUse, 0, len(byName))
	for _, u := range byName {
		uses = append(uses, u)
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].Name < uses[j].Name })
	if o.JSON {
		return o.json(map[string]any{"workspaces": uses, "unknown": unknown})
	}
	t := o.table("WORKSPACE", "CLASS", "RATE", "BURST", "ADMITTED", "REFUSED", "SHARES", "KEYS")
	for _, u := range uses {
		t.row(u.Name, u.Class, u.Rate, u.Burst, u.Admitted, u.Refused, u.GrantedNodes, strings.Join(u.Keys, " "))
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, n := range unknown {
		o.printf("%s does not answer\n", n)
	}
	return nil
}

// addWorkspaceUse adds the workspaces of one node to the sums.
func addWorkspaceUse(byName map[string]*WorkspaceUse, statuses []node.WorkspaceStatus) {
	for _, s := range statuses {
		u := byName[s.Name]
		if u == nil {
			u = &WorkspaceUse{WorkspaceStatus: s}
			u.Admitted, u.Refused, u.ShareRate, u.ShareBurst = 0, 0, 0, 0
			byName[s.Name] = u
		}
		u.Admitted += s.Admitted
		u.Refused += s.Refused
		u.ShareRate += s.ShareRate
		u.ShareBurst += s.ShareBurst
		if s.Granted {
			u.GrantedNodes++
		}
	}
}

// newKeyBytes is the number of random bytes of a new key.
const newKeyBytes = 24

// AddWorkspaceKey makes a new key of a workspace, which may be new, and prints it. The
// settings hold only its digest, so it cannot be shown again.
func AddWorkspaceKey(o Output, c *Client, name string) error {
	var b [newKeyBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	key := base64.RawURLEncoding.EncodeToString(b[:])
	digest := workspace.DigestOf(key)
	err := changeWorkspaceKeys(o, c, name, func(keys []workspace.Digest) ([]workspace.Digest, error) { return append(keys, digest), nil })
	if err != nil {
		return err
	}
	if o.JSON {
		return o.json(map[string]string{"workspace": name, "key": key, "fingerprint": digest.Fingerprint()})
	}
	o.printf("key %s, fingerprint %s; it is not shown again\n", key, digest.Fingerprint())
	return nil
}

// RemoveWorkspaceKey takes the key with a fingerprint away from a workspace.
func RemoveWorkspaceKey(o Output, c *Client, name, fingerprint string) error {
	return changeWorkspaceKeys(o, c, name, func(keys []workspace.Digest) ([]workspace.Digest, error) {
		kept := slices.DeleteFunc(slices.Clone(keys), func(d workspace.Digest) bool { return d.Fingerprint() == fingerprint })
		if len(kept) == len(keys) {
			return nil, fault.Newf(fault.NotFound, "the workspace %q has no key with the fingerprint %q", name, fingerprint)
		}
		return kept, nil
	})
}

// changeWorkspaceKeys changes the keys of a workspace on the current version of the
// settings.
func changeWorkspaceKeys(o Output, c *Client, name string, change func([]workspace.Digest) ([]workspace.Digest, error)) error {
	d, err := c.Settings(true)
	if err != nil {
		return err
	}
	id := settings.WorkspaceScope(name) + "#" + settings.WorkspaceKeys
	keys, ok := workspace.ParseDigests(d.Entries[id])
	if !ok {
		return fault.Newf(fault.Corrupt, "the keys of workspace %q cannot be read", name)
	}
	keys, err = change(keys)
	if err != nil {
		return err
	}
	out := o
	if o.JSON {
		// The caller prints the one JSON value.
		out.JSON = false
		out.W = io.Discard
	}
	return ConfigSet(out, c, SettingsChange{Set: []string{id + "=" + workspace.FormatDigests(keys)}, Base: d.Version, Note: "keys of workspace " + name})
}
