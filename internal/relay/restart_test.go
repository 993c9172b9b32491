package relay

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestDatagramsReturnAfterTargetRestarts guards against a relay that drops all replies of a target
// that was down while a datagram was sent to it.
func TestDatagramsReturnAfterTargetRestarts(t *testing.T) {
	g := gomega.NewWithT(t)
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	addr := target.LocalAddr().String()
	g.Expect(target.Close()).To(gomega.Succeed())
	r, err := Start("127.0.0.1:0", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.Close()
	sender, err := net.Dial("udp", r.udp.LocalAddr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = sender.Close() }()
	for range 3 {
		_, _ = sender.Write([]byte("lost"))
		time.Sleep(20 * time.Millisecond)
	}
	target, err = net.ListenPacket("udp", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = target.Close() }()
	_, _ = sender.Write([]byte("ping"))
	buf := make([]byte, 16)
	_ = target.SetReadDeadline(time.Now().Add(time.Second))
	n, from, err := target.ReadFrom(buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = target.WriteTo(buf[:n], from)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = sender.SetReadDeadline(time.Now().Add(time.Second))
	n, err = sender.Read(buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf[:n])).To(gomega.Equal("ping"))
}
