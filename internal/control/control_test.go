package control

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// echo answers with the version that it was asked for.
type echo struct{}

// Fetch serves control.Fetch.
func (echo) Fetch(req *FetchRequest, reply *FetchReply) error {
	reply.Version = req.Since
	return nil
}

// process is a server that can end and start again at its address.
type process struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func startProcess(g *gomega.WithT, addr string) *process {
	var ln net.Listener
	g.Eventually(func() (err error) { ln, err = net.Listen("tcp", addr); return err }, 5*time.Second, time.Millisecond).Should(gomega.Succeed())
	p := &process{ln: ln}
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

func (p *process) end() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// TestACallReachesAProcessThatWasRestarted: the kept connection leads to the process
// that stood at the address before. That it is gone says nothing of the one that
// stands there now.
func TestACallReachesAProcessThatWasRestarted(t *testing.T) {
	g := gomega.NewWithT(t)
	first := startProcess(g, "127.0.0.1:0")
	addr := first.ln.Addr().String()
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
		first.end()
		first = startProcess(g, addr)
	}
	first.end()
	_, err := fetch(1)
	g.Expect(err).To(gomega.HaveOccurred(), "nobody is there")
}
