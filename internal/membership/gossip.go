package membership

// fill adds updates to a message to a member, as far as the datagram and the
// budget allow. A member that is not alive here is told so first, whatever the
// so that it can refute. It returns the number of updates from the queue.
func (m *Machine) fill(msg *Message, to *member) (queued int) {
	size := msg.size()
	if to != nil && !to.alive() {
		msg.Updates = append(msg.Updates, to.rec)
		size += to.rec.size()
	}
	for _, it := range m.queue.sorted() {
		if to != nil && it.id == to.rec.ID {
			continue
		}
		r, known := m.record(it.id, it.full)
		if !known {
			continue
		}
		n := r.size()
		allowed := m.budget.allows(size + n)
		if it.full {
			allowed = m.budget.allowsJoin(size + n)
		}
		if size+n > MaxDatagram || !allowed || len(msg.Updates) >= maxUpdates {
			break
		}
		msg.Updates = append(msg.Updates, r)
		size += n
		it.sent++
		queued++
	}
	return queued
}

// record returns what is known of a member, with or without its unchanging
// part.
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

// pushFresh tells a few members at once of updates that were never sent, so
// that they spread in a few ticks.
func (m *Machine) pushFresh() {
	if !m.queue.fresh() {
		return
	}
	for _, mem := range m.pick(m.timing.GossipFanout, (*member).contactable) {
		msg := Message{Kind: KindGossip, To: mem.rec.ID}
		if m.fill(&msg, mem) > 0 {
			m.send(mem.info.GossipAddr, msg)
		}
	}
}
