package membership

import (
	"slices"
	"time"
)

// receive handles an authenticated message. It drops messages that are addressed
// to another VM, carry this VM's own id as the sender, are replayed or stale, or
// come from an unverified sender.
func (m *Machine) receive(now time.Duration, msg *Message) {
	if msg.To != m.self.ID && msg.To != m.info.GossipAddr || msg.Self.ID == m.self.ID {
		m.drop(DropMisrouted)
		return
	}
	mem := m.members[msg.Self.ID]
	if mem == nil || !mem.verified {
		m.receiveUnverified(now, mem, msg)
		return
	}
	if reason := mem.window.observe(msg.Seq); reason != "" {
		m.drop(reason)
		return
	}
	m.accept(now, mem, msg)
}

// receiveUnverified handles a message of an unverified sender, which may be a
// replay. Only an Ack with a nonce of this VM proves that the sender is alive;
// until then the contents of messages are dropped, a Ping is acknowledged, and the
// sender is challenged by a ping.
func (m *Machine) receiveUnverified(now time.Duration, mem *member, msg *Message) {
	if msg.Kind == KindAck && msg.Target == "" && m.matchesProbe(msg) {
		m.verify(now, msg)
		return
	}
	m.drop(DropUnverified)
	addr := ""
	switch {
	case mem != nil:
		addr = mem.info.GossipAddr
	case msg.Self.Info != nil:
		addr = msg.Self.Info.GossipAddr
	default:
		return
	}
	if msg.Kind == KindPing {
		m.sendAck(mem, addr, msg)
	}
	if len(m.probes) < m.timing.MaxContactProbes && !m.hasProbe(msg.Self.ID, addr) {
		m.newProbe(now, msg.Self.ID, addr, stageContact, m.timing.AckTimeout)
	}
}

// matchesProbe reports whether an Ack carries the nonce of an open probe of its
// sender.
func (m *Machine) matchesProbe(msg *Message) bool {
	return slices.ContainsFunc(m.probes, func(p *probe) bool {
		return p.nonce == msg.Nonce && (p.id == "" || p.id == msg.Self.ID)
	})
}

// verify marks the sender of a matching Ack as verified and starts its replay
// window.
func (m *Machine) verify(now time.Duration, msg *Message) {
	if m.members[msg.Self.ID] == nil {
		m.addMember(now, msg.Self, true)
	}
	mem := m.members[msg.Self.ID]
	if mem == nil {
		m.drop(DropUnverified)
		return
	}
	mem.verified = true
	mem.window.reset(msg.Seq)
	m.replaceFormerProcess(now, mem)
	m.accept(now, mem, msg)
	if len(m.liveRing) <= m.timing.RingSuccessors || m.pendingSyncID == mem.rec.ID {
		m.expediteSync(now)
	}
}

// replaceFormerProcess suspects any other member with the address of mem, with an
// immediate deadline: mem answered from that address, so the former process has
// ended.
func (m *Machine) replaceFormerProcess(now time.Duration, mem *member) {
	for _, other := range slices.Clone(m.liveRing) {
		if other != mem && other.info.GossipAddr == mem.info.GossipAddr {
			other.rec.Leaving = true // no reconnect pings, and LeftRetention applies
			m.suspectMember(now, other)
			other.suspicionDeadline = now
		}
	}
	if !mem.dead() {
		m.byAddr[mem.info.GossipAddr] = mem
	}
}

// accept applies a message of a verified member and responds to it.
func (m *Machine) accept(now time.Duration, mem *member, msg *Message) {
	mem.verifiedUs = msg.ReceiverVerified
	m.apply(now, msg.Self, true)
	membersBefore := len(m.sortedByID)
	for _, r := range msg.Updates {
		m.apply(now, r, msg.Kind != KindSyncRecords)
	}
	switch msg.Kind {
	case KindPing:
		m.sendAck(mem, mem.info.GossipAddr, msg)
	case KindAck:
		m.handleAck(msg)
	case KindPingReq:
		m.handlePingReq(now, mem, msg)
	case KindSyncDigest:
		m.handleSyncDigest(mem, msg)
	case KindSyncFingerprints:
		m.handleSyncFingerprints(mem, msg)
	case KindSyncRecords:
		m.sendDeadRecords(mem, msg.Updates)
		if len(m.sortedByID) > membersBefore {
			m.expediteSync(now)
		}
	}
}

func (m *Machine) sendAck(mem *member, addr string, ping *Message) {
	msg := Message{Kind: KindAck, To: ping.Self.ID, Nonce: ping.Nonce}
	if ping.Pull || mem == nil || !mem.verified {
		msg.Self.Info = &m.info
	}
	m.attachUpdates(&msg, mem)
	m.send(addr, msg)
}

// handleAck closes the probes of the member that answered, and forwards the Ack to
// the member whose PingReq caused the ping, if any.
func (m *Machine) handleAck(msg *Message) {
	id := msg.Self.ID
	if msg.Target != "" {
		id = msg.Target
	}
	if slices.ContainsFunc(m.probes, func(p *probe) bool { return p.nonce == msg.Nonce && (p.id == id || p.id == "") }) {
		m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.id == id || p.nonce == msg.Nonce })
	}
	i := slices.IndexFunc(m.indirectPings, func(p indirectPing) bool { return p.nonce == msg.Nonce && p.target == id })
	if i < 0 {
		return
	}
	forwarded := m.indirectPings[i]
	m.indirectPings = slices.Delete(m.indirectPings, i, i+1)
	origin, target := m.members[forwarded.origin], m.members[id]
	if origin == nil || target == nil {
		return
	}
	reply := Message{Kind: KindAck, To: forwarded.origin, Nonce: forwarded.originNonce, Target: id, Updates: []Record{target.rec}}
	m.send(origin.info.GossipAddr, reply)
}

// handlePingReq pings a member on behalf of another one that got no Ack from it.
func (m *Machine) handlePingReq(now time.Duration, origin *member, msg *Message) {
	const maxIndirectPings = 64
	target := m.members[msg.Target]
	if target == nil || len(m.indirectPings) >= maxIndirectPings {
		return
	}
	p := indirectPing{
		nonce: m.rng.Uint64(), target: msg.Target, origin: origin.rec.ID, originNonce: msg.Nonce,
		deadline: now + m.timing.IndirectTimeout,
	}
	m.indirectPings = append(m.indirectPings, p)
	m.ping(msg.Target, target.info.GossipAddr, p.nonce)
}
