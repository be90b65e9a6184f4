package membership

import (
	"fmt"
	"net"
	"net/netip"
)

// Transport sends and receives datagrams. Sent datagrams may be lost; Send
// must not block for long.
type Transport interface {
	Send(addr string, datagram []byte) error
	// Receive waits for a datagram, copies it into buf and returns its length.
	// It returns an error once the transport is closed.
	Receive(buf []byte) (int, error)
	Close() error
}

// UDP is a Transport that uses one UDP socket.
type UDP struct{ conn *net.UDPConn }

// ListenUDP binds to an address of the form IP:port; port 0 chooses a free port.
func ListenUDP(addr string) (*UDP, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip address %q: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return &UDP{conn: conn}, nil
}

// Addr returns the bound address.
func (u *UDP) Addr() string { return u.conn.LocalAddr().String() }

// Send implements Transport. The address has the form IP:port.
func (u *UDP) Send(addr string, datagram []byte) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("gossip address %q: %w", addr, err)
	}
	if _, err := u.conn.WriteToUDPAddrPort(datagram, ap); err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	return nil
}

// Receive implements Transport.
func (u *UDP) Receive(buf []byte) (int, error) {
	n, _, err := u.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return 0, fmt.Errorf("receive datagram: %w", err)
	}
	return n, nil
}

// Close implements Transport.
func (u *UDP) Close() error { return u.conn.Close() }
