package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/settings"
)

// Guards against dropping a response that arrives just after the node's deadline, as a backend
// server that stops at its own deadline sends it.
func TestResponseAtDeadlineIsDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := &call{
			id: "late", target: "f/s/k", rootTarget: "f/s/k", service: "f/s", policy: &settings.Policy{}, rank: rank.Make(rank.Normal, 0),
			scope: scope.New(time.Now().Add(-time.Millisecond)), started: time.Now(), retryBudget: &budget.Pool{},
		}
		n.writeResponse(w, c, &response{status: http.StatusGatewayTimeout, length: 4, body: strings.NewReader("late"), close: func() {}})
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
	g.Expect(string(body)).To(gomega.Equal("late"))
}

// Guards against the read deadline of the body ending the wait for the response.
func TestExpiredRequestWithBodyGetsResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	useSettings(t, "[fleet.f.service.s]\n[fleet.f.service.s.kind.k]\ndeadline = \"300ms\"\n", n)
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer unresponsive.Close()
	defer unresponsive.CloseClientConnections()
	for range 10 {
		// Announced each time, as all the requests may take longer than the lease.
		ferr := n.Announce(&Announcement{Service: "f/s", Address: unresponsive.Listener.Addr().String(), Slots: 8, Connections: 32, State: "serving"})
		g.Expect(ferr).To(gomega.BeNil())
		n.awaitInstances("f/s", 1)
		r := n.call("f/s/k", "", []byte("a body"), nil)
		g.Expect(r.err).NotTo(gomega.HaveOccurred())
		g.Expect(r.status).To(gomega.Equal(http.StatusGatewayTimeout), r.body)
	}
}
