package settings

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/workspace"
)

func digestsOf(keys ...string) string {
	var out []workspace.Digest
	for _, k := range keys {
		out = append(out, workspace.DigestOf(k))
	}
	return workspace.FormatDigests(out)
}

func TestWorkspacesOfDocument(t *testing.T) {
	g := NewWithT(t)
	tree, err := ParseTOML(fmt.Appendf(nil, `
[fleet.kigali]
workspace_required = true
[fleet.kigali.service.sheets.kind.public]
workspace_required = false
[workspace.scouts]
keys = %q
class = "important"
rate = 200
burst = 50.5
[workspace.crew]
`, digestsOf("k1", "k2")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tree.Workspaces().All()).To(HaveLen(2))
	scouts := tree.Workspaces().ByKey("k2")
	g.Expect(scouts.Name).To(Equal("scouts"))
	g.Expect(scouts.Class).To(Equal(rank.Important))
	g.Expect(scouts.Limit).To(Equal(quota.Limit{Rate: 200, Burst: 50.5}))
	g.Expect(tree.Policy("kigali/sheets").WorkspaceRequired).To(BeTrue())
	g.Expect(tree.Policy("kigali/sheets/public").WorkspaceRequired).To(BeFalse())
	g.Expect(tree.Scopes()).NotTo(ContainElement(ContainSubstring("scouts")))
}

func TestPatchChangesWorkspaces(t *testing.T) {
	g := NewWithT(t)
	tree := mustTree(Entries{"workspace:crew#keys": digestsOf("k1"), "kigali#deadline": "2s"})
	next, err := tree.Apply(Patch{Set: Entries{"workspace:scouts#keys": digestsOf("k2")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Workspaces().ByKey("k2").Name).To(Equal("scouts"))
	g.Expect(tree.Workspaces().ByKey("k2")).To(BeNil())
	// A key may move to another workspace in one change.
	moved, err := next.Apply(Patch{Set: Entries{"workspace:scouts#keys": digestsOf("k1")}, Remove: []string{"workspace:crew#keys"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(moved.Workspaces().ByKey("k1").Name).To(Equal("scouts"))
	g.Expect(moved.Workspaces().ByKey("k2")).To(BeNil())
}

func TestInvalidWorkspacesAreRefused(t *testing.T) {
	for name, e := range map[string]Entries{
		"shared key":         {"workspace:a#keys": digestsOf("secret"), "workspace:b#keys": digestsOf("secret")},
		"plain key":          {"workspace:a#keys": "secret"},
		"negative rate":      {"workspace:a#rate": "-1"},
		"rate not a number":  {"workspace:a#rate": "NaN"},
		"burst without rate": {"workspace:a#burst": "5"},
		"unknown class":      {"workspace:a#class": "secret"},
		"unknown key":        {"workspace:a#deadline": "1s"},
		"name with slash":    {"workspace:a/b#rate": "1"},
		"no name":            {"workspace:#rate": "1"},
		"too large":          {"workspace:a#source": strings.Repeat("secret", maxWorkspaceTextBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := NewTree(e)
			g.Expect(fault.CodeOf(err)).To(Equal(fault.InvalidSetting))
			g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
		})
	}
}

func TestThousandsOfKeysAreAccepted(t *testing.T) {
	g := NewWithT(t)
	var keys []string
	for i := range 5000 {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	tree, err := NewTree(Entries{"workspace:a#keys": digestsOf(keys...)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tree.Workspaces().ByKey("key-4999").Name).To(Equal("a"))
}

func TestRedactedHidesSourcesOfWorkspaces(t *testing.T) {
	g := NewWithT(t)
	e := Entries{"workspace:a#source": "secret", "kigali#source": "shown"}
	g.Expect(e.Redacted()).To(Equal(Entries{"workspace:a#source": redacted, "kigali#source": "shown"}))
	g.Expect(e["workspace:a#source"]).To(Equal("secret"))
}
