package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// delivery is an input that a node receives at a given time.
type delivery struct {
	at    time.Duration
	order int    // order of creation, which breaks ties of at
	to    string // gossip address of the node
	in    Input
	bytes int // size of the datagram with IP and UDP headers; 0 if none
}

type deliveryHeap []delivery

func (h deliveryHeap) Len() int { return len(h) }
func (h deliveryHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h deliveryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deliveryHeap) Push(x any)   { *h = append(*h, x.(delivery)) }
func (h *deliveryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simNode is a machine on the simulated network.
type simNode struct {
	m                 *Machine
	id, addr, dc      string
	killed            bool
	pausedUntil       time.Duration
	waiting           []delivery // datagrams that arrived while paused
	sent, received    int        // bytes with IP and UDP headers
	dropped           map[DropReason]int
	diedAt            map[string]time.Duration // by member id: latest time it was declared dead
	deaths            map[string]int           // by member id: how often it was declared dead
	joins, suspicions int
	configAt          time.Duration // when the latest configuration version was in force
}

// simNet is a deterministic simulated network of machines with a simulated clock.
// It encodes each message to determine its size, and drops, duplicates and reorders
// datagrams with its seeded random source.
type simNet struct {
	now       time.Duration
	rng       *rand.Rand
	seed      uint64
	heap      deliveryHeap
	order     int
	nodes     []*simNode
	byAddr    map[string]*simNode
	timing    Timing
	loss      float64                      // probability that a datagram is lost
	duplicate float64                      // probability that a datagram is sent twice
	latency   time.Duration                // mean; each datagram takes up to twice as long
	blocked   func(from, to *simNode) bool // whether datagrams are dropped; none if nil
}

func newSimNet(seed uint64) *simNet {
	return &simNet{
		rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, byAddr: make(map[string]*simNode),
		timing: DefaultTiming(), latency: time.Millisecond,
	}
}

// add starts a node at the current time in one of three data centres.
func (s *simNet) add(seeds ...string) *simNode {
	i := len(s.nodes)
	id := fmt.Sprintf("vm-%03d-%08x", i, s.rng.Uint32())
	addr := fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1)
	dc := []string{"amman-a", "amman-b", "amman-c"}[i%3]
	self := entity.VM{ID: id, DC: dc, Region: "amman", MeshAddr: addr, GossipAddr: addr, PlatformReachable: true}
	n := &simNode{
		m: NewMachine(self, s.timing, s.seed+uint64(i), s.now), id: id, addr: addr, dc: dc,
		dropped: make(map[DropReason]int), deaths: make(map[string]int),
		diedAt: make(map[string]time.Duration),
	}
	s.nodes = append(s.nodes, n)
	s.byAddr[addr] = n
	s.step(n, SetSeeds{Addrs: seeds})
	s.push(delivery{at: s.now + time.Duration(s.rng.Int64N(int64(s.timing.TickInterval))), to: addr, in: Tick{}})
	return n
}

// fleet starts n nodes with the first three as seeds.
func (s *simNet) fleet(n int) {
	var seeds []string
	for i := range n {
		node := s.add(seeds...)
		if i < 3 {
			seeds = append(seeds, node.addr)
		}
	}
}

// warmFleet starts n nodes that have already verified each other.
func (s *simNet) warmFleet(n int) {
	for range n {
		s.add()
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a != b {
				info := b.m.info
				mem := &member{rec: b.m.self, info: info, ringPos: b.m.ringPos, verified: true, verifiedUs: true}
				mem.window.reset(0)
				a.m.members[b.id], a.m.byAddr[b.addr] = mem, mem
			}
		}
		a.m.reindex()
	}
}

func (s *simNet) push(d delivery) {
	s.order++
	d.order = s.order
	heap.Push(&s.heap, d)
}

// run advances the simulated time by d.
func (s *simNet) run(d time.Duration) {
	end := s.now + d
	for len(s.heap) > 0 && s.heap[0].at <= end {
		d := heap.Pop(&s.heap).(delivery)
		s.now = d.at
		s.deliver(d)
	}
	s.now = end
}

// runUntil advances the time until the condition holds, at most by d, and reports
// whether it holds.
func (s *simNet) runUntil(d time.Duration, cond func() bool) bool {
	for end := s.now + d; s.now < end; {
		if cond() {
			return true
		}
		s.run(s.timing.TickInterval)
	}
	return cond()
}

