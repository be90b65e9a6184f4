// Package freeaddr finds free addresses for the listeners of processes that a
// test starts.
package freeaddr

import (
	"fmt"
	"net"
)

// On returns n different host:port addresses on an IP address, with TCP ports
// that were free. It keeps all of them open until it returns, because the
// kernel may assign a closed port again at once. Afterwards any socket that is
// bound to the IP address with port 0 can be assigned one of the ports, so each
// process needs its own IP address and one of these addresses for each of its
// listeners.
func On(ip string, n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port on %s: %w", ip, err)
		}
		defer l.Close()
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}
