package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/burn"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

// TestSettingsPageIsCurrent checks that docs/SETTINGS.md matches the printed
// reference.
func TestSettingsPageIsCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	var b bytes.Buffer
	g.Expect(PrintSettingsReference(Output{W: &b})).To(gomega.Succeed())
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(page)).To(gomega.Equal(b.String()), "run: bin/umberctl settings > docs/SETTINGS.md")
}

func TestFilesReplaceOnlyTheFleetsTheyDescribe(t *testing.T) {
	g := gomega.NewWithT(t)
	entries := settings.Entries{"#deadline": "1s", "suva#deadline": "2s", "suva/a#deadline": "3s", "kigali#deadline": "4s"}
	replaceFleets(entries, settings.Entries{"suva#class": "normal"})
	g.Expect(entries).To(gomega.Equal(settings.Entries{"#deadline": "1s", "suva#class": "normal", "kigali#deadline": "4s"}))
}

func TestBurnPage(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := map[string]*KindBurn{}
	k := &node.BurnKind{Class: "protected", Objective: 0.99}
	k.Scope = "suva/cover-desk/check"
	for i := range k.Counts {
		k.Counts[i] = burn.Count{Good: 60, Total: 100}
	}
	k.Steps = []burn.Count{{Good: 10, Total: 10}, {Good: 5, Total: 10}}
	k.FailuresByCode = map[string]int64{"overload": 40}
	addKind(kinds, k)
	addKind(kinds, k)
	r := &BurnReport{At: time.Unix(0, 0), Refusals: map[string]int64{"overload": 80}, Unknown: []string{"suva-c"}}
	r.computeRates(kinds, nil)
	g.Expect(r.Kinds[0].Counts[0]).To(gomega.Equal(burn.Count{Good: 120, Total: 200}))
	g.Expect(r.Kinds[0].Alert).To(gomega.Equal("fast"))
	page, err := RenderPage(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := string(page)
	g.Expect(text).To(gomega.ContainSubstring("suva-c"))
	g.Expect(strings.Count(text, "<svg")).To(gomega.Equal(3))
	g.Expect(text).NotTo(gomega.ContainSubstring("<script"))
	g.Expect(text).NotTo(gomega.ContainSubstring("src="))
}

func TestQuarantinedFingerprintsAreMergedOverNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	got := mergeQuarantined([][]node.QuarantineStatus{
		{{Fingerprint: "a", Terminations: 3, LeftMs: 900}, {Fingerprint: "b", Terminations: 5, LeftMs: 70}},
		{{Fingerprint: "a", Request: "f/s/k/x", Terminations: 4, LeftMs: 800}},
		nil,
	})
	g.Expect(got).To(gomega.Equal([]QuarantinedFingerprint{
		{Mark: "b", Nodes: 1, Ends: 5, NextMs: 70},
		{Mark: "a", Request: "f/s/k/x", Nodes: 2, Ends: 4, NextMs: 800},
	}))
}

// Guards against effective settings that look current on a node that may lack newer ones.
func TestExplainTellsThatSettingsMayBeOutdated(t *testing.T) {
	g := gomega.NewWithT(t)
	status := node.Status{Name: "n1", Config: 7, ConfigConfirmedMs: -1}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body any = &status
		if r.URL.Path == "/v1/config/explain" {
			body = []settings.EffectiveValue{{Key: "deadline", Value: "1s", From: "f"}}
		}
		_ = json.NewEncoder(w).Encode(body)
	}))
	defer server.Close()
	explain := func(asJSON bool) string {
		var b bytes.Buffer
		g.Expect(ConfigExplain(Output{W: &b, JSON: asJSON}, NewClient(server.Listener.Addr().String()), "f")).To(gomega.Succeed())
		return b.String()
	}
	g.Expect(explain(false)).To(gomega.HavePrefix("version 7 is in force on n1\n\nKEY "))
	status.ConfigDoubtMs, status.ConfigDoubt = 12_250, "failure domain b is cut off"
	g.Expect(explain(false)).To(gomega.HavePrefix("version 7 is in force on n1, may be outdated for 12.3s: failure domain b is cut off\n\nKEY "))
	status.ConfigConfirmedMs = 90_000
	g.Expect(explain(false)).To(gomega.HavePrefix("version 7 is in force on n1, may be outdated for 12.3s: failure domain b is cut off; a quorum last confirmed it 1m30s ago\n"))
	g.Expect(explain(true)).To(gomega.HavePrefix("["), "programs read a list")
}
