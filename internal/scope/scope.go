// Package scope carries the end of a request to whatever works for it.
//
// A Scope is the life of one request on one node: it has a deadline, it can
// be canceled, and it interrupts the connection that the request's goroutine
// is blocked on. It replaces context.Context on the way of a request because
// it needs no goroutine and no allocation per wait.
package scope

import (
	"net"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
)

// Scope is the life of one request. It is safe for concurrent use.
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

// Child returns a scope that ends with s, at its deadline or earlier.
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

// Deadline returns when the request's answer is worthless.
func (s *Scope) Deadline() time.Time { return s.deadline }

// Remaining returns the time that is left, negative after the deadline.
func (s *Scope) Remaining() time.Duration { return time.Until(s.deadline) }

// Err returns why the scope has ended, or None.
func (s *Scope) Err() fault.Code {
	s.mu.Lock()
	code := s.code
	s.mu.Unlock()
	if code == fault.None && !time.Now().Before(s.deadline) {
		return fault.Deadline
	}
	return code
}

// past is a deadline that interrupts a blocked read or write at once.
var pastDeadline = time.Unix(1, 0)

// Cancel ends the scope and all scopes below it.
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

// Bind makes Cancel interrupt conn; false if the scope has already ended.
func (s *Scope) InterruptOnCancel(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.code != fault.None {
		return false
	}
	s.conn = conn
	return true
}

// Unbind ends Bind. After it returns, Cancel does not touch the connection.
func (s *Scope) StopInterrupt() {
	s.mu.Lock()
	s.conn = nil
	s.mu.Unlock()
}

// Notify makes Cancel send the code on c, which must have room for one; false
// if the scope has already ended.
func (s *Scope) Notify(c chan fault.Code) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.code != fault.None {
		return false
	}
	s.notify = c
	return true
}

// Silence ends Notify.
func (s *Scope) StopNotify() {
	s.mu.Lock()
	s.notify = nil
	s.mu.Unlock()
}

// Close takes a finished scope off its parent.
func (s *Scope) Close() {
	if s.parent == nil {
		return
	}
	s.parent.mu.Lock()
	delete(s.parent.children, s)
	s.parent.mu.Unlock()
}
