package mesh

import (
	"net"
	"sync"
	"time"
)

// timeoutConn sets a deadline for each read and write, so that a peer that neither
// closes the connection nor answers is detected. Heartbeats prevent timeouts on a
// healthy connection.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
	once    sync.Once
	failed  chan struct{} // closed when a read or write has failed
}

func newTimeoutConn(conn net.Conn, timeout time.Duration) *timeoutConn {
	return &timeoutConn{Conn: conn, timeout: timeout, failed: make(chan struct{})}
}

// broken reports whether a read or a write has failed.
func (c *timeoutConn) broken() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

func (c *timeoutConn) recordError(err error) {
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
}

// Read implements net.Conn.
func (c *timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		c.recordError(err)
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.recordError(err)
	return n, err
}

// Write implements net.Conn.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		c.recordError(err)
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.recordError(err)
	return n, err
}
