package test

import (
	"net"
)

// partition drops TCP and UDP traffic in both directions between the given data
// centres and all others.
func (c *cluster) partition(cut ...string) {
	inside := make(map[int]bool)
	for _, dc := range cut {
		inside[10+c.dcIndex(dc)] = true
	}
	for _, p := range c.processes() {
		own := inside[10+c.dcIndex(p.dc)]
		drop := func(source net.Addr) bool { return inside[subnet(source)] != own }
		p.mesh.Partition(drop)
		p.gossip.Partition(drop)
	}
}

// dropOutgoing drops the traffic from a data centre to the others, but not the
// traffic from them.
func (c *cluster) dropOutgoing(dc string) {
	sourceSubnet := 10 + c.dcIndex(dc)
	for _, p := range c.processes() {
		if p.dc == dc {
			continue
		}
		drop := func(source net.Addr) bool { return subnet(source) == sourceSubnet }
		p.mesh.Partition(drop)
		p.gossip.Partition(drop)
	}
}

// heal ends all partitions.
func (c *cluster) heal() {
	for _, p := range c.processes() {
		p.mesh.Partition(nil)
		p.gossip.Partition(nil)
	}
}

// subnet returns the third byte of an IPv4 address, which is 10 plus the index of
// the data centre, or 0 for other addresses.
func subnet(a net.Addr) int {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return 0
	}
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return 0
	}
	return int(ip[2])
}
