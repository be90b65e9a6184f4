package membership

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// randomMembers returns at most n random members that satisfy the filter.
func (m *Machine) randomMembers(n int, filter func(*member) bool) []*member {
	var all []*member
	for _, mem := range m.sortedByID {
		if filter(mem) {
			all = append(all, mem)
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// reindex rebuilds sortedByID and liveRing after a member was added, declared dead,
// alive again or removed.
func (m *Machine) reindex() {
	m.sortedByID = m.sortedByID[:0]
	m.liveRing = m.liveRing[:0]
	for _, mem := range m.members {
		m.sortedByID = append(m.sortedByID, mem)
		if !mem.dead() {
			m.liveRing = append(m.liveRing, mem)
		}
	}
	slices.SortFunc(m.sortedByID, func(a, b *member) int { return cmp.Compare(a.rec.ID, b.rec.ID) })
	slices.SortFunc(m.liveRing, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringPos, b.ringPos), cmp.Compare(a.rec.ID, b.rec.ID))
	})
}

// ringNeighbours returns the next members on the ring in a direction, 1 or -1, up to
// and including the RingSuccessors-th that is not suspect: a suspect may not probe
// its own successors, so they need another prober. Each current suspect that did not
// answer this VM raises that number by one, up to maxExtra, so that the loss of many
// members at once is detected in a few rounds.
func (m *Machine) ringNeighbours(direction int) []*member {
	const maxExtra = 6
	n := len(m.liveRing)
	wanted := m.timing.RingSuccessors + min(maxExtra, m.localSuspicions())
	start, _ := slices.BinarySearchFunc(m.liveRing, m.ringPos, func(c *member, pos uint64) int { return cmp.Compare(c.ringPos, pos) })
	if direction < 0 {
		start--
	}
	var out []*member
	healthy := 0
	for i := 0; i < n && healthy < wanted && len(out) < wanted+maxExtra; i++ {
		mem := m.liveRing[((start+direction*i)%n+n)%n]
		out = append(out, mem)
		if !mem.suspect() {
			healthy++
		}
	}
	return out
}

// localSuspicions returns the number of suspects that did not answer probes of this
// VM.
func (m *Machine) localSuspicions() int {
	n := 0
	for _, mem := range m.liveRing {
		if mem.suspect() && mem.locallySuspected {
			n++
		}
	}
	return n
}

// apply merges a record into the table. Records only move a member forward in the
// order defined at Record, in whatever sequence they arrive. A new member is
// gossiped if propagate is set; it is not set for records of a table comparison,
// which mostly finds members that joined long ago.
func (m *Machine) apply(now time.Duration, r Record, propagate bool) {
	if r.ID == m.self.ID {
		m.refute(now, r)
		return
	}
	mem := m.members[r.ID]
	switch {
	case mem == nil:
		m.addMember(now, r, propagate)
	case r.Incarnation > mem.rec.Incarnation:
		m.applyNewIncarnation(now, mem, r)
	case r.Incarnation == mem.rec.Incarnation:
		m.applySameIncarnation(now, mem, r)
	}
	if mem != nil && r.Config > mem.rec.Config {
		mem.rec.Config = r.Config
		m.emit(EventUpdated, vm(mem.rec, mem.info))
	}
}

// refute raises the incarnation of this VM if a record claims that it is suspect or
// dead, or carries a higher incarnation from a former process with the same id.
func (m *Machine) refute(now time.Duration, r Record) {
	claimed := r.State != entity.VMAlive && r.Incarnation >= m.self.Incarnation
	if !claimed && r.Incarnation <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.queue.add(now, m.self.ID, false)
	m.emit(EventUpdated, m.vmSelf())
}

// addMember adds an unknown member. A brief record, which lacks Info, is ignored.
func (m *Machine) addMember(now time.Duration, r Record, propagate bool) {
	if r.Info == nil {
		return
	}
	mem := &member{rec: r, info: *r.Info, ringPos: ringPosition(r.ID)}
	mem.rec.Info = nil
	m.members[r.ID] = mem
	if !mem.dead() {
		m.byAddr[mem.info.GossipAddr] = mem
	}
	if propagate && !m.queue.joinLimitReached() {
		m.queue.add(now, r.ID, true)
	}
	switch r.State {
	case entity.VMDead:
		mem.diedAt = now
	case entity.VMSuspect:
		mem.suspicionDeadline = now + m.timing.RemoteSuspicionTimeout
		m.emit(EventSuspected, vm(mem.rec, mem.info))
	default:
		m.emit(EventJoined, vm(mem.rec, mem.info))
	}
	m.reindex()
}

