package membership

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// pick returns at most n random members for which ok holds.
func (m *Machine) pick(n int, ok func(*member) bool) []*member {
	var all []*member
	for _, mem := range m.order {
		if ok(mem) {
			all = append(all, mem)
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// index rebuilds the orders after a member was added, died, came back or was
// forgotten.
func (m *Machine) index() {
	m.order = m.order[:0]
	m.circle = m.circle[:0]
	for _, mem := range m.members {
		m.order = append(m.order, mem)
		if !mem.dead() {
			m.circle = append(m.circle, mem)
		}
	}
	slices.SortFunc(m.order, func(a, b *member) int { return cmp.Compare(a.rec.ID, b.rec.ID) })
	slices.SortFunc(m.circle, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ring, b.ring), cmp.Compare(a.rec.ID, b.rec.ID))
	})
}

// neighbours returns the members next on the ring in a direction, 1 or -1,
// until RingSuccessors of them are not suspect: a suspect's own successors need
// another prober. While probes of this VM fail, it probes as many more, so that
// the loss of many members at once is seen in a few rounds.
func (m *Machine) neighbours(direction int) []*member {
	const maxMore = 6
	n := len(m.circle)
	wanted := m.timing.RingSuccessors + min(maxMore, m.witnessed())
	start, _ := slices.BinarySearchFunc(m.circle, m.ring, func(c *member, pos uint64) int { return cmp.Compare(c.ring, pos) })
	if direction < 0 {
		start--
	}
	var out []*member
	healthy := 0
	for i := 0; i < n && healthy < wanted && len(out) < wanted+maxMore; i++ {
		mem := m.circle[((start+direction*i)%n+n)%n]
		out = append(out, mem)
		if !mem.suspect() {
			healthy++
		}
	}
	return out
}

// witnessed is the number of suspects that did not answer this VM's own probes.
func (m *Machine) witnessed() int {
	n := 0
	for _, mem := range m.circle {
		if mem.suspect() && mem.witnessed {
			n++
		}
	}
	return n
}

// apply merges a record into the table. Records only ever move a member
// forward in the order of Record, whatever their sequence. A new member is
// passed on unless it came from a comparison of tables, which finds old ones.
func (m *Machine) apply(now time.Duration, r Record, passOn bool) {
	if r.ID == m.self.ID {
		m.refute(now, r)
		return
	}
	mem := m.members[r.ID]
	switch {
	case mem == nil:
		m.add(now, r, passOn)
	case r.Incarnation > mem.rec.Incarnation:
		m.renew(now, mem, r)
	case r.Incarnation == mem.rec.Incarnation:
		m.advance(now, mem, r)
	}
	if mem != nil && r.Config > mem.rec.Config {
		mem.rec.Config = r.Config
		m.emit(EventUpdated, vm(mem.rec, mem.info))
	}
}

// refute answers a claim that this VM is suspect or dead, or a former claim of
// its own id, with a higher incarnation.
func (m *Machine) refute(now time.Duration, r Record) {
	claimed := r.State != entity.VMAlive && r.Incarnation >= m.self.Incarnation
	if !claimed && r.Incarnation <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.queue.add(now, m.self.ID, false)
	m.emit(EventUpdated, m.vmSelf())
}

// add takes in a member that was not known. A brief record is not enough.
func (m *Machine) add(now time.Duration, r Record, passOn bool) {
	if r.Info == nil {
		return
	}
	mem := &member{rec: r, info: *r.Info, ring: ringPosition(r.ID)}
	mem.rec.Info = nil
	m.members[r.ID] = mem
	if !mem.dead() {
		m.byAddr[mem.info.GossipAddr] = mem
	}
	if passOn && !m.queue.busy() {
		m.queue.add(now, r.ID, true)
	}
	switch r.State {
	case entity.VMDead:
		mem.diedAt = now
	case entity.VMSuspect:
		mem.deadline = now + m.timing.RemoteSuspicionTimeout
		m.emit(EventSuspected, vm(mem.rec, mem.info))
	default:
		m.emit(EventJoined, vm(mem.rec, mem.info))
	}
	m.index()
}

// renew takes a record of a higher incarnation whole.
func (m *Machine) renew(now time.Duration, mem *member, r Record) {
	was := mem.rec
	mem.rec = r
	mem.rec.Info = nil
	mem.rec.Config = max(was.Config, r.Config)
	mem.rec.Leaving = r.Leaving || was.Leaving
	mem.witnessed = false
	m.queue.add(now, r.ID, false)
	if was.State == entity.VMDead {
		m.byAddr[mem.info.GossipAddr] = mem
	}
	m.announce(now, mem, was)
}

// advance takes what is later in a record of the same incarnation.
func (m *Machine) advance(now time.Duration, mem *member, r Record) {
	was := mem.rec
	if stateRank(r.State) > stateRank(was.State) {
		mem.rec.State = r.State
	}
	mem.rec.Leaving = was.Leaving || r.Leaving
	if r.Beat > was.Beat {
		mem.rec.Beat, mem.rec.Reachable = r.Beat, r.Reachable
	}
	if mem.rec == was {
		return
	}
	m.queue.add(now, r.ID, false)
	m.announce(now, mem, was)
}

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

// announce starts what a change of state entails and emits its event.
func (m *Machine) announce(now time.Duration, mem *member, was Record) {
	v := vm(mem.rec, mem.info)
	switch {
	case mem.dead() && was.State != entity.VMDead:
		mem.diedAt = now
		if m.byAddr[mem.info.GossipAddr] == mem {
			delete(m.byAddr, mem.info.GossipAddr)
		}
		m.emit(EventDied, v)
	case mem.suspect() && (was.State != entity.VMSuspect || was.Incarnation != mem.rec.Incarnation):
		mem.deadline = now + m.timing.RemoteSuspicionTimeout
		m.emit(EventSuspected, v)
	case mem.alive() && was.State != entity.VMAlive:
		m.emit(EventRefuted, v)
	case mem.rec.Leaving && !was.Leaving:
		m.emit(EventLeaving, v)
	default:
		m.emit(EventUpdated, v)
	}
	if mem.dead() != (was.State == entity.VMDead) {
		m.index()
	}
}

// declare moves a member to a later state on this VM's own evidence.
func (m *Machine) declare(now time.Duration, mem *member, state entity.VMState) {
	r := mem.rec
	r.State = state
	m.advance(now, mem, r)
}

// forgetDead drops members that have been dead for long. Those that left are
// dropped sooner: they need not be found again, and nobody should take them for
// cut off.
func (m *Machine) forgetDead(now time.Duration) {
	const every = time.Second
	if now < m.nextForget {
		return
	}
	m.nextForget = now + every
	var gone []*member
	for _, mem := range m.order {
		after := m.timing.DeadRetention
		if mem.rec.Leaving {
			after = m.timing.LeftRetention
		}
		if mem.dead() && now-mem.diedAt >= after {
			gone = append(gone, mem)
		}
	}
	for _, mem := range gone {
		delete(m.members, mem.rec.ID)
		m.queue.remove(mem.rec.ID)
		m.emit(EventRemoved, vm(mem.rec, mem.info))
	}
	if len(gone) > 0 {
		m.index()
	}
}
