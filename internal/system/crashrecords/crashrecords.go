// Package crashrecords saves what a VM's scheduler finds out about requests that crash
// endpoints in the platform's store, so that it outlasts the end of all VMs, and loads it
// when a VM starts. Running VMs tell each other (dispatch.Client), not by the store.
package crashrecords

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// Table is the table of the records: one row for each request or path.
const Table = "quarantine"

const (
	// saveInterval is the time between two writes of new records.
	saveInterval = 200 * time.Millisecond
	// loadRetryInterval is the time between two attempts to load the records.
	loadRetryInterval = 500 * time.Millisecond
	callTimeout       = time.Second
	maxWrites         = 32 // rows of one transaction
)

// Scheduler is the scheduler whose records are saved.
type Scheduler interface {
	LoadQuarantine(list []quarantine.Shared)
	TakeUnsavedQuarantine(limit int) (put []quarantine.Shared, deleted []uint64)
	MarkQuarantineUnsaved(keys []uint64)
}

// Keeper loads and saves the records of a scheduler.
type Keeper struct {
	Store     platform.VersionedTable
	Feed      platform.ChangeFeed
	Scheduler Scheduler
	Clock     clock.Clock
	Log       *zap.Logger
}

// row is the value of a record's row. Its times are wall-clock times, which differ little
// between VMs in comparison to how long records last.
type row struct {
	Group         bool     `json:"group,omitempty"`
	Endpoints     []string `json:"endpoints"`
	Ends          []end    `json:"ends,omitempty"` // of the same endpoints; absent in rows of earlier releases
	Guilty        []uint64 `json:"guilty,omitempty"`
	Holds         int      `json:"holds,omitempty"`
	LastUnixMilli int64    `json:"last"`
	HeldUnixMilli int64    `json:"held_until"`
}

// end is when the run of an endpoint that ended started, and when the end became known.
type end struct {
	StartedUnixNano int64 `json:"started_ns"`
	KnownUnixNano   int64 `json:"known_ns"`
}

const keyBase = 16 // of the fingerprint in a row's key

func keyOf(fingerprint uint64) platform.Key {
	return platform.Key{Table: Table, ID: "/" + strconv.FormatUint(fingerprint, keyBase)}
}

// Run loads the records, and then saves new ones until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for !k.load(ctx) {
		if !clock.Sleep(ctx, loadRetryInterval) {
			return
		}
	}
	for clock.Sleep(ctx, saveInterval) {
		k.save(ctx)
	}
}

// load loads all records and deletes the rows of expired or malformed ones. It reports
// whether the store answered.
func (k *Keeper) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, _, err := k.Feed.Snapshot(ctx, Table)
	if err != nil {
		k.Log.Warn("records of requests that crash endpoints not loaded; trying again", tag.Error(err))
		return false
	}
	var list []quarantine.Shared
	var useless []platform.Write
	now := k.Clock.Wall()
	for _, r := range rows {
		shared, err := decode(r, now)
		switch {
		case err != nil:
			k.Log.Warn("malformed record of a request that crashes endpoints; row ignored", tag.Error(err))
		case shared.Expired():
			useless = append(useless, platform.Write{Key: r.Key, IfVersion: r.Version, Delete: true})
		default:
			list = append(list, shared)
		}
	}
	k.Scheduler.LoadQuarantine(list)
	if len(useless) > 0 {
		k.commit(ctx, useless[:min(len(useless), maxWrites)])
	}
	return true
}

// save writes the records that have changed and deletes the rows of those that are gone.
func (k *Keeper) save(ctx context.Context) {
	put, deleted := k.Scheduler.TakeUnsavedQuarantine(maxWrites)
	if len(put)+len(deleted) == 0 {
		return
	}
	var writes []platform.Write
	var keys []uint64
	now := k.Clock.Wall()
	for _, shared := range put {
		value, err := encode(shared, now)
		if err != nil {
			k.Log.Error("record of a request that crashes endpoints not encoded", tag.Error(err))
			continue
		}
		keys = append(keys, shared.Key)
		writes = append(writes, platform.Write{Key: keyOf(shared.Key), IfVersion: platform.AnyVersion, Value: value})
	}
	for _, fingerprint := range deleted {
		keys = append(keys, fingerprint)
		writes = append(writes, platform.Write{Key: keyOf(fingerprint), IfVersion: platform.AnyVersion, Delete: true})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !k.commit(ctx, writes) {
		k.Scheduler.MarkQuarantineUnsaved(keys)
	}
}

// commit applies writes and reports whether the store confirmed them.
func (k *Keeper) commit(ctx context.Context, writes []platform.Write) bool {
	_, err := k.Store.CommitVersioned(ctx, writes)
	if err != nil {
		k.Log.Warn("records of requests that crash endpoints not saved", tag.Count(len(writes)), tag.Error(err))
	}
	return err == nil
}

func encode(s quarantine.Shared, now time.Time) ([]byte, error) {
	w := row{Group: s.Record.Group, Guilty: s.Record.Guilty, Holds: s.Record.Holds, HeldUnixMilli: now.Add(s.HeldFor).UnixMilli()}
	for _, e := range s.Record.Ends {
		started, known := now.Add(e.Started), now.Add(e.Known)
		w.Endpoints, w.LastUnixMilli = append(w.Endpoints, e.Process), known.UnixMilli()
		w.Ends = append(w.Ends, end{started.UnixNano(), known.UnixNano()})
	}
	return json.Marshal(w)
}

func decode(r platform.Row, now time.Time) (quarantine.Shared, error) {
	var w row
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return quarantine.Shared{}, fmt.Errorf("row %s: %w", r.Key.ID, err)
	}
	fingerprint, err := strconv.ParseUint(r.Key.ID[1:], keyBase, 64)
	if err != nil {
		return quarantine.Shared{}, fmt.Errorf("row %s: %w", r.Key.ID, err)
	}
	record := quarantine.Record{Group: w.Group, Guilty: w.Guilty, Holds: w.Holds}
	for i, process := range w.Endpoints {
		e := quarantine.End{Process: process}
		if len(w.Ends) == len(w.Endpoints) {
			e.Started, e.Known = time.Unix(0, w.Ends[i].StartedUnixNano).Sub(now), time.Unix(0, w.Ends[i].KnownUnixNano).Sub(now)
		} else { // they ended one after the other
			e.Known = time.UnixMilli(w.LastUnixMilli).Sub(now) - time.Duration(len(w.Endpoints)-1-i)
			e.Started = e.Known
		}
		record.Ends = append(record.Ends, e)
	}
	return quarantine.Shared{Key: fingerprint, HeldFor: time.UnixMilli(w.HeldUnixMilli).Sub(now), Record: record}, nil
}
