package membership

// attachUpdates piggybacks queued updates on a message to a member, within the
// limits of the datagram and the byte budget, and returns how many it attached. to
// is nil if the receiver is not in the table. If this VM considers the receiver
// suspect or dead, the receiver's own record is attached first, regardless of the
// budget and not counted, so that the receiver can refute that state.
func (m *Machine) attachUpdates(msg *Message, to *member) (attached int) {
	size := msg.size()
	if to != nil && !to.alive() {
		msg.Updates = append(msg.Updates, to.rec)
		size += to.rec.size()
	}
	for _, update := range m.queue.sorted() {
		if to != nil && update.id == to.rec.ID {
			continue
		}
		r, known := m.record(update.id, update.full)
		if !known {
			continue
		}
		n := r.size()
		allowed := m.budget.allows(size + n)
		if update.full {
			allowed = m.budget.allowsJoin(size + n)
		}
		if size+n > MaxDatagram || !allowed || len(msg.Updates) >= maxUpdates {
			break
		}
		msg.Updates = append(msg.Updates, r)
		size += n
		update.sendCount++
		attached++
	}
	return attached
}

// record returns the latest record of a member or of this VM, with Info if full is
// set. It returns false if the table has no such member.
func (m *Machine) record(id string, full bool) (Record, bool) {
	if id == m.self.ID {
		r := m.self
		if full {
			info := m.info
			r.Info = &info
		}
		return r, true
	}
	mem := m.members[id]
	if mem == nil {
		return Record{}, false
	}
	if full {
		return mem.full(), true
	}
	return mem.rec, true
}

// pushUnsent sends updates that were never sent to GossipFanout random members
// without waiting for the next probe, so that they reach all members within a
// few ticks.
func (m *Machine) pushUnsent() {
	if !m.queue.hasUnsent() {
		return
	}
	for _, mem := range m.randomMembers(m.timing.GossipFanout, (*member).acceptsGossip) {
		msg := Message{Kind: KindGossip, To: mem.rec.ID}
		if m.attachUpdates(&msg, mem) > 0 {
			m.send(mem.info.GossipAddr, msg)
		}
	}
}
