package sock

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// minAcceptDelay is the pause after a failed accept. It doubles with each further failure
	// up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// RetryListener is a listener whose Accept fails only once it is closed. Servers stop at an
// error of Accept, yet most of its errors, such as exhausted file descriptors or memory, are
// temporary.
type RetryListener struct {
	net.Listener
	// onFailure is called for the first of consecutive failures, and onRecovery for the first
	// success after them.
	onFailure  func(error)
	onRecovery func()
	closed     chan struct{}
	closeOnce  sync.Once
}

// NewRetryListener returns a listener that accepts connections from ln.
func NewRetryListener(ln net.Listener, onFailure func(error), onRecovery func()) *RetryListener {
	return &RetryListener{Listener: ln, onFailure: onFailure, onRecovery: onRecovery, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *RetryListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if err == nil {
			if delay > minAcceptDelay {
				l.onRecovery()
			}
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if delay == minAcceptDelay {
			l.onFailure(err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close implements net.Listener.
func (l *RetryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
