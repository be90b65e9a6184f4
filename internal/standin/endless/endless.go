// Package endless is a stand-in for a faulty peer that sends bytes without end until its
// connection is closed.
package endless

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// writeBytes is the size of one write.
const writeBytes = 16 << 10

// Peer accepts connections. On each one it waits for the first bytes, writes a prefix, and
// then a pattern again and again until the other side closes the connection.
type Peer struct {
	listener        net.Listener
	prefix, pattern string

	open   atomic.Int64
	opened atomic.Int64
}

// Listen returns a Peer on a free port of the loopback interface.
func Listen(prefix, pattern string) (*Peer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{listener: l, prefix: prefix, pattern: pattern}
	go p.serve()
	return p, nil
}

// Addr returns the host:port to connect to.
func (p *Peer) Addr() string { return p.listener.Addr().String() }

// Opened returns the number of connections that were opened.
func (p *Peer) Opened() int64 { return p.opened.Load() }

// Open returns the number of connections that the other side has not closed.
func (p *Peer) Open() int64 { return p.open.Load() }

// AwaitClosed waits until the other side has closed all connections, for a time at most,
// and reports whether it has.
func (p *Peer) AwaitClosed(timeout time.Duration) bool {
	const pollInterval = 5 * time.Millisecond
	for deadline := time.Now().Add(timeout); p.Open() > 0; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// Close stops accepting connections.
func (p *Peer) Close() { p.listener.Close() }

func (p *Peer) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		p.open.Add(1)
		go p.write(c)
	}
}

func (p *Peer) write(c net.Conn) {
	defer p.open.Add(-1)
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	go io.Copy(io.Discard, c) // an unread request would reset the connection
	block := make([]byte, 0, writeBytes+len(p.pattern))
	for len(block) < writeBytes {
		block = append(block, p.pattern...)
	}
	_, err := io.WriteString(c, p.prefix)
	for err == nil {
		_, err = c.Write(block)
	}
}
