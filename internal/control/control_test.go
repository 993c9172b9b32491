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
func startServer(g *gomega.WithT, addr string) *testServer { return startServerOf(g, addr, echo{}) }

// startServerOf does the same with another service.
func startServerOf(g *gomega.WithT, addr string, service any) *testServer {
	var ln net.Listener
	g.Eventually(func() (err error) { ln, err = net.Listen("tcp", addr); return err }, 5*time.Second, time.Millisecond).Should(gomega.Succeed())
	p := &testServer{ln: ln}
	srv := rpc.NewServer()
	g.Expect(srv.RegisterName(ServiceName, service)).To(gomega.Succeed())
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

// accepted returns the number of accepted connections.
func (p *testServer) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
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

// slow replies to Submit only after a wait, and to Fetch at once.
type slow struct{ echo }

// Submit implements the Submit method of the service.
func (slow) Submit(req *SubmitRequest, reply *SubmitReply) error {
	time.Sleep(time.Duration(req.WaitMs) * time.Millisecond)
	reply.Result = req.Command
	return nil
}

// startSlowServer starts a server of slow, and a pool for calls to it, for the time of a test.
func startSlowServer(t *testing.T) (server *testServer, pool *Pool, addr string) {
	t.Helper()
	server = startServerOf(gomega.NewWithT(t), "127.0.0.1:0", slow{})
	pool = NewPool(&ByteCounter{}, DialTCP)
	t.Cleanup(func() {
		pool.Close()
		server.stop()
	})
	return server, pool, server.ln.Addr().String()
}

// Guards against a storm of connections beside load: one late reply closed the connection that
// all calls to the peer share, and each of them was sent again.
func TestLateReplyDoesNotCutOffOtherCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	server, pool, addr := startSlowServer(t)
	submit := func(command string, replyAfter, timeout time.Duration) (string, error) {
		reply := &SubmitReply{}
		err := pool.Call(addr, "Submit", &SubmitRequest{Command: []byte(command), WaitMs: replyAfter.Milliseconds()}, reply, timeout)
		return string(reply.Result), err
	}
	g.Expect(pool.Call(addr, "Fetch", &FetchRequest{}, &FetchReply{}, 5*time.Second)).To(gomega.Succeed())
	pending := make(chan error, 1)
	go func() {
		result, err := submit("pending", time.Second, 10*time.Second)
		if err == nil && result != "pending" {
			err = fault.New(fault.Internal, "another reply: "+result)
		}
		pending <- err
	}()
	var others sync.WaitGroup
	for range 8 {
		others.Go(func() {
			_, _ = submit("late", 300*time.Millisecond, 200*time.Millisecond)
			_, _ = submit("short", 300*time.Millisecond, 20*time.Millisecond)
		})
	}
	// Replies show that the connection is alive.
	for range 60 {
		g.Expect(pool.Call(addr, "Fetch", &FetchRequest{}, &FetchReply{}, 5*time.Second)).To(gomega.Succeed())
		time.Sleep(5 * time.Millisecond)
	}
	others.Wait()
	g.Expect(<-pending).NotTo(gomega.HaveOccurred())
	g.Expect(server.accepted()).To(gomega.Equal(1))
}

// Guards against a reply that arrives after its call has ended and changes what the caller reads.
func TestLateReplyIsNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	_, pool, addr := startSlowServer(t)
	reply := &SubmitReply{}
	err := pool.Call(addr, "Submit", &SubmitRequest{Command: []byte("late"), WaitMs: 60}, reply, 20*time.Millisecond)
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.PeerSilent))
	g.Consistently(func() []byte { return reply.Result }, 200*time.Millisecond, time.Millisecond).Should(gomega.BeEmpty())
}

