// Package membership keeps each VM's view of the fleet by probing and gossip
// over UDP, with a cost that does not grow with the fleet.
//
// Machine is the protocol as a pure state machine; Membership runs it over a
// Transport. Each VM probes its successors on a ring of hashed ids, asks helpers
// before it suspects one, and leaves a suspect time to refute. Updates are
// pushed on at the next tick after they are learnt, ride on probes a few more
// times, and what is still missed is found by comparing digests with one VM at
// a time.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Input is something that happens to a Machine: one of the types below.
type Input interface{ isInput() }

// The inputs of a Machine.
type (
	// Tick lets time pass. It is given every Timing.TickInterval.
	Tick struct{}
	// Received is an authentic datagram.
	Received struct{ Message *Message }
	// SetConfigVersion tells the configuration version in force here.
	SetConfigVersion struct{ Version uint64 }
	// SetPlatformReachable tells whether the platform answers this VM.
	SetPlatformReachable struct{ Reachable bool }
	// SetSeeds replaces the addresses that are tried while not known alive.
	SetSeeds struct{ Addrs []string }
	// RequestProbe asks for a probe of a member at once.
	RequestProbe struct{ ID string }
	// StartLeaving announces that this VM takes no new programs.
	StartLeaving struct{}
	// Stop announces that this VM is gone.
	Stop struct{}
)

func (Tick) isInput()                 {}
func (Received) isInput()             {}
func (SetConfigVersion) isInput()     {}
func (SetPlatformReachable) isInput() {}
func (SetSeeds) isInput()             {}
func (RequestProbe) isInput()         {}
func (StartLeaving) isInput()         {}
func (Stop) isInput()                 {}

// OutboundMessage is a message to an address.
type OutboundMessage struct {
	Addr    string
	Message Message
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	EventJoined EventKind = iota + 1
	EventSuspected
	EventRefuted // a suspect or dead member is alive after all
	EventLeaving
	EventDied
	EventRemoved
	EventUpdated // platform reachability or configuration version changed
	EventDropped // a message was dropped, for Reason
)

// DropReason tells why a datagram was dropped.
type DropReason string

// The reasons for dropping a datagram.
const (
	DropUnauthenticated DropReason = "foreign"    // not signed with a key of the fleet
	DropMalformed       DropReason = "malformed"  // signed, but no valid message
	DropMisrouted       DropReason = "misrouted"  // meant for another VM
	DropReplayed        DropReason = "replayed"   // its sequence number was seen
	DropStale           DropReason = "stale"      // its sequence number is too old
	DropUnverified      DropReason = "unverified" // its sender has not yet answered a nonce
)

// Event is a change of the view or a dropped message.
type Event struct {
	Kind   EventKind
	VM     entity.VM
	Reason DropReason
}

// Machine is the protocol's state on one VM. It performs no I/O, reads no clock
// and draws random numbers from its own seeded source only, so that equal
// inputs give equal outputs. It is not safe for concurrent use.
type Machine struct {
	timing  Timing
	rng     *rand.Rand
	self    Record
	info    Info
	ring    uint64
	seq     uint64
	stopped bool

	members map[string]*member
	order   []*member // by id
	circle  []*member // not dead, by ring position
	byAddr  map[string]*member

	probes []*probe
	relays []relay
	queue  updateQueue
	budget byteBudget
	seeds  []string

	lastTick, nextProbe, nextSync, nextReconnect, nextForget time.Duration
	reconnectAt                                              int
	syncWith                                                 string // member to compare tables with once it is verified

	sends  []OutboundMessage
	events []Event
}

// NewMachine returns a machine that knows only itself. Equal seeds give equal
// runs.
func NewMachine(self entity.VM, timing Timing, seed uint64, now time.Duration) *Machine {
	m := &Machine{
		timing: timing,
		rng:    rand.New(rand.NewPCG(seed, ringPosition(self.ID))),
		self: Record{
			ID: self.ID, Incarnation: max(1, self.Incarnation), State: entity.VMAlive,
			Leaving: self.State == entity.VMLeaving, Reachable: self.PlatformReachable, Config: self.ConfigVersion,
		},
		info:     Info{DC: self.DC, Region: self.Region, MeshAddr: self.MeshAddr, GossipAddr: self.GossipAddr},
		ring:     ringPosition(self.ID),
		members:  make(map[string]*member),
		byAddr:   make(map[string]*member),
		lastTick: now,
	}
	m.budget = byteBudget{rate: float64(timing.BytesPerSecond), burst: float64(timing.BurstBytes), tokens: float64(timing.BurstBytes), at: now}
	m.nextProbe = now + m.jitter(timing.ProbeInterval)
	m.nextSync = now + m.jitter(timing.SyncInterval)
	m.nextReconnect = now + m.jitter(timing.ReconnectInterval/4)
	return m
}

