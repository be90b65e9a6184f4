package membership

import (
	"slices"
	"time"
)

// receive takes an authentic message: it must be meant for this VM, be new, and
// come from a member that has proved to live now.
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
	if reason := mem.window.admit(msg.Seq); reason != "" {
		m.drop(reason)
		return
	}
	m.accept(now, mem, msg)
}

// receiveUnverified handles a sender whose datagrams may be replayed ones. Only
// an answer to a nonce of ours proves that it lives; until then a ping is
// answered, its content is dropped, and the sender is challenged.
func (m *Machine) receiveUnverified(now time.Duration, mem *member, msg *Message) {
	if msg.Kind == KindAck && msg.Target == "" && m.answers(msg) {
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
		m.ack(mem, addr, msg)
	}
	if len(m.probes) < m.timing.MaxContactProbes && !m.probing(msg.Self.ID, addr) {
		m.newProbe(now, msg.Self.ID, addr, stageContact, m.timing.AckTimeout)
	}
}

// answers reports whether an Ack carries a nonce of ours that is open for its
// sender.
func (m *Machine) answers(msg *Message) bool {
	return slices.ContainsFunc(m.probes, func(p *probe) bool {
		return p.nonce == msg.Nonce && (p.id == "" || p.id == msg.Self.ID)
	})
}

// verify opens the window of a sender that has answered a nonce.
func (m *Machine) verify(now time.Duration, msg *Message) {
	if m.members[msg.Self.ID] == nil {
		m.add(now, msg.Self, true)
	}
	mem := m.members[msg.Self.ID]
	if mem == nil {
		m.drop(DropUnverified)
		return
	}
	mem.verified = true
	mem.window.open(msg.Seq)
	m.supersede(now, mem)
	m.accept(now, mem, msg)
	if len(m.circle) <= m.timing.RingSuccessors || m.syncWith == mem.rec.ID {
		m.syncSoon(now)
	}
}

// supersede declares dead a former process at the address of one that answers
// there now.
func (m *Machine) supersede(now time.Duration, mem *member) {
	for _, other := range slices.Clone(m.circle) {
		if other != mem && other.info.GossipAddr == mem.info.GossipAddr {
			other.rec.Leaving = true // it is gone for sure
			m.suspectMember(now, other)
			other.deadline = now
		}
	}
	if !mem.dead() {
		m.byAddr[mem.info.GossipAddr] = mem
	}
}

// accept applies a new message of a verified member and answers it.
func (m *Machine) accept(now time.Duration, mem *member, msg *Message) {
	mem.trusts = msg.Trusts
	m.apply(now, msg.Self, true)
	known := len(m.order)
	for _, r := range msg.Updates {
		m.apply(now, r, msg.Kind != KindSyncRecords)
	}
	switch msg.Kind {
	case KindPing:
		m.ack(mem, mem.info.GossipAddr, msg)
	case KindAck:
		m.acked(msg)
	case KindPingReq:
		m.relayPing(now, mem, msg)
	case KindSyncDigest:
		m.answerRoot(mem, msg)
	case KindSyncFingerprints:
		m.answerPrints(mem, msg)
	case KindSyncRecords:
		m.correct(mem, msg.Updates)
		if len(m.order) > known {
			m.syncSoon(now)
		}
	}
}

func (m *Machine) ack(mem *member, addr string, ping *Message) {
	msg := Message{Kind: KindAck, To: ping.Self.ID, Nonce: ping.Nonce}
	if ping.Hello || mem == nil || !mem.verified {
		msg.Self.Info = &m.info
	}
	m.fill(&msg, mem)
	m.send(addr, msg)
}

// acked closes the probes of the member that answered and hands the answer on
// to members that had asked for it.
func (m *Machine) acked(msg *Message) {
	id := msg.Self.ID
	if msg.Target != "" {
		id = msg.Target
	}
	if slices.ContainsFunc(m.probes, func(p *probe) bool { return p.nonce == msg.Nonce && (p.id == id || p.id == "") }) {
		m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.id == id || p.nonce == msg.Nonce })
	}
	i := slices.IndexFunc(m.relays, func(r relay) bool { return r.nonce == msg.Nonce && r.target == id })
	if i < 0 {
		return
	}
	r := m.relays[i]
	m.relays = slices.Delete(m.relays, i, i+1)
	origin, target := m.members[r.origin], m.members[id]
	if origin == nil || target == nil {
		return
	}
	back := Message{Kind: KindAck, To: r.origin, Nonce: r.answer, Target: id, Updates: []Record{target.rec}}
	m.send(origin.info.GossipAddr, back)
}

// relayPing pings a member for another one that gets no answer from it.
func (m *Machine) relayPing(now time.Duration, origin *member, msg *Message) {
	const maxRelays = 64
	target := m.members[msg.Target]
	if target == nil || len(m.relays) >= maxRelays {
		return
	}
	r := relay{
		nonce: m.rng.Uint64(), target: msg.Target, origin: origin.rec.ID, answer: msg.Nonce,
		deadline: now + m.timing.IndirectTimeout,
	}
	m.relays = append(m.relays, r)
	m.ping(msg.Target, target.info.GossipAddr, r.nonce)
}
