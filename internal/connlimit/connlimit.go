// Package connlimit limits the number of connections that a listener has open
// at once. Further connections wait in the operating system's accept backlog.
package connlimit

import (
	"net"
	"sync"
)

// LimitListener wraps a listener so that at most limit accepted connections are
// open.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &listener{Listener: inner, semaphore: make(chan struct{}, limit), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	semaphore chan struct{} // has one element for each open connection and each pending Accept
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &conn{Conn: c, release: func() { <-l.semaphore }}, nil
}

// Close implements net.Listener. It unblocks an Accept that waits for the
// semaphore.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn releases the semaphore when it is closed for the first time.
type conn struct {
	net.Conn
	releaseOnce sync.Once
	release     func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
