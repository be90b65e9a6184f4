package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxRecords bounds the records of a Memory.
const maxRecords = 4096

// Run is a request that may have been running at an endpoint that ended.
type Run struct {
	Request, Path uint64 // fingerprints; Path is 0 if the request belongs to no group
	Started       time.Duration
}

// Shared is a record for another VM, whose clock has another origin.
type Shared struct {
	Key     uint64
	Record  Record        // its times are relative to the moment at which it was shared
	HeldFor time.Duration // time left of the hold; negative after it
}

// Expired reports whether the record can be forgotten.
func (s *Shared) Expired() bool {
	r := s.Record
	r.HeldUntil = s.HeldFor
	return r.expired(0)
}

// Memory holds the records of requests and groups. Its zero value is empty. It is not safe
// for concurrent use.
type Memory struct {
	records map[uint64]*entry
	version uint64          // counts the changes that other VMs have to know
	unsaved map[uint64]bool // keys whose records were changed here and are to be saved
}

type entry struct {
	Record
	version uint64 // of the last change that other VMs have to know; 0 if none
	saved   bool   // it is to be saved, or has been
}

// Level returns how a request may run, and how long a rejection lasts.
func (m *Memory) Level(request, path uint64, now time.Duration) (Level, time.Duration) {
	level, left := Free, time.Duration(0)
	for _, key := range [...]uint64{request, path} {
		e := m.records[key]
		if e == nil {
			continue
		}
		if l := e.LevelAt(now); l >= level {
			level = l
			if l == Rejected {
				left = max(left, e.HeldUntil-now)
			}
		}
	}
	return level, left
}

// RecordEnd records that an endpoint ended during runs. It returns the fingerprints of the
// requests and paths that are rejected from now on.
func (m *Memory) RecordEnd(endpoint string, runs []Run, now time.Duration) (rejected []uint64) {
	record := func(key uint64, group bool, guilty uint64, started time.Duration) {
		e := m.entryFor(key, group, now)
		before := e.LevelAt(now)
		if e.recordEnd(End{Process: endpoint, Started: started, Known: now}, guilty, now) {
			m.noteOwnChange(key, e)
			if e.LevelAt(now) == Rejected && before != Rejected {
				rejected = append(rejected, key)
			}
		}
	}
	guilty := uint64(0)
	for _, run := range runs {
		record(run.Request, false, 0, run.Started)
	}
	if len(runs) == 1 {
		guilty = runs[0].Request
	}
	for _, run := range runs {
		if run.Path != 0 {
			record(run.Path, true, guilty, run.Started)
		}
	}
	return rejected
}

// RecordOwnRun records that an endpoint ended during a run of this VM. What else ran there
// is known to the scheduler that assigned the slot.
func (m *Memory) RecordOwnRun(endpoint string, run Run, now time.Duration) {
	for key, group := range map[uint64]bool{run.Request: false, run.Path: true} {
		if key == 0 {
			continue
		}
		if e := m.entryFor(key, group, now); e.recordEnd(End{Process: endpoint, Started: run.Started, Known: now}, 0, now) {
			m.noteOwnChange(key, e)
		}
	}
}

// RecordChain records endpoints that ended one after the other under one request, which
// is sent once more. It reports whether that is news.
func (m *Memory) RecordChain(endpoints []string, request, path uint64, now time.Duration) bool {
	if len(endpoints) == 0 {
		return false
	}
	changed := false
	for key, group := range map[uint64]bool{request: false, path: true} {
		if e := m.entryFor(key, group, now); e.recordChain(endpoints, now) {
			m.noteOwnChange(key, e)
			changed = true
		}
	}
	return changed
}

// RecordCompletion clears a request that completed, and its group. That stays known, so that
// other VMs clear them, too.
func (m *Memory) RecordCompletion(request, path uint64, now time.Duration) {
	for _, key := range [...]uint64{request, path} {
		e := m.records[key]
		if e == nil || len(e.Ends) == 0 {
			continue
		}
		e.clear(now)
		m.noteChange(e)
		if e.saved {
			e.saved = false
			m.MarkUnsaved(key)
		}
	}
}

// drop deletes a record, also the saved one.
func (m *Memory) drop(key uint64) {
	if e := m.records[key]; e != nil {
		if e.saved {
			m.MarkUnsaved(key)
		}
		delete(m.records, key)
	}
}

// entryFor returns the record of a key, which it creates if necessary.
func (m *Memory) entryFor(key uint64, group bool, now time.Duration) *entry {
	if e := m.records[key]; e != nil {
		return e
	}
	if m.records == nil {
		m.records = make(map[uint64]*entry)
	}
	if len(m.records) >= maxRecords {
		m.makeRoom(now)
	}
	e := &entry{Record: Record{Group: group}}
	m.records[key] = e
	return e
}

