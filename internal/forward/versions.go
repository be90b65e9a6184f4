package forward

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// versionRetention is how long the registry remembers a software version after its last
// endpoint left. It exceeds all horizons.
const versionRetention = 3 * time.Hour

// softwareVersions remembers the software versions whose endpoints have left.
type softwareVersions struct {
	wholeSince time.Time                       // since when all listed versions are known; zero before the first reading
	leftAt     map[string]map[string]time.Time // when an endpoint of a version last left, by service and version
}

// readWhole records that the whole list was read. With missed set, endpoints may have been
// listed and removed since the reading before.
func (v *softwareVersions) readWhole(now time.Time, missed bool) {
	if v.wholeSince.IsZero() || missed {
		v.wholeSince = now
	}
}

// readRemovalOfUnknown records that an endpoint was removed that has not been read: it may have
// been listed since the reading before, with an unknown version.
func (v *softwareVersions) readRemovalOfUnknown(now time.Time) { v.wholeSince = now }

// left records that an endpoint has left or has another version now.
func (v *softwareVersions) left(e Endpoint, now time.Time) {
	if v.leftAt == nil {
		v.leftAt = make(map[string]map[string]time.Time)
	}
	if v.leftAt[e.Service] == nil {
		v.leftAt[e.Service] = make(map[string]time.Time)
	}
	v.leftAt[e.Service][e.SoftwareVersion] = now
}

// dropOld forgets the versions that left versionRetention ago.
func (v *softwareVersions) dropOld(now time.Time) {
	for service, versions := range v.leftAt {
		for version, at := range versions {
			if now.Sub(at) > versionRetention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.leftAt, service)
		}
	}
}

// VersionView returns what this VM knows about the software versions of a service that were
// listed within a time before now.
func (r *Registry) VersionView(service string, horizon time.Duration, now time.Time) resumption.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool)
	for _, e := range r.endpoints {
		if e.Service == service {
			listed[e.SoftwareVersion] = true
		}
	}
	for version, at := range r.versions.leftAt[service] {
		if now.Sub(at) <= horizon {
			listed[version] = true
		}
	}
	since := r.versions.wholeSince
	whole := !since.IsZero() && now.Sub(since) >= horizon && horizon <= versionRetention
	view := resumption.View{Versions: len(listed), Whole: whole}
	if len(listed) == 1 {
		for version := range listed {
			view.Version = version
		}
	}
	return view
}

// SoftwareVersion returns the software version of an endpoint that a scheduler assigned:
// assigned as the scheduler knows it, unless this VM has a newer entry of another process.
func (r *Registry) SoftwareVersion(id, process string, entryVersion uint64, assigned string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, listed := r.endpoints[id]; listed && e.Process() != process && e.EntryVersion > entryVersion {
		return e.SoftwareVersion
	}
	return assigned
}
