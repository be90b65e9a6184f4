// Package versionhistory keeps in the platform's store which software versions each service has
// had, when the last endpoint of each left, and how long the callers of its streams wait. With it
// a VM can prove that a stream which nobody remembers began at the only version that is left, also
// after the loss of all VMs.
//
// A row is written when a version appears, when its last endpoint has left, and when callers wait
// longer than before: some calls for each release, none for a stream. A version that isn't known
// to have left counts as one that serves.
package versionhistory

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// forgetAfter is how long a version is kept after no caller can take up its streams.
const forgetAfter = time.Hour

// Past is what the history tells about a service.
type Past struct {
	Versions []string      // that may have begun a stream whose caller still waits
	Horizon  time.Duration // for which callers may come back
	Whole    bool          // no other version can have begun such a stream
}

// History is the history of all services. It is safe for concurrent use.
type History struct {
	Store platform.VersionedTable
	// Refresh reads the changes of the table and of the list of endpoints up to now, and passes
	// the rows of the table to Apply.
	Refresh func(ctx context.Context) error
	// Listed returns the versions in the list of endpoints by service, or false if the list may
	// be outdated.
	Listed func() (map[string][]string, bool)
	// Time returns the time of the store's clock.
	Time func() (now time.Duration, known bool)
	// Rank returns this VM's place in the order in which VMs write changes that all of them see.
	Rank func() int
	// Size returns the number of VMs.
	Size func() int
	// FirstStart is true if the system starts for the first time, so that no version has served.
	FirstStart bool
	Clock      clock.Clock
	Log        *zap.Logger

	trigger chan struct{} // see Trigger

	mu       sync.Mutex
	loaded   bool                      // guarded by mu; the table has been read
	loadedAt time.Duration             // guarded by mu; when it first was
	since    *time.Duration            // guarded by mu; of the store's clock, from when on the history is complete; nil if unknown
	services map[string]*service       // guarded by mu
	waits    map[serviceVersion]wait   // guarded by mu; observed, if longer than recorded
	noticed  map[change]*pendingChange // guarded by mu; changes that are not recorded yet
}

type serviceVersion struct{ service, version string }

// wait is how long the callers of a version's streams wait.
type wait struct {
	class time.Duration // as resumption.DeadlineClass
	delay time.Duration // before it is written, so that not all VMs write it at once
}

// service is a service's row.
type service struct {
	rowVersion uint64 // 0 if there is no row
	versions   map[string]record
}

// record is what a row says about a version.
type record struct {
	wait time.Duration // class of the longest deadline of its callers
	left time.Duration // of the store's clock, when it was known to have no endpoint; 0 while it may have one
}

// mayBeTakenUp reports whether callers may still take up streams of the version, if they may for
// at least a horizon after it has left.
func (r record) mayBeTakenUp(now, horizon time.Duration) bool {
	return r.left == 0 || now-r.left <= max(horizon, resumption.Horizon(r.wait))
}

// New returns a history without its dependencies.
func New() *History {
	return &History{
		trigger: make(chan struct{}, 1), services: make(map[string]*service),
		waits: make(map[serviceVersion]wait), noticed: make(map[change]*pendingChange),
	}
}

// Past returns what the history tells about a service whose callers may come back for at least a
// horizon.
func (h *History) Past(name string, horizon time.Duration) Past {
	now, known := h.Time()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || !known {
		return Past{Horizon: max(horizon, resumption.Horizon(0))}
	}
	longest := resumption.DeadlineClass(1)
	var p Past
	if s := h.services[name]; s != nil {
		for version, r := range s.versions {
			r.wait = max(r.wait, h.waits[serviceVersion{name, version}].class)
			longest = max(longest, r.wait)
			if r.mayBeTakenUp(now, horizon) {
				p.Versions = append(p.Versions, version)
			}
		}
	}
	p.Horizon = max(horizon, resumption.Horizon(longest))
	p.Whole = h.since != nil && (*h.since == 0 || now-*h.since >= p.Horizon)
	return p
}

// Horizon returns for how long the callers of a service may come back.
func (h *History) Horizon(name string) time.Duration { return h.Past(name, 0).Horizon }

// Observe records how long the caller of a stream waits that a version begins or goes on with.
func (h *History) Observe(name, version string, deadline time.Duration) {
	class := resumption.DeadlineClass(deadline)
	key := serviceVersion{name, version}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[name]; s != nil && s.versions[version].wait >= class || h.waits[key].class >= class {
		return
	}
	h.waits[key] = wait{class, jitter(time.Duration(h.Size()) * jitterPerVM)}
	h.Trigger()
}

// Trigger makes Run look for changes.
func (h *History) Trigger() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// Apply applies rows of the table: all of them if whole is true, else those that have changed.
func (h *History) Apply(rows []platform.Row, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		h.loadedAt = h.Clock.Now()
	}
	if whole {
		h.loaded, h.since, h.services = true, nil, make(map[string]*service)
	}
	for _, r := range rows {
		if err := h.apply(r); err != nil {
			h.Log.Warn("malformed row of the software versions of a service; any version may have served", tag.Error(err))
		}
	}
	h.Trigger()
}

// apply applies a row; mu is held.
func (h *History) apply(r platform.Row) error {
	name, isService := serviceOf(r.Key)
	switch {
	case !isService && r.Version == 0:
		h.since = nil
		return nil
	case !isService:
		since, err := decodeStart(r.Value)
		if err == nil {
			h.since = &since
		}
		return err
	case r.Version == 0:
		delete(h.services, name)
		return nil
	case h.services[name] != nil && h.services[name].rowVersion > r.Version:
		return nil // read before this VM wrote it
	}
	versions, err := decodeVersions(r.Value)
	if err != nil {
		versions = map[string]record{"": {wait: resumption.DeadlineClass(0)}}
	}
	h.services[name] = &service{r.Version, versions}
	for version, record := range versions {
		if key := (serviceVersion{name, version}); h.waits[key].class <= record.wait {
			delete(h.waits, key)
		}
	}
	return err
}
