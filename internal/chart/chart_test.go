package chart

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Names()).To(gomega.ConsistOf("node", "backend", "request", "connection", "replica"))
	for _, name := range Names() {
		c, err := Load(name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.Mermaid()).To(gomega.ContainSubstring("[*] --> " + c.StateName(InitialState)))
		g.Expect(c.Graphviz()).To(gomega.ContainSubstring("digraph"))
	}
}

func TestInvalidChartsAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unreachable":     {"start = \"a\"\nends = [\"a\"]\n[states.a]\n[states.b]\nx = \"a\"", `state "b" cannot be reached`},
		"dead end":        {"start = \"a\"\n[states.a]\nx = \"b\"\n[states.b]", `state "b" has no way out`},
		"unknown target":  {"start = \"a\"\n[states.a]\nx = \"c\"", `leads to "c", which is no state`},
		"unknown start":   {"start = \"z\"\n[states.a]\nx = \"a\"", `start "z" is no state`},
		"unknown key":     {"begin = \"a\"\n[states.a]", "chart unknown key"},
		"end is no state": {"start = \"a\"\nends = [\"q\"]\n[states.a]", `end "q" is no state`},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Parse(name, []byte(c.text))
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.InvalidSetting))
			g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
		})
	}
}

func TestNextFollowsChartFile(t *testing.T) {
	g := gomega.NewWithT(t)
	c := MustLoad("node")
	s, ok := c.Next(InitialState, c.Event("configured"))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.StateName(s)).To(gomega.Equal("serving"))
	_, ok = c.Next(s, c.Event("configured"))
	g.Expect(ok).To(gomega.BeFalse())
}
