package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

func TestInheritance(t *testing.T) {
	g := gomega.NewWithT(t)
	tree, err := ParseTOML([]byte(`
[default]
deadline = "4s"
[fleet.kigali]
class = "important"
[fleet.kigali.service.sheets.kind.open]
class = "protected"
[fleet.kigali.service.sheets.kind.preview]
like = "kigali/sheets/open"
deadline = "1s"
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p, known := tree.KindPolicy("kigali/sheets/preview")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(p.Class).To(gomega.Equal(rank.Protected))
	g.Expect(p.Deadline).To(gomega.Equal(time.Second))
	g.Expect(tree.Policy("kigali/sheets/other").Class).To(gomega.Equal(rank.Important))
	ex, err := tree.Explain("kigali/sheets/preview")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ex).To(gomega.ContainElements(
		EffectiveValue{"class", "protected", "kigali/sheets/open"},
		EffectiveValue{"deadline", "1s", "kigali/sheets/preview"},
		EffectiveValue{"retry_budget", "3", "built-in"},
	))
}

func TestInvalidSettingsErrorNamesScopeAndAllowedValues(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":        {"[fleet.kigali]\nwat = 1", `kigali: unknown key "wat"`},
		"wrong unit":         {"[fleet.kigali]\ndeadline = 5", `kigali: deadline = "5"; allowed is a duration`},
		"out of range":       {"[default]\nretry_budget = 99", `default: retry_budget = "99"; allowed is a whole number from 0 to 64`},
		"cycle":              {"[fleet.a.service.s.kind.x]\nlike = \"a/s/y\"\n[fleet.a.service.s.kind.y]\nlike = \"a/s/x\"", "closes a cycle"},
		"unknown like scope": {"[fleet.a]\nlike = \"b\"", "an existing scope of the same level"},
		"too deep":           {"[fleet.a.service.s.kind.x]\npolicy = \"off\"", "is not allowed at this level"},
		"no such table":      {"[flet.a]\n", `unknown table "flet"`},
		"key at the top":     {"deadline = \"5s\"", "allowed are the tables default, fleet and workspace"},
		"bad name":           {"[fleet.\"a b\"]\n", "a name of letters"},
		"broken TOML":        {"[fleet", "not valid TOML"},
		"table in a kind":    {"[fleet.a.service.s.kind.x.deeper]\n", `unknown table "deeper"`},
		"unknown class":      {"[default]\nclass = \"top\"", "background, normal, important or protected"},
		"share above one":    {"[default]\nobjective = 1.5", "a share from 0 to 1"},
		"array for a number": {"[default]\nbody_max = [1]", "a whole number"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := ParseTOML([]byte(c.text))
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.InvalidSetting))
			g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if strings.HasSuffix(f, "node.toml") {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseTOML(data); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// TestApplyMatchesNewTree checks that Apply gives the same scopes and policies
// as NewTree of the resulting document.
func TestApplyMatchesNewTree(t *testing.T) {
	scopes := []string{"", "a", "a/s", "a/s/k", "a/s/l", "b", "b/t/k"}
	rapid.Check(t, func(t *rapid.T) {
		tree := Empty
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			p := Patch{Set: Entries{}}
			for range rapid.IntRange(0, 3).Draw(t, "sets") {
				scope := rapid.SampledFrom(scopes).Draw(t, "scope")
				if rapid.IntRange(0, 4).Draw(t, "like") == 0 {
					p.Set[scope+"#like"] = rapid.SampledFrom(scopes).Draw(t, "target")
				} else {
					p.Set[scope+"#deadline"] = rapid.SampledFrom([]string{"1s", "2s", "3s"}).Draw(t, "value")
				}
			}
			for id := range tree.Entries() {
				if _, set := p.Set[id]; !set && rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
					p.Remove = append(p.Remove, id)
				}
			}
			next, err := tree.Apply(p)
			want := tree.Entries()
			for _, id := range p.Remove {
				delete(want, id)
			}
			for id, v := range p.Set {
				want[id] = v
			}
			fresh, freshErr := NewTree(want)
			if (err == nil) != (freshErr == nil) {
				t.Fatalf("Apply says %v, NewTree says %v", err, freshErr)
			}
			if err != nil {
				continue
			}
			if !slices.Equal(next.Scopes(), fresh.Scopes()) {
				t.Fatalf("scopes %v, want %v", next.Scopes(), fresh.Scopes())
			}
			for _, s := range fresh.Scopes() {
				if *next.Policy(s) != *fresh.Policy(s) {
					t.Fatalf("%s: %+v, want %+v", s, *next.Policy(s), *fresh.Policy(s))
				}
			}
			if d := tree.Diff(next); len(d.Set) > len(p.Set) || len(d.Remove) != len(p.Remove) {
				t.Fatalf("Diff returns %+v, more than the patch %+v", d, p)
			}
			tree = next
		}
	})
}

func FuzzParseTOML(f *testing.F) {
	f.Add([]byte("[default]\ndeadline = \"5s\"\n[fleet.a.service.s.kind.k]\nlike = \"a/s/k\""))
	f.Add([]byte("fleet = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := ParseTOML(data)
		if err != nil {
			return
		}
		for _, s := range tree.Scopes() {
			if _, err := tree.Explain(s); err != nil {
				t.Fatalf("scope %q: %v", s, err)
			}
		}
	})
}
