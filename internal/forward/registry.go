package forward

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// missingRetention is how long an endpoint is kept whose entry may have lapsed: live
// endpoints register again within 2 s of the return of the store.
const missingRetention = 2200 * time.Millisecond

// departureRetention is how long the registry remembers an endpoint that is leaving
// or gone after the endpoint was last listed. Its entry may come back in that time,
// and other VMs may still use it.
const departureRetention = 15 * time.Minute

// resendPeriod is how long an endpoint that leaves may still get a request that it has
// had before. It serves for two seconds after the store has acknowledged its leave, which
// a VM may read half a second later.
const resendPeriod = time.Second

// Registry holds the list of live endpoints. It is safe for concurrent use.
type Registry struct {
	// OnChange is called with the complete list after each change.
	OnChange func([]Endpoint)
	// LapseTime is the shortest time without a reading of the feed in which the entry
	// of a live endpoint can lapse, because the endpoint can't renew it either. If it
	// is 0, entries never lapse.
	LapseTime time.Duration
	Log       *zap.Logger // may be nil

	mu           sync.Mutex
	endpoints    map[string]Endpoint  // guarded by mu; by id
	missingSince map[string]time.Time // guarded by mu; when an endpoint that is kept for missingRetention vanished, by id
	feedLost     bool                 // guarded by mu
	feedLostAt   time.Time            // guarded by mu; valid while feedLost
	departures   map[string]departure // guarded by mu; endpoints that are leaving or gone, by id
	// unusableSince is when this VM learned that an endpoint is draining or gone, by id.
	unusableSince map[string]time.Time // guarded by mu
	version       uint64               // guarded by mu; of the last reading
	versions      softwareVersions     // guarded by mu
}

// Reading says when and after what time the feed of endpoints was read.
type Reading struct {
	At  time.Time
	Gap time.Duration // since the previous reading, including pauses of this VM
	// Version is the version of the store up to which all changes have been read.
	Version uint64
}

// departure describes an endpoint that said that it leaves or whose entry was
// removed.
type departure struct {
	saidLeaving bool
	// started identifies the process, as in Endpoint.StartedUnixMilli. It is unknown
	// if the endpoint has not been listed.
	started      int64
	startedKnown bool
	service      string    // empty until the endpoint is listed
	lastListed   time.Time // or when it said that it leaves
}

// FeedLost records that the feed of endpoints can't be read.
func (r *Registry) FeedLost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedLost, r.feedLostAt = true, now
}

// FeedRestored records that the feed of endpoints can be read again.
func (r *Registry) FeedRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedLost = false
}

// Current reports whether the feed of endpoints can be read.
func (r *Registry) Current() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.feedLost
}

// MarkLeaving records that an endpoint said that it leaves. From then on it counts
// as draining, whatever its entry says, until it starts again. It reports whether
// that was not known before.
func (r *Registry) MarkLeaving(id string, now time.Time) bool {
	r.mu.Lock()
	d := r.departures[id]
	if d.saidLeaving {
		r.mu.Unlock()
		return false
	}
	d.saidLeaving, d.lastListed = true, now
	e, listed := r.endpoints[id]
	if listed {
		d.started, d.startedKnown, d.service = e.StartedUnixMilli, true, e.Service
	}
	r.addDeparture(id, d)
	if listed {
		e.Draining = true
		r.endpoints[id] = e
	}
	r.recordUnusable(id, now)
	r.mu.Unlock()
	r.notify()
	return true
}

// recordUnusable records that an endpoint is draining or gone. The caller holds mu.
func (r *Registry) recordUnusable(id string, now time.Time) {
	if _, known := r.unusableSince[id]; known {
		return
	}
	if r.unusableSince == nil {
		r.unusableSince = make(map[string]time.Time)
	}
	r.unusableSince[id] = now
}

// addDeparture stores a departure. The caller holds mu.
func (r *Registry) addDeparture(id string, d departure) {
	if r.departures == nil {
		r.departures = make(map[string]departure)
	}
	r.departures[id] = d
}

// Unusable returns the ids of the endpoints of a service that must get no more
// requests: those that are draining, said that they leave or are gone. Another VM
// may not know this yet.
func (r *Registry) Unusable(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, e := range r.endpoints {
		if e.Draining && e.Service == service {
			ids = append(ids, id)
		}
	}
	for id, d := range r.departures {
		if _, listed := r.endpoints[id]; !listed && (d.service == service || d.service == "") {
			ids = append(ids, id)
		}
	}
	return ids
}

// MayUse reports whether an endpoint may get a request. entryVersion is the version of
// its entry at the VM that assigned it: an endpoint that this VM doesn't list is gone,
// unless its entry is newer than this VM's last reading.
func (r *Registry) MayUse(id string, entryVersion uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayUse(id, entryVersion)
}

func (r *Registry) mayUse(id string, entryVersion uint64) bool {
	if e, listed := r.endpoints[id]; listed {
		return !e.Draining
	}
	_, departed := r.departures[id]
	return !departed && entryVersion > r.version
}

