// Package connlimit bounds the connections that a listener has open at once.
// Further ones wait in the backlog of the operating system.
package connlimit

import (
	"net"
	"sync"
)

// LimitListener returns a listener with at most limit accepted connections open.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &listener{Listener: inner, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	slots  chan struct{} // holds one element for each open connection
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: c, free: func() { <-l.slots }}, nil
}

// Close implements net.Listener. It ends an Accept that waits for a slot.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn gives its slot back when it is closed first.
type conn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
