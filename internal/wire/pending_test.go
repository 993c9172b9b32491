package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/relay"
	"github.com/umberthread/umberthread/internal/scope"
)

// startPending sends a request without a body and returns it before its reply.
func startPending(t *testing.T, c *Client, attempt uint64) *Pending {
	t.Helper()
	const limit = 10 * time.Second
	p, err := c.Send(scope.New(time.Now().Add(limit)), &Request{Attempt: attempt, Remaining: limit}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A doubt is told once, does not end the request, and is told only to a client that knows the frame:
// to others an unknown frame would end it.
func TestDoubtIsToldToClientsThatKnowIt(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := serve(t, func(x *Exchange) {
		x.MarkBodyRead()
		x.ReportDoubt()
		time.Sleep(2 * silence)
		_ = x.Reply(&Reply{Status: 200, Execution: fault.Executed}, []byte("late"), nil)
	})
	c := client(addr)
	started := time.Now()
	p := startPending(t, c, 7|AcceptsDoubt)
	_, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Doubted))
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", silence))
	resp, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Ended))
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("late"))
	resp.Close()

	_, state, err = startPending(t, c, 8).Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Ended))
}

// A request that is awaited now and then must not count as silent for the time in which nobody
// read, and must do so once its peer is silent.
func TestRequestAwaitedNowAndThen(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := serve(t, func(x *Exchange) {
		x.MarkBodyRead()
		<-time.After(20 * time.Second)
	})
	r, err := relay.Start("127.0.0.1:0", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.Close()
	p := startPending(t, client(r.Addr()), 1)
	time.Sleep(2 * silence)
	for range 20 {
		_, state, err := p.Await(time.Now().Add(20 * time.Millisecond))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(state).To(gomega.Equal(progress.Waiting))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(r.SilenceConnections()).To(gomega.Equal(1))
	silenced := time.Now()
	g.Eventually(func() progress.State {
		_, state, _ := p.Await(time.Now().Add(20 * time.Millisecond))
		return state
	}, 5*time.Second, 20*time.Millisecond).Should(gomega.Equal(progress.Doubted))
	g.Expect(p.IsSilent()).To(gomega.BeTrue())
	g.Expect(time.Since(silenced)).To(gomega.BeNumerically("<", 3*silence))
}

// A request whose scope ends while nobody waits for it fails as soon as it is awaited.
func TestRequestThatEndsWhileNotAwaited(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serve(t, func(x *Exchange) { x.MarkBodyRead(); time.Sleep(2 * time.Second) }))
	s := scope.New(time.Now().Add(10 * time.Second))
	p, err := c.Send(s, &Request{Attempt: 1, Remaining: time.Second}, nil, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Cancel(fault.Canceled)
	_, state, err := p.Await(time.Time{})
	g.Expect(state).To(gomega.Equal(progress.Ended))
	g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Canceled))
}

// serveWithoutHeartbeats is serve for a peer that is too busy to send heartbeats.
func serveWithoutHeartbeats(t *testing.T, h Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, ServerOptions{Heartbeat: time.Hour, Sweep: 10 * time.Millisecond, IdleTimeout: time.Minute})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

// A peer that sends nothing for a while may be busy, so a request that it executes comes into doubt
// and is not ended.
func TestRequestAtAPeerWithoutHeartbeatsIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serveWithoutHeartbeats(t, func(x *Exchange) {
		x.MarkBodyRead()
		time.Sleep(3 * silence)
		_ = x.Reply(&Reply{Status: 200, Execution: fault.Executed}, []byte("late"), nil)
	}))
	started := time.Now()
	p := startPending(t, c, 1)
	_, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Doubted))
	g.Expect(p.IsSilent()).To(gomega.BeTrue())
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 2*silence))
	resp, state, err := p.Await(time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(progress.Ended))
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("late"))
}

// pausingReader is a body that pauses in its middle.
type pausingReader struct{ parts []string }

// Read implements io.Reader.
func (r *pausingReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	if len(r.parts) == 1 {
		time.Sleep(3 * silence)
	}
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

// A body that pauses at a peer without heartbeats is read to its end: the caller has its head
// already, and no other attempt can go on with it.
func TestBodyFromAPeerWithoutHeartbeatsIsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(serveWithoutHeartbeats(t, func(x *Exchange) {
		x.MarkBodyRead()
		_ = x.Reply(&Reply{Status: 200, BodyLen: Streamed, Execution: fault.Executed}, nil, &pausingReader{[]string{"first ", "second"}})
	}))
	_, body, ferr := send(c, "streamed", nil, 10*time.Second)
	g.Expect(ferr).To(gomega.BeNil())
	g.Expect(body).To(gomega.Equal("first second"))
}
