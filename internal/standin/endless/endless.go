// Package endless is a stand-in for a faulty peer that sends bytes without end until its
// connection is closed.
package endless

import (
	"io"
	"net"
	"sync/atomic"
)

// writeBytes is the size of one write.
const writeBytes = 16 << 10

// Peer accepts connections. On each one it writes a prefix, and then a pattern again and
// again until the other side closes the connection.
type Peer struct {
	listener        net.Listener
	prefix, pattern string

	written atomic.Int64
	open    atomic.Int64
	opened  atomic.Int64
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

// Written returns the number of bytes written to all connections.
func (p *Peer) Written() int64 { return p.written.Load() }

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
	go io.Copy(io.Discard, c) // an unread request would reset the connection
	block := make([]byte, 0, writeBytes+len(p.pattern))
	for len(block) < writeBytes {
		block = append(block, p.pattern...)
	}
	n, err := io.WriteString(c, p.prefix)
	for err == nil {
		p.written.Add(int64(n))
		n, err = c.Write(block)
	}
}
