package versionhistory

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// testStore is a table whose clock tests set. Writes fail while it is down.
type testStore struct {
	rows   map[platform.Key]platform.Row
	now    time.Duration
	writes int
	down   bool
}

func (s *testStore) Get(context.Context, []platform.Key) ([]platform.Row, error) { panic("not used") }

func (s *testStore) CommitVersioned(_ context.Context, writes []platform.Write) (uint64, error) {
	if s.down {
		return 0, platform.ErrUnavailable
	}
	s.writes++
	w := writes[0]
	if s.rows[w.Key].Version != w.IfVersion {
		return 0, &platform.ConflictError{}
	}
	version := uint64(s.writes)
	s.rows[w.Key] = platform.Row{Key: w.Key, Version: version, Value: w.Value}
	return version, nil
}

// testVM is the history of a VM that has read the table and the list.
type testVM struct {
	*History
	listed map[string][]string
	rank   int
}

// Now, Wall and After implement clock.Clock.
func (s *testStore) Now() time.Duration                     { return s.now }
func (s *testStore) Wall() time.Time                        { panic("not used") }
func (s *testStore) After(d time.Duration) <-chan time.Time { panic("not used") }

func newTestVM(s *testStore) *testVM {
	vm := &testVM{History: New()}
	vm.Store, vm.Clock, vm.Log = s, s, zap.NewNop()
	vm.Time = func() (time.Duration, bool) { return s.now, true }
	vm.Listed = func() (map[string][]string, bool) { return vm.listed, true }
	vm.Rank, vm.Size = func() int { return vm.rank }, func() int { return 1 }
	vm.Refresh = func(context.Context) error {
		if s.down {
			return platform.ErrUnavailable
		}
		vm.Apply(slices.Collect(maps.Values(s.rows)), true)
		return nil
	}
	_ = vm.Refresh(context.Background())
	return vm
}

// after lets time pass, in steps in which the VM writes what is due.
func (vm *testVM) after(t *testing.T, s *testStore, d time.Duration) {
	t.Helper()
	for end := s.now + d; ; s.now += min(time.Second, end-s.now) {
		vm.writeDue(t.Context())
		if s.now >= end {
			return
		}
	}
}

const testService = "model"

func newTestStore() *testStore {
	return &testStore{rows: make(map[platform.Key]platform.Row), now: 1000 * time.Hour}
}

// Guards against streams that are joined from two versions, or refused for nothing, after the loss
// of all VMs: what had served before was known to nobody.
func TestHistory_OutlastsTheLossOfAllVMs(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	vm := newTestVM(s)
	vm.FirstStart, vm.listed = true, map[string][]string{testService: {"v1"}}
	vm.Observe(testService, "v1", 30*time.Second)
	vm.after(t, s, 2*time.Second)
	past := newTestVM(s).Past(testService, 0)
	is.Equal(past.Versions, []string{"v1"})
	is.True(past.Whole) // from the first start on
	is.True(past.Horizon >= time.Minute)

	vm.listed = map[string][]string{testService: {"v2"}}
	vm.after(t, s, leaveDelay+time.Second)
	left := s.now
	for _, tt := range []struct {
		after time.Duration
		want  int // versions that may have begun a stream
	}{{0, 2}, {30 * time.Second, 2}, {time.Minute, 2}, {past.Horizon + 2*time.Second, 1}} {
		s.now = left + tt.after
		restarted := newTestVM(s)
		is.Equal(len(restarted.Past(testService, 0).Versions), tt.want)
		is.True(restarted.Past(testService, 0).Whole)
		is.Equal(len(restarted.Past(testService, time.Hour).Versions), 2) // of a caller that waits longer
	}
	vm.listed[testService] = []string{"v2", "v1"} // the old one is back
	vm.after(t, s, 2*time.Second)
	is.Equal(len(newTestVM(s).Past(testService, 0).Versions), 2)
}

