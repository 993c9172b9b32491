// Package sock inspects TCP connections without reading from them, accepts them, and finds
// free ports for tests.
package sock

import (
	"net"
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

// FreeAddr returns a loopback address whose TCP and UDP ports are free at the time
// of the call, for a process that a test or benchmark starts.
func FreeAddr() (string, error) {
	const tries = 100
	var last error
	for range tries {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", fault.Wrap(fault.Internal, err, "no free port")
		}
		addr := ln.Addr().String()
		pc, err := net.ListenPacket("udp", addr)
		_ = ln.Close()
		if err == nil {
			_ = pc.Close()
			return addr, nil
		}
		last = err
	}
	return "", fault.Wrap(fault.Internal, last, "no free port")
}