// jitter is a random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// Step applies one input at a reading of the monotonic clock. The returned
// slices are valid until the next Step.
func (m *Machine) Step(now time.Duration, in Input) ([]OutboundMessage, []Event) {
	m.sends, m.events = nil, nil
	m.budget.refill(now)
	if m.stopped {
		return nil, nil
	}
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, in.Message)
	case SetConfigVersion:
		m.setConfigVersion(in.Version)
	case SetPlatformReachable:
		m.setReachable(now, in.Reachable)
	case SetSeeds:
		m.seeds = slices.Clone(in.Addrs)
	case RequestProbe:
		m.hint(now, in.ID)
	case StartLeaving:
		m.startLeaving(now)
	case Stop:
		m.stop()
	}
	return m.sends, m.events
}

func (m *Machine) tick(now time.Duration) {
	m.forgivePause(now)
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.forgetDead(now)
	m.probeRing(now)
	m.reconnect(now)
	m.sync(now)
	m.pushFresh()
	m.queue.dropSent(now, len(m.circle)+1)
}

// forgivePause moves all deadlines by the length of a pause of this VM, since
// the answers it waits for lie unread.
func (m *Machine) forgivePause(now time.Duration) {
	gap := now - m.lastTick
	m.lastTick = now
	if gap < m.timing.PauseThreshold {
		return
	}
	for _, p := range m.probes {
		p.deadline += gap
	}
	for i := range m.relays {
		m.relays[i].deadline += gap
	}
	for _, mem := range m.order {
		if mem.suspect() {
			mem.deadline += gap
		}
	}
}

func (m *Machine) setConfigVersion(v uint64) {
	if v <= m.self.Config {
		return
	}
	m.self.Config = v
	m.emit(EventUpdated, m.vmSelf())
	// Every message carries the version, so an empty one is enough. Those
	// told fetch the document here and tell others in turn.
	for _, mem := range m.pick(m.timing.GossipFanout, (*member).contactable) {
		m.send(mem.info.GossipAddr, Message{Kind: KindGossip, To: mem.rec.ID})
	}
}

func (m *Machine) setReachable(now time.Duration, ok bool) {
	if ok == m.self.Reachable {
		return
	}
	m.self.Reachable = ok
	m.self.Beat++
	m.emit(EventUpdated, m.vmSelf())
	m.queue.add(now, m.self.ID, false)
}

func (m *Machine) startLeaving(now time.Duration) {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Incarnation++
	m.emit(EventLeaving, m.vmSelf())
	m.queue.add(now, m.self.ID, false)
	m.pushFresh()
}

// stop tells the VMs that probe this one and a few others that it is gone, so
// that they need not find out.
func (m *Machine) stop() {
	m.self.Leaving = true
	m.self.State = entity.VMDead
	m.emit(EventDied, m.vmSelf())
	told := append(m.pick(m.timing.GossipFanout, (*member).contactable), m.neighbours(-1)...)
	for _, mem := range told {
		m.send(mem.info.GossipAddr, Message{Kind: KindGossip, To: mem.rec.ID})
	}
	m.stopped = true
}

// View returns the entity of each known VM and of this one, by id.
func (m *Machine) View() []entity.VM {
	view := make([]entity.VM, 0, len(m.order)+1)
	for _, mem := range m.order {
		view = append(view, vm(mem.rec, mem.info))
	}
	at, _ := slices.BinarySearchFunc(view, m.self.ID, func(v entity.VM, id string) int { return cmp.Compare(v.ID, id) })
	return slices.Insert(view, at, m.vmSelf())
}

func (m *Machine) vmSelf() entity.VM { return vm(m.self, m.info) }

func (m *Machine) emit(kind EventKind, v entity.VM) {
	m.events = append(m.events, Event{Kind: kind, VM: v})
}

func (m *Machine) drop(reason DropReason) {
	m.events = append(m.events, Event{Kind: EventDropped, Reason: reason})
}

// send appends a message and charges it to the budget.
func (m *Machine) send(addr string, msg Message) {
	m.seq++
	msg.Seq = m.seq
	if mem := m.members[msg.To]; mem != nil {
		msg.Trusts = mem.verified
	}
	info := msg.Self.Info
	msg.Self = m.self
	msg.Self.Info = info
	m.budget.spend(msg.size() + headerSize)
	m.sends = append(m.sends, OutboundMessage{Addr: addr, Message: msg})
}

// selfTold reports whether this VM's latest update was sent to some members.
func (m *Machine) selfTold() bool { return m.queue.sentAtLeast(m.self.ID, 1) }
