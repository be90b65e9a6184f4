package faultproxy

import (
	"fmt"
	"net"
	"sync"
)

// maxDatagram is the largest datagram that is forwarded, in bytes.
const maxDatagram = 64 << 10

// DatagramProxy forwards UDP datagrams to a target in one direction: the target
// sees the proxy as their sender. It suits peers that reply to an address in
// the datagram rather than to its sender; each peer can have its own proxy.
type DatagramProxy struct {
	conn   *net.UDPConn
	target *net.UDPAddr

	mu          sync.Mutex
	partitioned func(source net.Addr) bool
}

// NewDatagramProxy starts a proxy to a target, host:port, on a free port of the
// loopback interface.
func NewDatagramProxy(target string) (*DatagramProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("resolve target: %w", err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &DatagramProxy{conn: conn, target: to}
	go d.forwardDatagrams()
	return d, nil
}

// Addr returns the host:port that peers send to.
func (d *DatagramProxy) Addr() string { return d.conn.LocalAddr().String() }

// Partition drops the datagrams whose source the function matches; nil ends
// the partition.
func (d *DatagramProxy) Partition(matches func(source net.Addr) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned = matches
}

// Close stops the proxy.
func (d *DatagramProxy) Close() error { return d.conn.Close() }

func (d *DatagramProxy) forwardDatagrams() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if d.shouldForward(from) {
			// Datagrams to a stopped target are lost, as on any network.
			_, _ = d.conn.WriteToUDP(buf[:n], d.target)
		}
	}
}

// shouldForward reports whether to forward datagrams from a source.
func (d *DatagramProxy) shouldForward(from net.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned == nil || !d.partitioned(from)
}
