package mesh

import (
	"net"
	"time"
)

// deadlineConn bounds each read and write, so that a peer that neither closes
// nor answers is found. Heartbeats keep a healthy connection within the read
// limit.
type deadlineConn struct {
	net.Conn
	readLimit  time.Duration
	writeLimit time.Duration
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