// makeRoom drops expired records or, if there are none, a part of all: first those that
// reject nothing, then the oldest ones.
func (m *Memory) makeRoom(now time.Duration) {
	m.Expire(now)
	if len(m.records) < maxRecords {
		return
	}
	keys := slices.Collect(maps.Keys(m.records))
	slices.SortFunc(keys, func(a, b uint64) int { return m.records[a].compareWorth(m.records[b], now) })
	for _, key := range keys[:maxRecords/8] {
		m.drop(key)
	}
}

// compareWorth orders records by which is dropped first.
func (e *entry) compareWorth(other *entry, now time.Duration) int {
	rejects := func(e *entry) int {
		if e.LevelAt(now) == Rejected {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rejects(e), rejects(other)), cmp.Compare(e.last(), other.last()))
}

// noteChange marks a record for other VMs: several schedulers may each see a part of the ends.
func (m *Memory) noteChange(e *entry) {
	m.version++
	e.version = m.version
}

// noteOwnChange is noteChange for a change that this Memory is the first to know. It is saved
// once it is reason to run requests alone: what ran beside a request once is cleared soon.
func (m *Memory) noteOwnChange(key uint64, e *entry) {
	m.noteChange(e)
	if len(e.chain()) < aloneAfter {
		return
	}
	e.saved = true
	m.MarkUnsaved(key)
}

// TakeUnsaved returns the records, at most limit, that have to be saved, and the keys of
// those whose saved records have to be deleted. MarkUnsaved takes them back.
func (m *Memory) TakeUnsaved(limit int, now time.Duration) (put []Shared, deleted []uint64) {
	for key := range m.unsaved {
		if len(put)+len(deleted) >= limit {
			break
		}
		delete(m.unsaved, key)
		if e := m.records[key]; e != nil && e.saved {
			put = append(put, e.share(key, now))
		} else {
			deleted = append(deleted, key)
		}
	}
	return put, deleted
}

// MarkUnsaved records that the record of a key has to be saved, or its saved one deleted. It
// keeps no more keys than records: what it leaves out is deleted once it has expired.
func (m *Memory) MarkUnsaved(key uint64) {
	if m.unsaved == nil {
		m.unsaved = make(map[uint64]bool)
	}
	if len(m.unsaved) < maxRecords {
		m.unsaved[key] = true
	}
}

// share returns the record for another VM.
func (e *entry) share(key uint64, now time.Duration) Shared {
	r := e.Record.shifted(-now)
	r.Guilty, r.HeldUntil = slices.Clone(r.Guilty), 0
	return Shared{Key: key, HeldFor: e.HeldUntil - now, Record: r}
}

// shifted returns the record with other times for its ends and served runs.
func (r Record) shifted(by time.Duration) Record {
	r.Ends = slices.Clone(r.Ends)
	for i := range r.Ends {
		r.Ends[i].Started += by
		r.Ends[i].Known += by
	}
	if r.Cleared {
		r.Served += by
	}
	return r
}

// Expire drops the records that can be forgotten.
func (m *Memory) Expire(now time.Duration) {
	for key, e := range m.records {
		if e.expired(now) {
			m.drop(key)
		}
	}
}

// Version returns the version up to which Since returns changes.
func (m *Memory) Version() uint64 { return m.version }

// Since returns the records, at most limit, that changed after a version, and the version
// up to which these are all.
func (m *Memory) Since(version uint64, limit int, now time.Duration) ([]Shared, uint64) {
	if version == m.version {
		return nil, version
	}
	var keys []uint64
	for key, e := range m.records {
		if e.version > version {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(m.records[a].version, m.records[b].version) })
	upTo := m.version
	if len(keys) > limit {
		keys = keys[:limit]
		upTo = m.records[keys[limit-1]].version
	}
	list := make([]Shared, len(keys))
	for i, key := range keys {
		list[i] = m.records[key].share(key, now)
	}
	return list, upTo
}

// MergeSaved adds records that are saved.
func (m *Memory) MergeSaved(list []Shared, now time.Duration) {
	m.Merge(list, now)
	for _, shared := range list {
		if e := m.records[shared.Key]; e != nil {
			e.saved = true
		}
	}
}

// Merge adds the records of another VM.
func (m *Memory) Merge(list []Shared, now time.Duration) {
	for _, shared := range list {
		r := shared.Record.shifted(now)
		r.HeldUntil = now + shared.HeldFor
		if r.expired(now) {
			continue
		}
		if e := m.entryFor(shared.Key, r.Group, now); e.merge(&r, now) {
			m.noteChange(e)
		}
	}
}