// Guards against a connection that is dead for one that is merely slow: a silent connection is
// replaced once a call got no reply.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startServer(g, "127.0.0.1:0")
	defer server.stop()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = silent.Close() }()
	dials := 0
	pool := NewPool(&ByteCounter{}, func(addr string, timeout time.Duration) (net.Conn, error) {
		dials++
		if dials == 1 {
			addr = silent.Addr().String()
		}
		return DialTCP(addr, timeout)
	})
	defer pool.Close()
	fetch := func() error {
		return pool.Call(server.ln.Addr().String(), "Fetch", &FetchRequest{}, &FetchReply{}, minSilence+20*time.Millisecond)
	}
	g.Expect(fault.CodeOf(fetch())).To(gomega.Equal(fault.PeerSilent))
	g.Expect(fetch()).To(gomega.Succeed())
}

// trickleConn delivers a byte at a time, with a pause before each chunk of chunkBytes.
type trickleConn struct {
	net.Conn
	pause time.Duration
	read  int
}

// Read implements net.Conn.
func (c *trickleConn) Read(p []byte) (int, error) {
	const chunkBytes = 40
	if c.read%chunkBytes == 0 {
		time.Sleep(c.pause)
	}
	c.read++
	return c.Conn.Read(p[:1])
}

// Guards against a reply that is given up while it arrives over a slow link, and sent again as a
// whole.
func TestCallWaitsWhileTheReplyArrives(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startServer(g, "127.0.0.1:0")
	defer server.stop()
	const pause, silence = 50 * time.Millisecond, 150 * time.Millisecond
	pool := NewPool(&ByteCounter{}, func(addr string, timeout time.Duration) (net.Conn, error) {
		conn, err := DialTCP(addr, timeout)
		return &trickleConn{Conn: conn, pause: pause}, err
	})
	defer pool.Close()
	fetch := func(timeout time.Duration) (uint64, error) {
		var reply FetchReply
		err := pool.CallWhileArriving(server.ln.Addr().String(), "Fetch", &FetchRequest{Since: 7}, &reply, silence, timeout)
		return reply.Version, err
	}
	began := time.Now()
	version, err := fetch(10 * time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(version).To(gomega.Equal(uint64(7)))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">", silence), "the reply must take longer than silence")
}

// A call must end at its time limit even if data keeps arriving, and after a silence even if the
// reply has begun.
func TestCallEndsWhileTheReplyArrives(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startServer(g, "127.0.0.1:0")
	defer server.stop()
	pause := make(chan time.Duration, 2)
	pool := NewPool(&ByteCounter{}, func(addr string, timeout time.Duration) (net.Conn, error) {
		conn, err := DialTCP(addr, timeout)
		return &trickleConn{Conn: conn, pause: <-pause}, err
	})
	defer pool.Close()
	fetch := func(silence, timeout time.Duration) error {
		return pool.CallWhileArriving(server.ln.Addr().String(), "Fetch", &FetchRequest{}, &FetchReply{}, silence, timeout)
	}
	pause <- 50 * time.Millisecond
	began := time.Now()
	g.Expect(fault.CodeOf(fetch(120*time.Millisecond, 200*time.Millisecond))).To(gomega.Equal(fault.PeerSilent))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
	pool.Close()
	pause <- 500 * time.Millisecond
	began = time.Now()
	g.Expect(fault.CodeOf(fetch(100*time.Millisecond, 10*time.Second))).To(gomega.Equal(fault.PeerSilent))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
}

// Guards against a connection for each of the calls that wait while there is none.
func TestConcurrentCallsShareOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startServer(g, "127.0.0.1:0")
	defer server.stop()
	pool := NewPool(&ByteCounter{}, func(addr string, timeout time.Duration) (net.Conn, error) {
		time.Sleep(50 * time.Millisecond)
		return DialTCP(addr, timeout)
	})
	defer pool.Close()
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() {
			err := pool.Call(server.ln.Addr().String(), "Fetch", &FetchRequest{}, &FetchReply{}, 5*time.Second)
			if err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	g.Expect(server.accepted()).To(gomega.Equal(1))
}
