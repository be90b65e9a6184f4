package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// Anti-entropy compares tables pairwise. VM A sends VM B a SyncDigest with the
// digest of A's whole table. If B's digest differs, B replies with a two-byte
// fingerprint of each of its records. A then sends the records that B lacks, and
// A's fingerprints to request the records that A lacks.

// Limits of one table comparison.
const (
	fingerprintSize      = 2   // bytes
	maxFingerprints      = 500 // in a SyncFingerprints; a larger table is compared in partitions
	maxSyncDatagrams     = 4   // SyncRecords datagrams from one side
	sampleSize           = 6   // members in the sample that is sent instead of fingerprints
	minUnbudgetedRequest = 4   // a request for at least this many records ignores the budget
	maxUnbudgetedRecords = 8   // a transfer of at most this many records ignores the budget
	// minSyncBytes is the byte budget that one side needs before it sends
	// fingerprints, since they are useless if the records can't follow.
	minSyncBytes = (maxSyncDatagrams + 1) * MaxDatagram
)

// recordDigest hashes the fields that anti-entropy makes equal in all tables.
// Suspicion is excluded, since it ends by itself, and so are dead members, which
// each VM removes at a different time. Each comparison has its own salt, so that
// two records whose fingerprints collide in one comparison differ in the next.
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

// tableDigest returns the digest of the whole table: the XOR of the record digests
// of this VM and of all members that are not dead, in any order.
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

// fingerprints returns the fingerprints of the live records in a partition, at most
// maxFingerprints. A fingerprint is the low fingerprintSize bytes of a record digest.
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

// sync starts a table comparison with one member. It pings a member that has not
// verified this VM. If this VM has not verified the member either, it postpones the
// comparison until it has.
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
	m.send(mem.info.GossipAddr, Message{Kind: KindSyncDigest, To: mem.rec.ID, Salt: salt, TableDigest: m.tableDigest(salt), MemberCount: uint32(len(m.sortedByID))})
}

// syncPartner returns the member whose verification a postponed comparison waits
// for, if it is verified now, or else a random member that is not dead. It returns
// nil if there is none.
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

// handleSyncDigest answers a SyncDigest if the tables differ. It sends fingerprints
// if the byte budget suffices; a smaller budget suffices if the sender's table has
// more members than this one. Otherwise it sends a sample if the sender's table has
// less than half of the members of this one.
func (m *Machine) handleSyncDigest(mem *member, msg *Message) {
	if m.tableDigest(msg.Salt) == msg.TableDigest {
		return
	}
	senderHasMore := int(msg.MemberCount) > len(m.sortedByID)
	switch {
	case m.budget.allowsSync(minSyncBytes), senderHasMore && m.budget.allowsSyncRecords(MaxDatagram):
	case int(msg.MemberCount) < len(m.sortedByID)/2:
		m.sendSample(mem)
		return
	default:
		return
	}
	partitions := (len(m.liveRing) + maxFingerprints) / maxFingerprints
	m.sendFingerprints(mem, msg.Salt, partitions, true)
}

func (m *Machine) sendFingerprints(to *member, salt uint64, partitions int, pull bool) {
	m.send(to.info.GossipAddr, Message{
		Kind: KindSyncFingerprints, To: to.rec.ID, Salt: salt, Partitions: uint32(partitions), Fingerprints: m.fingerprints(salt, partitions), Pull: pull,
	})
}

// sendSample sends the records of a few random members, so that a receiver with few
// members can sync with them while this VM lacks the byte budget. The sample
// ignores the budget, since it diverts the load of new members from the seeds.
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
// requested fingerprints in return, it also sends those of this table, to request
// the records that this side lacks.
func (m *Machine) handleSyncFingerprints(mem *member, msg *Message) {
	partitions := int(msg.Partitions)
	theirs := make(map[uint16]bool, len(msg.Fingerprints)/fingerprintSize)
	for p := range slices.Chunk(msg.Fingerprints, fingerprintSize) {
		theirs[binary.LittleEndian.Uint16(p)] = true
	}
	missing := m.missingRecords(theirs, msg.Salt, partitions)
	m.sendRecords(mem, missing)
	if !msg.Pull {
		return
	}
	for p := range slices.Chunk(m.fingerprints(msg.Salt, partitions), fingerprintSize) {
		delete(theirs, binary.LittleEndian.Uint16(p))
	}
	if len(theirs) >= minUnbudgetedRequest || len(theirs) > 0 && m.budget.allowsSyncRecords(MaxDatagram) {
		m.sendFingerprints(mem, msg.Salt, partitions, false)
	}
}

// missingRecords returns the full records of a partition that the other side, which
// sent the fingerprints in theirs, lacks: live records whose fingerprints it did not
// send, and records of dead members whose fingerprints it did send, since it
// considers those alive. The order is random.
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

// sendDeadRecords responds to received records: it sends back the records of those
// members that this VM considers dead and the sender does not. Dead members have no
// fingerprints, so only the received records show that the tables differ on them.
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
// maxSyncDatagrams or the byte budget are left for a later comparison. If there are
// at most maxUnbudgetedRecords, they are sent regardless of the budget, so that
// tables converge even when it is exhausted.
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
