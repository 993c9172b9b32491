package workspace

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/rank"
)

// MaxKeyBytes bounds the length of a key that a caller may send.
const MaxKeyBytes = 256

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	if len(key) > MaxKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	// A buffer on the stack avoids an allocation for each request.
	var buf [MaxKeyBytes]byte
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// digestEncoding is the text form of a digest in the settings.
var digestEncoding = base64.RawURLEncoding

// String returns the digest as it stands in the settings.
func (d Digest) String() string { return digestEncoding.EncodeToString(d[:]) }

// fingerprintBytes is enough to tell the keys of one fleet apart.
const fingerprintBytes = 4

// Fingerprint returns a short name for the key with this digest, for people.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// ParseDigests parses a list of digests joined by commas; false if one is malformed.
// The empty list is valid.
func ParseDigests(list string) ([]Digest, bool) {
	if list == "" {
		return nil, true
	}
	var out []Digest
	for text := range strings.SplitSeq(list, ",") {
		var d Digest
		b, err := digestEncoding.DecodeString(text)
		if err != nil || len(b) != len(d) {
			return nil, false
		}
		copy(d[:], b)
		out = append(out, d)
	}
	return out, true
}

// FormatDigests returns the list in the form that ParseDigests reads.
func FormatDigests(digests []Digest) string {
	texts := make([]string, len(digests))
	for i, d := range digests {
		texts[i] = d.String()
	}
	return strings.Join(texts, ",")
}

// Workspace is a customer of the fleet, who is identified by keys.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Index is the position in Table.All.
	Index int
	// Keys are the digests of its keys.
	Keys []Digest
	// Class is the importance of its requests if HasClass is set, else that of the
	// request kinds holds.
	Class    rank.Class
	HasClass bool
	// group is the position of its class against the most common one of the table: 0 for the
	// same, above 0 for a higher one, below 0 for a lower one, by rank.Below's group from -1
	// down. othersBelow is set if any workspace is below.
	group       int
	othersBelow bool
	// Limit bounds its requests over all nodes together; the zero value means no limit.
	Limit quota.Limit
}

// Rank returns the rank of a request of the workspace. A class of the workspace goes before
// the class of the request kind. Workspaces of the most common class share the ranks of the
// kinds, which are fine; the others have ranks above or below these. A nil workspace has no
// class.
func (w *Workspace) Rank(kind rank.Class, requestID string) rank.Rank {
	switch {
	case w == nil || w.group == 0 && !w.othersBelow:
		return rank.ForRequest(kind, requestID)
	case w.group == 0:
		return rank.ForRequest(kind, requestID).AtLeastKinds()
	case w.group > 0:
		return rank.Above(w.group, kind, requestID)
	default:
		return rank.Below(-1-w.group, kind)
	}
}

// Table holds the workspaces of one version of the settings. It is immutable and safe
// for concurrent use.
type Table struct {
	all      []*Workspace
	byDigest map[Digest]*Workspace
}

// NewTable returns a table of the workspaces, sorted by name, and sets their Index. A
// key that two workspaces share is a fault.InvalidSetting error, as the workspace of
// its requests would be undefined.
func NewTable(workspaces []*Workspace) (*Table, error) {
	t := &Table{all: slices.Clone(workspaces), byDigest: map[Digest]*Workspace{}}
	slices.SortFunc(t.all, func(a, b *Workspace) int { return strings.Compare(a.Name, b.Name) })
	for i, w := range t.all {
		w.Index = i
		for _, d := range w.Keys {
			if other := t.byDigest[d]; other != nil && other != w {
				return nil, fault.Newf(fault.InvalidSetting, "the workspaces %q and %q share the key with the fingerprint %s; a key belongs to one workspace", other.Name, w.Name, d.Fingerprint())
			}
			t.byDigest[d] = w
		}
	}
	t.setGroups()
	return t, nil
}

// setGroups sets the group of each workspace. One without a class counts as of the most
// common one.
func (t *Table) setGroups() {
	var counts [rank.Classes]int
	for _, w := range t.all {
		if w.HasClass {
			counts[w.Class]++
		}
	}
	common := 0
	for c := range counts {
		if counts[c] >= counts[common] {
			common = c
		}
	}
	var groups [rank.Classes]int
	below, above := 0, 0
	for c := range counts {
		switch {
		case c < common && counts[c] > 0:
			below++
			groups[c] = -below
		case c > common && counts[c] > 0:
			above++
			groups[c] = above
		}
	}
	for _, w := range t.all {
		w.othersBelow = below > 0
		if w.HasClass {
			w.group = groups[w.Class]
		}
	}
}

// All returns the workspaces, sorted by name. The result must not be changed.
func (t *Table) All() []*Workspace {
	if t == nil {
		return nil
	}
	return t.all
}

// ByKey returns the workspace with the key, or nil.
func (t *Table) ByKey(key string) *Workspace {
	if t == nil || key == "" || len(key) > MaxKeyBytes {
		return nil
	}
	return t.byDigest[DigestOf(key)]
}
