// Package httpcheck detects responses that net/http takes for whole or well-formed although they
// are not.
package httpcheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose Read returns io.EOF only if the peer has closed its sending side.
// The kernel reports the error of a lost connection once: if a write gets it, reads get an end of
// file, which would pass for the end of a response without a length. One goroutine may read while
// others write.
type Conn struct {
	net.Conn
	received uint64 // bytes returned by Read

	writing  sync.Mutex // held during a write
	writeErr error      // guarded by writing; of the first write that failed
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements io.Reader. At the end of what the peer has sent it also ends a write that waits.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += uint64(n)
	if errors.Is(err, io.EOF) {
		if lost := c.endWrites(); lost != nil && !c.peerClosed() {
			return n, fmt.Errorf("connection lost: %w", lost)
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endWrites ends a write that waits, and returns the error of the first one that the connection has
// failed.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// peerClosed reports whether the peer has closed its sending side, once all that it has sent was
// read. The kernel counts that as a byte received.
func (c *Conn) peerClosed() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.Bytes_received > c.received
	})
	return err == nil && closed
}
