package test

import (
	"net"
)

// partition cuts data centres off from all others, for TCP and datagrams both
// ways.
func (c *cluster) partition(cut ...string) {
	inside := make(map[int]bool)
	for _, dc := range cut {
		inside[10+c.dcIndex(dc)] = true
	}
	for _, p := range c.processes() {
		own := inside[10+c.dcIndex(p.dc)]
		picks := func(source net.Addr) bool { return inside[subnet(source)] != own }
		p.mesh.Partition(picks)
		p.gossip.Partition(picks)
	}
}

// oneWay drops what a data centre sends to the others; it still gets what they
// send.
func (c *cluster) oneWay(dc string) {
	mute := 10 + c.dcIndex(dc)
	for _, p := range c.processes() {
		if p.dc == dc {
			continue
		}
		picks := func(source net.Addr) bool { return subnet(source) == mute }
		p.mesh.Partition(picks)
		p.gossip.Partition(picks)
	}
}

func (c *cluster) heal() {
	for _, p := range c.processes() {
		p.mesh.Partition(nil)
		p.gossip.Partition(nil)
	}
}

// subnet returns the third number of an address, which tells the data centre.
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
