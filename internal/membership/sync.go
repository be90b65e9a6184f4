package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// Anti-entropy compares tables with one member at a time. A SyncDigest carries a
// digest of the whole table. If it differs, the other side answers with a
// print of two bytes of each of its records, gets the records that it lacks, and
// is asked for those that the first side lacks.

// Bounds of one comparison.
const (
	printSize     = 2   // bytes of a print
	maxPrints     = 500 // in a SyncFingerprints; a larger table is compared in parts
	syncDatagrams = 4   // SyncRecords from one side
	sampleMembers = 6   // named by a VM that has no bytes to spare
	manyLacking   = 4   // records that are asked for whatever the budget
	fewRecords    = 8   // records that are sent whatever the budget
	// comparison is what one side must have to spare, in bytes, so that the
	// prints are not sent in vain.
	comparison = (syncDatagrams + 1) * MaxDatagram
)

// digest hashes what anti-entropy makes equal everywhere. Suspicion is left
// out, since it passes by itself, and so are dead members, which each VM
// forgets in its own time. The salt of each comparison makes a collision of
// prints harmless: the next one tells the records apart.
func digest(r *Record, salt uint64) uint64 {
	b := make([]byte, 0, maxStringLen+3*8+1)
	b = append(b, r.ID...)
	b = binary.LittleEndian.AppendUint64(b, r.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, r.Beat)
	b = binary.LittleEndian.AppendUint64(b, salt)
	if r.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

func (m *Machine) root(salt uint64) uint64 {
	sum := digest(&m.self, salt)
	for _, mem := range m.circle {
		sum ^= digest(&mem.rec, salt)
	}
	return sum
}

// inPart reports whether a member belongs to the part of the table that a
// comparison with this salt covers, out of parts.
func inPart(ring, salt uint64, parts int) bool {
	return ring%uint64(parts) == salt%uint64(parts)
}

// prints returns the prints of a part of the table.
func (m *Machine) prints(salt uint64, parts int) []byte {
	var out []byte
	add := func(r *Record) { out = binary.LittleEndian.AppendUint16(out, uint16(digest(r, salt))) }
	if inPart(m.ring, salt, parts) {
		add(&m.self)
	}
	for _, mem := range m.circle {
		if inPart(mem.ring, salt, parts) && len(out) < maxPrints*printSize {
			add(&mem.rec)
		}
	}
	return out
}

// sync compares tables with one member. A member that has not proved to live is
// pinged instead, and compared with later.
func (m *Machine) sync(now time.Duration) {
	if now < m.nextSync {
		return
	}
	m.nextSync = now + m.timing.SyncInterval/2 + m.jitter(m.timing.SyncInterval)
	mem := m.syncPartner()
	if mem == nil {
		return
	}
	if !mem.trusts {
		m.probeMember(now, mem)
	}
	if !mem.verified {
		m.syncWith = mem.rec.ID
		return
	}
	m.syncWith = ""
	salt := m.rng.Uint64()
	m.send(mem.info.GossipAddr, Message{Kind: KindSyncDigest, To: mem.rec.ID, Salt: salt, Root: m.root(salt), Known: uint32(len(m.order))})
}

// syncPartner is the member that a comparison waits for, or a random one.
func (m *Machine) syncPartner() *member {
	if mem := m.members[m.syncWith]; mem != nil && !mem.dead() && mem.verified {
		return mem
	}
	chosen := m.pick(1, func(mem *member) bool { return !mem.dead() })
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// syncSoon brings the next comparison forward, as the last one found that this
// table was short of members. The delay gives a new partner time to verify this
// VM.
func (m *Machine) syncSoon(now time.Duration) {
	const delay = 100 * time.Millisecond
	m.nextSync = min(m.nextSync, now+delay+m.jitter(2*delay))
}

// answerRoot answers the digest of a whole table with prints, if it differs and
// there are bytes to spare or the other side knows more members.
func (m *Machine) answerRoot(mem *member, msg *Message) {
	if m.root(msg.Salt) == msg.Root {
		return
	}
	lacking := int(msg.Known) > len(m.order)
	switch {
	case m.budget.allowsBulk(comparison), lacking && m.budget.allowsRecords(MaxDatagram):
	case int(msg.Known) < len(m.order)/2:
		m.sendSample(mem)
		return
	default:
		return
	}
	parts := (len(m.circle) + maxPrints) / maxPrints
	m.sendPrints(mem, msg.Salt, parts, true)
}

func (m *Machine) sendPrints(to *member, salt uint64, parts int, ask bool) {
	m.send(to.info.GossipAddr, Message{
		Kind: KindSyncFingerprints, To: to.rec.ID, Salt: salt, Parts: uint32(parts), Prints: m.prints(salt, parts), Hello: ask,
	})
}

// sendSample names a few random members, of which the receiver can ask more
// when this VM has no bytes to spare and that one knows few. It passes the budget, since it is what
// takes the load of new members off the seeds.
func (m *Machine) sendSample(to *member) {
	msg := Message{Kind: KindSyncRecords, To: to.rec.ID}
	for _, mem := range m.pick(sampleMembers, func(mem *member) bool { return !mem.dead() && mem != to }) {
		msg.Updates = append(msg.Updates, mem.full())
	}
	if len(msg.Updates) > 0 {
		m.send(to.info.GossipAddr, msg)
	}
}

// answerPrints sends the records that the other side lacks, and asks for those
// that this side lacks.
func (m *Machine) answerPrints(mem *member, msg *Message) {
	parts := int(msg.Parts)
	theirs := make(map[uint16]bool, len(msg.Prints)/printSize)
	for p := range slices.Chunk(msg.Prints, printSize) {
		theirs[binary.LittleEndian.Uint16(p)] = true
	}
	lacking := m.recordsWithout(theirs, msg.Salt, parts)
	m.sendRecords(mem, lacking)
	if !msg.Hello {
		return
	}
	for p := range slices.Chunk(m.prints(msg.Salt, parts), printSize) {
		delete(theirs, binary.LittleEndian.Uint16(p))
	}
	if len(theirs) >= manyLacking || len(theirs) > 0 && m.budget.allowsRecords(MaxDatagram) {
		m.sendPrints(mem, msg.Salt, parts, false)
	}
}

// recordsWithout returns the full records of a part of the table that are not
// among the prints, and those of dead members that are, since the other side
// holds them for alive. The order is random.
func (m *Machine) recordsWithout(prints map[uint16]bool, salt uint64, parts int) []Record {
	var out []Record
	if inPart(m.ring, salt, parts) && !prints[uint16(digest(&m.self, salt))] {
		r, _ := m.record(m.self.ID, true)
		out = append(out, r)
	}
	for _, mem := range m.order {
		if !inPart(mem.ring, salt, parts) {
			continue
		}
		listed := prints[uint16(digest(&mem.rec, salt))]
		if listed == mem.dead() {
			out = append(out, mem.full())
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// correct answers records of members that the sender holds for alive and this
// VM for dead: prints alone don't show them to the side that holds them for dead.
func (m *Machine) correct(to *member, records []Record) {
	var dead []Record
	for i := range records {
		mem := m.members[records[i].ID]
		if mem != nil && mem.dead() && records[i].State != entity.VMDead {
			dead = append(dead, mem.full())
		}
	}
	m.sendRecords(to, dead)
}

// sendRecords sends records fragmented by members. What exceeds syncDatagrams or
// the budget is left for a later comparison; a few records always pass, so that
// tables grow equal also where the budget is spent.
func (m *Machine) sendRecords(to *member, records []Record) {
	few := len(records) <= fewRecords
	for sent := 0; len(records) > 0 && sent < syncDatagrams; sent++ {
		msg := Message{Kind: KindSyncRecords, To: to.rec.ID}
		size := msg.size()
		n := 0
		for n < len(records) && n < maxUpdates && size+records[n].size() <= MaxDatagram {
			size += records[n].size()
			n++
		}
		if !few && !m.budget.allowsRecords(size) {
			return
		}
		msg.Updates = records[:n]
		records = records[n:]
		m.send(to.info.GossipAddr, msg)
	}
}