func (s *simNet) deliver(d delivery) {
	n := s.byAddr[d.to]
	if n == nil || n.killed {
		return
	}
	_, isTick := d.in.(Tick)
	if s.now < n.pausedUntil {
		if isTick {
			d.at = n.pausedUntil
			s.push(d)
		} else {
			n.waiting = append(n.waiting, d)
		}
		return
	}
	if isTick {
		s.push(delivery{at: s.now + s.timing.TickInterval, to: d.to, in: Tick{}})
	} else {
		n.received += d.bytes
	}
	s.step(n, d.in)
	for _, w := range n.waiting {
		n.received += w.bytes
		s.step(n, w.in)
	}
	n.waiting = nil
}

// step applies an input to a node, records its events and transmits its messages.
func (s *simNet) step(n *simNode, in Input) {
	sends, events := n.m.Step(s.now, in)
	for _, e := range events {
		switch e.Kind {
		case EventDropped:
			n.dropped[e.Reason]++
		case EventSuspected:
			n.suspicions++
		case EventUpdated:
			s.fetchConfig(n, e.VM)
		case EventJoined:
			n.joins++
		case EventDied:
			n.diedAt[e.VM.ID] = s.now
			n.deaths[e.VM.ID]++
		}
	}
	for i := range sends {
		s.transmit(n, &sends[i])
	}
}

// fetchConfig simulates that a node fetches a higher configuration version that it
// received, which takes two round trips.
func (s *simNet) fetchConfig(n *simNode, updated entity.VM) {
	switch {
	case updated.ID == n.id:
		n.configAt = s.now
	case updated.ConfigVersion > n.m.self.Config:
		s.push(delivery{at: s.now + 4*s.latency, to: n.addr, in: SetConfigVersion{Version: updated.ConfigVersion}})
	}
}

func (s *simNet) transmit(from *simNode, send *OutboundMessage) {
	body, err := marshal(&send.Message)
	if err != nil {
		panic(err)
	}
	bytes := len(body) + macSize + headerSize
	if bytes > MaxDatagram+headerSize {
		panic(fmt.Sprintf("datagram of %d bytes", bytes))
	}
	from.sent += bytes
	to := s.byAddr[send.Addr]
	if to == nil || s.blocked != nil && s.blocked(from, to) {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplicate {
		copies++
	}
	for range copies {
		if s.rng.Float64() < s.loss {
			continue
		}
		msg, err := decodeBody(body)
		if err != nil {
			panic(err)
		}
		at := s.now + time.Duration(s.rng.Int64N(int64(2*s.latency)))
		s.push(delivery{at: at, to: send.Addr, in: Received{Message: msg}, bytes: bytes})
	}
}

// seedAll sets the addresses of all nodes as seeds of all live nodes, as an
// up-to-date VM list does.
func (s *simNet) seedAll() {
	var addrs []string
	for _, n := range s.nodes {
		addrs = append(addrs, n.addr)
	}
	for _, n := range s.alive() {
		s.step(n, SetSeeds{Addrs: addrs})
	}
}

// alive returns the nodes that were not killed.
func (s *simNet) alive() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if !n.killed {
			out = append(out, n)
		}
	}
	return out
}

// converged reports whether in the view of each live node exactly the live nodes are
// alive.
func (s *simNet) converged() bool {
	living := s.alive()
	for _, n := range living {
		seen := 0
		for _, mem := range n.m.liveRing {
			if !mem.alive() || s.byAddr[mem.info.GossipAddr].killed {
				return false
			}
			seen++
		}
		if seen != len(living)-1 {
			return false
		}
	}
	return true
}

// viewErrors lists the differences between the views of live nodes and the actual
// states.
func (s *simNet) viewErrors() string {
	var b strings.Builder
	for _, n := range s.alive() {
		for _, other := range s.nodes {
			mem := n.m.members[other.id]
			switch {
			case other == n || mem == nil && other.killed:
			case mem == nil:
				fmt.Fprintf(&b, "%s is missing %s\n", n.id, other.id)
			case mem.alive() == other.killed || mem.suspect():
				fmt.Fprintf(&b, "%s has %s (killed: %v, incarnation %d) as %+v\n", n.id, other.id, other.killed, other.m.self.Incarnation, mem)
			}
		}
	}
	return b.String()
}

// seenDeadByAll reports whether a node is dead in the views of all live nodes.
func (s *simNet) seenDeadByAll(id string) bool {
	for _, n := range s.alive() {
		if mem := n.m.members[id]; n.id != id && (mem == nil || !mem.dead()) {
			return false
		}
	}
	return true
}
