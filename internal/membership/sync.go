package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// Anti-entropy compares tables with one member at a time. A SyncDigest carries a
// digest of the sender's whole table. If it differs from the receiver's, the
// receiver answers with a fingerprint of two bytes for each of its records. The
// first side then sends the records that the receiver lacks, and its own
// fingerprints to request those that it lacks itself.

// Limits of one table comparison.
const (
	fingerprintSize      = 2   // bytes
	maxFingerprints      = 500 // in a SyncFingerprints; a larger table is compared in partitions
	maxSyncDatagrams     = 4   // SyncRecords datagrams from one side
	sampleSize           = 6   // members in the sample that is sent instead of fingerprints
	minUnbudgetedRequest = 4   // missing records from which on the request ignores the budget
	maxUnbudgetedRecords = 8   // records up to which sending them ignores the budget
	// minSyncBytes is the byte budget that one side needs before it sends
	// fingerprints, since they are useless if the records can't follow.
	minSyncBytes = (maxSyncDatagrams + 1) * MaxDatagram
)

// recordDigest hashes the fields that anti-entropy makes equal in all tables.
// Suspicion is excluded, since it ends by itself, and so are dead members, which
// each VM removes at a different time. Each comparison has its own salt, so that
// records whose fingerprints collide differ in the next one.
func recordDigest(r *Record, salt uint64) uint64 {
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

func (m *Machine) tableDigest(salt uint64) uint64 {
	sum := recordDigest(&m.self, salt)
	for _, mem := range m.liveRing {
		sum ^= recordDigest(&mem.rec, salt)
	}
	return sum
}

// inPartition reports whether a member belongs to the partition that a comparison
// with this salt covers.
func inPartition(ringPos, salt uint64, partitions int) bool {
	return ringPos%uint64(partitions) == salt%uint64(partitions)
}

// fingerprints returns the fingerprints of the records in a partition.
func (m *Machine) fingerprints(salt uint64, partitions int) []byte {
	var out []byte
	add := func(r *Record) { out = binary.LittleEndian.AppendUint16(out, uint16(recordDigest(r, salt))) }
	if inPartition(m.ringPos, salt, partitions) {
		add(&m.self)
	}
	for _, mem := range m.liveRing {
		if inPartition(mem.ringPos, salt, partitions) && len(out) < maxFingerprints*fingerprintSize {
			add(&mem.rec)
		}
	}
	return out
}

// sync starts a table comparison with one member. An unverified member is pinged
// instead and compared with later.
func (m *Machine) sync(now time.Duration) {
	if now < m.nextSync {
		return
	}
	m.nextSync = now + m.timing.SyncInterval/2 + m.jitter(m.timing.SyncInterval)
	mem := m.syncPartner()
	if mem == nil {
		return
	}
	if !mem.verifiedUs {
		m.probeMember(now, mem)
	}
	if !mem.verified {
		m.pendingSyncID = mem.rec.ID
		return
	}
	m.pendingSyncID = ""
	salt := m.rng.Uint64()
	m.send(mem.info.GossipAddr, Message{Kind: KindSyncDigest, To: mem.rec.ID, Salt: salt, Root: m.tableDigest(salt), Known: uint32(len(m.sortedByID))})
}

// syncPartner returns the member whose verification a comparison waited for, if it
// is verified now, or else a random one.
func (m *Machine) syncPartner() *member {
	if mem := m.members[m.pendingSyncID]; mem != nil && !mem.dead() && mem.verified {
		return mem
	}
	chosen := m.randomMembers(1, func(mem *member) bool { return !mem.dead() })
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// expediteSync advances the next comparison, because this table was found to lack
// members. The delay gives a new partner time to verify this VM.
func (m *Machine) expediteSync(now time.Duration) {
	const delay = 100 * time.Millisecond
	m.nextSync = min(m.nextSync, now+delay+m.jitter(2*delay))
}

// handleSyncDigest answers a SyncDigest with fingerprints if the tables differ and
// the byte budget suffices; the budget needed is smaller if the other side knows
// more members. Otherwise it sends a sample if the other side knows few members.
func (m *Machine) handleSyncDigest(mem *member, msg *Message) {
	if m.tableDigest(msg.Salt) == msg.Root {
		return
	}
	knowsMore := int(msg.Known) > len(m.sortedByID)
	switch {
	case m.budget.allowsSync(minSyncBytes), knowsMore && m.budget.allowsSyncRecords(MaxDatagram):
	case int(msg.Known) < len(m.sortedByID)/2:
		m.sendSample(mem)
		return
	default:
		return
	}
	partitions := (len(m.liveRing) + maxFingerprints) / maxFingerprints
	m.sendFingerprints(mem, msg.Salt, partitions, true)
}

func (m *Machine) sendFingerprints(to *member, salt uint64, partitions int, requestReply bool) {
	m.send(to.info.GossipAddr, Message{
		Kind: KindSyncFingerprints, To: to.rec.ID, Salt: salt, Parts: uint32(partitions), Prints: m.fingerprints(salt, partitions), Hello: requestReply,
	})
}

// sendSample sends the records of a few random members with which the receiver can
// sync instead, for when this VM has no byte budget left and the receiver knows
// few members. It ignores the budget, since it diverts the load of new members
// from the seeds.
func (m *Machine) sendSample(to *member) {
	msg := Message{Kind: KindSyncRecords, To: to.rec.ID}
	for _, mem := range m.randomMembers(sampleSize, func(mem *member) bool { return !mem.dead() && mem != to }) {
		msg.Updates = append(msg.Updates, mem.full())
	}
	if len(msg.Updates) > 0 {
		m.send(to.info.GossipAddr, msg)
	}
}

// handleSyncFingerprints sends the records that the other side lacks. If that side
// asked for a reply, it also requests those that this side lacks.
func (m *Machine) handleSyncFingerprints(mem *member, msg *Message) {
	partitions := int(msg.Parts)
	theirs := make(map[uint16]bool, len(msg.Prints)/fingerprintSize)
	for p := range slices.Chunk(msg.Prints, fingerprintSize) {
		theirs[binary.LittleEndian.Uint16(p)] = true
	}
	missing := m.missingRecords(theirs, msg.Salt, partitions)
	m.sendRecords(mem, missing)
	if !msg.Hello {
		return
	}
	for p := range slices.Chunk(m.fingerprints(msg.Salt, partitions), fingerprintSize) {
		delete(theirs, binary.LittleEndian.Uint16(p))
	}
	if len(theirs) >= minUnbudgetedRequest || len(theirs) > 0 && m.budget.allowsSyncRecords(MaxDatagram) {
		m.sendFingerprints(mem, msg.Salt, partitions, false)
	}
}

// missingRecords returns the full records of a partition whose fingerprints are not
// among those of the other side, and those of dead members whose fingerprints are,
// since the other side considers these alive. The order is random.
func (m *Machine) missingRecords(theirs map[uint16]bool, salt uint64, partitions int) []Record {
	var out []Record
	if inPartition(m.ringPos, salt, partitions) && !theirs[uint16(recordDigest(&m.self, salt))] {
		r, _ := m.record(m.self.ID, true)
		out = append(out, r)
	}
	for _, mem := range m.sortedByID {
		if !inPartition(mem.ringPos, salt, partitions) {
			continue
		}
		listed := theirs[uint16(recordDigest(&mem.rec, salt))]
		if listed == mem.dead() {
			out = append(out, mem.full())
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// sendDeadRecords responds to records of members that the sender considers alive
// and this VM dead. Dead members have no fingerprints, so this VM learns only from
// the records that the sender considers them alive.
func (m *Machine) sendDeadRecords(to *member, records []Record) {
	var dead []Record
	for i := range records {
		mem := m.members[records[i].ID]
		if mem != nil && mem.dead() && records[i].State != entity.VMDead {
			dead = append(dead, mem.full())
		}
	}
	m.sendRecords(to, dead)
}

// sendRecords sends records in as many datagrams as needed. Records that exceed
// maxSyncDatagrams or the byte budget are left for a later comparison. Up to
// maxUnbudgetedRecords are always sent, so that tables converge even when the
// budget is exhausted.
func (m *Machine) sendRecords(to *member, records []Record) {
	unbudgeted := len(records) <= maxUnbudgetedRecords
	for sent := 0; len(records) > 0 && sent < maxSyncDatagrams; sent++ {
		msg := Message{Kind: KindSyncRecords, To: to.rec.ID}
		size := msg.size()
		n := 0
		for n < len(records) && n < maxUpdates && size+records[n].size() <= MaxDatagram {
			size += records[n].size()
			n++
		}
		if !unbudgeted && !m.budget.allowsSyncRecords(size) {
			return
		}
		msg.Updates = records[:n]
		records = records[n:]
		m.send(to.info.GossipAddr, msg)
	}
}
