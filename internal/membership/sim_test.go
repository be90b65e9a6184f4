package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// delivery is an input for a node at a time.
type delivery struct {
	at    time.Duration
	order int
	to    string // address
	in    Input
	bytes int
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
	pausedTill        time.Duration
	waiting           []delivery // datagrams that arrived while paused
	sent, received    int        // bytes with IP and UDP headers
	dropped           map[DropReason]int
	diedAt            map[string]time.Duration // by id of the member, last time seen
	deaths            map[string]int
	joins, suspicions int
	configAt          time.Duration // when the latest configuration version was in force
}

// simNet is a deterministic network of machines under a simulated clock. It
// encodes each message for its size, and loses, repeats and reorders datagrams
// by its seeded source.
type simNet struct {
	now       time.Duration
	rng       *rand.Rand
	seed      uint64
	heap      deliveryHeap
	order     int
	nodes     []*simNode
	byAddr    map[string]*simNode
	timing    Timing
	loss      float64
	duplicate float64
	latency   time.Duration // each datagram takes up to twice this
	cut       func(from, to *simNode) bool
}

func newSimNet(seed uint64) *simNet {
	return &simNet{
		rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, byAddr: make(map[string]*simNode),
		timing: DefaultTiming(), latency: time.Millisecond,
	}
}

// add starts a node at the present time, in one of three data centres.
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
	s.give(n, SetSeeds{Addrs: seeds})
	s.push(delivery{at: s.now + time.Duration(s.rng.Int64N(int64(s.timing.TickInterval))), to: addr, in: Tick{}})
	return n
}

// fleet starts n nodes that know the first three as seeds.
func (s *simNet) fleet(n int) {
	var seeds []string
	for i := range n {
		node := s.add(seeds...)
		if i < 3 {
			seeds = append(seeds, node.addr)
		}
	}
}

// warmFleet starts n nodes that have known and verified each other for long.
func (s *simNet) warmFleet(n int) {
	for range n {
		s.add()
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a != b {
				info := b.m.info
				mem := &member{rec: b.m.self, info: info, ring: b.m.ring, verified: true, trusts: true}
				mem.window.open(0)
				a.m.members[b.id], a.m.byAddr[b.addr] = mem, mem
			}
		}
		a.m.index()
	}
}

func (s *simNet) push(d delivery) {
	s.order++
	d.order = s.order
	heap.Push(&s.heap, d)
}

// run lets time pass.
func (s *simNet) run(d time.Duration) {
	end := s.now + d
	for len(s.heap) > 0 && s.heap[0].at <= end {
		d := heap.Pop(&s.heap).(delivery)
		s.now = d.at
		s.deliver(d)
	}
	s.now = end
}

// runUntil reports whether the condition came true within d.
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
	if s.now < n.pausedTill {
		if isTick {
			d.at = n.pausedTill
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
	s.give(n, d.in)
	for _, w := range n.waiting {
		n.received += w.bytes
		s.give(n, w.in)
	}
	n.waiting = nil
}

// give steps a node and puts what it sends on the network.
func (s *simNet) give(n *simNode, in Input) {
	sends, events := n.m.Step(s.now, in)
	for _, e := range events {
		switch e.Kind {
		case EventDropped:
			n.dropped[e.Reason]++
		case EventSuspected:
			n.suspicions++
		case EventUpdated:
			s.follow(n, e.VM)
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

// follow lets a node fetch a higher configuration version that it hears of,
// which takes two round trips.
func (s *simNet) follow(n *simNode, heard entity.VM) {
	switch {
	case heard.ID == n.id:
		n.configAt = s.now
	case heard.ConfigVersion > n.m.self.Config:
		s.push(delivery{at: s.now + 4*s.latency, to: n.addr, in: SetConfigVersion{Version: heard.ConfigVersion}})
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
	if to == nil || s.cut != nil && s.cut(from, to) {
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

// listAll gives all nodes the addresses of all, as a VM list without lag.
func (s *simNet) listAll() {
	var addrs []string
	for _, n := range s.nodes {
		addrs = append(addrs, n.addr)
	}
	for _, n := range s.alive() {
		s.give(n, SetSeeds{Addrs: addrs})
	}
}

// alive are the nodes that were not killed.
func (s *simNet) alive() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if !n.killed {
			out = append(out, n)
		}
	}
	return out
}

// converged reports whether each node sees exactly the living ones as alive.
func (s *simNet) converged() bool {
	living := s.alive()
	for _, n := range living {
		seen := 0
		for _, mem := range n.m.circle {
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

// describe lists what living nodes wrongly hold for not alive or for living.
func (s *simNet) describe() string {
	var b strings.Builder
	for _, n := range s.alive() {
		for _, other := range s.nodes {
			mem := n.m.members[other.id]
			switch {
			case other == n || mem == nil && other.killed:
			case mem == nil:
				fmt.Fprintf(&b, "%s does not know %s\n", n.id, other.id)
			case mem.alive() == other.killed || mem.suspect():
				fmt.Fprintf(&b, "%s holds %s (killed: %v, incarnation %d) for %+v\n", n.id, other.id, other.killed, other.m.self.Incarnation, mem)
			}
		}
	}
	return b.String()
}

// knownDead reports whether all living nodes see a node as dead.
func (s *simNet) knownDead(id string) bool {
	for _, n := range s.alive() {
		if mem := n.m.members[id]; n.id != id && (mem == nil || !mem.dead()) {
			return false
		}
	}
	return true
}