// MayResend reports whether an endpoint may get a request again that it has had: also
// for resendPeriod after this VM learned that the endpoint is draining or gone.
func (r *Registry) MayResend(id string, entryVersion uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, known := r.unusableSince[id]
	return r.mayUse(id, entryVersion) || known && now.Sub(since) < resendPeriod
}

// Replace replaces the whole list.
func (r *Registry) Replace(list []Endpoint, reading Reading) {
	r.mu.Lock()
	r.versions.readWhole(reading.At, r.mayHaveLapsed(reading))
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		r.put(e, reading)
	}
	r.version = reading.Version
	for id := range r.endpoints {
		if !listed[id] {
			r.remove(id, reading)
		}
	}
	r.mu.Unlock()
	r.notify()
}

// Update adds or replaces endpoints and removes others by id.
func (r *Registry) Update(list []Endpoint, removed []string, reading Reading) {
	r.mu.Lock()
	changed := false
	for _, e := range list {
		changed = r.put(e, reading) || changed
	}
	r.version = reading.Version
	for _, id := range removed {
		r.remove(id, reading)
		changed = true
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// put stores an endpoint and reports whether it differs from the stored one. The
// caller holds mu.
func (r *Registry) put(e Endpoint, reading Reading) bool {
	if r.endpoints == nil {
		r.endpoints = make(map[string]Endpoint)
		r.missingSince = make(map[string]time.Time)
	}
	delete(r.missingSince, e.ID)
	if d, departed := r.departures[e.ID]; departed {
		if !d.saidLeaving || d.startedKnown && d.started != e.StartedUnixMilli {
			delete(r.departures, e.ID) // its entry is back, or it is another process
		} else {
			d.started, d.startedKnown, d.service = e.StartedUnixMilli, true, e.Service
			r.departures[e.ID] = d
			e.Draining = true
		}
	}
	if e.Draining {
		r.recordUnusable(e.ID, reading.At)
	} else {
		delete(r.unusableSince, e.ID)
	}
	previous, listed := r.endpoints[e.ID]
	if previous.sameEntry(e) {
		return false
	}
	if listed {
		r.versions.left(previous, reading.At)
	}
	r.endpoints[e.ID] = e
	return true
}

// remove removes an endpoint or, if its entry may have lapsed, marks it as missing.
// An entry lapses while the store is out of reach for its endpoint, so only a reading
// after a long gap can show that. The caller holds mu.
func (r *Registry) remove(id string, reading Reading) {
	if _, known := r.endpoints[id]; !known {
		if _, departed := r.departures[id]; !departed && r.mayHaveLapsed(reading) {
			r.versions.readRemovalOfUnknown(reading.At)
		}
		return
	}
	if !r.mayHaveLapsed(reading) {
		r.drop(id, reading.At)
		return
	}
	if _, missing := r.missingSince[id]; !missing {
		r.missingSince[id] = reading.At
		r.log("entry of an endpoint vanished during an outage of the feed; the endpoint is still used in case it lapsed", id)
	}
}

// mayHaveLapsed reports whether entries of live endpoints may have lapsed before a reading.
func (r *Registry) mayHaveLapsed(reading Reading) bool {
	return r.LapseTime > 0 && reading.Gap >= r.LapseTime
}

// drop removes an endpoint from the list. The caller holds mu.
func (r *Registry) drop(id string, now time.Time) {
	if _, departed := r.departures[id]; !departed {
		e := r.endpoints[id]
		r.addDeparture(id, departure{started: e.StartedUnixMilli, startedKnown: true, service: e.Service, lastListed: now})
	}
	r.recordUnusable(id, now)
	since, wasMissing := r.missingSince[id]
	if wasMissing {
		r.log("endpoint that vanished is no longer used", id, tag.Duration(now.Sub(since)))
	}
	r.versions.left(r.endpoints[id], now)
	delete(r.endpoints, id)
	delete(r.missingSince, id)
}

func (r *Registry) log(message, endpoint string, fields ...zap.Field) {
	if r.Log != nil {
		r.Log.Info(message, append(fields, tag.Endpoint(endpoint))...)
	}
}

// DropMissing removes the endpoints that have been missing for missingRetention. While
// the feed can't be read they are kept, unless that has lasted less than LapseTime.
func (r *Registry) DropMissing(now time.Time) {
	r.mu.Lock()
	changed := false
	if !r.feedLost || now.Sub(r.feedLostAt) < r.LapseTime {
		for id, since := range r.missingSince {
			if now.Sub(since) >= missingRetention {
				r.drop(id, now)
				changed = true
			}
		}
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// DropDepartures forgets the endpoints that have not been listed for
// departureRetention.
func (r *Registry) DropDepartures(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.dropOld(now)
	for id, d := range r.departures {
		if _, listed := r.endpoints[id]; listed {
			d.lastListed = now
			r.departures[id] = d
		} else if now.Sub(d.lastListed) >= departureRetention {
			delete(r.departures, id)
			delete(r.unusableSince, id)
		}
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
