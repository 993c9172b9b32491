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
	// decides is set if the workspaces of the table differ in class.
	decides bool
	// Limit bounds its requests over all nodes together; the zero value means no limit.
	Limit quota.Limit
}

// Rank returns the rank of a request of the workspace. A class of the workspace goes
// before the class of the request kind, unless all workspaces have the same: then the
// whole range of ranks is left to the kinds. A nil workspace has none.
func (w *Workspace) Rank(kind rank.Class, requestID string) rank.Rank {
	if w == nil || !w.HasClass || !w.decides {
		return rank.ForRequest(kind, requestID)
	}
	return rank.ForWorkspace(w.Class, kind, requestID)
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
	decides := t.classesDiffer()
	for _, w := range t.all {
		w.decides = decides
	}
	return t, nil
}

// classesDiffer reports whether the class tells any two workspaces apart.
func (t *Table) classesDiffer() bool {
	for _, w := range t.all {
		if w.HasClass != t.all[0].HasClass || w.Class != t.all[0].Class {
			return true
		}
	}
	return false
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
