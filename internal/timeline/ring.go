package timeline

import (
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
)

// Filter selects events. The zero value selects all events.
type Filter struct {
	// Program selects the events of a program. The id of a root program also
	// selects the events of its sub-agents.
	Program entity.ProgramID
	// VMEvents also selects the events that belong to no program, such as those
	// of VMs, if Program is set.
	VMEvents bool
	// Kinds selects the kinds of events; empty for all kinds.
	Kinds []Kind
	// Limit is the maximum number of events, the latest ones; 0 for no limit.
	Limit int
}

// Match reports whether the filter selects an event. It ignores the limit.
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

// Ring is a ring buffer with the latest events of one VM. It is safe for
// concurrent use.
type Ring struct {
	vm    string
	clock *Clock

	// mu guards the fields below. The clock is read with mu held, so that the
	// events in the ring are in the order of their stamps.
	mu          sync.Mutex
	events      []Event // of fixed length
	next        int     // index at which the next event is stored
	overwritten uint64  // events overwritten so far
	full        bool    // whether every element of events has been set
}

// NewRing returns a ring buffer for at most size events of a VM, at least one.
func NewRing(vm string, size int, clock *Clock) *Ring {
	return &Ring{vm: vm, clock: clock, events: make([]Event, max(size, 1))}
}

// Record implements Recorder. It overwrites the oldest event if the ring is full.
func (r *Ring) Record(e Event) {
	e.VM = r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	if r.full {
		r.overwritten++
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
	selectMatching := func(segment []Event) {
		for _, e := range segment {
			if f.Match(e) {
				out = append(out, e)
			}
		}
	}
	if r.full {
		selectMatching(r.events[r.next:])
	}
	selectMatching(r.events[:r.next])
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// Overwritten returns the number of events overwritten so far.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwritten
}
