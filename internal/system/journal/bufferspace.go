package journal

import (
	"fmt"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
)

// bufferSpace counts the buffered and reserved records of all families and
// enforces Options.MaxBufferBytes and Options.MaxBufferRecords.
type bufferSpace struct {
	maxBytes   int
	maxRecords int

	mu      sync.Mutex
	bytes   int // in use
	records int // in use
}

// reserve reserves space for one record. It returns false if there is not enough.
func (s *bufferSpace) reserve(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records+1 > s.maxRecords || s.bytes+bytes > s.maxBytes {
		return false
	}
	s.records++
	s.bytes += bytes
	return true
}

// unreserve returns the space of one reserved record.
func (s *bufferSpace) unreserve(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records--
	s.bytes -= bytes
}

// BufferReservation is buffer space for one record, reserved before a call is
// sent, so that the call's turn can be buffered if the platform becomes
// unavailable.
type BufferReservation struct {
	space *bufferSpace

	mu    sync.Mutex
	bytes int
	held  bool // neither consumed nor released
}

// ReserveBuffer reserves buffer space, of the expected size in bytes, for the
// changes of one call before the call is sent. root is the family of the calling
// program. It returns ErrBufferFull if there is not enough space, and
// ErrOwnershipLost if the family is not owned. Changes that turn out larger than
// the reservation are accepted nonetheless.
func (j *Journal) ReserveBuffer(root entity.ProgramID, bytes int) (*BufferReservation, error) {
	f := j.family(root)
	if f == nil {
		return nil, fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	if !f.hasBufferCapacity(bytes) || !j.bufferSpace.reserve(bytes) {
		return nil, ErrBufferFull
	}
	return &BufferReservation{space: j.bufferSpace, bytes: bytes, held: true}, nil
}

// Release returns the space, unless changes have consumed the reservation or it
// was released before.
func (r *BufferReservation) Release() {
	if bytes, held := r.consume(); held {
		r.space.unreserve(bytes)
	}
}

// consume ends the reservation; its space then belongs to the caller. It returns
// held as false if the reservation had already ended.
func (r *BufferReservation) consume() (bytes int, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held = r.held
	r.held = false
	return r.bytes, held
}

// allocation is the buffer space that an entry occupies. It is protected by
// bufferSpace.mu.
type allocation struct {
	held  bool // the entry is counted in bufferSpace
	bytes int  // counted for the entry
}

// allocate allocates space for an entry, in addition to any reservation that the
// entry consumed. It returns false if there is not enough. The limits do not apply
// to an entry with a reservation, nor to any entry if force is set.
func (s *bufferSpace) allocate(e *entry, force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	more := e.size - e.allocation.bytes
	full := s.records+1 > s.maxRecords || s.bytes+more > s.maxBytes
	if !e.allocation.held {
		if full && !force {
			return false
		}
		s.records++
	}
	s.bytes += more
	e.allocation = allocation{held: true, bytes: e.size}
	return true
}

// free returns the space of entries that were removed from the queue.
func (s *bufferSpace) free(entries []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if e.allocation.held {
			s.records--
			s.bytes -= e.allocation.bytes
			e.allocation = allocation{}
		}
	}
}
