package faultproxy

import (
	"fmt"
	"net"
	"sync"
)

// maxDatagram is the largest datagram that is passed on, in bytes.
const maxDatagram = 64 << 10

// Datagrams passes UDP datagrams on to a target, one way: the target sees the
// proxy as their sender. Peers that answer to an address in the datagram, not
// to its sender, can each stand behind one.
type Datagrams struct {
	conn   *net.UDPConn
	target *net.UDPAddr

	mu  sync.Mutex
	cut func(source net.Addr) bool
}

// NewDatagrams starts a proxy to a target, host:port, on a free port of the
// loopback interface.
func NewDatagrams(target string) (*Datagrams, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	d := &Datagrams{conn: conn, target: to}
	go d.run()
	return d, nil
}

// Addr returns the host:port that peers send to.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Cut drops the datagrams from the sources that a function picks; nil ends it.
func (d *Datagrams) Cut(picks func(source net.Addr) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = picks
}

// Close ends the proxy.
func (d *Datagrams) Close() error { return d.conn.Close() }

func (d *Datagrams) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if d.passes(from) {
			// A target that is gone loses datagrams, as on any network.
			_, _ = d.conn.WriteToUDP(buf[:n], d.target)
		}
	}
}

func (d *Datagrams) passes(from net.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut == nil || !d.cut(from)
}
