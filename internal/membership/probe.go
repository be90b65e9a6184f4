package membership

import (
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// probeStage determines what happens when a probe reaches its deadline.
type probeStage uint8

const (
	stageDirect    probeStage = iota // at the deadline, indirect probes are requested
	stageIndirect                    // at the deadline, the member is suspected
	stageContact                     // ends without effect: no live member was known at the address
	stageSuspected                   // ends without effect: the member is already suspected
)

// probe is a ping of this VM whose nonce has not been acknowledged yet.
type probe struct {
	nonce    uint64
	id       string // empty if only the address is known
	addr     string
	stage    probeStage
	deadline time.Duration
}

// indirectPing is a ping sent on behalf of another member, to which the Ack is
// forwarded.
type indirectPing struct {
	nonce       uint64 // of the ping of this VM
	target      string // id of the pinged member
	origin      string // id of the member that sent the PingReq
	originNonce uint64 // of the PingReq
	deadline    time.Duration
}

// newProbe registers a probe with a new nonce and sends its ping.
func (m *Machine) newProbe(now time.Duration, id, addr string, stage probeStage, timeout time.Duration) {
	p := &probe{nonce: m.rng.Uint64(), id: id, addr: addr, stage: stage, deadline: now + timeout}
	m.probes = append(m.probes, p)
	m.ping(id, addr, p.nonce)
}

// ping sends a Ping. If the table has no member with the id, the Ping is addressed
// to addr and requests the full record of the receiver.
func (m *Machine) ping(id, addr string, nonce uint64) {
	msg := Message{Kind: KindPing, To: id, Nonce: nonce}
	mem := m.members[id]
	if mem == nil {
		msg.To, msg.Pull = addr, true
	}
	// A receiver whose table may lack this VM needs the address in Info to send
	// the Ack to.
	if mem == nil || !mem.verifiedUs || !mem.alive() {
		msg.Self.Info = &m.info
	}
	m.attachUpdates(&msg, mem)
	m.send(addr, msg)
}

// hasProbe reports whether a probe of the member is open, apart from pings of a
// suspect. If id is empty, it reports whether any probe of the address is open.
func (m *Machine) hasProbe(id, addr string) bool {
	return slices.ContainsFunc(m.probes, func(p *probe) bool {
		return (id != "" && p.id == id && p.stage != stageSuspected) || (id == "" && p.addr == addr)
	})
}

func (m *Machine) probeRing(now time.Duration) {
	if now < m.nextProbe {
		return
	}
	m.nextProbe = max(m.nextProbe+m.timing.ProbeInterval, now+m.timing.ProbeInterval/2)
	for _, mem := range m.ringNeighbours(1) {
		m.probeMember(now, mem)
	}
}

func (m *Machine) probeMember(now time.Duration, mem *member) {
	if mem.dead() || mem.locallySuspected || m.hasProbe(mem.rec.ID, mem.info.GossipAddr) {
		return
	}
	m.newProbe(now, mem.rec.ID, mem.info.GossipAddr, stageDirect, m.timing.AckTimeout)
}

func (m *Machine) requestProbe(now time.Duration, id string) {
	if mem := m.members[id]; mem != nil {
		m.probeMember(now, mem)
	}
}

// expireProbes escalates the probes whose deadline has passed.
func (m *Machine) expireProbes(now time.Duration) {
	var remaining []*probe
	for _, p := range m.probes {
		if now < p.deadline || m.escalate(now, p) {
			remaining = append(remaining, p)
		}
	}
	m.probes = remaining
	m.indirectPings = slices.DeleteFunc(m.indirectPings, func(p indirectPing) bool { return now >= p.deadline })
}

// escalate handles a probe whose deadline has passed and reports whether it
// continues with another stage.
func (m *Machine) escalate(now time.Duration, p *probe) bool {
	mem := m.members[p.id]
	if mem == nil || mem.dead() {
		return false
	}
	switch p.stage {
	case stageDirect:
		p.stage = stageIndirect
		p.deadline = now + m.timing.IndirectTimeout
		m.requestIndirectProbes(p)
		m.ping(p.id, p.addr, p.nonce)
		return true
	case stageIndirect:
		m.suspectMember(now, mem)
	}
	return false
}

func (m *Machine) requestIndirectProbes(p *probe) {
	helpers := m.randomMembers(m.timing.IndirectProbes, func(h *member) bool {
		return h.alive() && h.acceptsGossip() && h.rec.ID != p.id
	})
	for _, h := range helpers {
		msg := Message{Kind: KindPingReq, To: h.rec.ID, Nonce: p.nonce, Target: p.id, TargetAddr: p.addr}
		m.attachUpdates(&msg, h)
		m.send(h.info.GossipAddr, msg)
	}
}

// suspectMember suspects a member on evidence of this VM: a failed probe, or another
// process at its address.
func (m *Machine) suspectMember(now time.Duration, mem *member) {
	m.declare(now, mem, entity.VMSuspect)
	if !mem.locallySuspected {
		mem.locallySuspected = true
		mem.suspicionDeadline = min(mem.suspicionDeadline, now+m.timing.SuspicionTimeout)
		mem.nextPing = now
	}
}

// expireSuspicions pings suspects, so that they can refute the suspicion, and
// declares them dead at their deadline.
func (m *Machine) expireSuspicions(now time.Duration) {
	var suspects []*member
	for _, mem := range m.liveRing {
		if mem.suspect() {
			suspects = append(suspects, mem)
		}
	}
	for _, mem := range suspects {
		switch {
		case now >= mem.suspicionDeadline:
			m.declare(now, mem, entity.VMDead)
		case mem.locallySuspected && now >= mem.nextPing:
			mem.nextPing = now + m.timing.SuspectPingInterval
			m.newProbe(now, mem.rec.ID, mem.info.GossipAddr, stageSuspected, m.timing.SuspicionTimeout)
		}
	}
}

// reconnect pings one address at which a VM may be alive although no live member is
// known there: a seed, or the address of a dead member that did not leave. This
// reconnects the fleet after a network partition.
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
	for _, mem := range m.sortedByID {
		if mem.dead() && !mem.rec.Leaving {
			targets = append(targets, target{mem.rec.ID, mem.info.GossipAddr})
		}
	}
	if len(targets) == 0 || len(m.probes) >= m.timing.MaxContactProbes {
		return
	}
	m.reconnectIndex++
	t := targets[m.reconnectIndex%len(targets)]
	if !m.hasProbe(t.id, t.addr) {
		m.newProbe(now, t.id, t.addr, stageContact, m.timing.AckTimeout+m.timing.IndirectTimeout)
	}
}
