// Package sock looks at the state of TCP connections without reading them.
package sock

import (
	"net"
	"syscall"

	"github.com/umberthread/umberthread/fault"
)

type state uint8

const (
	stateClosed state = iota
	stateQuiet
	stateReadable
)

// Quiet tells whether c is open and has nothing to read.
func IsIdle(c net.Conn) bool { return look(c) == stateQuiet }

// Open tells whether the other side has not closed c.
func IsOpen(c net.Conn) bool { return look(c) != stateClosed }

// look peeks at the socket's receive buffer. It takes nothing from it, does
// not wait, and does not disturb a goroutine that is blocked on the socket.
func look(c net.Conn) state {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateQuiet
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

func peek(fd int) state {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return stateReadable
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return stateQuiet
	default:
		return stateClosed
	}
}

// FreeAddr returns a loopback address whose TCP and UDP ports are free, for
// processes that a test or a measurement starts.
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
