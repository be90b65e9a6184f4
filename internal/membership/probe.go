package membership

import (
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// probeStage tells what happens when a probe runs into its deadline.
type probeStage uint8

const (
	stageDirect    probeStage = iota // helpers are asked
	stageIndirect                    // the member becomes suspect
	stageContact                     // nothing: the address was not known alive
	stageConfirmed                   // nothing: the member is suspect already
)

// probe is a nonce of ours that waits for its answer.
type probe struct {
	nonce    uint64
	id       string // empty while only the address is known
	addr     string
	stage    probeStage
	deadline time.Duration
}

// relay is a ping sent for another member, whose answer goes back to it.
type relay struct {
	nonce    uint64 // ours
	target   string
	origin   string // id of the member that asked
	answer   uint64 // its nonce
	deadline time.Duration
}

// newProbe registers a nonce and sends the ping.
func (m *Machine) newProbe(now time.Duration, id, addr string, stage probeStage, timeout time.Duration) {
	p := &probe{nonce: m.rng.Uint64(), id: id, addr: addr, stage: stage, deadline: now + timeout}
	m.probes = append(m.probes, p)
	m.ping(id, addr, p.nonce)
}

// ping sends a Ping; to an address that is not known it tells all about this
// VM and asks for the same.
func (m *Machine) ping(id, addr string, nonce uint64) {
	msg := Message{Kind: KindPing, To: id, Nonce: nonce}
	mem := m.members[id]
	if mem == nil {
		msg.To, msg.Hello = addr, true
	}
	// A member that may not know this VM, or has forgotten it, needs the
	// address to answer to.
	if mem == nil || !mem.trusts || !mem.alive() {
		msg.Self.Info = &m.info
	}
	m.fill(&msg, mem)
	m.send(addr, msg)
}

func (m *Machine) probing(id, addr string) bool {
	return slices.ContainsFunc(m.probes, func(p *probe) bool {
		return (id != "" && p.id == id && p.stage != stageConfirmed) || (id == "" && p.addr == addr)
	})
}

func (m *Machine) probeRing(now time.Duration) {
	if now < m.nextProbe {
		return
	}
	m.nextProbe = max(m.nextProbe+m.timing.ProbeInterval, now+m.timing.ProbeInterval/2)
	for _, mem := range m.neighbours(1) {
		m.probeMember(now, mem)
	}
}

func (m *Machine) probeMember(now time.Duration, mem *member) {
	if mem.dead() || mem.witnessed || m.probing(mem.rec.ID, mem.info.GossipAddr) {
		return
	}
	m.newProbe(now, mem.rec.ID, mem.info.GossipAddr, stageDirect, m.timing.AckTimeout)
}

func (m *Machine) hint(now time.Duration, id string) {
	if mem := m.members[id]; mem != nil {
		m.probeMember(now, mem)
	}
}

// expireProbes moves each overdue probe to its next stage.
func (m *Machine) expireProbes(now time.Duration) {
	var kept []*probe
	for _, p := range m.probes {
		if now < p.deadline || m.escalate(now, p) {
			kept = append(kept, p)
		}
	}
	m.probes = kept
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now >= r.deadline })
}

// escalate reports whether the probe goes on.
func (m *Machine) escalate(now time.Duration, p *probe) bool {
	mem := m.members[p.id]
	if mem == nil || mem.dead() {
		return false
	}
	switch p.stage {
	case stageDirect:
		p.stage = stageIndirect
		p.deadline = now + m.timing.IndirectTimeout
		m.askHelpers(p)
		m.ping(p.id, p.addr, p.nonce)
		return true
	case stageIndirect:
		m.suspectMember(now, mem)
	}
	return false
}

func (m *Machine) askHelpers(p *probe) {
	helpers := m.pick(m.timing.IndirectProbes, func(h *member) bool {
		return h.alive() && h.contactable() && h.rec.ID != p.id
	})
	for _, h := range helpers {
		msg := Message{Kind: KindPingReq, To: h.rec.ID, Nonce: p.nonce, Target: p.id, TargetAddr: p.addr}
		m.fill(&msg, h)
		m.send(h.info.GossipAddr, msg)
	}
}

// suspectMember starts a suspicion on a failed probe of our own.
func (m *Machine) suspectMember(now time.Duration, mem *member) {
	m.declare(now, mem, entity.VMSuspect)
	if !mem.witnessed {
		mem.witnessed = true
		mem.deadline = min(mem.deadline, now+m.timing.SuspicionTimeout)
		mem.nextPing = now
	}
}

// expireSuspicions gives suspects the chance to refute, then declares them
// dead.
func (m *Machine) expireSuspicions(now time.Duration) {
	var suspects []*member
	for _, mem := range m.circle {
		if mem.suspect() {
			suspects = append(suspects, mem)
		}
	}
	for _, mem := range suspects {
		switch {
		case now >= mem.deadline:
			m.declare(now, mem, entity.VMDead)
		case mem.witnessed && now >= mem.nextPing:
			mem.nextPing = now + m.timing.SuspectPingInterval
			m.newProbe(now, mem.rec.ID, mem.info.GossipAddr, stageConfirmed, m.timing.SuspicionTimeout)
		}
	}
}

// reconnect pings one address that should be alive but is not known to be: a
// seed or a member that is dead here, which heals partitions.
func (m *Machine) reconnect(now time.Duration) {
	if now < m.nextReconnect {
		return
	}
	m.nextReconnect = now + m.timing.ReconnectInterval
	type target struct{ id, addr string }
	var targets []target
	for _, addr := range m.seeds {
		if addr != m.info.GossipAddr && m.byAddr[addr] == nil {
			targets = append(targets, target{addr: addr})
		}
	}
	for _, mem := range m.order {
		if mem.dead() && !mem.rec.Leaving {
			targets = append(targets, target{mem.rec.ID, mem.info.GossipAddr})
		}
	}
	if len(targets) == 0 || len(m.probes) >= m.timing.MaxContactProbes {
		return
	}
	m.reconnectAt++
	t := targets[m.reconnectAt%len(targets)]
	if !m.probing(t.id, t.addr) {
		m.newProbe(now, t.id, t.addr, stageContact, m.timing.AckTimeout+m.timing.IndirectTimeout)
	}
}
