package timeline

import (
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
)

// Filter selects events. Its zero value selects all.
type Filter struct {
	// Program selects the events of a program; the id of a root program
	// selects those of its sub-agents too.
	Program entity.ProgramID
	// VMEvents adds the events that belong to no program, which tell what
	// happened to the VMs meanwhile.
	VMEvents bool
	// Kinds selects kinds of events; empty for all.
	Kinds []Kind
	// Limit keeps only the latest events; 0 for all.
	Limit int
}

// Match reports whether the filter selects an event, apart from the limit.
func (f Filter) Match(e Event) bool {
	if len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind) {
		return false
	}
	switch {
	case f.Program == "" || e.Program == f.Program:
		return true
	case e.Program == "":
		return f.VMEvents
	default:
		return f.Program.IsRoot() && e.Program.Root() == f.Program
	}
}

// Ring keeps the latest events of one VM. It is safe for concurrent use.
type Ring struct {
	vm    string
	clock *Clock

	// mu guards the fields below. Stamps are taken under it, so that the
	// order in the ring is the order of the stamps.
	mu      sync.Mutex
	events  []Event
	next    int    // index that the next event is put at
	dropped uint64 // events overwritten so far
	full    bool
}

// NewRing returns a ring of at most size events of a VM.
func NewRing(vm string, size int, clock *Clock) *Ring {
	return &Ring{vm: vm, clock: clock, events: make([]Event, max(size, 1))}
}

// Record implements Recorder: it stamps the event and overwrites the oldest
// one if the ring is full.
func (r *Ring) Record(e Event) {
	e.VM = r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	if r.full {
		r.dropped++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the selected events, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	pick := func(part []Event) {
		for _, e := range part {
			if f.Match(e) {
				out = append(out, e)
			}
		}
	}
	if r.full {
		pick(r.events[r.next:])
	}
	pick(r.events[:r.next])
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// Overwritten returns the number of events that were overwritten so far.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
