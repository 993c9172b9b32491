package sock

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// failingListener fails a number of accepts with an error before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, l.err
	}
	return l.Listener.Accept()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestAcceptSurvivesTemporaryErrors guards against a server that stops listening for good
// when the process runs out of file descriptors for a moment. net/http regards only some of
// these errors as temporary.
func TestAcceptSurvivesTemporaryErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			failures, recoveries := 0, 0
			inner := &failingListener{listen(t), 3, &net.OpError{Op: "accept", Err: errno}}
			ln := NewRetryListener(inner, func(error) { failures++ }, func() { recoveries++ })
			client, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = client.Close() }()
			c, err := ln.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = c.Close()
			g.Expect([]int{failures, recoveries}).To(gomega.Equal([]int{1, 1}), "failures and recoveries reported")
		})
	}
}

// TestCloseEndsAcceptDuringFailures guards against a server that cannot stop while accepts
// fail.
func TestCloseEndsAcceptDuringFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	failed := make(chan struct{}, 1)
	inner := &failingListener{listen(t), 1 << 30, syscall.EMFILE}
	ln := NewRetryListener(inner, func(error) { failed <- struct{}{} }, func() {})
	ended := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		ended <- err
	}()
	g.Eventually(failed, "5s").Should(gomega.Receive())
	g.Expect(ln.Close()).To(gomega.Succeed())
	var err error
	g.Eventually(ended, "5s").Should(gomega.Receive(&err))
	g.Expect(errors.Is(err, net.ErrClosed)).To(gomega.BeTrue())
}
