package sock

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a port that the system gives to an outgoing connection while the process that
// listens at it is restarted, which then cannot start.
func TestFreeAddrIsNotAPortOfOutgoingConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var first, last int
	_, err = fmt.Sscan(string(b), &first, &last)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 50 {
		addr, err := FreeAddr()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		tcp, err := net.ResolveTCPAddr("tcp", addr)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(tcp.Port).NotTo(gomega.And(gomega.BeNumerically(">=", first), gomega.BeNumerically("<=", last)))
	}
}
