package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/sock"
)

// startEcho starts a server that returns what it receives, and returns its address.
func startEcho(t *testing.T) string {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	// The server shares the descriptors of the process, and must outlast their lack as well.
	ln := sock.NewRetryListener(tcp, func(error) {}, func() {})
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// maxDescriptors is the limit of open files that the test fills.
const maxDescriptors = 256

// descriptors are the files that keep the process from opening others.
type descriptors struct{ files []*os.File }

// fill opens files until the process can open no more.
func (d *descriptors) fill() {
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		d.files = append(d.files, f)
	}
}

// release closes a number of the files.
func (d *descriptors) release(n int) {
	for _, f := range d.files[:n] {
		_ = f.Close()
	}
	d.files = d.files[n:]
}

// fillDescriptors lowers the limit of open files until the end of the test and fills it.
func fillDescriptors(t *testing.T) *descriptors {
	g := gomega.NewWithT(t)
	var limit syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: maxDescriptors, Max: limit.Max})).To(gomega.Succeed())
	d := &descriptors{}
	t.Cleanup(func() {
		d.release(len(d.files))
		g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	})
	d.fill()
	return d
}

const (
	// maxConnects bounds the connections until the relay accepts one no more. Others may be
	// accepted by the descriptors of connections that are closed meanwhile.
	maxConnects = 5
	// unansweredFor is how long a connection that is not accepted must be without a response.
	unansweredFor = 50 * time.Millisecond
)

// connectUnaccepted sends hello over a connection that the relay can't accept, as its process has
// no descriptor left.
func connectUnaccepted(t *testing.T, d *descriptors, addr string) net.Conn {
	var err error
	for range maxConnects {
		d.fill()
		d.release(1)
		var c net.Conn
		if c, err = net.Dial("tcp", addr); err != nil {
			continue
		}
		// An accepted one stays open: it holds descriptors that would be free again.
		t.Cleanup(func() { _ = c.Close() })
		if _, err = c.Write([]byte("hello")); err == nil {
			_ = c.SetDeadline(time.Now().Add(unansweredFor))
			_, err = c.Read(make([]byte, 1))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return c
		}
	}
	t.Fatalf("each connection was accepted or failed, the last one: %v", err)
	return nil
}

// Guards against a relay that forwards no connection any more once it could not accept one.
func TestRelayAcceptsAgainAfterDescriptorsRanOut(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Start("127.0.0.1:0", startEcho(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(r.Close)
	full := fillDescriptors(t)
	c := connectUnaccepted(t, full, r.Addr())
	full.release(len(full.files))
	g.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal("hello"))
}
