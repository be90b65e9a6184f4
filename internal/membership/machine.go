// Package membership maintains each VM's view of the fleet: which VMs exist and
// which of them are alive. It uses a SWIM-like protocol over UDP whose cost per
// VM does not grow with the fleet.
//
// Machine is the protocol as a pure state machine; Membership runs it over a
// Transport. Each VM probes its successors on a ring of hashed ids. If one does
// not answer, other members probe it indirectly before it is suspected, and a
// suspect has time to refute the suspicion. Updates are sent to a few members at
// the next tick and piggybacked on probes a few more times. Anti-entropy, which
// compares digests with one VM at a time, repairs what gossip missed.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Input is an input of Machine.Step: one of the types below.
type Input interface{ isInput() }

// The inputs of a Machine.
type (
	// Tick runs the timers. The caller applies it every Timing.TickInterval.
	Tick struct{}
	// Received is a message of an authenticated datagram.
	Received struct{ Message *Message }
	// SetConfigVersion sets the configuration version in force on this VM.
	SetConfigVersion struct{ Version uint64 }
	// SetPlatformReachable sets whether this VM can reach the platform.
	SetPlatformReachable struct{ Reachable bool }
	// SetSeeds replaces the seeds: addresses that are pinged while no live
	// member is known there.
	SetSeeds struct{ Addrs []string }
	// RequestProbe starts a probe of a member immediately.
	RequestProbe struct{ ID string }
	// StartLeaving announces that this VM accepts no new programs.
	StartLeaving struct{}
	// Stop announces that this VM has shut down.
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

// OutboundMessage is a message and the gossip address to send it to.
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
	EventRefuted // a suspect or dead member is alive with a higher incarnation
	EventLeaving
	EventDied    // a member was declared dead
	EventRemoved // a dead member was removed from the view
	EventUpdated // incarnation, platform reachability or configuration version changed
	EventDropped // a message was dropped; Event.Reason says why
)

// DropReason is the reason why a datagram was dropped.
type DropReason string

// The reasons for dropping a datagram.
const (
	DropUnauthenticated DropReason = "foreign"    // not signed with a fleet key
	DropMalformed       DropReason = "malformed"  // signed, but not a valid message
	DropMisrouted       DropReason = "misrouted"  // addressed to another VM
	DropReplayed        DropReason = "replayed"   // its sequence number was received before
	DropStale           DropReason = "stale"      // its sequence number is below the replay window
	DropUnverified      DropReason = "unverified" // its sender has not yet answered a challenge (nonce)
)

// Event reports a change of the view or a dropped message. Reason is set only for
// EventDropped, and VM for all other kinds.
type Event struct {
	Kind   EventKind
	VM     entity.VM
	Reason DropReason
}

// Machine is the protocol's state on one VM. It performs no I/O, reads no clock
// and draws random numbers only from its own seeded source, so that it is
// deterministic. It is not safe for concurrent use.
type Machine struct {
	timing  Timing
	rng     *rand.Rand
	self    Record // of this VM, without Info
	info    Info   // of this VM
	ringPos uint64 // of this VM
	seq     uint64 // sequence number of the last message sent
	stopped bool

	// The table: all members except this VM, dead ones included until purged.
	members    map[string]*member // by id
	sortedByID []*member
	liveRing   []*member          // alive and suspect members, sorted by ring position
	byAddr     map[string]*member // alive and suspect members, by gossip address

	probes        []*probe
	indirectPings []indirectPing
	queue         updateQueue
	budget        byteBudget
	seeds         []string

	lastTick, nextProbe, nextSync, nextReconnect, nextPurge time.Duration
	reconnectIndex                                          int
	pendingSyncID                                           string // member to sync with once it is verified

	sends  []OutboundMessage
	events []Event
}

// NewMachine returns a machine whose view contains only its own VM. Machines with
// equal seeds and inputs behave identically.
func NewMachine(self entity.VM, timing Timing, seed uint64, now time.Duration) *Machine {
	m := &Machine{
		timing: timing,
		rng:    rand.New(rand.NewPCG(seed, ringPosition(self.ID))),
		self: Record{
			ID: self.ID, Incarnation: max(1, self.Incarnation), State: entity.VMAlive,
			Leaving: self.State == entity.VMLeaving, Reachable: self.PlatformReachable, Config: self.ConfigVersion,
		},
		info:     Info{DC: self.DC, Region: self.Region, MeshAddr: self.MeshAddr, GossipAddr: self.GossipAddr},
		ringPos:  ringPosition(self.ID),
		members:  make(map[string]*member),
		byAddr:   make(map[string]*member),
		lastTick: now,
	}
	m.budget = byteBudget{rate: float64(timing.BytesPerSecond), burst: float64(timing.BurstBytes), tokens: float64(timing.BurstBytes), refilledAt: now}
	m.nextProbe = now + m.jitter(timing.ProbeInterval)
	m.nextSync = now + m.jitter(timing.SyncInterval)
	m.nextReconnect = now + m.jitter(timing.ReconnectInterval/4)
	return m
}

