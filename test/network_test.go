package test

import (
	"net"
)

// partition drops TCP and UDP traffic in both directions between the given data
// centres and all others.
func (c *cluster) partition(cut ...string) {
	cutSubnets := make(map[int]bool)
	for _, dc := range cut {
		cutSubnets[c.dcSubnet(dc)] = true
	}
	for _, p := range c.processes() {
		vmIsCut := cutSubnets[c.dcSubnet(p.dc)]
		drop := func(source net.Addr) bool { return cutSubnets[subnet(source)] != vmIsCut }
		p.mesh.Partition(drop)
		p.gossip.Partition(drop)
	}
}

// dropOutgoing drops the traffic from a data centre to the others, but not the
// traffic in the opposite direction.
func (c *cluster) dropOutgoing(dc string) {
	sourceSubnet := c.dcSubnet(dc)
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

// subnet returns the third byte of an IPv4 address, which identifies the data centre
// of a VM (see dcSubnet), or 0 if a is not an IPv4 address.
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
