// Package sock inspects TCP connections without reading from them, accepts them, and finds
// free ports for tests.
package sock

import (
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"

	"github.com/umberthread/umberthread/fault"
)

// connState is the state of a connection's receive side.
type connState uint8

const (
	stateClosed connState = iota
	stateIdle
	stateReadable
)

// IsIdle reports whether c is open and has no data to read.
func IsIdle(c net.Conn) bool { return inspect(c) == stateIdle }

// IsOpen reports whether the other side has not closed c, or c has unread data.
func IsOpen(c net.Conn) bool { return inspect(c) != stateClosed }

// inspect peeks at the receive buffer of c. It neither blocks nor affects a
// goroutine that is blocked on c. A connection that is not a socket counts as
// idle.
func inspect(c net.Conn) connState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	s := stateClosed
	err = raw.Control(func(fd uintptr) { s = peek(int(fd)) })
	if err != nil {
		return stateClosed
	}
	return s
}

// peek returns the state of the socket fd.
func peek(fd int) connState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return stateReadable
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return stateIdle
	default:
		return stateClosed
	}
}

const (
	// firstPort and lastPort bound the ports of FreeAddr. They lie below those that the system
	// gives to outgoing connections, one of which could otherwise take the port of a process
	// while that is restarted.
	firstPort = 10000
	lastPort  = 32767
)

// givenAddrs holds the addresses that FreeAddr has returned: a process that is down for a moment
// must find its address free again.
var givenAddrs sync.Map

// FreeAddr returns a loopback address whose TCP and UDP ports are free at the time of the call,
// for a process that a test or benchmark starts. No address is returned twice, and no other
// process that runs meanwhile gets one at the same IP address.
func FreeAddr() (string, error) {
	const tries = 100
	ip := loopbackOf(os.Getpid()).String()
	var last error
	for range tries {
		addr := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort+1)))
		if last = checkFree(addr); last != nil {
			continue
		}
		if _, given := givenAddrs.LoadOrStore(addr, true); !given {
			return addr, nil
		}
	}
	return "", fault.Wrap(fault.Internal, last, "no free port")
}

// loopbackOf returns a loopback IP address of a process, other than 127.0.0.1.
func loopbackOf(pid int) net.IP {
	return net.IPv4(127, byte(128|pid>>16&63), byte(pid>>8), byte(pid))
}

// checkFree returns an error if the TCP or the UDP port of an address is taken.
func checkFree(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	return pc.Close()
}