// jitter returns a random duration in [0, d).
func (m *Machine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// Step applies one input at a monotonic time. The returned slices are valid
// until the next Step. Once Stop was applied, later inputs have no effect.
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
		m.setPlatformReachable(now, in.Reachable)
	case SetSeeds:
		m.seeds = slices.Clone(in.Addrs)
	case RequestProbe:
		m.requestProbe(now, in.ID)
	case StartLeaving:
		m.startLeaving(now)
	case Stop:
		m.stop()
	}
	return m.sends, m.events
}

func (m *Machine) tick(now time.Duration) {
	m.compensatePause(now)
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.purgeDead(now)
	m.probeRing(now)
	m.reconnect(now)
	m.sync(now)
	m.pushUnsent()
	m.queue.removeSent(now, len(m.liveRing)+1)
}

// compensatePause detects from the time since the last tick that this VM or its
// process was paused, and extends all deadlines by that time: replies may have
// arrived during the pause and not been read yet.
func (m *Machine) compensatePause(now time.Duration) {
	elapsed := now - m.lastTick
	m.lastTick = now
	if elapsed < m.timing.PauseThreshold {
		return
	}
	for _, p := range m.probes {
		p.deadline += elapsed
	}
	for i := range m.indirectPings {
		m.indirectPings[i].deadline += elapsed
	}
	for _, mem := range m.sortedByID {
		if mem.suspect() {
			mem.suspicionDeadline += elapsed
		}
	}
}

func (m *Machine) setConfigVersion(v uint64) {
	if v <= m.self.Config {
		return
	}
	m.self.Config = v
	m.emit(EventUpdated, m.vmSelf())
	// Every message carries the sender's version, so an empty one is enough.
	// The receivers fetch the document from this VM and then announce the
	// version to others in turn.
	for _, mem := range m.randomMembers(m.timing.GossipFanout, (*member).acceptsGossip) {
		m.send(mem.info.GossipAddr, Message{Kind: KindGossip, To: mem.rec.ID})
	}
}

func (m *Machine) setPlatformReachable(now time.Duration, reachable bool) {
	if reachable == m.self.Reachable {
		return
	}
	m.self.Reachable = reachable
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
	m.pushUnsent()
}

// stop announces the shutdown to the VMs that probe this one and to a few others,
// so that they need not detect it by failed probes.
func (m *Machine) stop() {
	m.self.Leaving = true
	m.self.State = entity.VMDead
	m.emit(EventDied, m.vmSelf())
	recipients := append(m.randomMembers(m.timing.GossipFanout, (*member).acceptsGossip), m.ringNeighbours(-1)...)
	for _, mem := range recipients {
		m.send(mem.info.GossipAddr, Message{Kind: KindGossip, To: mem.rec.ID})
	}
	m.stopped = true
}

// View returns this VM and all members in the table, sorted by id.
func (m *Machine) View() []entity.VM {
	view := make([]entity.VM, 0, len(m.sortedByID)+1)
	for _, mem := range m.sortedByID {
		view = append(view, vm(mem.rec, mem.info))
	}
	i, _ := slices.BinarySearchFunc(view, m.self.ID, func(v entity.VM, id string) int { return cmp.Compare(v.ID, id) })
	return slices.Insert(view, i, m.vmSelf())
}

func (m *Machine) vmSelf() entity.VM { return vm(m.self, m.info) }

func (m *Machine) emit(kind EventKind, v entity.VM) {
	m.events = append(m.events, Event{Kind: kind, VM: v})
}

func (m *Machine) drop(reason DropReason) {
	m.events = append(m.events, Event{Kind: EventDropped, Reason: reason})
}

// send completes a message, appends it to the outbound messages and charges its
// size to the byte budget.
func (m *Machine) send(addr string, msg Message) {
	m.seq++
	msg.Seq = m.seq
	if mem := m.members[msg.To]; mem != nil {
		msg.ReceiverVerified = mem.verified
	}
	info := msg.Self.Info
	msg.Self = m.self
	msg.Self.Info = info
	m.budget.spend(msg.size() + headerSize)
	m.sends = append(m.sends, OutboundMessage{Addr: addr, Message: msg})
}

// selfAnnounced reports whether this VM's latest update was sent at least once.
func (m *Machine) selfAnnounced() bool { return m.queue.sentAtLeast(m.self.ID, 1) }
