package mesh

import (
	"net"
	"sync"
	"time"
)

// deadlineConn bounds each read and write, so that a peer that neither closes
// nor answers is found. Heartbeats keep a healthy connection within the limit.
type deadlineConn struct {
	net.Conn
	limit  time.Duration
	once   sync.Once
	failed chan struct{} // closed at the first failed read or write
}

func newDeadlineConn(conn net.Conn, limit time.Duration) *deadlineConn {
	return &deadlineConn{Conn: conn, limit: limit, failed: make(chan struct{})}
}

// broken reports whether a read or a write has failed.
func (c *deadlineConn) broken() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

func (c *deadlineConn) note(err error) {
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		c.note(err)
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.note(err)
	return n, err
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		c.note(err)
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.note(err)
	return n, err
}
