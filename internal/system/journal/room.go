package journal

import (
	"fmt"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
)

// room counts the buffered and reserved records of all families against their
// bounds.
type room struct {
	maxBytes   int
	maxRecords int

	mu      sync.Mutex
	bytes   int
	records int
}

// take claims room for one record, or reports that there is none.
func (r *room) take(bytes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records+1 > r.maxRecords || r.bytes+bytes > r.maxBytes {
		return false
	}
	r.records++
	r.bytes += bytes
	return true
}

// giveBack returns the room of one record.
func (r *room) giveBack(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records--
	r.bytes -= bytes
}

// BufferReservation is room for one record, so that a call that was sent while the
// platform was up or had room can be recorded when the platform is down.
type BufferReservation struct {
	room *room

	mu    sync.Mutex
	bytes int
	held  bool
}

// ReserveBuffer claims room in the buffer for the changes of one call of a family
// before it is sent. It gives ErrBufferFull when there is none, and
// ErrOwnershipLost if the family is not owned. Changes that prove larger are
// taken all the same.
func (j *Journal) ReserveBuffer(root entity.ProgramID, bytes int) (*BufferReservation, error) {
	f := j.family(root)
	if f == nil {
		return nil, fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	if !f.hasRoom(bytes) || !j.room.take(bytes) {
		return nil, ErrBufferFull
	}
	return &BufferReservation{room: j.room, bytes: bytes, held: true}, nil
}

// Release returns the room, unless the journal has taken it over or it was
// released before.
func (r *BufferReservation) Release() {
	if bytes, held := r.takeOver(); held {
		r.room.giveBack(bytes)
	}
}

// takeOver ends the reservation and passes its room to the caller.
func (r *BufferReservation) takeOver() (bytes int, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held = r.held
	r.held = false
	return r.bytes, held
}

// claim is the room that an entry holds. It is protected by room.mu.
type claim struct {
	held  bool
	bytes int
}

// claim makes sure that an entry holds room for its size; force takes it
// beyond the bounds. It reports false when there is none.
func (r *room) claim(e *entry, force bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	more := e.size - e.claim.bytes
	full := r.records+1 > r.maxRecords || r.bytes+more > r.maxBytes
	if !e.claim.held {
		if full && !force {
			return false
		}
		r.records++
	}
	r.bytes += more
	e.claim = claim{held: true, bytes: e.size}
	return true
}

// release returns the room of entries that left the queue.
func (r *room) release(entries []*entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.claim.held {
			r.records--
			r.bytes -= e.claim.bytes
			e.claim = claim{}
		}
	}
}
