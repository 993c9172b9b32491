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

// Guards against two test processes that give out the same address, one of them while the other's
// node is down for a moment and then cannot listen.
func TestAddressesOfTwoProcessesDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	const processes = 1 << 17
	seen := map[string]bool{}
	for pid := range processes {
		ip := loopbackOf(pid)
		g.Expect(ip.IsLoopback()).To(gomega.BeTrue())
		seen[ip.String()] = true
	}
	g.Expect(seen).To(gomega.HaveLen(processes))
	given := map[string]bool{}
	for range 50 {
		addr, err := FreeAddr()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(addr).To(gomega.HavePrefix(loopbackOf(os.Getpid()).String() + ":"))
		given[addr] = true
	}
	g.Expect(given).To(gomega.HaveLen(50))
}