func TestHistory_ThatBeganLaterProvesNothingAboutBefore(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	vm := newTestVM(s)
	vm.listed = map[string][]string{testService: {"v1"}}
	is.True(!vm.Past(testService, 0).Whole)
	vm.after(t, s, 2*time.Second)
	is.True(!vm.Past(testService, 0).Whole)
	vm.after(t, s, vm.Past(testService, 0).Horizon)
	is.True(vm.Past(testService, 0).Whole)
	is.True(!vm.Past(testService, time.Hour).Whole)
	vm.Observe(testService, "v1", time.Hour)
	is.True(!vm.Past(testService, 0).Whole) // callers may come back from before
	unread := New()
	unread.Time = vm.Time
	is.Equal(unread.Past(testService, 0), Past{Horizon: resumption.Horizon(0)})
}

// Guards against a version that counts as gone while it serves: its entries lapsed, or it was
// absent from the list of a VM that had been paused.
func TestHistory_AVersionIsGoneOnlyAfterItWasAbsentForLong(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	vm := newTestVM(s)
	vm.listed = map[string][]string{testService: {"v1", "v2"}}
	vm.after(t, s, 2*time.Second)
	vm.listed = map[string][]string{testService: {"v2"}}
	vm.after(t, s, leaveDelay-time.Second)
	vm.listed = map[string][]string{testService: {"v1", "v2"}}
	vm.after(t, s, 2*time.Second)
	vm.listed = map[string][]string{testService: {"v2"}}
	vm.after(t, s, leaveDelay-time.Second)
	s.now += 24 * time.Hour // a pause in which it came back
	refresh := vm.Refresh
	vm.Refresh = func(ctx context.Context) error {
		vm.listed = map[string][]string{testService: {"v1", "v2"}}
		return refresh(ctx)
	}
	vm.after(t, s, time.Minute)
	is.Equal(len(vm.Past(testService, 0).Versions), 2)
	is.Equal(len(newTestVM(s).Past(testService, 0).Versions), 2)
}

// The VM ranked first writes a change. Another one does if it hasn't, and all of them try less and
// less often while the store is away.
func TestHistory_ChangesAreWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	listed := map[string][]string{testService: {"v1"}}
	first, second := newTestVM(s), newTestVM(s)
	second.rank = 1
	first.listed, second.listed = listed, listed
	s.now += startDelay
	for range 10 { // the first one is dead
		second.writeDue(t.Context())
		s.now += rankDelay / 10
	}
	second.writeDue(t.Context())
	is.Equal(s.writes, 2) // the start and the service
	first.after(t, s, 10*time.Second)
	second.after(t, s, 10*time.Second)
	is.Equal(s.writes, 2)

	first.Observe(testService, "v1", 30*time.Second)
	second.Observe(testService, "v1", 20*time.Second)
	second.Observe(testService, "v1", 3*time.Second)
	first.after(t, s, time.Second)
	second.after(t, s, time.Second)
	is.Equal(s.writes, 3)

	s.down = true
	second.Observe(testService, "v1", time.Hour)
	refreshes := 0
	refresh := second.Refresh
	second.Refresh = func(ctx context.Context) error {
		refreshes++
		return refresh(ctx)
	}
	second.after(t, s, time.Minute)
	is.True(refreshes <= int(time.Minute/(2*retryDelay))+1)
	s.down = false
	second.after(t, s, 2*retryDelay)
	is.True(newTestVM(s).Past(testService, 0).Horizon >= 2*time.Hour)
}

// Any version may have served for which a row can't be read.
func TestHistory_RowsOfOtherWriters(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	vm := newTestVM(s)
	vm.listed = map[string][]string{testService: {"v1"}}
	vm.after(t, s, time.Hour)
	for _, value := range []string{"", "nonsense", `{"versions":7}`} {
		row := s.rows[keyOf(testService)]
		row.Value, row.Version = []byte(value), row.Version+1
		s.rows[keyOf(testService)] = row
		vm.Apply([]platform.Row{row}, false)
		is.Equal(vm.Past(testService, 0).Versions, []string{""})
		is.True(vm.Past(testService, 0).Horizon >= 2*time.Hour)
	}
	s.writes = 100 // above the versions above
	vm.after(t, s, time.Minute)
	is.Equal(len(newTestVM(s).Past(testService, 0).Versions), 2)
	vm.after(t, s, 4*time.Hour)
	vm.listed[testService] = []string{"v1", "v2"}
	vm.after(t, s, 2*time.Second)
	versions, err := decodeVersions(s.rows[keyOf(testService)].Value)
	is.NoErr(err)
	is.Equal(len(versions), 2) // the unknown one is forgotten
}
