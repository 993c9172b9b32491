package control

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
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
