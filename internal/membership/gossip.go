package membership

// attachUpdates piggybacks queued updates on a message to a member, within the
// limits of the datagram and the byte budget. If this VM does not consider the
// receiver alive, the receiver's own record is attached first, whatever the
// budget, so that the receiver can refute it. It returns the number of updates
// attached from the queue.
func (m *Machine) attachUpdates(msg *Message, to *member) (attached int) {
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
		it.sendCount++
		attached++
	}
	return attached
}

// record returns the latest record of a member, including its Info if full.
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
