package forward

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// returnGrace is how long an endpoint that vanished while the list of endpoints
// could not be read is kept after the list is back: live endpoints enter
// themselves again within two seconds.
const returnGrace = 2200 * time.Millisecond

// Registry is the list of live endpoints. It is safe for concurrent use.
type Registry struct {
	// OnChange is called with the whole list after each change.
	OnChange func([]Endpoint)

	mu         sync.Mutex
	list       map[string]Endpoint  // guarded by mu
	missing    map[string]time.Time // guarded by mu; when an endpoint that is not listed any more is dropped
	down       bool                 // guarded by mu
	regainedAt time.Time            // guarded by mu
}

// FeedLost notes that the list can't be read.
func (r *Registry) FeedLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
}

// FeedRestored notes that the list can be read again.
func (r *Registry) FeedRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
	r.regainedAt = now
}

// Replace puts a whole list in force.
func (r *Registry) Replace(list []Endpoint, now time.Time) {
	r.mu.Lock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		r.put(e)
	}
	for id := range r.list {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.mu.Unlock()
	r.changed()
}

// Update takes in endpoints that are new or have changed, and the ids of those
// that are gone.
func (r *Registry) Update(list []Endpoint, gone []string, now time.Time) {
	r.mu.Lock()
	changed := false
	for _, e := range list {
		changed = r.put(e) || changed
	}
	for _, id := range gone {
		r.remove(id, now)
		changed = true
	}
	r.mu.Unlock()
	if changed {
		r.changed()
	}
}

// put reports whether the entry differs from the one before.
func (r *Registry) put(e Endpoint) bool {
	if r.list == nil {
		r.list = make(map[string]Endpoint)
		r.missing = make(map[string]time.Time)
	}
	delete(r.missing, e.ID)
	if r.list[e.ID] == e {
		return false
	}
	r.list[e.ID] = e
	return true
}

func (r *Registry) remove(id string, now time.Time) {
	if _, known := r.list[id]; !known {
		return
	}
	if r.down || now.Sub(r.regainedAt) < returnGrace {
		if _, noted := r.missing[id]; !noted {
			r.missing[id] = now
		}
		return
	}
	delete(r.list, id)
	delete(r.missing, id)
}

// DropExpired drops the endpoints whose time to return is over.
func (r *Registry) DropExpired(now time.Time) {
	r.mu.Lock()
	changed := false
	if !r.down && now.Sub(r.regainedAt) >= returnGrace {
		for id := range r.missing {
			delete(r.list, id)
			delete(r.missing, id)
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.changed()
	}
}

// List returns the endpoints in the order of their ids.
func (r *Registry) List() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.list), func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
}

func (r *Registry) changed() {
	if r.OnChange != nil {
		r.OnChange(r.List())
	}
}
