package forward

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// missingRetention is how long an endpoint that vanished during an outage of the
// feed is kept after the outage: live endpoints register again within 2 s.
// Endpoints that vanish within that time are treated alike.
const missingRetention = 2200 * time.Millisecond

// Registry holds the list of live endpoints. It is safe for concurrent use.
type Registry struct {
	// OnChange is called with the complete list after each change.
	OnChange func([]Endpoint)

	mu             sync.Mutex
	endpoints      map[string]Endpoint  // guarded by mu; by id
	missingSince   map[string]time.Time // guarded by mu; when an endpoint that is kept for missingRetention vanished, by id
	feedLost       bool                 // guarded by mu
	feedRestoredAt time.Time            // guarded by mu
}

// FeedLost records that the feed of endpoints can't be read.
func (r *Registry) FeedLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedLost = true
}

// FeedRestored records that the feed of endpoints can be read again.
func (r *Registry) FeedRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedLost = false
	r.feedRestoredAt = now
}

// Replace replaces the whole list.
func (r *Registry) Replace(list []Endpoint, now time.Time) {
	r.mu.Lock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		r.put(e)
	}
	for id := range r.endpoints {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.mu.Unlock()
	r.notify()
}

// Update adds or replaces endpoints and removes others by id.
func (r *Registry) Update(list []Endpoint, removed []string, now time.Time) {
	r.mu.Lock()
	changed := false
	for _, e := range list {
		changed = r.put(e) || changed
	}
	for _, id := range removed {
		r.remove(id, now)
		changed = true
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// put stores an endpoint and reports whether it differs from the stored one. The
// caller holds mu.
func (r *Registry) put(e Endpoint) bool {
	if r.endpoints == nil {
		r.endpoints = make(map[string]Endpoint)
		r.missingSince = make(map[string]time.Time)
	}
	delete(r.missingSince, e.ID)
	if r.endpoints[e.ID] == e {
		return false
	}
	r.endpoints[e.ID] = e
	return true
}

// remove removes an endpoint or, during an outage of the feed and for
// missingRetention afterwards, marks it as missing. The caller holds mu.
func (r *Registry) remove(id string, now time.Time) {
	if _, known := r.endpoints[id]; !known {
		return
	}
	if r.feedLost || now.Sub(r.feedRestoredAt) < missingRetention {
		if _, missing := r.missingSince[id]; !missing {
			r.missingSince[id] = now
		}
		return
	}
	delete(r.endpoints, id)
	delete(r.missingSince, id)
}

// DropExpired removes the missing endpoints once missingRetention has passed since
// the last outage of the feed.
func (r *Registry) DropExpired(now time.Time) {
	r.mu.Lock()
	changed := false
	if !r.feedLost && now.Sub(r.feedRestoredAt) >= missingRetention {
		for id := range r.missingSince {
			delete(r.endpoints, id)
			delete(r.missingSince, id)
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// List returns the endpoints sorted by id.
func (r *Registry) List() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.endpoints), func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
}

// notify calls OnChange. The caller does not hold mu.
func (r *Registry) notify() {
	if r.OnChange != nil {
		r.OnChange(r.List())
	}
}
