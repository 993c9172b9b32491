package node

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
)

// A node that may lack the current settings must not say that a service or kind does not exist:
// callers do not send such a request again.
func TestUnknownTargetIsNotReportedWithOutdatedSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	reason := func(target string) string { return n.call(target, "", nil, nil).problem().Reason }
	g.Expect(reason("f/s/k")).To(gomega.Equal(fault.Starting.String()), "without settings")
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\nidempotent = true\n", n)
	g.Expect(reason("f/other/k")).To(gomega.Equal(fault.UnknownService.String()))
	g.Expect(reason("f/s/other")).To(gomega.Equal(fault.UnknownKind.String()))
	n.gossip.raiseHighestVersion(n.conf.Load().version + 1)
	g.Expect(reason("f/other/k")).To(gomega.Equal(fault.Starting.String()))
	g.Expect(reason("f/s/other")).To(gomega.Equal(fault.Starting.String()))
}

// A node that may lack the current settings must not say that a body is too large: they may allow
// it, and callers do not send such a request again.
func TestBodyIsNotTooLargeByOutdatedSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s.kind.k]\nbody_max = 10\n[fleet.f.service.s.kind.keyed]\nkey_required = true\nreplay_max = 10\n", n)
	reason := func(kind string, body []byte) string {
		return n.call("f/s/"+kind, "", body, map[string]string{HeaderIdempotencyKey: "a"}).problem().Reason
	}
	large := make([]byte, 11)
	chunked := func() string {
		// The length of such a body is not known.
		resp, err := http.Post("http://"+n.opt.HTTP+"/call/f/s/k", "", io.MultiReader(bytes.NewReader(large)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return httpResult{body: string(body)}.problem().Reason
	}
	g.Expect(reason("k", large)).To(gomega.Equal(fault.TooLarge.String()))
	g.Expect(reason("keyed", large)).To(gomega.Equal(fault.TooLarge.String()))
	g.Expect(chunked()).To(gomega.Equal(fault.TooLarge.String()))
	n.gossip.raiseHighestVersion(n.conf.Load().version + 1)
	g.Expect(reason("k", large)).To(gomega.Equal(fault.Starting.String()))
	g.Expect(reason("keyed", large)).To(gomega.Equal(fault.Starting.String()))
	g.Expect(chunked()).To(gomega.Equal(fault.Starting.String()))
}

// The same holds for the node beside the backend server, which has settings of its own.
func TestBodyIsNotTooLargeByOutdatedSettingsOfAnotherNode(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startNode(t, "a", nil, nil)
	remote := startNode(t, "a", []string{entry.opt.Control}, nil)
	useSettings(t, "[fleet.f.service.s.kind.k]\nbody_max = 10\n", entry, remote)
	startStandin(t, remote, "f/s", 8, map[string]standin.KindBehavior{"k": {MeanServiceTime: time.Millisecond, ResponseBytes: 64}})
	entry.awaitInstances("f/s", 1)
	useSettings(t, "[fleet.f.service.s.kind.k]\nbody_max = 100\n", entry)
	remote.gossip.raiseHighestVersion(entry.conf.Load().version)
	r := entry.call("f/s/k", "", make([]byte, 11), nil)
	g.Expect(r.status).To(gomega.BeElementOf(http.StatusOK, http.StatusServiceUnavailable), r.body)
}

// Nor must it say that a request needs an idempotency key.
func TestKeyIsNotRequiredByOutdatedSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s.kind.k]\nkey_required = true\n", n)
	reason := func() string { return n.call("f/s/k", "", nil, nil).problem().Reason }
	g.Expect(reason()).To(gomega.Equal(fault.KeyRequired.String()))
	n.gossip.raiseHighestVersion(n.conf.Load().version + 1)
	g.Expect(reason()).To(gomega.Equal(fault.Starting.String()))
}
