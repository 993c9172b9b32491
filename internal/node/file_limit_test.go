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

// exhaustedFiles keeps a process from opening files.
type exhaustedFiles struct {
	t     *testing.T
	limit syscall.Rlimit
	files []*os.File
}

// exhaustFiles opens files until the process may open no more, until release.
func exhaustFiles(t *testing.T) *exhaustedFiles {
	t.Helper()
	g := gomega.NewWithT(t)
	e := &exhaustedFiles{t: t}
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &e.limit)).To(gomega.Succeed())
	probe, err := os.Open(os.DevNull)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lowered := e.limit
	lowered.Cur = uint64(probe.Fd()) + spareFiles
	e.files = []*os.File{probe}
	t.Cleanup(e.release)
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered)).To(gomega.Succeed())
	e.fill()
	return e
}

// fill opens the files that the process may open again since others were closed, such as the
// connections of earlier tests.
func (e *exhaustedFiles) fill() {
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		e.files = append(e.files, f)
	}
}

// release closes the files and restores the limit.
func (e *exhaustedFiles) release() {
	if e.files == nil {
		return
	}
	for _, f := range e.files {
		_ = f.Close()
	}
	e.files = nil
	gomega.NewWithT(e.t).Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &e.limit)).To(gomega.Succeed())
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

// maxConnects bounds the connections until a listener fails to accept one. One may be accepted by
// the file of a connection of an earlier test that is closed meanwhile.
const maxConnects = 5

// hasFailedToAccept reports whether a node has logged that a part of it lacks files for a
// connection.
func hasFailedToAccept(log, part string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "part="+part+" ") && strings.Contains(line, "too many open files") {
			return true
		}
	}
	return false
}

// TestNodeListensAfterRunningOutOfFiles guards against a node that ran out of file descriptors
// for a moment and then accepts no control or data connection until its process restarts,
// while its other parts look healthy.
func TestNodeListensAfterRunningOutOfFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	var output syncBuffer
	n := startLoggingNode(t, log.NewLogfmtLogger(&output), "a", nil, nil)
	parts := map[string]string{"control": n.opt.Control, "data": n.opt.Data}
	sockets := map[string][]int{}
	for part := range parts {
		for range maxConnects {
			sockets[part] = append(sockets[part], newSocket(t))
		}
	}
	exhausted := exhaustFiles(t)
	for part, addr := range parts {
		failed := func() bool { return hasFailedToAccept(output.String(), part) }
		for _, fd := range sockets[part] {
			if failed() {
				break
			}
			exhausted.fill()
			connectSocket(t, fd, addr)
			for until := time.Now().Add(time.Second); !failed() && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
		}
		g.Expect(failed()).To(gomega.BeTrue(), "%s: %s", part, output.String())
	}
	exhausted.release()

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