// applyNewIncarnation replaces a member's record by one with a higher incarnation.
// Leaving and a higher configuration version of the previous record are kept.
func (m *Machine) applyNewIncarnation(now time.Duration, mem *member, r Record) {
	previous := mem.rec
	mem.rec = r
	mem.rec.Info = nil
	mem.rec.Config = max(previous.Config, r.Config)
	mem.rec.Leaving = r.Leaving || previous.Leaving
	mem.locallySuspected = false
	m.queue.add(now, r.ID, false)
	if previous.State == entity.VMDead {
		m.byAddr[mem.info.GossipAddr] = mem
	}
	m.handleTransition(now, mem, previous)
}

// applySameIncarnation merges a record with the same incarnation: the later state,
// Leaving once it is set, and Reachable of the higher Beat.
func (m *Machine) applySameIncarnation(now time.Duration, mem *member, r Record) {
	previous := mem.rec
	if stateRank(r.State) > stateRank(previous.State) {
		mem.rec.State = r.State
	}
	mem.rec.Leaving = previous.Leaving || r.Leaving
	if r.Beat > previous.Beat {
		mem.rec.Beat, mem.rec.Reachable = r.Beat, r.Reachable
	}
	if mem.rec == previous {
		return
	}
	m.queue.add(now, r.ID, false)
	m.handleTransition(now, mem, previous)
}

// stateRank returns the position of a state in the order defined at Record.
func stateRank(s entity.VMState) int {
	switch s {
	case entity.VMAlive:
		return 0
	case entity.VMSuspect:
		return 1
	default:
		return 2
	}
}

// handleTransition updates deadlines and indexes after a member's record has changed
// from previous, and emits the event that describes the change.
func (m *Machine) handleTransition(now time.Duration, mem *member, previous Record) {
	v := vm(mem.rec, mem.info)
	switch {
	case mem.dead() && previous.State != entity.VMDead:
		mem.diedAt = now
		if m.byAddr[mem.info.GossipAddr] == mem {
			delete(m.byAddr, mem.info.GossipAddr)
		}
		m.emit(EventDied, v)
	case mem.suspect() && (previous.State != entity.VMSuspect || previous.Incarnation != mem.rec.Incarnation):
		mem.suspicionDeadline = now + m.timing.RemoteSuspicionTimeout
		m.emit(EventSuspected, v)
	case mem.alive() && previous.State != entity.VMAlive:
		m.emit(EventRefuted, v)
	case mem.rec.Leaving && !previous.Leaving:
		m.emit(EventLeaving, v)
	default:
		m.emit(EventUpdated, v)
	}
	if mem.dead() != (previous.State == entity.VMDead) {
		m.reindex()
	}
}

// declare advances the state of a member on this VM's own evidence, not on a record
// of another member.
func (m *Machine) declare(now time.Duration, mem *member, state entity.VMState) {
	r := mem.rec
	r.State = state
	m.applySameIncarnation(now, mem, r)
}

// purgeDead removes members whose retention has ended. Members that left have a
// shorter one: they need not be reconnected, and should not be mistaken for
// members that are cut off by a partition.
func (m *Machine) purgeDead(now time.Duration) {
	const interval = time.Second
	if now < m.nextPurge {
		return
	}
	m.nextPurge = now + interval
	var expired []*member
	for _, mem := range m.sortedByID {
		retention := m.timing.DeadRetention
		if mem.rec.Leaving {
			retention = m.timing.LeftRetention
		}
		if mem.dead() && now-mem.diedAt >= retention {
			expired = append(expired, mem)
		}
	}
	for _, mem := range expired {
		delete(m.members, mem.rec.ID)
		m.queue.remove(mem.rec.ID)
		m.emit(EventRemoved, vm(mem.rec, mem.info))
	}
	if len(expired) > 0 {
		m.reindex()
	}
}
