package control

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// echo replies with the version in the request.
type echo struct{}

// Fetch implements the Fetch method of the service.
func (echo) Fetch(req *FetchRequest, reply *FetchReply) error {
	reply.Version = req.Since
	return nil
}

// testServer is an RPC server that can be stopped and restarted at its address.
type testServer struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// startServer starts a server, retrying while the address is in use.
func startServer(g *gomega.WithT, addr string) *testServer {
	var ln net.Listener
	g.Eventually(func() (err error) { ln, err = net.Listen("tcp", addr); return err }, 5*time.Second, time.Millisecond).Should(gomega.Succeed())
	p := &testServer{ln: ln}
	srv := rpc.NewServer()
	g.Expect(srv.RegisterName(ServiceName, echo{})).To(gomega.Succeed())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go srv.ServeConn(c)
		}
	}()
	return p
}

// stop closes the listener and all connections.
func (p *testServer) stop() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// TestCallReachesRestartedServer guards against a call that fails because the
// pooled connection leads to the previous process at the address.
func TestCallReachesRestartedServer(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startServer(g, "127.0.0.1:0")
	addr := server.ln.Addr().String()
	pool := NewPool(&ByteCounter{}, DialTCP)
	defer pool.Close()
	fetch := func(v uint64) (uint64, error) {
		var reply FetchReply
		err := pool.Call(addr, "Fetch", &FetchRequest{Since: v}, &reply, 5*time.Second)
		return reply.Version, err
	}
	for v := range uint64(20) {
		got, err := fetch(v)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "after %d restarts", v)
		g.Expect(got).To(gomega.Equal(v))
		server.stop()
		server = startServer(g, addr)
	}
	server.stop()
	_, err := fetch(1)
	g.Expect(err).To(gomega.HaveOccurred(), "call without a server")
}

// TestCallEndsInTimeIfThePeerDoesNotRead guards against calls that block for as long as a
// suspended or silently cut-off peer keeps the connection open: a request larger than the
// socket buffers blocks its sender, and with it all later calls to the peer.
func TestCallEndsInTimeIfThePeerDoesNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	var counter ByteCounter
	pool := NewPool(&counter, DialTCP)
	defer pool.Close()
	const timeout = 200 * time.Millisecond
	ended := make(chan error, 1)
	go func() {
		large := &SubmitRequest{Command: make([]byte, 32<<20)}
		ended <- pool.Call(ln.Addr().String(), "Submit", large, &SubmitReply{}, timeout)
	}()
	g.Eventually(ended, "5s").Should(gomega.Receive(&err))
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.PeerSilent))
	g.Expect(fault.From(err).Execution).To(gomega.Equal(fault.ExecutionUnknown))
}
