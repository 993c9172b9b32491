package relay

import (
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

// fillDescriptors opens files until the process can open just one more, and returns a function
// that closes them.
func fillDescriptors(t *testing.T) (release func()) {
	g := gomega.NewWithT(t)
	var limit syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: maxDescriptors, Max: limit.Max})).To(gomega.Succeed())
	var files []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, f)
	}
	g.Expect(files[0].Close()).To(gomega.Succeed())
	return func() {
		for _, f := range files[1:] {
			_ = f.Close()
		}
		g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	}
}

// Guards against a relay that forwards no connection any more once it could not accept one.
func TestRelayAcceptsAgainAfterDescriptorsRanOut(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Start("127.0.0.1:0", startEcho(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(r.Close)
	release := fillDescriptors(t)
	c, err := net.Dial("tcp", r.Addr())
	time.Sleep(50 * time.Millisecond)
	release()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = c.Write([]byte("hello"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal("hello"))
}
