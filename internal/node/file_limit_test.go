package node

import (
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/wire"
)

// spareFiles is how many more files the process may open while a test exhausts them.
const spareFiles = 64

// exhaustFiles opens files until the process may open no more. The returned function closes
// them and restores the limit.
func exhaustFiles(t *testing.T) (release func()) {
	t.Helper()
	g := gomega.NewWithT(t)
	var limit syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	probe, err := os.Open(os.DevNull)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lowered := limit
	lowered.Cur = uint64(probe.Fd()) + spareFiles
	files := []*os.File{probe}
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered)).To(gomega.Succeed())
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, f)
	}
	released := false
	release = func() {
		if released {
			return
		}
		released = true
		for _, f := range files {
			_ = f.Close()
		}
		g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	}
	t.Cleanup(release)
	return release
}

// newSocket returns an unconnected TCP socket.
func newSocket(t *testing.T) int {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(fd) })
	return fd
}

// connectSocket connects a socket, for which the process needs no further file.
func connectSocket(t *testing.T, fd int, addr string) {
	t.Helper()
	g := gomega.NewWithT(t)
	to, err := netip.ParseAddrPort(addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(syscall.Connect(fd, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})).To(gomega.Succeed())
}

// TestNodeListensAfterRunningOutOfFiles guards against a node that ran out of file descriptors
// for a moment and then accepts no control or data connection until its process restarts,
// while its other parts look healthy.
func TestNodeListensAfterRunningOutOfFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	var output syncBuffer
	n := startLoggingNode(t, log.NewLogfmtLogger(&output), "a", nil, nil)
	sockets := map[string]int{n.opt.Control: newSocket(t), n.opt.Data: newSocket(t)}
	release := exhaustFiles(t)
	for addr, fd := range sockets {
		connectSocket(t, fd, addr)
	}
	g.Eventually(func() int { return strings.Count(output.String(), "too many open files") }, "5s", "5ms").Should(gomega.BeNumerically(">=", len(sockets)))
	release()

	var counter control.ByteCounter
	pool := control.NewPool(&counter, control.DialTCP)
	defer pool.Close()
	g.Eventually(func() error {
		return pool.Call(n.opt.Control, "Identity", &control.Empty{}, &control.IdentityReply{}, time.Second)
	}, "5s", "50ms").Should(gomega.Succeed(), "control connections")
	peer := wire.NewClient(n.opt.Data, wire.ClientOptions{SilenceTimeout: time.Second, DialTimeout: time.Second, MaxIdle: 1, Dialer: control.DialTCP})
	defer peer.Close()
	g.Eventually(func() bool { return peer.Probe(time.Second) }, "5s", "50ms").Should(gomega.BeTrue(), "data connections")
}
