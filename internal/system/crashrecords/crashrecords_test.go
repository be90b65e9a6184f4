package crashrecords

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// wallClock is a clock whose wall time tests set.
type wallClock struct{ wall time.Time }

func (c *wallClock) Now() time.Duration                     { panic("not used") }
func (c *wallClock) Wall() time.Time                        { return c.wall }
func (c *wallClock) After(d time.Duration) <-chan time.Time { panic("not used") }

// fakeTable is a table that may be out of reach.
type fakeTable struct {
	rows map[platform.Key]platform.Row
	down bool
}

func (f *fakeTable) Get(context.Context, []platform.Key) ([]platform.Row, error) { panic("not used") }

func (f *fakeTable) Changes(context.Context, string, uint64, time.Duration) ([]platform.Row, uint64, error) {
	panic("not used")
}

func (f *fakeTable) CommitVersioned(_ context.Context, writes []platform.Write) (uint64, error) {
	if f.down {
		return 0, platform.ErrUnavailable
	}
	for _, w := range writes {
		if delete(f.rows, w.Key); !w.Delete {
			f.rows[w.Key] = platform.Row{Key: w.Key, Version: 1, Value: w.Value}
		}
	}
	return 1, nil
}

func (f *fakeTable) Snapshot(_ context.Context, table string) ([]platform.Row, uint64, error) {
	if f.down {
		return nil, 0, errors.New("down")
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if key.Table == table {
			rows = append(rows, row)
		}
	}
	return rows, 1, nil
}

// memoryScheduler is a Scheduler with a memory only.
type memoryScheduler struct {
	quarantine.Memory
	now time.Duration
}

func (s *memoryScheduler) LoadQuarantine(list []quarantine.Shared) { s.MergeSaved(list, s.now) }
func (s *memoryScheduler) TakeUnsavedQuarantine(limit int) ([]quarantine.Shared, []uint64) {
	return s.TakeUnsaved(limit, s.now)
}

func (s *memoryScheduler) MarkQuarantineUnsaved(keys []uint64) {
	for _, key := range keys {
		s.MarkUnsaved(key)
	}
}

const request, path = uint64(1), uint64(2)

// endUnder lets an endpoint end under the request.
func (s *memoryScheduler) endUnder(endpoint string) {
	s.now++
	s.RecordEnd(endpoint, []quarantine.Run{{Request: request, Path: path, Started: s.now}}, s.now)
	s.now++
}

func newKeeper(store *fakeTable, c *wallClock) (*Keeper, *memoryScheduler) {
	s := &memoryScheduler{}
	return &Keeper{Store: store, Feed: store, Scheduler: s, Clock: c, Log: zap.NewNop()}, s
}

// What VMs knew of a request that crashes endpoints was lost when all of them were restarted.
func TestKeeper_RecordsOutlastTheEndOfAllVMs(t *testing.T) {
	is := is.New(t)
	store, c := &fakeTable{rows: make(map[platform.Key]platform.Row)}, &wallClock{time.Unix(1_000_000, 0)}
	k, s := newKeeper(store, c)
	s.endUnder("a")
	k.save(t.Context())
	is.Equal(len(store.rows), 0) // one end is no reason
	s.endUnder("b")
	s.endUnder("c")
	store.down = true
	k.save(t.Context())
	store.down = false
	k.save(t.Context()) // again, since the store was down
	is.Equal(len(store.rows), 2)

	c.wall = c.wall.Add(time.Minute)
	store.rows[keyOf(99)] = platform.Row{Key: keyOf(99), Version: 1, Value: []byte("not JSON")}
	store.down = true
	next, restarted := newKeeper(store, c)
	is.True(!next.load(t.Context()))
	store.down = false
	is.True(next.load(t.Context()))
	level, left := restarted.Level(request, 0, 0)
	is.Equal(level, quarantine.Rejected)
	is.True(left > 0 && left <= time.Minute)

	restarted.RecordCompletion(request, path, restarted.now)
	next.save(t.Context())
	is.Equal(len(store.rows), 1) // the malformed one
}

func TestKeeper_DeletesRowsOfExpiredRecords(t *testing.T) {
	is := is.New(t)
	store, c := &fakeTable{rows: make(map[platform.Key]platform.Row)}, &wallClock{time.Unix(1_000_000, 0)}
	k, s := newKeeper(store, c)
	s.endUnder("a")
	s.endUnder("b")
	k.save(t.Context())
	is.Equal(len(store.rows), 2)
	c.wall = c.wall.Add(24 * time.Hour)
	next, restarted := newKeeper(store, c)
	is.True(next.load(t.Context()))
	level, _ := restarted.Level(request, path, 0)
	is.Equal(level, quarantine.Free)
	is.Equal(len(store.rows), 0)
}

// Rows of a release that didn't save when endpoints ended are read as ends one after the other.
func TestKeeper_LoadsRowsOfEarlierReleases(t *testing.T) {
	is := is.New(t)
	store, c := &fakeTable{rows: make(map[platform.Key]platform.Row)}, &wallClock{time.Unix(1_000_000, 0)}
	value := fmt.Sprintf(`{"endpoints":["a","b","c"],"holds":1,"last":%d,"held_until":%d}`, c.wall.UnixMilli(), c.wall.Add(time.Minute).UnixMilli())
	store.rows[keyOf(request)] = platform.Row{Key: keyOf(request), Version: 1, Value: []byte(value)}
	k, s := newKeeper(store, c)
	is.True(k.load(t.Context()))
	level, left := s.Level(request, 0, 0)
	is.Equal(level, quarantine.Rejected)
	is.Equal(left, time.Minute)
	s.now = 2 * time.Minute
	level, _ = s.Level(request, 0, s.now)
	is.Equal(level, quarantine.Alone)
}
