// Package scope propagates the end of a request to the work done for it.
//
// A Scope has a deadline, can be canceled, and interrupts the connection on which the
// request's goroutine is blocked. It is used instead of context.Context because a wait
// needs no goroutine and no allocation.
package scope

import (
	"net"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Scope is the lifetime of one request on one node. It is safe for concurrent use.
type Scope struct {
	deadline time.Time

	mu       sync.Mutex
	code     fault.Code
	conn     net.Conn
	notify   chan fault.Code
	children map[*Scope]struct{}
	parent   *Scope
}

// New returns a scope that ends at the deadline.
func New(deadline time.Time) *Scope { return &Scope{deadline: deadline} }

// Child returns a scope that ends with s or at the deadline, whichever is earlier. The
// caller must call Close on it when its work is done.
func (s *Scope) Child(deadline time.Time) *Scope {
	if s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	c := &Scope{deadline: deadline, parent: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.code = s.code
	if s.children == nil {
		s.children = map[*Scope]struct{}{}
	}
	s.children[c] = struct{}{}
	return c
}

// Deadline returns the time after which the request's answer is useless.
func (s *Scope) Deadline() time.Time { return s.deadline }

// Remaining returns the time until the deadline, negative after it.
func (s *Scope) Remaining() time.Duration { return time.Until(s.deadline) }

// Err returns the reason why the scope has ended, or fault.None if it has not.
func (s *Scope) Err() fault.Code {
	s.mu.Lock()
	code := s.code
	s.mu.Unlock()
	if code == fault.None && !time.Now().Before(s.deadline) {
		return fault.Deadline
	}
	return code
}

// pastDeadline is a connection deadline that interrupts blocked reads and writes.
var pastDeadline = time.Unix(1, 0)

// Cancel ends the scope and its descendants with a code. Only the first call has an
// effect.
func (s *Scope) Cancel(code fault.Code) {
	s.mu.Lock()
	if s.code != fault.None {
		s.mu.Unlock()
		return
	}
	s.code = code
	if s.conn != nil {
		_ = s.conn.SetDeadline(pastDeadline)
	}
	if s.notify != nil {
		select {
		case s.notify <- code:
		default:
		}
	}
	children := make([]*Scope, 0, len(s.children))
	for c := range s.children {
		children = append(children, c)
	}
	s.mu.Unlock()
	for _, c := range children {
		c.Cancel(code)
	}
}

// InterruptOnCancel makes Cancel interrupt conn, until StopInterrupt. It returns false
// if the scope has already been canceled.
func (s *Scope) InterruptOnCancel(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.code != fault.None {
		return false
	}
	s.conn = conn
	return true
}

// StopInterrupt ends InterruptOnCancel. After it returns, Cancel does not touch the
// connection.
func (s *Scope) StopInterrupt() {
	s.mu.Lock()
	s.conn = nil
	s.mu.Unlock()
}

// Notify makes Cancel send its code on c, until StopNotify. c must have a buffer of one;
// Cancel does not block. Notify returns false if the scope has already been canceled.
func (s *Scope) Notify(c chan fault.Code) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.code != fault.None {
		return false
	}
	s.notify = c
	return true
}

// StopNotify ends Notify. Cancel then sends no code.
func (s *Scope) StopNotify() {
	s.mu.Lock()
	s.notify = nil
	s.mu.Unlock()
}

// Close detaches a finished scope from its parent.
func (s *Scope) Close() {
	if s.parent == nil {
		return
	}
	s.parent.mu.Lock()
	delete(s.parent.children, s)
	s.parent.mu.Unlock()
}
