package settings

import (
	"testing"

	"github.com/onsi/gomega"
)

const routesDocument = `
[fleet.f.service.east.kind.split]
host = "Calls.example"
path_prefix = "/a/"
weight = 90
[fleet.f.service.west.kind.split]
host = "calls.example"
path_prefix = "/a/"
weight = 10
[fleet.f.service.west.kind.deep]
host = "calls.example"
path_prefix = "/a/b/"
`

func TestMatchRouteUsesLongestPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	tree, err := ParseTOML([]byte(routesDocument))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for path, want := range map[string]string{"/a/": "/a/", "/a/x/y": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c": "/a/b/", "/": "", "": "", "/ab/": ""} {
		r := tree.MatchRoute("CALLS.example:8080", path)
		if want == "" {
			g.Expect(r).To(gomega.BeNil(), path)
			continue
		}
		g.Expect(r).NotTo(gomega.BeNil(), path)
		g.Expect(r.Prefix).To(gomega.Equal(want), path)
	}
	g.Expect(tree.MatchRoute("other.example", "/a/")).To(gomega.BeNil())
}

// TestSelectTargetFollowsWeightsOverFewRequests checks that a target's share is
// within 0.01 of its weight after 200 requests.
func TestSelectTargetFollowsWeightsOverFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	tree, err := ParseTOML([]byte(routesDocument))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := tree.MatchRoute("calls.example", "/a/")
	west := 0
	for range 200 {
		if r.SelectTarget().Scope == "f/west/split" {
			west++
		}
	}
	g.Expect(west).To(gomega.BeNumerically("~", 20, 2))
}

// TestApplyUpdatesRoutePolicies guards against a route that keeps the policy of
// an earlier version.
func TestApplyUpdatesRoutePolicies(t *testing.T) {
	g := gomega.NewWithT(t)
	tree, err := ParseTOML([]byte(routesDocument))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next, err := tree.Apply(Patch{Set: Entries{"f/west#deadline": "7s"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(next.MatchRoute("calls.example", "/a/b/").Targets[0].Policy.Deadline.Seconds()).To(gomega.Equal(7.0))
}
