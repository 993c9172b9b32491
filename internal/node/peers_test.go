package node

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/route"
)

// TestInstanceMarkedDuringAProbeIsProbedAgain guards against an instance that gets no request
// any more: the answer to a probe of an earlier incarnation at its address must not end the
// probes of the later one, which was found unreachable meanwhile.
func TestInstanceMarkedDuringAProbeIsProbedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := wire.NewServer(func(*wire.Exchange) {}, wire.ServerOptions{Heartbeat: time.Second, Sweep: time.Second, IdleTimeout: time.Minute})
	defer server.Close()
	go func() { _ = server.Serve(ln) }()

	dialling, proceed := make(chan struct{}, 1), make(chan struct{}, 2)
	peers := peerClients{dial: func(addr string, timeout time.Duration) (net.Conn, error) {
		dialling <- struct{}{}
		<-proceed
		return control.DialTCP(addr, timeout)
	}}
	addr := ln.Addr().String()
	earlier, later := &route.Observations{}, &route.Observations{}
	usable := func(o *route.Observations) bool {
		s := &route.Snapshot{Services: map[string]*route.Service{"f/s": {LocalInstances: []*route.Instance{{ID: "i", Addr: addr, Observed: o}}}}}
		return s.HasUsableInstance("f/s", "", 0)
	}
	probe := func() chan struct{} {
		ended := make(chan struct{})
		go func() {
			peers.probeUnreachable(time.Second)
			close(ended)
		}()
		g.Eventually(dialling, "5s").Should(gomega.Receive())
		return ended
	}
	peers.markUnreachable(addr, earlier)
	ended := probe()
	peers.markUnreachable(addr, later)
	proceed <- struct{}{}
	g.Eventually(ended, "5s").Should(gomega.BeClosed())
	g.Expect(usable(earlier)).To(gomega.BeTrue())
	g.Expect(usable(later)).To(gomega.BeFalse())

	ended = probe()
	proceed <- struct{}{}
	g.Eventually(ended, "5s").Should(gomega.BeClosed())
	g.Expect(usable(later)).To(gomega.BeTrue())
}
